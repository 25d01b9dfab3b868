package member

import (
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// probeNext probes the next member in the probe order that is live or leaving. The order is shuffled after each round. Suspects are probed by
// probeSuspects: when half of 77 instances ended at once, regular probes of those that were suspected already left one of them live for 10 s.
func (m *Machine) probeNext(now time.Time) {
	for range len(m.members) {
		if m.probeIndex >= len(m.members) {
			m.random.Shuffle(len(m.members), func(i, j int) { m.members[i], m.members[j] = m.members[j], m.members[i] })
			m.probeIndex = 0
		}
		r := m.members[m.probeIndex]
		m.probeIndex++
		if state := r.state(); state != pond.InstanceGone && state != pond.InstanceSuspect {
			m.probeMember(now, r)
			return
		}
	}
}

// probeGoneOrSeed probes one gone member or one seed that is not a member, so that the sides of a partition rediscover
// each other.
func (m *Machine) probeGoneOrSeed(now time.Time) {
	var gone []*record
	known := make(map[string]bool, len(m.records)+1)
	known[m.self.address()] = true
	for _, r := range m.members {
		known[r.address()] = true
		if r.state() == pond.InstanceGone {
			gone = append(gone, r)
		}
	}
	var unknown []string
	for _, seed := range m.seeds {
		if !known[seed] {
			unknown = append(unknown, seed)
		}
	}
	if n := len(gone) + len(unknown); n > 0 {
		if i := m.random.IntN(n); i < len(gone) {
			m.probeMember(now, gone[i])
		} else {
			m.probeAddress(now, unknown[i-len(gone)])
		}
	}
}

// probeSeeds probes a few random seeds and known members to find any other instance.
func (m *Machine) probeSeeds(now time.Time) {
	addresses := slices.Clone(m.seeds)
	for _, r := range m.members {
		addresses = append(addresses, r.address())
	}
	m.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(maxSeedProbes, len(addresses))] {
		if address != m.self.address() {
			m.probeAddress(now, address)
		}
	}
}

func (m *Machine) probeMember(now time.Time, r *record) {
	m.sequence++
	m.probes[m.sequence] = &probe{
		ref:        r.instance.Ref(),
		address:    r.address(),
		indirectAt: now.Add(directTimeout),
		deadline:   now.Add(probeTimeout),
	}
	m.send(r.address(), &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PROBE, Sequence: m.sequence}, r)
}

func (m *Machine) probeAddress(now time.Time, address string) {
	m.sequence++
	m.probes[m.sequence] = &probe{address: address, deadline: now.Add(probeTimeout)}
	m.send(address, &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PROBE, Sequence: m.sequence}, nil)
}

// queueConflictProbe queues a direct probe of a member about which reports conflict. An empty address stands for the
// known one.
func (m *Machine) queueConflictProbe(now time.Time, r *record, address string) {
	if address == "" {
		address = r.address()
	}
	if now.Before(r.nextConflictProbe) || len(m.conflicts) >= maxConflicts {
		return
	}
	r.nextConflictProbe = now.Add(conflictProbeRepeat)
	m.conflicts = append(m.conflicts, conflict{id: r.id(), address: address})
}

// probeConflict probes one member about which reports conflict. If its address is the known one, the probe also tells
// the member if it is suspect, gone or disputed in this table.
func (m *Machine) probeConflict(now time.Time) {
	if len(m.conflicts) == 0 || now.Before(m.nextConflictProbe) {
		return
	}
	m.nextConflictProbe = now.Add(conflictProbeInterval)
	next := m.conflicts[0]
	m.conflicts = m.conflicts[1:]
	if r := m.records[next.id]; r != nil && r.address() == next.address {
		m.probeMember(now, r)
		return
	}
	m.probeAddress(now, next.address)
}

func (m *Machine) relayProbe(now time.Time, from string, d *peerpb.Datagram) {
	m.sequence++
	m.relays[m.sequence] = relay{
		requester:         from,
		requesterSequence: d.GetSequence(),
		target:            d.GetTarget(),
		deadline:          now.Add(probeTimeout),
	}
	// The first record is the state of the target according to the member that requested the probe.
	about := d.GetMembers()[:min(1, len(d.GetMembers()))]
	m.send(d.GetTarget(), &peerpb.Datagram{
		Kind:     peerpb.Datagram_KIND_PROBE,
		Sequence: m.sequence,
		Members:  slices.Clone(about),
	}, nil)
}

// isDirectAck reports whether the datagram is an ack from the probed member itself, for a probe by this instance or one
// that it relays.
func (m *Machine) isDirectAck(from string, d *peerpb.Datagram) bool {
	if d.GetKind() != peerpb.Datagram_KIND_ACK {
		return false
	}
	if p := m.probes[d.GetSequence()]; p != nil && p.address == from {
		return true
	}
	r, ok := m.relays[d.GetSequence()]
	return ok && r.target == from
}

// handleAck completes the probe that the ack belongs to, or forwards the ack to the member that requested the probe.
func (m *Machine) handleAck(from string, d *peerpb.Datagram) {
	if r, ok := m.relays[d.GetSequence()]; ok && r.target == from {
		delete(m.relays, d.GetSequence())
		m.send(r.requester, &peerpb.Datagram{
			Kind:     peerpb.Datagram_KIND_ACK,
			Sequence: r.requesterSequence,
			Members:  []*peerpb.Member{d.GetSender()},
		}, nil)
		return
	}
	p := m.probes[d.GetSequence()]
	if p == nil {
		return
	}
	direct := p.address == from && (p.ref.ID == "" || p.ref == refOf(d.GetSender()))
	if direct || relayedAckMatches(p.ref, d) {
		delete(m.probes, d.GetSequence())
	}
}

