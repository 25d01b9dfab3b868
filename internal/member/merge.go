package member

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// mergeAll applies received updates. If push is set, urgent updates received for the first time are pushed once more.
func (m *Machine) mergeAll(now time.Time, members []*peerpb.Member, backends []*peerpb.BackendNotice, push bool) {
	urgent := false
	for _, e := range members {
		if validState(e) && m.merge(now, e, false) && pond.InstanceState(e.GetState()) == pond.InstanceLeaving {
			urgent = true
		}
	}
	for _, n := range backends {
		if m.mergeNotice(n) {
			urgent = true
		}
	}
	if push && urgent {
		m.push()
	}
}

func (m *Machine) mergeNotice(n *peerpb.BackendNotice) bool {
	if !validNotice(n) {
		return false
	}
	known := m.notices[n.GetBackend()]
	if known != nil && !newer(n, known) || known == nil && len(m.notices) >= maxNotices {
		return false
	}
	m.setNotice(n)
	return true
}

func (m *Machine) setNotice(n *peerpb.BackendNotice) {
	m.notices[n.GetBackend()] = n
	m.changes++
	m.updates.add(update{key: "b/" + n.GetBackend(), backend: n, left: urgentRetransmits(m.size())})
}

// merge applies a report about a member and tells whether it changed the table. answered is true if the member itself
// answered a probe of this instance with this report.
func (m *Machine) merge(now time.Time, e *peerpb.Member, answered bool) bool {
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
		return m.mergeOther(now, r, e, answered)
	default:
		return m.mergeSame(now, r, e, answered)
	}
}

// refute contradicts a report that this instance is suspect or gone.
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

// insert adds a member that is not in the table. A compact report has no address and cannot be inserted.
func (m *Machine) insert(now time.Time, e *peerpb.Member) bool {
	state := pond.InstanceState(e.GetState())
	if e.GetPeerAddress() == "" || state == pond.InstanceGone {
		return false
	}
	first := m.alone()
	r := &record{instance: decodeInstance(e), version: e.GetVersion()}
	if state == pond.InstanceSuspect {
		m.startDeadline(now, r)
	}
	m.records[r.id()] = r
	m.order = append(m.order, r)
	// A random place in the order keeps the time until the first probe of a new member uniform.
	i := m.random.IntN(len(m.order))
	last := len(m.order) - 1
	m.order[i], m.order[last] = m.order[last], m.order[i]
	m.changes++
	m.queueMember(r, true)
	if first {
		m.syncSoon(now, r)
	}
	return true
}

// mergeOther handles a report about another incarnation of a known member.
func (m *Machine) mergeOther(now time.Time, r *record, e *peerpb.Member, answered bool) bool {
	incarnation := pond.Incarnation(e.GetIncarnation())
	state := pond.InstanceState(e.GetState())
	if incarnation == r.retired && !answered || state == pond.InstanceGone {
		return false
	}
	if !answered && r.state() != pond.InstanceGone {
		m.hint(now, r, e.GetPeerAddress())
		return false
	}
	if e.GetPeerAddress() == "" {
		return false
	}
	r.retired = r.incarnation()
	r.instance = decodeInstance(e)
	r.version = e.GetVersion()
	r.deadline = time.Time{}
	r.disputed = false
	if state == pond.InstanceSuspect {
		m.startDeadline(now, r)
	}
	m.changes++
	m.queueMember(r, true)
	return true
}

// mergeSame handles a report about the known incarnation.
func (m *Machine) mergeSame(now time.Time, r *record, e *peerpb.Member, answered bool) bool {
	state := pond.InstanceState(e.GetState())
	if e.GetVersion() < r.version {
		return false
	}
	if e.GetVersion() > r.version {
		return m.advance(now, r, e.GetVersion(), state)
	}
	if precedence(state) <= precedence(r.state()) {
		m.contradict(now, r, state, answered)
		return false
	}
	switch {
	case state == pond.InstanceGone && r.state() != pond.InstanceSuspect:
		// The member may only be unreachable from another part of the fleet.
		r.disputed = true
		m.hint(now, r, "")
		return false
	case state == pond.InstanceGone:
		m.markGone(now, r)
	case state == pond.InstanceSuspect && r.state() == pond.InstanceLeaving:
		m.startDeadline(now, r)
	default:
		m.become(now, r, state)
	}
	return true
}

// advance applies a report with a greater version of the record.
func (m *Machine) advance(now time.Time, r *record, version uint64, state pond.InstanceState) bool {
	returned := r.state() == pond.InstanceGone
	r.version = version
	r.disputed = false
	if state == pond.InstanceGone && !returned {
		// This table missed a refutation that others did not accept either; it decides for itself.
		state = pond.InstanceSuspect
		m.hint(now, r, "")
	}
	m.become(now, r, state)
	if returned && state != pond.InstanceGone {
		m.syncSoon(now, r)
	}
	return true
}

func (m *Machine) become(now time.Time, r *record, state pond.InstanceState) {
	r.deadline = time.Time{}
	switch state {
	case pond.InstanceSuspect:
		m.startDeadline(now, r)
	case pond.InstanceGone:
		m.forgetLater(now, r)
	}
	m.changeState(r, state)
}

// contradict handles a report that a member is live although the table says gone: the member is probed directly and
// told, so that it can refute. A direct answer also ends the silence of a leaving member.
func (m *Machine) contradict(now time.Time, r *record, state pond.InstanceState, answered bool) {
	if r.state() == pond.InstanceGone && state != pond.InstanceGone {
		m.hint(now, r, "")
	}
	if answered && r.state() == pond.InstanceLeaving {
		r.deadline = time.Time{}
	}
}

// queueMember queues the record for other members.
func (m *Machine) queueMember(r *record, full bool) {
	if m.syncing && r != m.self {
		return
	}
	e := r.compact()
	if full {
		e = r.full()
	}
	left := retransmits(m.size())
	if r.state() == pond.InstanceLeaving {
		left = urgentRetransmits(m.size())
	}
	m.updates.add(update{key: "m/" + e.GetId(), member: e, left: left})
}
