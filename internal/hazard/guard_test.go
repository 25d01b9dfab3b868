package hazard

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/dragonflypond/dragonflypond/internal/member"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// fleetOfGuards runs the guards of several instances that reach each other over pipes.
type fleetOfGuards struct {
	t   *testing.T
	ctx context.Context

	mu    sync.Mutex
	nodes []*node
	conns int             // connections made
	alive map[string]bool // engines that have not ended although they broke a request off
}

type node struct {
	fleet *fleetOfGuards
	self  pond.Instance
	guard *Guard
	down  bool // no connection in either direction works
	hangs bool // connections are accepted and never served
	stop  context.CancelFunc
}

// Instances implements pond.Directory.
func (n *node) Instances() []pond.Instance {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var instances []pond.Instance
	for _, other := range n.fleet.nodes {
		instances = append(instances, other.self)
	}
	return instances
}

// Self implements pond.Directory.
func (n *node) Self() pond.Instance { return n.self }

func (n *node) homes(part string) []pond.Instance { return member.Rank(n, "hazard/"+part) }

func newFleetOfGuards(t *testing.T, instances int) *fleetOfGuards {
	f := &fleetOfGuards{t: t, ctx: t.Context(), alive: make(map[string]bool)}
	for i := range instances {
		address := fmt.Sprint("peer-", i)
		ref := pond.InstanceRef{ID: pond.InstanceID(address), Incarnation: 1}
		n := &node{fleet: f, self: pond.NewInstance(ref, pond.InstanceLive, address, address, "north-a", "north")}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

// start gives the node a guard that knows nothing, as after a restart.
func (n *node) start() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	guard := NewGuard(Options{
		Self:    n.self.ID(),
		Homes:   n.homes,
		Peers:   n.Instances,
		Connect: n.connect,
		Client:  func(conn drpc.Conn) Client { return peerpb.NewDRPCHazardsClient(conn) },
		Judge:   (*Table).Check, RemembersSound: true,
		Ended: func(_ context.Context, engine string) bool {
			n.fleet.mu.Lock()
			defer n.fleet.mu.Unlock()
			return !n.fleet.alive[engine]
		},
		Clock: time.Now,
		Log:   log,
	})
	ctx, stop := context.WithCancel(n.fleet.ctx)
	n.fleet.mu.Lock()
	n.guard, n.stop = guard, stop
	n.fleet.mu.Unlock()
	go func() { _ = guard.Run(ctx) }()
}

func (n *node) connect(address string) drpc.Conn {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.fleet.conns++
	clientEnd, serverEnd := net.Pipe()
	i := slices.IndexFunc(n.fleet.nodes, func(other *node) bool { return other.self.PeerAddress() == address })
	other := n.fleet.nodes[i]
	if n.down || other.down {
		_ = serverEnd.Close()
		return drpcconn.New(clientEnd)
	}
	if other.hangs {
		return drpcconn.New(clientEnd)
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterHazards(mux, NewServer(other.guard)); err != nil {
		n.fleet.t.Error(err)
	}
	go func() { _ = drpcserver.New(mux).ServeOne(context.Background(), serverEnd) }()
	return drpcconn.New(clientEnd)
}

// calls returns the number of calls between the instances.
func (f *fleetOfGuards) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns
}

func (f *fleetOfGuards) setDown(n *node, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.down = down
}

// close stops all guards, so that no goroutine outlives the synctest bubble.
func (f *fleetOfGuards) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
}

func (f *fleetOfGuards) crash(n *node, engine string, parts ...string) {
	n.guard.Broke(NewReport(engine, 1, "1", true, parts))
}

// verdicts returns the number of instances with a verdict about a prompt.
func (f *fleetOfGuards) verdicts(verdict Verdict, parts ...string) int {
	n := 0
	for _, node := range f.nodes {
		if node.guard.Check(parts).Verdict() == verdict {
			n++
		}
	}
	return n
}

