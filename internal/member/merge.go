package member

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// mergeAll applies received updates. If pushUrgent is set, urgent updates received for the first time are pushed once
// more.
func (m *Machine) mergeAll(now time.Time, members []*peerpb.Member, backends []*peerpb.BackendNotice, pushUrgent bool) {
	urgent := false
	for _, e := range members {
		if validMember(e) && m.merge(now, e, false) && pond.InstanceState(e.GetState()) == pond.InstanceLeaving {
			urgent = true
		}
	}
	for _, n := range backends {
		if m.mergeNotice(n) {
			urgent = true
		}
	}
	if pushUrgent && urgent {
		m.startPush()
	}
}

func (m *Machine) mergeNotice(n *peerpb.BackendNotice) bool {
	if !validNotice(n) {
		return false
	}
	known := m.notices[n.GetBackend()]
	if known != nil && !supersedes(n, known) || known == nil && len(m.notices) >= maxNotices {
		return false
	}
	m.setNotice(n)
	return true
}

func (m *Machine) setNotice(n *peerpb.BackendNotice) {
	m.notices[n.GetBackend()] = n
	m.changes++
	m.updates.add(update{key: "b/" + n.GetBackend(), backend: n, remainingSends: urgentRetransmitLimit(m.size())})
}

// merge applies a report about a member and returns whether it changed the table. directAck is true if the report is
// the member's own ack to a probe of this instance.
func (m *Machine) merge(now time.Time, e *peerpb.Member, directAck bool) bool {
	id := pond.InstanceID(e.GetId())
	if id == m.self.id() {
		m.refute(e)
		return false
	}
	r := m.records[id]
	switch {
	case r == nil:
		return m.insert(now, e)
	case r.incarnation() != pond.Incarnation(e.GetIncarnation()):
		return m.mergeOtherIncarnation(now, r, e, directAck)
	default:
		return m.mergeSameIncarnation(now, r, e, directAck)
	}
}

// refute raises the version of this instance's record above that of a report that has a greater version, or the same
// version and a state of higher precedence, such as suspect or gone.
func (m *Machine) refute(e *peerpb.Member) {
	if pond.Incarnation(e.GetIncarnation()) != m.self.incarnation() {
		return
	}
	disputed := precedence(pond.InstanceState(e.GetState())) > precedence(m.self.state())
	if e.GetVersion() < m.self.version || e.GetVersion() == m.self.version && !disputed {
		return
	}
	m.self.version = e.GetVersion() + 1
	m.queueMember(m.self, false)
}

// insert adds a member that is not in the table. A compact report has no address and is ignored.
func (m *Machine) insert(now time.Time, e *peerpb.Member) bool {
	state := pond.InstanceState(e.GetState())
	if e.GetPeerAddress() == "" || state == pond.InstanceGone {
		return false
	}
	wasIsolated := m.isolated()
	r := &record{instance: decodeInstance(e), version: e.GetVersion()}
	if state == pond.InstanceSuspect {
		m.startSuspicionTimer(now, r)
	}
	m.records[r.id()] = r
	m.members = append(m.members, r)
	// Insertion at a random index distributes the time until the first probe of a new member uniformly.
	i := m.random.IntN(len(m.members))
	last := len(m.members) - 1
	m.members[i], m.members[last] = m.members[last], m.members[i]
	m.changes++
	m.queueMember(r, true)
	if wasIsolated {
		m.scheduleSync(now, r)
	}
	return true
}

// mergeOtherIncarnation handles a report about another incarnation of a known member.
func (m *Machine) mergeOtherIncarnation(now time.Time, r *record, e *peerpb.Member, directAck bool) bool {
	incarnation := pond.Incarnation(e.GetIncarnation())
	state := pond.InstanceState(e.GetState())
	if incarnation == r.previousIncarnation && !directAck || state == pond.InstanceGone {
		return false
	}
	if !directAck && r.state() != pond.InstanceGone {
		m.queueConflictProbe(now, r, e.GetPeerAddress())
		return false
	}
	if e.GetPeerAddress() == "" {
		return false
	}
	r.previousIncarnation = r.incarnation()
	r.instance = decodeInstance(e)
	r.release = Release{}
	r.version = e.GetVersion()
	r.suspicionDeadline = time.Time{}
	r.disputed = false
	if state == pond.InstanceSuspect {
		m.startSuspicionTimer(now, r)
	}
	m.changes++
	m.queueMember(r, true)
	return true
}

