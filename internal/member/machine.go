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
	probeInterval = time.Second
	// directTimeout leaves room for ten times the round trip between regions of a busy link.
	directTimeout = 300 * time.Millisecond
	probeTimeout  = 900 * time.Millisecond
	// indirectProbes is the number of members asked to probe a silent member.
	indirectProbes = 3
	// suspectProbes is the number of suspect members probed again each second.
	suspectProbes = 2
	// pushFanout sends of each of n members reach all but about e^-4 of them; probes reach the rest.
	pushFanout = 4
	// Pushes are repeated twice to other members, half of each within the own region. During the first seconds of a partition most members
	// still look live but cannot be reached, and a single push would miss a large part of the own region.
	pushRepeats       = 2
	pushRepeatDelay   = 400 * time.Millisecond
	goneProbeInterval = 10 * time.Second
	// aloneProbeInterval is the time between probes of seeds while no other member is live.
	aloneProbeInterval = 500 * time.Millisecond
	aloneProbes        = 4
	syncInterval       = 30 * time.Second
	syncDelay          = 250 * time.Millisecond
	// unsyncedInterval is the time between synchronisations until one with a ready member has succeeded.
	unsyncedInterval = 500 * time.Millisecond
	// hintInterval limits probes caused by contradicting reports to a few hundred bytes a second. After a partition
	// each instance has about one hint for each member of the other region.
	hintInterval    = 200 * time.Millisecond
	hintRepeat      = 10 * time.Second
	maxHints        = 1024
	suspicionBase   = 3 * time.Second
	suspicionPerLog = 500 * time.Millisecond
	// forgetAfter keeps gone members as candidates over the longest expected partition of regions.
	forgetAfter = 24 * time.Hour
	// maxNotices bounds the table of notices at several times the expected number of backend servers.
	maxNotices = 8192
	// pauseLimit is the lateness of a tick that counts as a pause of the process. What was pending then proves nothing
	// about other members.
	pauseLimit = 2 * time.Second
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
	order   []*record
	next    int

	sequence uint64
	probes   map[uint64]*probe
	relays   map[uint64]relay
	hints    []hint
	seeds    []string

	updates  updateQueue
	notices  map[string]*peerpb.BackendNotice
	manifest *peerpb.ManifestVersion
	out      []Outgoing

	lastTick      time.Time
	nextProbe     time.Time
	nextGoneProbe time.Time
	nextAlone     time.Time
	nextHint      time.Time
	nextPush      time.Time
	pushesLeft    int
	// pushed are the members that the current series of pushes has reached.
	pushed   []*record
	nextSync time.Time
	syncWith string
	synced   bool
	// syncing is true while a table of another member is merged. Its records are not queued as updates: at 350 members
	// the datagrams would be full for minutes after a mass start with what everybody gets by synchronisation too.
	syncing bool
	changes uint64
	// nextExpiry is at or before the earliest deadline in the table; zero for none.
	nextExpiry time.Time
}

// probe is a probe that waits for its ack. ref is zero if only the address is known.
type probe struct {
	ref      pond.InstanceRef
	address  string
	indirect time.Time
	deadline time.Time
}

// hint is a member that should be probed, at the address that a report gave.
type hint struct {
	id      pond.InstanceID
	address string
}

// relay is a probe made for another member.
type relay struct {
	address  string
	sequence uint64
	target   string
	deadline time.Time
}

// NewMachine returns the machine of an instance that knows only itself.
func NewMachine(self pond.Instance, random *rand.Rand, now time.Time) *Machine {
	own := &record{instance: self, version: 1}
	own.setState(pond.InstanceLive)
	jitter := time.Duration(random.Int64N(int64(probeInterval)))
	return &Machine{
		random: random,
		self:   own,
		// A random start keeps late acks to an earlier process of the same address from matching a probe.
		sequence:      uint64(random.Uint32()),
		records:       make(map[pond.InstanceID]*record),
		probes:        make(map[uint64]*probe),
		relays:        make(map[uint64]relay),
		notices:       make(map[string]*peerpb.BackendNotice),
		lastTick:      now,
		nextProbe:     now.Add(jitter),
		nextGoneProbe: now.Add(goneProbeInterval + jitter),
		nextAlone:     now,
		nextSync:      now.Add(syncInterval + jitter),
		changes:       1,
	}
}

