package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestMachine() *Machine {
	ref := pond.InstanceRef{ID: "self", Incarnation: 1}
	self := pond.NewInstance(ref, pond.InstanceLive, "127.0.0.1:1", "127.0.0.1:2", "norte-1", "norte")
	return NewMachine(self, rand.New(rand.NewPCG(1, 1)), testStart)
}

func report(incarnation, version uint64, state pond.InstanceState) *peerpb.Member {
	return &peerpb.Member{Id: "other", Incarnation: incarnation, Version: version, State: uint32(state),
		HttpAddress: "127.0.0.2:1", PeerAddress: "127.0.0.2:2", DataCentre: "norte-1", Region: "norte"}
}

// TestMerge guards against reports that override newer ones: an older version of the same incarnation, or another
// incarnation that did not answer a probe itself.
func TestMerge(t *testing.T) {
	const live, suspect, leaving, gone = pond.InstanceLive, pond.InstanceSuspect, pond.InstanceLeaving, pond.InstanceGone
	tests := []struct {
		name        string
		known, next *peerpb.Member
		directAck   bool
		state       pond.InstanceState
		incarnation pond.Incarnation
	}{
		{name: "older version", known: report(5, 3, live), next: report(5, 2, gone), state: live, incarnation: 5},
		{name: "suspicion", known: report(5, 3, live), next: report(5, 3, suspect), state: suspect, incarnation: 5},
		{name: "refutation", known: report(5, 3, suspect), next: report(5, 4, live), state: live, incarnation: 5},
		{name: "repeated old live", known: report(5, 3, suspect), next: report(5, 3, live), state: suspect, incarnation: 5},
		{name: "gone after suspicion", known: report(5, 3, suspect), next: report(5, 3, gone), state: gone, incarnation: 5},
		{name: "gone according to another member", known: report(5, 3, live), next: report(5, 3, gone), state: live, incarnation: 5},
		{name: "leaving", known: report(5, 3, live), next: report(5, 4, leaving), state: leaving, incarnation: 5},
		{name: "suspicion of leaving", known: report(5, 4, leaving), next: report(5, 4, suspect), state: leaving, incarnation: 5},
		{name: "indirect report of a restart", known: report(5, 3, live), next: report(4, 9, live), state: live, incarnation: 5},
		{name: "direct ack after a restart", known: report(5, 3, live), next: report(4, 1, live), directAck: true, state: live, incarnation: 4},
		{name: "other incarnation gone", known: report(5, 3, live), next: report(4, 9, gone), directAck: false, state: live, incarnation: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMachine()
			m.merge(testStart, test.known, false)
			m.merge(testStart, test.next, test.directAck)
			r := m.records["other"]
			if r.state() != test.state || r.incarnation() != test.incarnation {
				t.Errorf("state %s of incarnation %d, want %s of %d", r.state(), r.incarnation(), test.state, test.incarnation)
			}
		})
	}
}

// TestRefute guards against an instance that does not refute a report that it is gone.
func TestRefute(t *testing.T) {
	m := newTestMachine()
	out := m.Receive(testStart, "127.0.0.2:2", &peerpb.Datagram{
		Kind:    peerpb.Datagram_KIND_PROBE,
		Sender:  report(5, 1, pond.InstanceLive),
		Members: []*peerpb.Member{{Id: "self", Incarnation: 1, Version: 7, State: uint32(pond.InstanceGone)}},
	})
	if len(out) != 1 || out[0].Datagram.GetSender().GetVersion() != 8 {
		t.Errorf("datagrams %v, want one ack with version 8", out)
	}
}

