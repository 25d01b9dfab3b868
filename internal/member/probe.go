package member

import (
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// probeNext probes the next member of the shuffled order that is not gone.
func (m *Machine) probeNext(now time.Time) {
	for range len(m.order) {
		if m.next >= len(m.order) {
			m.random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
			m.next = 0
		}
		r := m.order[m.next]
		m.next++
		if r.state() != pond.InstanceGone {
			m.probeMember(now, r)
			return
		}
	}
}

// probeAbsent probes one gone member or one seed that is no member, so that parts of a partition find each other.
func (m *Machine) probeAbsent(now time.Time) {
	var gone []*record
	known := make(map[string]bool, len(m.records)+1)
	known[m.self.address()] = true
	for _, r := range m.order {
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

// probeSeeds looks for any other instance.
func (m *Machine) probeSeeds(now time.Time) {
	addresses := slices.Clone(m.seeds)
	for _, r := range m.order {
		addresses = append(addresses, r.address())
	}
	m.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(aloneProbes, len(addresses))] {
		if address != m.self.address() {
			m.probeAddress(now, address)
		}
	}
}

func (m *Machine) probeMember(now time.Time, r *record) {
	m.sequence++
	m.probes[m.sequence] = &probe{
		ref:      r.instance.Ref(),
		address:  r.address(),
		indirect: now.Add(directTimeout),
		deadline: now.Add(probeTimeout),
	}
	m.send(r.address(), &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PROBE, Sequence: m.sequence}, r)
}

func (m *Machine) probeAddress(now time.Time, address string) {
	m.sequence++
	m.probes[m.sequence] = &probe{address: address, deadline: now.Add(probeTimeout)}
	m.send(address, &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PROBE, Sequence: m.sequence}, nil)
}

// hint asks for a direct probe of a member about which reports contradict each other.
func (m *Machine) hint(now time.Time, r *record, address string) {
	if address == "" {
		address = r.address()
	}
	if now.Before(r.nextHint) || len(m.hints) >= maxHints {
		return
	}
	r.nextHint = now.Add(hintRepeat)
	m.hints = append(m.hints, hint{id: r.id(), address: address})
}

// probeHint probes one member that reports contradict. The probe names the member's state in this table.
func (m *Machine) probeHint(now time.Time) {
	if len(m.hints) == 0 || now.Before(m.nextHint) {
		return
	}
	m.nextHint = now.Add(hintInterval)
	h := m.hints[0]
	m.hints = m.hints[1:]
	if r := m.records[h.id]; r != nil && r.address() == h.address {
		m.probeMember(now, r)
		return
	}
	m.probeAddress(now, h.address)
}

func (m *Machine) relayProbe(now time.Time, from string, d *peerpb.Datagram) {
	m.sequence++
	m.relays[m.sequence] = relay{
		address:  from,
		sequence: d.GetSequence(),
		target:   d.GetTarget(),
		deadline: now.Add(probeTimeout),
	}
	// The first record is what the asking member believes about the target.
	about := d.GetMembers()[:min(1, len(d.GetMembers()))]
	m.send(d.GetTarget(), &peerpb.Datagram{
		Kind:     peerpb.Datagram_KIND_PROBE,
		Sequence: m.sequence,
		Members:  slices.Clone(about),
	}, nil)
}

// answered reports whether the datagram is the direct answer to a probe or relayed probe of this instance.
func (m *Machine) answered(from string, d *peerpb.Datagram) bool {
	if d.GetKind() != peerpb.Datagram_KIND_ACK {
		return false
	}
	if p := m.probes[d.GetSequence()]; p != nil && p.address == from {
		return true
	}
	r, ok := m.relays[d.GetSequence()]
	return ok && r.target == from
}

// acknowledge ends the probe that the ack answers, or passes it on to the member that asked for the probe.
func (m *Machine) acknowledge(from string, d *peerpb.Datagram) {
	if r, ok := m.relays[d.GetSequence()]; ok && r.target == from {
		delete(m.relays, d.GetSequence())
		m.send(r.address, &peerpb.Datagram{
			Kind:     peerpb.Datagram_KIND_ACK,
			Sequence: r.sequence,
			Members:  []*peerpb.Member{d.GetSender()},
		}, nil)
		return
	}
	p := m.probes[d.GetSequence()]
	if p == nil {
		return
	}
	direct := p.address == from && (p.ref.ID == "" || p.ref == refOf(d.GetSender()))
	if direct || relayedFor(p.ref, d) {
		delete(m.probes, d.GetSequence())
	}
}

// relayedFor reports whether a relayed ack proves that the probed incarnation is alive.
func relayedFor(ref pond.InstanceRef, d *peerpb.Datagram) bool {
	members := d.GetMembers()
	return len(members) > 0 && refOf(members[0]) == ref
}