// Self returns this instance.
func (m *Machine) Self() pond.Instance { return m.self.instance }

// Changes returns a number that grows whenever Instances or Backends may give another result.
func (m *Machine) Changes() uint64 { return m.changes }

// Instances returns this instance and all members that are not gone, ordered by name.
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

// Tick advances timers. It must be called every TickInterval.
func (m *Machine) Tick(now time.Time) []Outgoing {
	if now.Sub(m.lastTick) > pauseLimit {
		m.resume(now)
	}
	m.lastTick = now
	m.expireProbes(now)
	m.expireRecords(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = later(m.nextProbe, probeInterval, now)
		m.probeNext(now)
		m.probeSuspects(now)
	}
	if !now.Before(m.nextGoneProbe) {
		m.nextGoneProbe = now.Add(goneProbeInterval)
		m.probeAbsent(now)
	}
	if !now.Before(m.nextAlone) && m.alone() {
		m.nextAlone = now.Add(aloneProbeInterval)
		m.probeSeeds(now)
	}
	m.probeHint(now)
	m.pushAgain(now)
	return m.drain()
}

// Receive handles a datagram that arrived from the given peer address.
func (m *Machine) Receive(now time.Time, from string, d *peerpb.Datagram) []Outgoing {
	sender := d.GetSender()
	if !validState(sender) || pond.InstanceID(sender.GetId()) == m.self.id() {
		return nil
	}
	answered := m.answered(from, d)
	m.merge(now, sender, answered)
	if r := m.records[pond.InstanceID(sender.GetId())]; r != nil && r.instance.Ref() == refOf(sender) {
		r.ready = d.GetManifest().GetConfirmed()
	}
	m.mergeAll(now, d.GetMembers(), d.GetBackends(), true)
	m.dispatch(now, from, d)
	return m.drain()
}