// TestCrashesKnownEverywhere guards against a count of crashes that one instance keeps for itself, or that is lost with an
// instance that is killed, cut off or restarted.
func TestCrashesKnownEverywhere(t *testing.T) {
	for _, instances := range []int{3, 9, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOfGuards(t, instances)
				defer f.close()
				time.Sleep(time.Second)
				cut := f.nodes[instances-1]
				f.setDown(cut, true)
				for i := range minCrashes {
					f.crash(f.nodes[i%(instances-1)], fmt.Sprint("engine-", i), "a", "bad")
				}
				f.nodes[0].guard.Begun([]string{"a"}, "1")
				time.Sleep(peerTimeout)
				if n := f.verdicts(VerdictRefuse, "x", "bad"); n != instances-1 {
					t.Errorf("%d of %d instances refuse the part half a second later", n, instances-1)
				}
				f.setDown(cut, false)
				f.nodes[0].stop()
				f.nodes[0].start() // It has reported some of the crashes.
				time.Sleep(3 * exchangeInterval)
				if n := f.verdicts(VerdictRefuse, "x", "bad"); n != instances {
					t.Errorf("%d of %d instances refuse the part after a restart and a cut", n, instances)
				}
				if n := f.verdicts(VerdictAdmit, "a", "good"); n != instances {
					t.Errorf("%d of %d instances admit the sound part", n, instances)
				}
			})
		})
	}
}

// TestClearingSpreads guards against a sound part that other instances go on to hold back.
func TestClearingSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfGuards(t, 9)
		defer f.close()
		f.nodes[3].guard.Begun([]string{"known"}, "1") // Before the crashes; nobody else knows.
		for i := range minCrashes {
			f.crash(f.nodes[i], fmt.Sprint("engine-", i), "a", "bad", "known")
		}
		time.Sleep(2 * peerTimeout)
		if n := f.verdicts(VerdictAdmit, "known"); n != 9 {
			t.Errorf("%d of 9 instances admit a part that one of them knew to be sound", n)
		}
		if n := f.verdicts(VerdictExperiment, "a"); n != 9 {
			t.Errorf("%d of 9 instances hold the part back", n)
		}
		f.nodes[7].guard.Begun([]string{"a"}, "1")
		time.Sleep(peerTimeout)
		if n := f.verdicts(VerdictAdmit, "a"); n != 9 {
			t.Errorf("%d of 9 instances admit the sound part half a second later", n)
		}
		if n := f.verdicts(VerdictRefuse, "bad"); n != 9 {
			t.Errorf("%d of 9 instances refuse the cause", n)
		}
	})
}

// TestExperimentsOfAllInstances guards against an experiment at each instance at the same time, and against none at all when
// the home of the part does not answer.
func TestExperimentsOfAllInstances(t *testing.T) {
	for _, homeDown := range []bool{false, true} {
		t.Run(fmt.Sprint("home down ", homeDown), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOfGuards(t, 9)
				defer f.close()
				for i := range minCrashes {
					f.crash(f.nodes[i], fmt.Sprint("engine-", i), "a", "bad")
				}
				time.Sleep(time.Second)
				home := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.self.ID() == f.nodes[0].homes("a")[0].ID() })]
				f.setDown(home, homeDown)
				admitted := 0
				for _, n := range f.nodes {
					if n != home && n.guard.Admit(t.Context(), []string{"a"}).Admitted() {
						admitted++
					}
				}
				if admitted != 1 {
					t.Errorf("%d experiments at the same time, want 1", admitted)
				}
			})
		})
	}
}

// TestBrokenConnectionIsNoCrash guards against connections that are reset, which count as the end of an engine.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfGuards(t, 2)
		defer f.close()
		for i := range minCrashes {
			engine := fmt.Sprint("engine-", i)
			f.mu.Lock()
			f.alive[engine] = true
			f.mu.Unlock()
			f.crash(f.nodes[0], engine, "a")
		}
		time.Sleep(time.Second)
		if n := f.verdicts(VerdictAdmit, "a"); n != 2 {
			t.Errorf("%d of 2 instances admit a part whose connections were reset", n)
		}
	})
}
