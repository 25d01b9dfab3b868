package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TickInterval is the time between calls of Machine.Tick.
const TickInterval = 100 * time.Millisecond

const (
	// probeInterval is the time between two probes of an instance. Of n instances, each is probed by one of the others on average once in it: with
	// a second, one of 77 that was killed was not probed by any for 6 s, and named to callers for 9 s.
	probeInterval = 500 * time.Millisecond
	// directTimeout is ten times the round trip between regions on a busy link.
	directTimeout = 300 * time.Millisecond
	probeTimeout  = 900 * time.Millisecond
	// indirectProbes is the number of members asked to probe a member that does not answer.
	indirectProbes = 3
	// suspectProbes is the number of suspect members probed in each probeInterval in addition to the regular probe.
	suspectProbes = 1
	// pushFanout is the number of members that a push is sent to. If each of n members sends 4 pushes, all but a fraction
	// of about e^-4 of them receive one; probes reach the rest.
	pushFanout = 4
	// pushRepeats is the number of times that a push is repeated to other members, half of them in this instance's
	// region. During the first seconds of a partition most members still look live but cannot be reached, and a single
	// push would miss a large part of that region.
	pushRepeats       = 2
	pushRepeatDelay   = 400 * time.Millisecond
	goneProbeInterval = 10 * time.Second
	// seedProbeInterval is the time between probes of seeds while no other member is live or suspect.
	seedProbeInterval = 500 * time.Millisecond
	maxSeedProbes     = 4
	// The time between two synchronisations is syncPerMember for each member and syncPerNotice for each notice, within the two limits. A
	// table has 36 bytes for each member, so that it costs each instance 1.8 KB a second without notices.
	syncPerMember   = 20 * time.Millisecond
	syncPerNotice   = 40 * time.Millisecond
	minSyncInterval = 500 * time.Millisecond
	maxSyncInterval = 30 * time.Second
	syncDelay       = 250 * time.Millisecond
	// initialSyncInterval is the time between synchronisations until one with a member whose manifest is confirmed
	// has succeeded.
	initialSyncInterval = 500 * time.Millisecond
	// After a synchronisation that has brought something the next one follows after initialSyncInterval and soonerSyncPerNotice for each
	// notice: while many instances start, datagrams have no room for all of them.
	soonerSyncPerNotice = 10 * time.Millisecond
	// Of farSyncParts synchronisations one is with a member of any region, the others with one of the own region: the link between regions
	// is scarce, and datagrams tell of changes there too.
	farSyncParts = 4
	// conflictProbeInterval limits probes caused by conflicting reports to a few hundred bytes a second. After a
	// partition each instance has about one conflict for each member of the other region.
	conflictProbeInterval = 200 * time.Millisecond
	// conflictProbeRepeat is the least time between two such probes of one member.
	conflictProbeRepeat = 10 * time.Second
	maxConflicts        = 1024
	// The suspicion timeout is suspicionBase plus suspicionPerDoubling times the binary logarithm of the number of members.
	suspicionBase        = 3 * time.Second
	suspicionPerDoubling = 500 * time.Millisecond
	// goneRetention is how long gone members are kept and probed. It exceeds the longest expected partition between
	// regions.
	goneRetention = 24 * time.Hour
	// maxNotices is several times the expected number of backend servers.
	maxNotices = 8192
	// pauseThreshold is the time between ticks above which the process counts as paused. A probe that timed out during
	// a pause says nothing about the probed member.
	pauseThreshold = 2 * time.Second
)

// Outgoing is a datagram to send.
type Outgoing struct {
	Address  string
	Datagram *peerpb.Datagram
}