func (m *Machine) dispatch(now time.Time, from string, d *peerpb.Datagram) {
	switch d.GetKind() {
	case peerpb.Datagram_KIND_PROBE:
		m.send(from, &peerpb.Datagram{Kind: peerpb.Datagram_KIND_ACK, Sequence: d.GetSequence()},
			m.records[pond.InstanceID(d.GetSender().GetId())])
	case peerpb.Datagram_KIND_PROBE_VIA:
		m.relayProbe(now, from, d)
	case peerpb.Datagram_KIND_ACK:
		m.acknowledge(from, d)
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
	m.push()
	return m.drain()
}

// AnnounceManifest sets the manifest version that all datagrams carry. It is pushed at once if the version differs.
func (m *Machine) AnnounceManifest(v *peerpb.ManifestVersion) []Outgoing {
	old := m.manifest
	m.manifest = v
	if old.GetNumber() == v.GetNumber() && old.GetRevision() == v.GetRevision() && old.GetHash() == v.GetHash() {
		return nil
	}
	m.push()
	return m.drain()
}

// NoticeBackend tells all members about a backend server. A notice that repeats what is known is dropped.
func (m *Machine) NoticeBackend(backend string, state BackendState) []Outgoing {
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
	m.push()
	return m.drain()
}

// BackendState returns what members told about a backend server.
func (m *Machine) BackendState(backend string) BackendState {
	return BackendState(m.notices[backend].GetState())
}

// Backends returns what members told about backend servers.
func (m *Machine) Backends() map[string]BackendState {
	backends := make(map[string]BackendState, len(m.notices))
	for name, n := range m.notices {
		backends[name] = BackendState(n.GetState())
	}
	return backends
}

// SetSeeds replaces the peer addresses that may be probed without being in the table.
func (m *Machine) SetSeeds(addresses []string) { m.seeds = slices.Clone(addresses) }

// Seeds returns the addresses given to SetSeeds.
func (m *Machine) Seeds() []string { return m.seeds }

// alone reports whether no other member is live or suspect.
func (m *Machine) alone() bool {
	for _, r := range m.order {
		if r.state() != pond.InstanceGone {
			return false
		}
	}
	return true
}

// resume forgets what was pending before a pause of the process, restarts suspicion deadlines and synchronises, because
// updates sent during the pause may be lost.
func (m *Machine) resume(now time.Time) {
	m.synced = false
	m.nextSync = now
	clear(m.probes)
	clear(m.relays)
	for _, r := range m.records {
		if !r.deadline.IsZero() {
			m.startDeadline(now, r)
		}
	}
}

func (m *Machine) suspicionTimeout() time.Duration {
	return suspicionBase + time.Duration(math.Log2(float64(m.size()))*float64(suspicionPerLog))
}

func (m *Machine) size() int { return len(m.records) + 1 }

// push sends the pending updates to random members now and schedules the repetitions.
func (m *Machine) push() {
	m.pushesLeft = pushRepeats
	m.pushed = nil
	m.nextPush = m.lastTick.Add(pushRepeatDelay)
	m.pushOnce()
}

func (m *Machine) pushAgain(now time.Time) {
	if m.pushesLeft == 0 || now.Before(m.nextPush) {
		return
	}
	m.pushesLeft--
	m.nextPush = now.Add(pushRepeatDelay)
	m.pushOnce()
}

func (m *Machine) pushOnce() {
	near := func(r *record) bool {
		return r.state() != pond.InstanceGone && r.instance.Region() == m.self.instance.Region()
	}
	present := func(r *record) bool { return r.state() != pond.InstanceGone }
	chosen := m.choosePushed(nil, pushFanout/2, near)
	chosen = m.choosePushed(chosen, pushFanout, present)
	for _, r := range chosen {
		m.send(r.address(), &peerpb.Datagram{Kind: peerpb.Datagram_KIND_PUSH}, r)
	}
	m.pushed = append(m.pushed, chosen...)
}

// choosePushed extends chosen to n members that pass the filter, first those that this series has not reached yet. In a
// small region the later pushes reach the same members again, which makes up for lost datagrams.
func (m *Machine) choosePushed(chosen []*record, n int, filter func(*record) bool) []*record {
	fresh := m.sample(n-len(chosen), func(r *record) bool {
		return filter(r) && !slices.Contains(chosen, r) && !slices.Contains(m.pushed, r)
	})
	chosen = append(chosen, fresh...)
	again := m.sample(n-len(chosen), func(r *record) bool { return filter(r) && !slices.Contains(chosen, r) })
	return append(chosen, again...)
}

// send completes a datagram and adds it to the output. A receiver that is not live in the table is told so first, so
// that it can refute.
func (m *Machine) send(address string, d *peerpb.Datagram, to *record) {
	d.Sender = m.self.full()
	d.Manifest = m.manifest
	if to != nil {
		d.Members = appendSuspicion(d.Members, to)
	}
	m.updates.fill(d)
	m.out = append(m.out, Outgoing{Address: address, Datagram: d})
}

func appendSuspicion(members []*peerpb.Member, to *record) []*peerpb.Member {
	if !to.disputed && to.state() != pond.InstanceSuspect && to.state() != pond.InstanceGone {
		return members
	}
	e := to.compact()
	if to.disputed {
		e.State = uint32(pond.InstanceGone)
	}
	return append(members, e)
}

func (m *Machine) drain() []Outgoing {
	out := m.out
	m.out = nil
	return out
}

// sample returns up to n random members that pass the filter.
func (m *Machine) sample(n int, filter func(*record) bool) []*record {
	if len(m.order) == 0 || n <= 0 {
		return nil
	}
	var chosen []*record
	start := m.random.IntN(len(m.order))
	// A random start and a random odd step visit members in a different order for each call without a shuffle.
	step := 1 + m.random.IntN(len(m.order))
	for gcd(step, len(m.order)) != 1 {
		step++
	}
	for i := range m.order {
		r := m.order[(start+i*step)%len(m.order)]
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

// later returns the next time of a periodic action, without catching up after a delay.
func later(due time.Time, interval time.Duration, now time.Time) time.Time {
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