// relayedAckMatches reports whether a relayed ack comes from the probed incarnation.
func relayedAckMatches(ref pond.InstanceRef, d *peerpb.Datagram) bool {
	members := d.GetMembers()
	return len(members) > 0 && refOf(members[0]) == ref
}

func (m *Machine) expireProbes(now time.Time) {
	for _, sequence := range sortedKeys(m.probes) {
		p := m.probes[sequence]
		if !p.indirectAt.IsZero() && !now.Before(p.indirectAt) {
			p.indirectAt = time.Time{}
			m.probeIndirectly(sequence, p)
		}
		if !now.Before(p.deadline) {
			delete(m.probes, sequence)
			m.handleProbeTimeout(now, p)
		}
	}
	for sequence, r := range m.relays {
		if !now.Before(r.deadline) {
			delete(m.relays, sequence)
		}
	}
}

// probeIndirectly asks other members to probe one that did not answer. A target that is gone by now is not
// worth the traffic.
func (m *Machine) probeIndirectly(sequence uint64, p *probe) {
	target := m.records[p.ref.ID]
	if target == nil || target.state() == pond.InstanceGone {
		return
	}
	for _, r := range m.indirectProbers(target) {
		m.send(r.address(), &peerpb.Datagram{
			Kind:     peerpb.Datagram_KIND_PROBE_VIA,
			Sequence: sequence,
			Target:   p.address,
			Members:  []*peerpb.Member{target.encodeCompact()},
		}, r)
	}
}

// indirectProbers returns random live members for indirect probes, of different data centres where possible, because a
// network fault usually affects a whole data centre.
func (m *Machine) indirectProbers(target *record) []*record {
	var chosen []*record
	unused := func(r *record) bool {
		return r != target && r.state() == pond.InstanceLive && !slices.Contains(chosen, r)
	}
	unusedDataCentre := func(r *record) bool {
		return unused(r) && !slices.ContainsFunc(chosen, func(c *record) bool {
			return c.instance.DataCentre() == r.instance.DataCentre()
		})
	}
	for range indirectProbes {
		next := m.sample(1, unusedDataCentre)
		if len(next) == 0 {
			next = m.sample(1, unused)
		}
		chosen = append(chosen, next...)
	}
	return chosen
}

// probeSuspects probes a few suspect members again, directly and through others. The probes tell them about the
// suspicion, so that a member that cannot reach this instance directly can refute in time.
func (m *Machine) probeSuspects(now time.Time) {
	for _, r := range m.sample(suspectProbes, func(r *record) bool { return r.state() == pond.InstanceSuspect }) {
		m.probeMember(now, r)
	}
}

// handleProbeTimeout starts the suspicion timer of a member that acked neither the direct nor the indirect probes.
func (m *Machine) handleProbeTimeout(now time.Time, p *probe) {
	r := m.records[p.ref.ID]
	if r == nil || r.instance.Ref() != p.ref || !r.suspicionDeadline.IsZero() {
		return
	}
	switch r.state() {
	case pond.InstanceLive:
		m.startSuspicionTimer(now, r)
		m.changeState(r, pond.InstanceSuspect)
	case pond.InstanceLeaving:
		// A leaving member stays leaving until the deadline, because a suspect one would be eligible in Rank again.
		m.startSuspicionTimer(now, r)
	}
}

// expireRecords marks members gone whose suspicion deadline has passed, and removes those gone for goneRetention.
func (m *Machine) expireRecords(now time.Time) {
	if m.nextExpiry.IsZero() || now.Before(m.nextExpiry) {
		return
	}
	m.nextExpiry = time.Time{}
	anyRemovable := false
	for _, r := range m.members {
		if !r.suspicionDeadline.IsZero() && !now.Before(r.suspicionDeadline) {
			m.markGone(now, r)
		}
		anyRemovable = anyRemovable || r.removable(now)
		m.scheduleExpiry(r.suspicionDeadline)
		if r.state() == pond.InstanceGone {
			m.scheduleExpiry(r.removeAt)
		}
	}
	if !anyRemovable {
		return
	}
	m.members = slices.DeleteFunc(m.members, func(r *record) bool {
		if r.removable(now) {
			delete(m.records, r.id())
			m.changes++
		}
		return r.removable(now)
	})
	m.probeIndex = min(m.probeIndex, len(m.members))
}

// scheduleExpiry ensures that expireRecords checks the table at time t, unless t is zero.
func (m *Machine) scheduleExpiry(t time.Time) {
	if !t.IsZero() && (m.nextExpiry.IsZero() || t.Before(m.nextExpiry)) {
		m.nextExpiry = t
	}
}

// startSuspicionTimer sets the time by which a member must refute before it is marked gone.
func (m *Machine) startSuspicionTimer(now time.Time, r *record) {
	r.suspicionDeadline = now.Add(m.suspicionTimeout())
	m.scheduleExpiry(r.suspicionDeadline)
}

// scheduleRemoval sets the time at which a gone member is removed from the table.
func (m *Machine) scheduleRemoval(now time.Time, r *record) {
	r.removeAt = now.Add(goneRetention)
	m.scheduleExpiry(r.removeAt)
}

func (m *Machine) markGone(now time.Time, r *record) {
	r.suspicionDeadline = time.Time{}
	m.scheduleRemoval(now, r)
	m.changeState(r, pond.InstanceGone)
}

func (m *Machine) changeState(r *record, state pond.InstanceState) {
	r.setState(state)
	m.changes++
	m.queueMember(r, false)
}

func sortedKeys[V any](values map[uint64]V) []uint64 {
	if len(values) == 0 {
		return nil
	}
	keys := make([]uint64, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