// Machine is the membership protocol of one instance. It is not safe for concurrent use.
type Machine struct {
	random  *rand.Rand
	self    *record
	records map[pond.InstanceID]*record
	// members holds the values of records in probe order; probeIndex is the index of the next one to probe.
	members    []*record
	probeIndex int

	sequence  uint64
	probes    map[uint64]*probe
	relays    map[uint64]relay
	conflicts []conflict
	seeds     []string

	updates  updateQueue
	notices  map[string]*peerpb.BackendNotice
	manifest *peerpb.ManifestVersion
	outgoing []Outgoing

	lastTick          time.Time
	nextProbe         time.Time
	nextGoneProbe     time.Time
	nextSeedProbe     time.Time
	nextConflictProbe time.Time
	nextPush          time.Time
	remainingPushes   int
	// pushTargets are the members that the current series of pushes was sent to.
	pushTargets []*record
	nextSync    time.Time
	syncAddress string
	synced      bool
	// mergingTable is true while the table of another member is merged. Its records are not queued as updates: after a
	// simultaneous start of 350 members they would fill the datagrams for minutes, although synchronisation delivers
	// them too.
	mergingTable bool
	changes      uint64
	// nextExpiry is at or before the earliest suspicion deadline or removal time in the table; zero for none.
	nextExpiry time.Time
}

// probe is a probe awaiting its ack. ref is zero if only the address is known.
type probe struct {
	ref        pond.InstanceRef
	address    string
	indirectAt time.Time
	deadline   time.Time
}

// conflict is a member to probe because reports about it conflict, with the address from the report.
type conflict struct {
	id      pond.InstanceID
	address string
}

// relay is a probe awaiting its ack that was made on request of another member.
type relay struct {
	requester         string
	requesterSequence uint64
	target            string
	deadline          time.Time
}

// NewMachine returns the machine of an instance that knows only itself.
func NewMachine(self pond.Instance, random *rand.Rand, now time.Time) *Machine {
	own := &record{instance: self, version: 1}
	own.setState(pond.InstanceLive)
	jitter := time.Duration(random.Int64N(int64(probeInterval)))
	return &Machine{
		random: random,
		self:   own,
		// A random initial value keeps late acks to an earlier process at the same address from matching a probe.
		sequence:      uint64(random.Uint32()),
		records:       make(map[pond.InstanceID]*record),
		probes:        make(map[uint64]*probe),
		relays:        make(map[uint64]relay),
		notices:       make(map[string]*peerpb.BackendNotice),
		lastTick:      now,
		nextProbe:     now.Add(jitter),
		nextGoneProbe: now.Add(goneProbeInterval + jitter),
		nextSeedProbe: now,
		nextSync:      now.Add(minSyncInterval + jitter),
		changes:       1,
	}
}

// Self returns this instance.
func (m *Machine) Self() pond.Instance { return m.self.instance }

// Changes returns a counter that increases whenever the result of Instances or Backends may have changed.
func (m *Machine) Changes() uint64 { return m.changes }

// Instances returns this instance and all members that are not gone, ordered by ID.
func (m *Machine) Instances() []pond.Instance {
	instances := []pond.Instance{m.self.instance}
	for _, r := range m.records {
		if r.state() != pond.InstanceGone {
			instances = append(instances, r.instance)
		}
	}
	slices.SortFunc(instances, func(a, b pond.Instance) int { return compareID(a.ID(), b.ID()) })
	return instances
}

// Releases returns the releases of the members that are not gone and have sent something.
func (m *Machine) Releases() map[pond.InstanceID]Release {
	releases := make(map[pond.InstanceID]Release)
	for id, r := range m.records {
		if r.state() != pond.InstanceGone && r.release.Heard {
			releases[id] = r.release
		}
	}
	return releases
}

// Tick advances timers. It must be called every TickInterval.
func (m *Machine) Tick(now time.Time) []Outgoing {
	if now.Sub(m.lastTick) > pauseThreshold {
		m.recoverFromPause(now)
	}
	m.lastTick = now
	m.expireProbes(now)
	m.expireRecords(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = nextDue(m.nextProbe, probeInterval, now)
		m.probeNext(now)
		m.probeSuspects(now)
	}
	if !now.Before(m.nextGoneProbe) {
		m.nextGoneProbe = now.Add(goneProbeInterval)
		m.probeGoneOrSeed(now)
	}
	if !now.Before(m.nextSeedProbe) && m.isolated() {
		m.nextSeedProbe = now.Add(seedProbeInterval)
		m.probeSeeds(now)
	}
	m.probeConflict(now)
	m.repeatPush(now)
	return m.takeOutgoing()
}

