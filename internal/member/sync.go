package member

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// syncSoon schedules a full synchronisation with a member that was just found. Several such members in a short time
// cause one synchronisation only. Without a synchronisation so far it is due at once, because the start waits for it.
func (m *Machine) syncSoon(now time.Time, r *record) {
	m.syncWith = r.address()
	soon := now
	if m.synced {
		soon = now.Add(syncDelay)
	}
	if soon.Before(m.nextSync) {
		m.nextSync = soon
	}
}

// SyncFailed schedules another synchronisation after a failed one.
func (m *Machine) SyncFailed(now time.Time) {
	if !m.synced {
		m.nextSync = now.Add(syncDelay)
	}
}

// SyncDue returns the peer address of the member to synchronise with, if it is time to do so.
func (m *Machine) SyncDue(now time.Time) (address string, ok bool) {
	if now.Before(m.nextSync) {
		return "", false
	}
	m.nextSync = now.Add(syncInterval)
	if !m.synced {
		m.nextSync = now.Add(unsyncedInterval)
	}
	if address = m.syncWith; address != "" {
		m.syncWith = ""
		return address, true
	}
	r := m.syncPartner()
	if r == nil {
		return "", false
	}
	return r.address(), true
}

// syncPartner returns a random live member: until the first synchronisation a ready one, preferably of the own region,
// which is more likely within reach; then preferably one of another data centre.
func (m *Machine) syncPartner() *record {
	live := func(r *record) bool { return r.state() == pond.InstanceLive }
	ready := func(r *record) bool { return live(r) && r.ready }
	near := func(r *record) bool { return ready(r) && r.instance.Region() == m.self.instance.Region() }
	other := func(r *record) bool { return live(r) && r.instance.DataCentre() != m.self.instance.DataCentre() }
	preferences := []func(*record) bool{other, live}
	if !m.synced {
		preferences = []func(*record) bool{near, ready, live}
	}
	for _, filter := range preferences {
		if chosen := m.sample(1, filter); len(chosen) > 0 {
			return chosen[0]
		}
	}
	return nil
}

// SyncRequest returns the table in compact form.
func (m *Machine) SyncRequest() *peerpb.SyncMembersRequest {
	req := &peerpb.SyncMembersRequest{Members: []*peerpb.Member{m.self.full()}}
	for _, r := range m.order {
		req.Members = append(req.Members, r.compact())
	}
	for _, backend := range slices.Sorted(maps.Keys(m.notices)) {
		req.Backends = append(req.Backends, m.notices[backend])
	}
	return req
}

// SyncAnswer applies the table of another member and returns what that member does not know. It returns nil if this
// process was paused and has not ticked since, because its own table may lack what was sent meanwhile.
func (m *Machine) SyncAnswer(now time.Time, req *peerpb.SyncMembersRequest) (*peerpb.SyncMembersResponse, []Outgoing) {
	if now.Sub(m.lastTick) > pauseLimit {
		return nil, nil
	}
	resp := m.difference(req)
	if members := req.GetMembers(); len(members) > 0 {
		// The first record is that of the member that asks; nobody else may know it yet.
		m.mergeAll(now, members[:1], nil, false)
		m.mergeTable(now, members[1:], req.GetBackends())
	}
	return resp, m.drain()
}

// SyncApply applies the answer of the member with the given peer address.
func (m *Machine) SyncApply(now time.Time, address string, resp *peerpb.SyncMembersResponse) []Outgoing {
	m.mergeTable(now, resp.GetMembers(), resp.GetBackends())
	for _, e := range resp.GetMembers() {
		// The member that answered may be another incarnation than the one known to be ready.
		r := m.records[pond.InstanceID(e.GetId())]
		if e.GetPeerAddress() == address && r != nil && r.ready && r.instance.Ref() == refOf(e) {
			m.synced = true
		}
	}
	return m.drain()
}

func (m *Machine) mergeTable(now time.Time, members []*peerpb.Member, backends []*peerpb.BackendNotice) {
	m.syncing = true
	m.mergeAll(now, members, backends, false)
	m.syncing = false
}

// Synced reports whether a full synchronisation with a ready member has succeeded since the start or the last pause of
// the process, so that notices sent before are known. A member that has just started itself may not know them.
func (m *Machine) Synced() bool { return m.synced }

// difference returns the own record and full records of members that the request lacks or knows in an older or
// contradicting state.
func (m *Machine) difference(req *peerpb.SyncMembersRequest) *peerpb.SyncMembersResponse {
	theirs := make(map[pond.InstanceID]*peerpb.Member, len(req.GetMembers()))
	for _, e := range req.GetMembers() {
		theirs[pond.InstanceID(e.GetId())] = e
	}
	resp := &peerpb.SyncMembersResponse{Members: []*peerpb.Member{m.self.full()}}
	for _, r := range m.order {
		if !sameReport(r, theirs[r.id()]) {
			resp.Members = append(resp.Members, r.full())
		}
	}
	known := make(map[string]*peerpb.BackendNotice, len(req.GetBackends()))
	for _, n := range req.GetBackends() {
		known[n.GetBackend()] = n
	}
	for _, backend := range slices.Sorted(maps.Keys(m.notices)) {
		n := m.notices[backend]
		if theirs := known[backend]; theirs == nil || newer(n, theirs) {
			resp.Backends = append(resp.Backends, n)
		}
	}
	return resp
}

func sameReport(r *record, e *peerpb.Member) bool {
	if e == nil {
		return r.state() == pond.InstanceGone
	}
	return r.instance.Ref() == refOf(e) && r.version == e.GetVersion() && uint32(r.state()) == e.GetState()
}
