package order

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// simulation is a set of instances and engines in one process with a virtual clock.
type simulation struct {
	t       testing.TB
	now     time.Time
	rate    int
	newest  *spec.Manifest
	nodes   []*simNode
	engines map[string]*fakeEngine
	// lateOrders holds the orders that were sent and have not arrived.
	lateOrders []lateOrder
	// loads holds one start time for each load of weights.
	loads      []time.Time
	violations []string
}

type lateOrder struct {
	engine string
	order  Order
}

// simNode is one instance. It is its reconciler's manifest source, directory, ranking and engine client.
type simNode struct {
	sim        *simulation
	instance   pond.Instance
	reconciler *Reconciler
	current    *spec.Manifest
	confirmed  bool
	paused     bool
	// view maps the ID of a node to whether it is live in this node's view.
	view map[string]bool
	// beforeCheck runs once between the decision to send an order and its check.
	beforeCheck func()
	// delayNextOrder makes the next order arrive late.
	delayNextOrder bool
}

// fakeEngine applies orders immediately.
type fakeEngine struct {
	order         Order
	checksFencing bool
}

const nodeNames = "uvwx"

// newSimulation returns two instances and two engines in each region; the first engine of a region checks the fencing
// token.
func newSimulation(t testing.TB, rate int) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), rate: rate, engines: make(map[string]*fakeEngine)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for i, name := range nodeNames {
		region := string("aabb"[i])
		ref := pond.InstanceRef{ID: pond.InstanceID(string(name)), Incarnation: pond.Incarnation(i)}
		n := &simNode{sim: s, confirmed: true, view: make(map[string]bool)}
		n.instance = pond.NewInstance(ref, pond.InstanceLive, "", string(name), region+"1", region)
		s.nodes = append(s.nodes, n)
		n.reconciler = New(Options{
			Source: n, Directory: n, Ranking: n, Engines: n, Logger: logger,
			Backends: pond.BackendViewFunc(func(string) bool { return true }),
			Conn:     func(address string) drpc.Conn { return simConn{sim: s, address: address} },
			Clock:    func() time.Time { return s.now },
		})
		// Reconciling one engine at a time makes the schedule deterministic.
		n.reconciler.parallelism = 1
		s.engines[fmt.Sprintf("e%d", i)] = &fakeEngine{checksFencing: i%2 == 0}
	}
	s.publish()
	s.heal()
	return s
}

// publish creates a newer manifest, in which all engines have another version.
func (s *simulation) publish() {
	number := uint64(1)
	if s.newest != nil {
		number = s.newest.Version().Number + 1
	}
	var engines []object
	for i := range nodeNames {
		engines = append(engines, engineConfig(fmt.Sprintf("e%d", i), string("aabb"[i])+"1", fmt.Sprint(number), i%2 == 0))
	}
	s.newest = manifestOf(s.t, number, s.rate, engines...)
}

// heal ends all faults, gives the newest manifest to all instances and delivers the late orders.
func (s *simulation) heal() {
	for _, n := range s.nodes {
		n.current = s.newest
		n.confirmed = true
		n.paused = false
		n.beforeCheck = nil
		n.delayNextOrder = false
		for _, other := range s.nodes {
			n.view[string(other.instance.ID())] = true
		}
	}
	for len(s.lateOrders) > 0 {
		s.arrive(0)
	}
}

func (s *simulation) reportViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// arrive delivers a late order.
func (s *simulation) arrive(i int) {
	late := s.lateOrders[i]
	s.lateOrders = append(s.lateOrders[:i:i], s.lateOrders[i+1:]...)
	// The sender no longer waits for the reply.
	_ = s.apply(late.engine, late.order)
}

func (s *simulation) apply(name string, order Order) error {
	engine := s.engines[name]
	if engine.checksFencing && order.Fence < engine.order.Fence {
		return ErrFenced
	}
	for range order.Loads(engine.order.State) {
		s.loads = append(s.loads, s.now)
	}
	if engine.checksFencing && fmt.Sprint(order.Fence) != order.Version {
		s.reportViolation("an order with token %d has the state of manifest %s", order.Fence, order.Version)
	}
	engine.order = order
	return nil
}

func (n *simNode) round() {
	if !n.paused {
		n.reconciler.Round(context.Background())
	}
}

func (n *simNode) Current() *spec.Manifest  { return n.current }
func (n *simNode) Confirmed(time.Time) bool { return n.confirmed }
func (n *simNode) Self() pond.Instance      { return n.instance }

func (n *simNode) Instances() []pond.Instance {
	var instances []pond.Instance
	for _, other := range n.sim.nodes {
		if n.view[string(other.instance.ID())] || other == n {
			instances = append(instances, other.instance)
		}
	}
	return instances
}

func (n *simNode) Home(key, region string) (pond.Instance, bool) {
	instances := n.Instances()
	start := int(key[len(key)-1])
	for i := range instances {
		instance := instances[(start+i)%len(instances)]
		if region == "" || instance.Region() == region {
			return instance, true
		}
	}
	return pond.Instance{}, false
}

func (n *simNode) ReadState(_ context.Context, engine spec.Backend) (Report, error) {
	return Report{Order: n.sim.engines[engine.Name()].order, Phase: "ready"}, nil
}

func (n *simNode) SendOrder(_ context.Context, engine spec.Backend, order Order, check func() error) error {
	if hook := n.beforeCheck; hook != nil {
		n.beforeCheck = nil
		hook()
	}
	if err := check(); err != nil {
		return err
	}
	if !n.confirmed || n.current.Version().Number != order.Fence {
		n.sim.reportViolation("instance %s sent an order of manifest %d without confirmation", n.instance.ID(), order.Fence)
	}
	if n.delayNextOrder {
		n.delayNextOrder = false
		n.sim.lateOrders = append(n.sim.lateOrders, lateOrder{engine: engine.Name(), order: order})
		return errors.New("no reply")
	}
	return n.sim.apply(engine.Name(), order)
}

// simConn calls LoadSlot of another instance in the same process.
type simConn struct {
	drpc.Conn
	sim     *simulation
	address string
}

func (c simConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	for _, n := range c.sim.nodes {
		if n.instance.PeerAddress() != c.address || n.paused {
			continue
		}
		response, err := n.reconciler.LoadSlot(ctx, in.(*peerpb.LoadSlotRequest))
		if err == nil {
			proto.Merge(out.(*peerpb.LoadSlotResponse), response)
		}
		return err
	}
	return errors.New("unreachable")
}

// checkViolations fails the test if an invariant was violated.
func (s *simulation) checkViolations(t interface{ Fatalf(string, ...any) }) {
	if len(s.violations) > 0 {
		t.Fatalf("%s", s.violations[0])
	}
}

func drawNode(t *rapid.T, s *simulation) *simNode { return rapid.SampledFrom(s.nodes).Draw(t, "node") }