// Receive handles a datagram that arrived from the given peer address.
func (m *Machine) Receive(now time.Time, from string, d *peerpb.Datagram) []Outgoing {
	sender := d.GetSender()
	if !validMember(sender) || pond.InstanceID(sender.GetId()) == m.self.id() {
		return nil
	}
	directAck := m.isDirectAck(from, d)
	m.merge(now, sender, directAck)
	if r := m.records[pond.InstanceID(sender.GetId())]; r != nil && r.instance.Ref() == refOf(sender) {
		r.manifestConfirmed = d.GetManifest().GetConfirmed()
		r.release.state(d.GetRelease())
	}
	m.mergeAll(now, d.GetMembers(), d.GetBackends(), true)
	m.dispatch(now, from, d)
	return m.takeOutgoing()
}

func (m *Machine) dispatch(now time.Time, from string, d *peerpb.Datagram) {
	switch d.GetKind() {
	case peerpb.Datagram_KIND_PROBE:
		m.send(from, &peerpb.Datagram{Kind: peerpb.Datagram_KIND_ACK, Sequence: d.GetSequence()},
			m.records[pond.InstanceID(d.GetSender().GetId())])
	case peerpb.Datagram_KIND_PROBE_VIA:
		m.relayProbe(now, from, d)
	case peerpb.Datagram_KIND_ACK:
		m.handleAck(from, d)
	}
}

// Leave announces that this instance is shutting down.
func (m *Machine) Leave() []Outgoing {
	if m.self.state() == pond.InstanceLeaving {
		return nil
	}
	m.self.setState(pond.InstanceLeaving)
	m.self.version++
	m.changes++
	m.queueMember(m.self, false)
	m.startPush()
	return m.takeOutgoing()
}

// AnnounceReady tells all members that this instance is ready for callers, with the datagrams that are sent anyway. It has no effect if it is known.
func (m *Machine) AnnounceReady() {
	if !m.self.instance.Starting() {
		return
	}
	m.self.instance = m.self.instance.WithStarting(false)
	if m.manifest == nil {
		m.manifest = &peerpb.ManifestVersion{Confirmed: true} // Without manifests, being ready takes its place.
	}
	m.self.version++
	m.changes++
	m.queueMember(m.self, true)
}

// AnnounceManifest sets the manifest version that all datagrams carry. A version that differs from the previous one is
// pushed at once.
func (m *Machine) AnnounceManifest(v *peerpb.ManifestVersion) []Outgoing {
	old := m.manifest
	m.manifest = v
	if old.GetNumber() == v.GetNumber() && old.GetRevision() == v.GetRevision() && old.GetHash() == v.GetHash() {
		return nil
	}
	m.startPush()
	return m.takeOutgoing()
}

// AnnounceBackend tells all members the state of a backend server. It does nothing if that state is already known.
func (m *Machine) AnnounceBackend(backend string, state BackendState) []Outgoing {
	known := m.notices[backend]
	if known == nil && len(m.notices) >= maxNotices {
		return nil
	}
	if BackendState(known.GetState()) == state || known == nil && state == BackendAccepting {
		return nil
	}
	m.setNotice(&peerpb.BackendNotice{
		Backend: backend,
		State:   uint32(state),
		Origin:  string(m.self.id()),
		Serial:  known.GetSerial() + 1,
	})
	m.startPush()
	return m.takeOutgoing()
}

// BackendState returns the state of a backend server according to the notices of members.
func (m *Machine) BackendState(backend string) BackendState {
	return BackendState(m.notices[backend].GetState())
}

// Backends returns the state of each backend server for which there is a notice.
func (m *Machine) Backends() map[string]BackendState {
	backends := make(map[string]BackendState, len(m.notices))
	for name, n := range m.notices {
		backends[name] = BackendState(n.GetState())
	}
	return backends
}

// SetSeeds sets the peer addresses that are probed even if no member with that address is known.
func (m *Machine) SetSeeds(addresses []string) { m.seeds = slices.Clone(addresses) }

// Seeds returns the addresses given to SetSeeds.
func (m *Machine) Seeds() []string { return m.seeds }

// isolated reports whether all other members are gone.
func (m *Machine) isolated() bool {
	for _, r := range m.members {
		if r.state() != pond.InstanceGone {
			return false
		}
	}
	return true
}

// recoverFromPause drops the probes pending from before a pause of the process, restarts suspicion timers and schedules
// a synchronisation, because updates sent during the pause may be lost.
func (m *Machine) recoverFromPause(now time.Time) {
	m.synced = false
	m.nextSync = now
	clear(m.probes)
	clear(m.relays)
	for _, r := range m.records {
		if !r.suspicionDeadline.IsZero() {
			m.startSuspicionTimer(now, r)
		}
	}
}