func (m *Machine) expireProbes(now time.Time) {
	for _, sequence := range sortedKeys(m.probes) {
		p := m.probes[sequence]
		if !p.indirect.IsZero() && !now.Before(p.indirect) {
			p.indirect = time.Time{}
			m.probeVia(sequence, p)
		}
		if !now.Before(p.deadline) {
			delete(m.probes, sequence)
			m.unanswered(now, p)
		}
	}
	for sequence, r := range m.relays {
		if !now.Before(r.deadline) {
			delete(m.relays, sequence)
		}
	}
}

// probeVia asks other members to probe a silent one. A gone member is not worth their effort.
func (m *Machine) probeVia(sequence uint64, p *probe) {
	target := m.records[p.ref.ID]
	if target == nil || target.state() == pond.InstanceGone {
		return
	}
	for _, r := range m.helpers(target) {
		m.send(r.address(), &peerpb.Datagram{
			Kind:     peerpb.Datagram_KIND_PROBE_VIA,
			Sequence: sequence,
			Target:   p.address,
			Members:  []*peerpb.Member{target.compact()},
		}, r)
	}
}

// helpers returns random live members for indirect probes, of different data centres where possible, because a broken
// path usually concerns a whole data centre.
func (m *Machine) helpers(target *record) []*record {
	var chosen []*record
	unused := func(r *record) bool {
		return r != target && r.state() == pond.InstanceLive && !slices.Contains(chosen, r)
	}
	elsewhere := func(r *record) bool {
		return unused(r) && !slices.ContainsFunc(chosen, func(c *record) bool {
			return c.instance.DataCentre() == r.instance.DataCentre()
		})
	}
	for range indirectProbes {
		next := m.sample(1, elsewhere)
		if len(next) == 0 {
			next = m.sample(1, unused)
		}
		chosen = append(chosen, next...)
	}
	return chosen
}

// probeSuspects probes a few suspect members again, directly and through others. The probes tell them about the
// suspicion, so that a member with a broken path to this instance can refute in time.
func (m *Machine) probeSuspects(now time.Time) {
	for _, r := range m.sample(suspectProbes, func(r *record) bool { return r.state() == pond.InstanceSuspect }) {
		m.probeMember(now, r)
	}
}

// unanswered starts the suspicion of a member that answered neither directly nor through others.
func (m *Machine) unanswered(now time.Time, p *probe) {
	r := m.records[p.ref.ID]
	if r == nil || r.instance.Ref() != p.ref || !r.deadline.IsZero() {
		return
	}
	switch r.state() {
	case pond.InstanceLive:
		m.startDeadline(now, r)
		m.changeState(r, pond.InstanceSuspect)
	case pond.InstanceLeaving:
		// A leaving member keeps its state, so that no lookup names it, until the deadline.
		m.startDeadline(now, r)
	}
}

// expireRecords ends suspicions and drops records that have been gone for long.
func (m *Machine) expireRecords(now time.Time) {
	if m.nextExpiry.IsZero() || now.Before(m.nextExpiry) {
		return
	}
	m.nextExpiry = time.Time{}
	forgotten := false
	for _, r := range m.order {
		if !r.deadline.IsZero() && !now.Before(r.deadline) {
			m.markGone(now, r)
		}
		forgotten = forgotten || r.forgotten(now)
		m.expireAt(r.deadline)
		if r.state() == pond.InstanceGone {
			m.expireAt(r.forget)
		}
	}
	if !forgotten {
		return
	}
	m.order = slices.DeleteFunc(m.order, func(r *record) bool {
		if r.forgotten(now) {
			delete(m.records, r.id())
			m.changes++
		}
		return r.forgotten(now)
	})
	m.next = min(m.next, len(m.order))
}

// expireAt makes sure that the table is checked at a time, unless it is zero.
func (m *Machine) expireAt(t time.Time) {
	if !t.IsZero() && (m.nextExpiry.IsZero() || t.Before(m.nextExpiry)) {
		m.nextExpiry = t
	}
}

// startDeadline starts the time that a silent member has to refute.
func (m *Machine) startDeadline(now time.Time, r *record) {
	r.deadline = now.Add(m.suspicionTimeout())
	m.expireAt(r.deadline)
}

// forgetLater starts the time after which a gone member is dropped.
func (m *Machine) forgetLater(now time.Time, r *record) {
	r.forget = now.Add(forgetAfter)
	m.expireAt(r.forget)
}

func (m *Machine) markGone(now time.Time, r *record) {
	r.deadline = time.Time{}
	m.forgetLater(now, r)
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