// TestReleases guards against a release that another instance tells, which may be of a release that drops it, against one that is kept over a
// restart, and against decisions by what an instance states that changes it without one.
func TestReleases(t *testing.T) {
	type datagram struct {
		incarnation uint64
		release     uint32
	}
	tests := []struct {
		name string
		sent []datagram
		want Release
	}{
		{"none", nil, Release{}},
		{"former release", []datagram{{5, 0}}, Release{Number: 0, Heard: true}},
		{"this release", []datagram{{5, 1}, {5, 1}}, Release{Number: 1, Heard: true}},
		{"later release", []datagram{{5, 99}}, Release{Number: 99, Heard: true}},
		{"upgrade", []datagram{{5, 0}, {6, 1}}, Release{Number: 1, Heard: true}},
		{"back", []datagram{{5, 1}, {6, 0}}, Release{Number: 0, Heard: true}},
		{"changed without a restart", []datagram{{5, 1}, {5, 2}, {5, 1}}, Release{Number: peerpb.OldestRelease, Heard: true, Unsteady: true}},
		{"restarted after that", []datagram{{5, 1}, {5, 2}, {6, 2}}, Release{Number: 2, Heard: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMachine()
			m.merge(testStart, report(5, 1, pond.InstanceLive), false)
			for _, sent := range test.sent {
				// The ack to a probe shows that the new incarnation is there.
				m.sequence++
				m.probes[m.sequence] = &probe{address: "127.0.0.2:2", deadline: testStart.Add(time.Second)}
				m.Receive(testStart, "127.0.0.2:2", &peerpb.Datagram{
					Kind: peerpb.Datagram_KIND_ACK, Sequence: m.sequence, Sender: report(sent.incarnation, 1, pond.InstanceLive), Release: sent.release,
				})
			}
			if got := m.Releases()["other"]; got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
	if out := newTestMachine().Receive(testStart, "127.0.0.2:2", &peerpb.Datagram{
		Kind: peerpb.Datagram_KIND_PROBE, Sender: report(5, 1, pond.InstanceLive),
	}); len(out) != 1 || out[0].Datagram.GetRelease() != peerpb.Release {
		t.Errorf("datagrams %v, want one that states release %d", out, peerpb.Release)
	}
}

// TestRestartReplacesGone guards against a restarted instance that is never accepted because it cannot be probed
// directly, although its earlier incarnation is gone.
func TestRestartReplacesGone(t *testing.T) {
	m := newTestMachine()
	m.merge(testStart, report(5, 3, pond.InstanceSuspect), false)
	m.merge(testStart, report(5, 3, pond.InstanceGone), false)
	m.merge(testStart, report(4, 1, pond.InstanceLive), false)
	if r := m.records["other"]; r.state() != pond.InstanceLive || r.incarnation() != 4 {
		t.Errorf("state %s of incarnation %d, want live of 4", r.state(), r.incarnation())
	}
	m.merge(testStart, report(5, 9, pond.InstanceLive), false)
	if r := m.records["other"]; r.incarnation() != 4 || len(m.conflicts) != 0 {
		t.Errorf("late report of the replaced incarnation: incarnation %d, %d conflicts", r.incarnation(), len(m.conflicts))
	}
}

// TestDatagramSize guards against datagrams that exceed the size limit when the update queue is full.
func TestDatagramSize(t *testing.T) {
	network, err := peer.NewNetwork([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	m := newTestMachine()
	m.AnnounceManifest(&peerpb.ManifestVersion{Number: 1 << 60, Revision: 1 << 60, Hash: 1, Confirmed: true})
	for i := range 400 {
		e := report(uint64(i), 1, pond.InstanceLive)
		e.Id = fmt.Sprintf("instance-with-a-long-name-%d", i)
		m.merge(testStart, e, false)
		m.mergeNotice(&peerpb.BackendNotice{Backend: fmt.Sprintf("backend-%d", i), State: uint32(BackendLeaving), Serial: 1})
	}
	sent := 0
	for i := range 100 {
		for _, o := range m.Tick(testStart.Add(time.Duration(i) * TickInterval)) {
			if _, err := network.Seal(o.Datagram); err != nil {
				t.Fatalf("datagram with %d bytes: %v", proto.Size(o.Datagram), err)
			}
			sent++
		}
	}
	if sent < 9 {
		t.Errorf("%d datagrams in ten seconds, want a probe each second", sent)
	}
}

type fixedDirectory []pond.Instance

func (d fixedDirectory) Self() pond.Instance        { return d[0] }
func (d fixedDirectory) Instances() []pond.Instance { return d }

// TestRank guards against ranks that change when another instance leaves, and against leaving instances in the ranking.
func TestRank(t *testing.T) {
	var all fixedDirectory
	for i := range 20 {
		state := pond.InstanceLive
		if i >= 18 {
			state = pond.InstanceLeaving
		}
		region := []string{"norte", "sul"}[i%2]
		ref := pond.InstanceRef{ID: pond.InstanceID(fmt.Sprintf("entry-%d", i))}
		all = append(all, pond.NewInstance(ref, state, "", "", region+"-1", region))
	}
	ranked := Rank(all, "pool/letter/norte", InRegion("norte"))
	if len(ranked) != 9 {
		t.Fatalf("%d ranked instances, want 9", len(ranked))
	}
	var without fixedDirectory
	for _, i := range all {
		if i.ID() != ranked[4].ID() {
			without = append(without, i)
		}
	}
	for i, instance := range Rank(without, "pool/letter/norte", InRegion("norte"), InDataCentre("norte-1")) {
		want := ranked[i]
		if i >= 4 {
			want = ranked[i+1]
		}
		if instance.ID() != want.ID() {
			t.Errorf("rank %d without %s is %s, want %s", i, ranked[4].ID(), instance.ID(), want.ID())
		}
	}
}

// TestPushSeries guards against a notice whose sends are used up before the series of pushes has reached every member of
// the sender's region. This happened while members of another region were unreachable but not yet gone.
func TestPushSeries(t *testing.T) {
	for seed := range uint64(50) {
		m := newTestMachine()
		m.random = rand.New(rand.NewPCG(seed, 1))
		want := make(map[string]bool)
		for i := range 9 {
			e := report(uint64(i), 1, pond.InstanceLive)
			e.Id, e.PeerAddress = fmt.Sprintf("entry-%d", i), fmt.Sprintf("127.0.1.%d:2", i)
			if e.Region = []string{"norte", "norte", "sul"}[i%3]; e.Region == "norte" {
				want[e.PeerAddress] = true
			}
			m.merge(testStart, e, false)
		}
		out := m.AnnounceBackend("letter-0", BackendLeaving)
		for i := range 10 {
			out = append(out, m.Tick(testStart.Add(time.Duration(i)*TickInterval))...)
		}
		for _, o := range out {
			if o.Datagram.GetKind() == peerpb.Datagram_KIND_PUSH && len(o.Datagram.GetBackends()) == 1 {
				delete(want, o.Address)
			}
		}
		if len(want) > 0 {
			t.Errorf("seed %d: no push of the notice to %v", seed, want)
		}
	}
}

// TestStarting guards against an instance that has just started and passes for ready, because the report that says so is lost on the way or comes from a
// former release, which drops it; and against one that is ready and passes for starting.
func TestStarting(t *testing.T) {
	live := func(version uint64, starting bool) *peerpb.Member {
		e := report(5, version, pond.InstanceLive)
		e.Starting = starting
		return e
	}
	compact := func(e *peerpb.Member) *peerpb.Member {
		return &peerpb.Member{Id: e.GetId(), Incarnation: e.GetIncarnation(), Version: e.GetVersion(), State: e.GetState(), Starting: e.GetStarting()}
	}
	suspect := report(5, 1, pond.InstanceSuspect)
	restarted := report(6, 1, pond.InstanceLive)
	restarted.Starting = true
	tests := []struct {
		name      string
		reports   []*peerpb.Member
		directAck bool
		want      bool
	}{
		{name: "former release", reports: []*peerpb.Member{live(1, false)}},
		{name: "starting", reports: []*peerpb.Member{live(1, true)}, want: true},
		{name: "ready", reports: []*peerpb.Member{live(1, true), live(2, false)}},
		{name: "ready, told in short", reports: []*peerpb.Member{live(1, true), compact(live(2, false))}},
		{name: "late report", reports: []*peerpb.Member{live(2, false), live(1, true)}},
		{name: "a former release tells it first", reports: []*peerpb.Member{live(1, false), live(1, true)}, want: true},
		{name: "a former release tells it later", reports: []*peerpb.Member{live(1, true), live(1, false)}, want: true},
		{name: "a former release suspects it", reports: []*peerpb.Member{live(1, true), suspect}, want: true},
		{name: "suspected and then told", reports: []*peerpb.Member{suspect, live(1, true)}, want: true},
		{name: "refutes a suspicion", reports: []*peerpb.Member{live(1, true), suspect, live(2, true)}, want: true},
		{name: "restart", reports: []*peerpb.Member{live(2, false), restarted}, directAck: true, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMachine()
			for _, e := range test.reports {
				before, changes := m.starting("other"), m.Changes()
				m.merge(testStart, e, test.directAck)
				if m.starting("other") != before && m.Changes() == changes {
					t.Error("a change is not counted")
				}
			}
			if got := m.starting("other"); got != test.want {
				t.Errorf("starting is %v, want %v", got, test.want)
			}
		})
	}
}

// starting reports whether a member that is not gone is known to be starting.
func (m *Machine) starting(id pond.InstanceID) bool {
	return slices.ContainsFunc(m.Instances(), func(i pond.Instance) bool { return i.ID() == id && i.Starting() })
}

// TestAnnounceReady guards against an instance that is ready and is not known to be, against messages beside those that are sent anyway, and against
// more than one new version of its record for each start.
func TestAnnounceReady(t *testing.T) {
	m := newStartingMachine("self", 1)
	m.merge(testStart, report(5, 1, pond.InstanceLive), false)
	if !m.Self().Starting() || !m.SyncRequest().GetMembers()[0].GetStarting() {
		t.Fatal("the instance does not say that it is starting")
	}
	version, changes := m.self.version, m.Changes()
	for range 3 {
		m.AnnounceReady()
	}
	if len(m.outgoing) > 0 {
		t.Errorf("%d datagrams, want none", len(m.outgoing))
	}
	if m.Self().Starting() || m.self.version != version+1 || m.Changes() == changes {
		t.Errorf("starting %v, version %d, want not starting and one version after %d", m.Self().Starting(), m.self.version, version)
	}
	m.Leave()
	m.AnnounceReady()
	if m.Self().State() != pond.InstanceLeaving {
		t.Errorf("an instance that leaves is %s", m.Self().State())
	}
}

// TestReadyUpdateHasAddresses guards against an update without addresses in place of the one that tells of a start: members that do not know the instance
// yet would not learn of it.
func TestReadyUpdateHasAddresses(t *testing.T) {
	started := report(5, 1, pond.InstanceLive)
	started.Starting = true
	tests := []struct {
		name string
		next *peerpb.Member
	}{
		{"told in full", report(5, 2, pond.InstanceLive)},
		{"told in short", &peerpb.Member{Id: "other", Incarnation: 5, Version: 2, State: uint32(pond.InstanceLive)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMachine()
			m.merge(testStart, started, false)
			m.merge(testStart, test.next, false)
			newcomer := NewMachine(pond.NewInstance(pond.InstanceRef{ID: "newcomer"}, pond.InstanceLive, "", "127.0.0.3:2", "norte-1", "norte"),
				rand.New(rand.NewPCG(1, 1)), testStart)
			for _, u := range m.updates.updates {
				newcomer.merge(testStart, u.member, false)
			}
			if r := newcomer.records["other"]; r == nil || r.instance.Starting() || r.version != 2 {
				t.Errorf("a member that gets the updates knows %v, want the instance, ready", r)
			}
		})
	}
}

// TestReadinessAddsFewBytes guards against entries that are larger while instances are ready.
func TestReadinessAddsFewBytes(t *testing.T) {
	m := newStartingMachine("self", 1)
	starting := proto.Size(m.self.encodeCompact())
	m.AnnounceReady()
	if ready := proto.Size(m.self.encodeCompact()); starting != ready+2 {
		t.Errorf("an entry has %d bytes while the instance starts and %d when it is ready, want 2 more", starting, ready)
	}
}

// TestReadinessSpreads guards against readiness that takes much longer to be known than the instance itself, and against one that crowds out
// other updates when a whole site starts at once.
func TestReadinessSpreads(t *testing.T) {
	tests := []struct {
		name string
		// readyAt returns when an instance becomes ready after the start of the site; 0 for before.
		readyAt func(instance int) time.Duration
		limit   time.Duration // from the last one's readiness to the time when all know it of all
	}{
		{"one is ready late", func(instance int) time.Duration {
			if instance > 0 {
				return 0
			}
			return 5 * time.Second
		}, 5 * time.Second},
		{"all start at once", func(instance int) time.Duration { return time.Second + time.Duration(instance)*10*time.Millisecond }, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const size = 295
			s := newTestSite(size)
			last := time.Duration(0)
			for number := range s.machines {
				if at := test.readyAt(number); at > last {
					last = at
				}
			}
			for now := time.Duration(0); ; now += TickInterval {
				for number, m := range s.machines {
					if now >= test.readyAt(number) {
						m.AnnounceReady()
					}
				}
				s.step(testStart.Add(now))
				known := s.knownReady()
				if now >= last && known == size*(size-1) {
					t.Logf("all know all %v after the last one is ready; %.0f bytes a second sent by each", now-last, float64(s.sentBytes)/size/(now.Seconds()+0.1))
					return
				}
				if now >= last+test.limit {
					t.Fatalf("%d of %d known %v after the last one is ready", known, size*(size-1), test.limit)
				}
			}
		})
	}
}

// TestSynchronisationAtRest guards against instances that exchange their whole tables again and again although nothing has changed. Those of the
// platform have no manifest that could be confirmed, and did so twice a second for as long as they ran.
func TestSynchronisationAtRest(t *testing.T) {
	const limit = 2500 // bytes a second of each instance
	for _, size := range []int{9, 71, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newTestSite(size)
			const settled, watched = 15 * time.Second, 15 * time.Second
			for now := time.Duration(0); now < settled+watched; now += TickInterval {
				if now == settled {
					s.syncBytes = 0
				}
				if now == time.Second {
					for _, m := range s.machines {
						m.AnnounceReady()
					}
				}
				s.step(testStart.Add(now))
			}
			each := float64(s.syncBytes) / watched.Seconds() / float64(size)
			t.Logf("%.0f bytes a second by each", each)
			if each > limit {
				t.Errorf("each instance takes %.0f bytes a second to synchronise, at most %d are allowed", each, limit)
			}
		})
	}
}

// testSite is a site of machines that exchange datagrams without loss, and tables as Member does.
type testSite struct {
	machines  []*Machine
	byAddress map[string]*Machine
	sentBytes int
	// syncBytes are those of the synchronisations.
	syncBytes int
}

func newStartingMachine(name string, number int) *Machine {
	ref := pond.InstanceRef{ID: pond.InstanceID(name), Incarnation: 1}
	self := pond.NewInstance(ref, pond.InstanceLive, fmt.Sprintf("127.0.%d.%d:8740", number/250, number%250), fmt.Sprintf("127.0.%d.%d:7200", number/250, number%250),
		"norte-1", "norte").WithStarting(true)
	// Generators of the type PCG with neighbouring seeds are correlated: all machines left out the same member for 9 s.
	return NewMachine(self, rand.New(rand.NewChaCha8([32]byte{byte(number), byte(number >> 8), 1})), testStart)
}

// newTestSite returns a site whose instances know the first three as seeds.
func newTestSite(size int) *testSite {
	s := &testSite{byAddress: make(map[string]*Machine)}
	var seeds []string
	for number := range size {
		m := newStartingMachine(fmt.Sprintf("instance-%03d", number), number)
		s.machines = append(s.machines, m)
		s.byAddress[m.self.address()] = m
		if len(seeds) < 3 {
			seeds = append(seeds, m.self.address())
		}
	}
	for _, m := range s.machines {
		m.SetSeeds(seeds)
	}
	return s
}

// step runs all machines for a tick. Datagrams arrive at once.
func (s *testSite) step(now time.Time) {
	for _, m := range s.machines {
		s.deliver(now, m, m.Tick(now))
		address, due := m.SyncDue(now)
		if !due {
			continue
		}
		if s.byAddress[address] == nil {
			m.SyncFailed(now)
			continue
		}
		req := m.SyncRequest()
		resp, out := s.byAddress[address].HandleSync(now, req)
		s.syncBytes += proto.Size(req) + proto.Size(resp)
		s.deliver(now, s.byAddress[address], out)
		s.deliver(now, m, m.ApplySyncResponse(now, address, resp))
	}
}

func (s *testSite) deliver(now time.Time, from *Machine, out []Outgoing) {
	for _, o := range out {
		s.sentBytes += proto.Size(o.Datagram)
		if to := s.byAddress[o.Address]; to != nil {
			s.deliver(now, to, to.Receive(now, from.self.address(), proto.Clone(o.Datagram).(*peerpb.Datagram)))
		}
	}
}

// knownReady returns the number of pairs of instances of which the first knows that the second is ready.
func (s *testSite) knownReady() int {
	known := 0
	for _, m := range s.machines {
		for _, r := range m.members {
			if r.state() == pond.InstanceLive && !r.instance.Starting() {
				known++
			}
		}
	}
	return known
}

// remove ends instances without notice: they answer nothing any more.
func (s *testSite) remove(machines ...*Machine) {
	for _, m := range machines {
		delete(s.byAddress, m.self.address())
	}
	s.machines = slices.DeleteFunc(s.machines, func(m *Machine) bool { return slices.Contains(machines, m) })
}

// TestEndedInstancesAreNotLive guards against instances that ended, were killed or were removed and that others still hold for live 8 s later.
// Lookups name live instances, and a caller that gets such an address loses a request.
func TestEndedInstancesAreNotLive(t *testing.T) {
	const size, limit, watched = 77, 8 * time.Second, 30 * time.Second
	tests := []struct {
		name  string
		ended []int // numbers of the instances; the first three are seeds
		leave bool  // announce that they leave, one tick before they end
		// joins is when an instance starts that learns of the others from seeds; zero for none.
		joins time.Duration
	}{
		{name: "one is killed", ended: []int{40}},
		{name: "a seed is killed", ended: []int{0}},
		{name: "one leaves and ends", ended: []int{40}, leave: true},
		{name: "a data centre is killed", ended: []int{1, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21}},
		{name: "half are killed", ended: []int{2, 40, 41, 42, 43, 44, 45, 46, 47, 48, 49, 50, 51, 52, 53, 54, 55, 56, 57, 58, 59, 60, 61, 62, 63, 64, 65, 66, 67, 68, 69, 70, 71, 72, 73, 74, 75, 76}},
		{name: "killed as another one joins", ended: []int{40, 41}, joins: 500 * time.Millisecond},
		{name: "another one joins later", ended: []int{40, 41}, joins: 9 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSite(size)
			var ended []*Machine
			var ids []pond.InstanceID
			for _, number := range test.ended {
				ended, ids = append(ended, s.machines[number]), append(ids, s.machines[number].self.id())
			}
			begin := testStart
			for ; begin.Before(testStart.Add(10 * time.Second)); begin = begin.Add(TickInterval) {
				s.step(begin)
			}
			if test.leave {
				for _, m := range ended {
					s.deliver(begin, m, m.Leave())
				}
			}
			s.remove(ended...)
			latest := time.Duration(0)
			for elapsed := time.Duration(0); elapsed <= watched; elapsed += TickInterval {
				if test.joins > 0 && elapsed == test.joins {
					m := newStartingMachine("late", size)
					m.SetSeeds(s.machines[len(s.machines)-1].Seeds())
					s.machines = append(s.machines, m)
					s.byAddress[m.self.address()] = m
				}
				s.step(begin.Add(elapsed))
				for _, m := range s.machines {
					for _, r := range m.members {
						if slices.Contains(ids, r.id()) && r.state() == pond.InstanceLive {
							latest = elapsed
						}
					}
				}
			}
			t.Logf("last held for live %v after the end", latest)
			if latest > limit {
				t.Errorf("an instance was held for live %v after it ended, at most %v are allowed", latest, limit)
			}
		})
	}
}