func (m *Machine) suspicionTimeout() time.Duration {
	return suspicionBase + time.Duration(math.Log2(float64(m.size()))*float64(suspicionPerDoubling))
}

func (m *Machine) size() int { return len(m.records) + 1 }

// startPush sends the pending updates to random members now and schedules the repetitions.
func (m *Machine) startPush() {
	m.remainingPushes = pushRepeats
	m.pushTargets = nil
	m.nextPush = m.lastTick.Add(pushRepeatDelay)
	m.sendPushes()
}

func (m *Machine) repeatPush(now time.Time) {
	if m.remainingPushes == 0 || now.Before(m.nextPush) {
		return
	}
	m.remainingPushes--
	m.nextPush = now.Add(pushRepeatDelay)
	m.sendPushes()
}

func (m *Machine) sendPushes() {
	sameRegion := func(r *record) bool {
		return r.state() != pond.InstanceGone && r.instance.Region() == m.self.instance.Region()
	}
	notGone := func(r *record) bool { return r.state() != pond.InstanceGone }
	chosen := m.choosePushTargets(nil, pushFanout/2, sameRegion)
	chosen = m.choosePushTargets(chosen, pushFanout, notGone)
	for _, r := range chosen {
		m.send(r.address(), &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PUSH}, r)
	}
	m.pushTargets = append(m.pushTargets, chosen...)
}

// choosePushTargets extends chosen to n members that pass the filter. Members that the current series was not sent to
// come first. In a small region the repetitions go to the same members again, which compensates for lost datagrams.
func (m *Machine) choosePushTargets(chosen []*record, n int, filter func(*record) bool) []*record {
	untargeted := m.sample(n-len(chosen), func(r *record) bool {
		return filter(r) && !slices.Contains(chosen, r) && !slices.Contains(m.pushTargets, r)
	})
	chosen = append(chosen, untargeted...)
	repeated := m.sample(n-len(chosen), func(r *record) bool { return filter(r) && !slices.Contains(chosen, r) })
	return append(chosen, repeated...)
}

// send completes a datagram and adds it to the outgoing ones. If the receiver is suspect, gone or disputed, the
// datagram says so before other updates, so that the receiver can refute.
func (m *Machine) send(address string, d *peerpb.Datagram, to *record) {
	d.Sender = m.self.encodeFull()
	d.Release = peerpb.Release
	d.Manifest = m.manifest
	if to != nil {
		d.Members = appendSuspicion(d.Members, to)
	}
	m.updates.fill(d)
	m.outgoing = append(m.outgoing, Outgoing{Address: address, Datagram: d})
}

func appendSuspicion(members []*peerpb.Member, to *record) []*peerpb.Member {
	if !to.disputed && to.state() != pond.InstanceSuspect && to.state() != pond.InstanceGone {
		return members
	}
	e := to.encodeCompact()
	if to.disputed {
		e.State = uint32(pond.InstanceGone)
	}
	return append(members, e)
}

func (m *Machine) takeOutgoing() []Outgoing {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// sample returns up to n random members that pass the filter.
func (m *Machine) sample(n int, filter func(*record) bool) []*record {
	if len(m.members) == 0 || n <= 0 {
		return nil
	}
	var chosen []*record
	start := m.random.IntN(len(m.members))
	// A random start and a random stride coprime to the length visit each member once, in a different order for each
	// call, without a shuffle.
	stride := 1 + m.random.IntN(len(m.members))
	for gcd(stride, len(m.members)) != 1 {
		stride++
	}
	for i := range m.members {
		r := m.members[(start+i*stride)%len(m.members)]
		if !filter(r) {
			continue
		}
		if chosen = append(chosen, r); len(chosen) == n {
			break
		}
	}
	return chosen
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// nextDue returns the next time of a periodic action. Intervals missed during a delay are skipped.
func nextDue(due time.Time, interval time.Duration, now time.Time) time.Time {
	if next := due.Add(interval); next.After(now) {
		return next
	}
	return now.Add(interval)
}

func compareID(a, b pond.InstanceID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
