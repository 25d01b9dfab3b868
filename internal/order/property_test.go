package order

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// interrupt lets the world go on while the node stands between its plan and its check, as a paused process does.
func (n *node) interrupt() {
	n.beforeCheck = func() {
		n.confirmed = false
		n.world.publish()
		for _, other := range n.world.nodes {
			if other != n {
				other.current = n.world.newest
				other.beforeCheck = nil
				other.round()
			}
		}
	}
}

// TestOrdersUnderFaults guards against an order of an old manifest that stays in effect, or that is sent by an instance
// without confirmation, under split views, paused instances and late orders. Engines that check the token must never go
// back; engines that ignore it must have the newest state after one reconcile interval without faults.
func TestOrdersUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, 0)
		fences := make(map[string]uint64)
		rt.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { w.publish() },
			"adopt": func(t *rapid.T) {
				n := drawNode(t, w)
				n.current = w.newest
				n.confirmed = true
			},
			"unconfirm": func(t *rapid.T) { drawNode(t, w).confirmed = false },
			// An instance without peers is confirmed with the manifest that it has.
			"confirmAlone": func(t *rapid.T) { drawNode(t, w).confirmed = true },
			"pause":        func(t *rapid.T) { drawNode(t, w).paused = true },
			"wake": func(t *rapid.T) {
				n := drawNode(t, w)
				n.confirmed = n.confirmed && !n.paused
				n.paused = false
			},
			"interrupt": func(t *rapid.T) { drawNode(t, w).interrupt() },
			"delay":     func(t *rapid.T) { drawNode(t, w).delay = true },
			"arrive": func(t *rapid.T) {
				if len(w.late) > 0 {
					w.arrive(rapid.IntRange(0, len(w.late)-1).Draw(t, "late"))
				}
			},
			"view": func(t *rapid.T) {
				drawNode(t, w).sees[string(drawNode(t, w).instance.ID())] = rapid.Bool().Draw(t, "sees")
			},
			"round": func(t *rapid.T) {
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{0, DefaultInterval}).Draw(t, "passed"))
				drawNode(t, w).round()
			},
			"": func(t *rapid.T) {
				w.checkFaults(t)
				for name, engine := range w.engines {
					if engine.checks && engine.order.Fence < fences[name] {
						t.Fatalf("engine %s went back from manifest %d to %d", name, fences[name], engine.order.Fence)
					}
					fences[name] = engine.order.Fence
				}
			},
		})
		w.heal()
		w.now = w.now.Add(DefaultInterval)
		for _, n := range w.nodes {
			n.round()
		}
		w.checkFaults(rt)
		for _, backend := range w.newest.Backends() {
			desired, _ := Desired(backend)
			if got := w.engines[backend.Name()].order.State; !got.Equal(desired) {
				rt.Fatalf("engine %s has %+v after the reconcile interval, want %+v", backend.Name(), got, desired)
			}
		}
	})
}

// TestWokenInstance guards against an instance that wakes with an old manifest and moves an engine back for longer than
// one reconcile interval, also when its check passed before the pause and the order itself is late.
func TestWokenInstance(t *testing.T) {
	w := newWorld(t, 0)
	home := func(name string) *node {
		i, _ := w.nodes[0].Home("backend/"+name, "")
		return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.instance.ID() == i.ID() })]
	}
	for _, name := range []string{"e0", "e1"} {
		old := home(name)
		old.delay = true
		old.round()
	}
	if len(w.late) != 2 {
		t.Fatalf("%d late orders, want 2", len(w.late))
	}
	w.publish()
	for _, n := range w.nodes {
		n.current = w.newest
		n.round()
	}
	for len(w.late) > 0 {
		w.arrive(0)
	}
	if got := w.engines["e0"].order.Fence; got != 2 {
		t.Errorf("engine that checks the token has manifest %d, want 2", got)
	}
	if got := w.engines["e1"].order.Fence; got != 1 {
		t.Errorf("engine that ignores the token has manifest %d, want the late 1 (the documented limit)", got)
	}
	w.now = w.now.Add(DefaultInterval)
	for _, n := range w.nodes {
		n.round()
	}
	if got := w.engines["e1"].order.Fence; got != 2 {
		t.Errorf("engine that ignores the token has manifest %d after the reconcile interval, want 2", got)
	}
}

// TestStoreRate guards against more loads in any minute than the weight store allows, while the regions are partitioned,
// homes of a region change, processes pause and manifests make all engines load again.
func TestStoreRate(t *testing.T) {
	const rate, schedules, ticks = 6, 20, 600
	loads := 0
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 0))
		w := newWorld(t, rate)
		w.partition()
		for range ticks {
			if random.IntN(10) == 0 {
				w.publish()
				w.adoptAll()
			}
			// A tick is 2 s; a node pauses every 400 s and wakes after 80 s on average.
			for _, n := range w.nodes {
				if n.paused && random.IntN(40) == 0 || !n.paused && random.IntN(200) == 0 {
					n.paused = !n.paused
					w.partition()
				}
			}
			w.tick()
		}
		w.checkRate(t, rate)
		loads += len(w.loads)
	}
	if loads < schedules*rate {
		t.Errorf("only %d loads in all schedules", loads)
	}
}

func (w *world) adoptAll() {
	for _, n := range w.nodes {
		n.current = w.newest
	}
}

// partition separates the regions; within a region the instances agree on which of them are paused.
func (w *world) partition() {
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			n.sees[string(other.instance.ID())] = n.instance.Region() == other.instance.Region() && !other.paused
		}
	}
}

func (w *world) tick() {
	w.now = w.now.Add(maxObserveGap)
	for _, n := range w.nodes {
		if !n.paused {
			n.reconciler.observe()
			n.round()
		}
	}
}

func (w *world) checkRate(t *testing.T, rate int) {
	for i := rate; i < len(w.loads); i++ {
		if w.loads[i].Sub(w.loads[i-rate]) < time.Minute {
			t.Fatalf("%d loads within %s, the store allows %d a minute", rate+1, w.loads[i].Sub(w.loads[i-rate]), rate)
		}
	}
}