// mergeSameIncarnation handles a report about the known incarnation.
func (m *Machine) mergeSameIncarnation(now time.Time, r *record, e *peerpb.Member, directAck bool) bool {
	state := pond.InstanceState(e.GetState())
	if e.GetVersion() < r.version {
		return false
	}
	if e.GetVersion() > r.version {
		return m.mergeNewerVersion(now, r, e)
	}
	if e.GetStarting() && !r.instance.Starting() {
		// The earlier report of this version came by way of a former release, which drops the field.
		r.instance = r.instance.WithStarting(true)
		m.changes++
		m.queueMember(r, true)
	}
	if precedence(state) <= precedence(r.state()) {
		m.handleWeakerReport(now, r, state, directAck)
		return false
	}
	switch {
	case state == pond.InstanceGone && r.state() != pond.InstanceSuspect:
		// The member may be unreachable only from some of the other members.
		r.disputed = true
		m.queueConflictProbe(now, r, "")
		return false
	case state == pond.InstanceGone:
		m.markGone(now, r)
	case state == pond.InstanceSuspect && r.state() == pond.InstanceLeaving:
		m.startSuspicionTimer(now, r)
	default:
		m.applyState(now, r, state)
	}
	return true
}

// mergeNewerVersion applies a report with a greater version of the record.
func (m *Machine) mergeNewerVersion(now time.Time, r *record, e *peerpb.Member) bool {
	state := pond.InstanceState(e.GetState())
	returned := r.state() == pond.InstanceGone
	becameReady := r.instance.Starting() && !e.GetStarting()
	r.version = e.GetVersion()
	r.instance = r.instance.WithStarting(e.GetStarting())
	r.disputed = false
	if state == pond.InstanceGone && !returned {
		// This instance missed a refutation, and others have marked the member gone since. It probes the member itself.
		state = pond.InstanceSuspect
		m.queueConflictProbe(now, r, "")
	}
	m.applyState(now, r, state)
	if becameReady {
		// It follows the report of the start closely and takes its place in the queue, so members that do not know the instance need its addresses.
		m.queueMember(r, true)
	}
	if returned && state != pond.InstanceGone {
		m.scheduleSync(now, r)
	}
	return true
}

func (m *Machine) applyState(now time.Time, r *record, state pond.InstanceState) {
	r.suspicionDeadline = time.Time{}
	switch state {
	case pond.InstanceSuspect:
		m.startSuspicionTimer(now, r)
	case pond.InstanceGone:
		m.scheduleRemoval(now, r)
	}
	m.changeState(r, state)
}

// handleWeakerReport handles a report whose state does not take precedence over the known one. A member that is gone in
// the table and not in the report is probed directly and learns from the probe that it is gone, so that it can refute.
// A direct ack of a leaving member stops its suspicion timer.
func (m *Machine) handleWeakerReport(now time.Time, r *record, state pond.InstanceState, directAck bool) {
	if r.state() == pond.InstanceGone && state != pond.InstanceGone {
		m.queueConflictProbe(now, r, "")
	}
	if directAck && r.state() == pond.InstanceLeaving {
		r.suspicionDeadline = time.Time{}
	}
}

// queueMember queues the record as an update for other members. The full encoding includes the addresses.
func (m *Machine) queueMember(r *record, full bool) {
	if m.mergingTable && r != m.self {
		return
	}
	e := r.encodeCompact()
	if full {
		e = r.encodeFull()
	}
	sends := retransmitLimit(m.size())
	if r.state() == pond.InstanceLeaving {
		sends = urgentRetransmitLimit(m.size())
	}
	m.updates.add(update{key: "m/" + e.GetId(), member: e, remainingSends: sends})
}
