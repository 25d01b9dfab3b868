package member

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// scheduleSync schedules a full synchronisation with a member that was just discovered or came back. Several such
// members within syncDelay cause only one synchronisation. The first synchronisation is due at once, because startup
// waits for it.
func (m *Machine) scheduleSync(now time.Time, r *record) {
	m.syncAddress = r.address()
	soon := now
	if m.synced {
		soon = now.Add(syncDelay)
	}
	if soon.Before(m.nextSync) {
		m.nextSync = soon
	}
}

// SyncFailed schedules a retry of a failed synchronisation if none has succeeded yet.
func (m *Machine) SyncFailed(now time.Time) {
	if !m.synced {
		m.nextSync = now.Add(syncDelay)
	}
}

// SyncDue returns the peer address of the member to synchronise with, if a synchronisation is due.
func (m *Machine) SyncDue(now time.Time) (address string, ok bool) {
	if now.Before(m.nextSync) {
		return "", false
	}
	m.nextSync = now.Add(m.syncInterval())
	if !m.synced {
		m.nextSync = now.Add(initialSyncInterval)
	}
	if address = m.syncAddress; address != "" {
		m.syncAddress = ""
		return address, true
	}
	r := m.syncPartner()
	if r == nil {
		return "", false
	}
	return r.address(), true
}

// syncInterval returns the time between two synchronisations when the former one has brought nothing.
func (m *Machine) syncInterval() time.Duration {
	interval := time.Duration(m.size())*syncPerMember + time.Duration(len(m.notices))*syncPerNotice
	return min(max(minSyncInterval, interval), maxSyncInterval)
}

// syncPartner returns a random live member, or nil. Until the first synchronisation it prefers members with a confirmed
// manifest, and among these this instance's region, which is more likely to be reachable; afterwards another data
// centre, mostly of this instance's region.
func (m *Machine) syncPartner() *record {
	live := func(r *record) bool { return r.state() == pond.InstanceLive }
	confirmed := func(r *record) bool { return live(r) && r.manifestConfirmed }
	near := func(r *record) bool { return live(r) && r.instance.Region() == m.self.instance.Region() }
	sameRegion := func(r *record) bool { return confirmed(r) && near(r) }
	elsewhere := func(r *record) bool { return live(r) && r.instance.DataCentre() != m.self.instance.DataCentre() }
	nearElsewhere := func(r *record) bool { return near(r) && elsewhere(r) }
	preferences := []func(*record) bool{nearElsewhere, elsewhere, live}
	switch far := m.random.IntN(farSyncParts) == 0; {
	case !m.synced && far:
		preferences = []func(*record) bool{sameRegion, confirmed, live}
	case !m.synced:
		preferences = []func(*record) bool{sameRegion, confirmed, near, live}
	case far:
		preferences = []func(*record) bool{elsewhere, live}
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
	req := &peerpb.SyncMembersRequest{Members: []*peerpb.Member{m.self.encodeFull()}}
	for _, r := range m.members {
		req.Members = append(req.Members, r.encodeCompact())
	}
	for _, backend := range slices.Sorted(maps.Keys(m.notices)) {
		req.Backends = append(req.Backends, m.notices[backend])
	}
	return req
}

// HandleSync applies the table of another member and returns the records and notices that the member lacks. It
// returns nil if this process was paused and has not ticked since, because its own table may lack updates that were
// sent during the pause.
func (m *Machine) HandleSync(now time.Time, req *peerpb.SyncMembersRequest) (*peerpb.SyncMembersResponse, []Outgoing) {
	if now.Sub(m.lastTick) > pauseThreshold {
		return nil, nil
	}
	resp := m.difference(req)
	if members := req.GetMembers(); len(members) > 0 {
		// The first record is that of the requesting member. It is queued as an update, because others may not know it.
		m.mergeAll(now, members[:1], nil, false)
		m.mergeTable(now, members[1:], req.GetBackends())
	}
	return resp, m.takeOutgoing()
}

// ApplySyncResponse applies the response of the member with the given peer address.
func (m *Machine) ApplySyncResponse(now time.Time, address string, resp *peerpb.SyncMembersResponse) []Outgoing {
	m.mergeTable(now, resp.GetMembers(), resp.GetBackends())
	soon := now.Add(initialSyncInterval + time.Duration(len(m.notices))*soonerSyncPerNotice)
	if len(resp.GetMembers()) > 1 && soon.Before(m.nextSync) { // One is the other's own record.
		m.nextSync = soon
	}
	for _, e := range resp.GetMembers() {
		// The member that responded may be another incarnation than the one known to have a confirmed manifest.
		r := m.records[pond.InstanceID(e.GetId())]
		if e.GetPeerAddress() == address && r != nil && r.manifestConfirmed && r.instance.Ref() == refOf(e) {
			m.synced = true
		}
	}
	return m.takeOutgoing()
}

func (m *Machine) mergeTable(now time.Time, members []*peerpb.Member, backends []*peerpb.BackendNotice) {
	m.mergingTable = true
	m.mergeAll(now, members, backends, false)
	m.mergingTable = false
}

// Synced reports whether a full synchronisation with a member whose manifest is confirmed has succeeded since the
// process started or was last paused, so that earlier notices are known. A member that has just started may not know
// them itself.
func (m *Machine) Synced() bool { return m.synced }

// difference returns this instance's record, the full records of members that are missing or different in the request,
// and the notices that are missing or older there.
func (m *Machine) difference(req *peerpb.SyncMembersRequest) *peerpb.SyncMembersResponse {
	theirs := make(map[pond.InstanceID]*peerpb.Member, len(req.GetMembers()))
	for _, e := range req.GetMembers() {
		theirs[pond.InstanceID(e.GetId())] = e
	}
	resp := &peerpb.SyncMembersResponse{Members: []*peerpb.Member{m.self.encodeFull()}}
	for _, r := range m.members {
		if !matchesReport(r, theirs[r.id()]) {
			resp.Members = append(resp.Members, r.encodeFull())
		}
	}
	knownNotices := make(map[string]*peerpb.BackendNotice, len(req.GetBackends()))
	for _, n := range req.GetBackends() {
		knownNotices[n.GetBackend()] = n
	}
	for _, backend := range slices.Sorted(maps.Keys(m.notices)) {
		n := m.notices[backend]
		if theirs := knownNotices[backend]; theirs == nil || supersedes(n, theirs) {
			resp.Backends = append(resp.Backends, n)
		}
	}
	return resp
}

func matchesReport(r *record, e *peerpb.Member) bool {
	if e == nil {
		return r.state() == pond.InstanceGone
	}
	return r.instance.Ref() == refOf(e) && r.version == e.GetVersion() && uint32(r.state()) == e.GetState() &&
		(e.GetStarting() || !r.instance.Starting())
}
