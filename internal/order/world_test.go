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

// world is a set of instances and engines in one process with one virtual clock.
type world struct {
	t       testing.TB
	now     time.Time
	rate    int
	newest  *spec.Manifest
	nodes   []*node
	engines map[string]*fakeEngine
	// late holds orders that left their sender and have not arrived.
	late []lateOrder
	// loads are the times at which engines began to load weights, with a time for each of the weights.
	loads  []time.Time
	faults []string
}

type lateOrder struct {
	engine string
	order  Order
}

// node is one instance. It is its reconciler's manifest source, directory, ranking and engine client.
type node struct {
	world      *world
	instance   pond.Instance
	reconciler *Reconciler
	current    *spec.Manifest
	confirmed  bool
	paused     bool
	// sees tells which nodes are live in this node's view.
	sees map[string]bool
	// beforeCheck runs once between the plan of an order and its check.
	beforeCheck func()
	// delay makes the next order late.
	delay bool
}

// fakeEngine obeys orders at once.
type fakeEngine struct {
	order  Order
	checks bool
}

const nodeNames = "uvwx"

// newWorld has two instances and two engines in each region; the first engine of a region checks the fencing token.
func newWorld(t testing.TB, rate int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), rate: rate, engines: make(map[string]*fakeEngine)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for i, name := range nodeNames {
		region := string("aabb"[i])
		ref := pond.InstanceRef{ID: pond.InstanceID(string(name)), Incarnation: pond.Incarnation(i)}
		n := &node{world: w, confirmed: true, sees: make(map[string]bool)}
		n.instance = pond.NewInstance(ref, pond.InstanceLive, "", string(name), region+"1", region)
		w.nodes = append(w.nodes, n)
		n.reconciler = New(Options{
			Source: n, Directory: n, Ranking: n, Engines: n, Logger: logger,
			Backends: pond.BackendViewFunc(func(string) bool { return true }),
			Conn:     func(address string) drpc.Conn { return conn{world: w, address: address} },
			Clock:    func() time.Time { return w.now },
		})
		// One engine at a time makes the schedule deterministic.
		n.reconciler.parallel = 1
		w.engines[fmt.Sprintf("e%d", i)] = &fakeEngine{checks: i%2 == 0}
	}
	w.publish()
	w.heal()
	return w
}

// publish makes a newer manifest, in which all engines have another version.
func (w *world) publish() {
	number := uint64(1)
	if w.newest != nil {
		number = w.newest.Version().Number + 1
	}
	var engines []object
	for i := range nodeNames {
		engines = append(engines, engineDoc(fmt.Sprintf("e%d", i), string("aabb"[i])+"1", fmt.Sprint(number), i%2 == 0))
	}
	w.newest = manifestOf(w.t, number, w.rate, engines...)
}

// heal ends all faults and brings the newest manifest to all instances.
func (w *world) heal() {
	for _, n := range w.nodes {
		n.current = w.newest
		n.confirmed = true
		n.paused = false
		n.beforeCheck = nil
		n.delay = false
		for _, other := range w.nodes {
			n.sees[string(other.instance.ID())] = true
		}
	}
	for len(w.late) > 0 {
		w.arrive(0)
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// arrive delivers a late order.
func (w *world) arrive(i int) {
	late := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	// The sender has given up on the reply.
	_ = w.apply(late.engine, late.order)
}

func (w *world) apply(name string, order Order) error {
	engine := w.engines[name]
	if engine.checks && order.Fence < engine.order.Fence {
		return ErrFenced
	}
	for range order.Loads(engine.order.State) {
		w.loads = append(w.loads, w.now)
	}
	if engine.checks && fmt.Sprint(order.Fence) != order.Version {
		w.fault("token %d carries the state of manifest %s", order.Fence, order.Version)
	}
	engine.order = order
	return nil
}

func (n *node) round() {
	if !n.paused {
		n.reconciler.Round(context.Background())
	}
}

func (n *node) Current() *spec.Manifest  { return n.current }
func (n *node) Confirmed(time.Time) bool { return n.confirmed }
func (n *node) Self() pond.Instance      { return n.instance }

func (n *node) Instances() []pond.Instance {
	var instances []pond.Instance
	for _, other := range n.world.nodes {
		if n.sees[string(other.instance.ID())] || other == n {
			instances = append(instances, other.instance)
		}
	}
	return instances
}

func (n *node) Home(key, region string) (pond.Instance, bool) {
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

func (n *node) State(_ context.Context, engine spec.Backend) (Report, error) {
	return Report{Order: n.world.engines[engine.Name()].order, Phase: "ready"}, nil
}

func (n *node) Order(_ context.Context, engine spec.Backend, order Order, check func() error) error {
	if hook := n.beforeCheck; hook != nil {
		n.beforeCheck = nil
		hook()
	}
	if err := check(); err != nil {
		return err
	}
	if !n.confirmed || n.current.Version().Number != order.Fence {
		n.world.fault("instance %s sent an order of manifest %d without confirmation", n.instance.ID(), order.Fence)
	}
	if n.delay {
		n.delay = false
		n.world.late = append(n.world.late, lateOrder{engine: engine.Name(), order: order})
		return errors.New("no reply")
	}
	return n.world.apply(engine.Name(), order)
}

// conn calls LoadSlot of another instance in the same process.
type conn struct {
	drpc.Conn
	world   *world
	address string
}

func (c conn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	for _, n := range c.world.nodes {
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

// checkFaults fails the test if an invariant was broken.
func (w *world) checkFaults(t interface{ Fatalf(string, ...any) }) {
	if len(w.faults) > 0 {
		t.Fatalf("%s", w.faults[0])
	}
}

func drawNode(t *rapid.T, w *world) *node { return rapid.SampledFrom(w.nodes).Draw(t, "node") }
