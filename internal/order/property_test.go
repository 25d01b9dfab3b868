package order

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pauseBeforeCheck simulates a process that is paused between its decision and its check: meanwhile a new manifest is
// published and the other nodes apply it.
func (n *simNode) pauseBeforeCheck() {
	n.beforeCheck = func() {
		n.confirmed = false
		n.sim.publish()
		for _, other := range n.sim.nodes {
			if other != n {
				other.current = n.sim.newest
				other.beforeCheck = nil
				other.round()
			}
		}
	}
}

// TestOrdersUnderFaults guards against an order of an old manifest that stays in effect, or that is sent by an instance
// without confirmation, under divergent views, paused instances and late orders. Engines that check the token must
// never revert; engines that ignore it must have the newest state after one reconcile interval without faults.
func TestOrdersUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(t, 0)
		fences := make(map[string]uint64)
		rt.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { s.publish() },
			"adopt": func(t *rapid.T) {
				n := drawNode(t, s)
				n.current = s.newest
				n.confirmed = true
			},
			"unconfirm": func(t *rapid.T) { drawNode(t, s).confirmed = false },
			// An instance without peers is confirmed with its current manifest.
			"confirmAlone": func(t *rapid.T) { drawNode(t, s).confirmed = true },
			"pause":        func(t *rapid.T) { drawNode(t, s).paused = true },
			"wake": func(t *rapid.T) {
				n := drawNode(t, s)
				n.confirmed = n.confirmed && !n.paused
				n.paused = false
			},
			"interrupt": func(t *rapid.T) { drawNode(t, s).pauseBeforeCheck() },
			"delay":     func(t *rapid.T) { drawNode(t, s).delayNextOrder = true },
			"arrive": func(t *rapid.T) {
				if len(s.lateOrders) > 0 {
					s.arrive(rapid.IntRange(0, len(s.lateOrders)-1).Draw(t, "late"))
				}
			},
			"view": func(t *rapid.T) {
				drawNode(t, s).view[string(drawNode(t, s).instance.ID())] = rapid.Bool().Draw(t, "sees")
			},
			"round": func(t *rapid.T) {
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{0, DefaultInterval}).Draw(t, "passed"))
				drawNode(t, s).round()
			},
			"": func(t *rapid.T) {
				s.checkViolations(t)
				for name, engine := range s.engines {
					if engine.checksFencing && engine.order.Fence < fences[name] {
						t.Fatalf("engine %s reverted from manifest %d to %d", name, fences[name], engine.order.Fence)
					}
					fences[name] = engine.order.Fence
				}
			},
		})
		s.heal()
		s.now = s.now.Add(DefaultInterval)
		for _, n := range s.nodes {
			n.round()
		}
		s.checkViolations(rt)
		for _, backend := range s.newest.Backends() {
			desired, _ := Desired(backend)
			if got := s.engines[backend.Name()].order.State; !got.Equal(desired) {
				rt.Fatalf("engine %s has %+v after the reconcile interval, want %+v", backend.Name(), got, desired)
			}
		}
	})
}

// TestLateOrder guards against an order of an old manifest that passed its check before its sender was paused, arrives
// late and reverts an engine for longer than one reconcile interval.
func TestLateOrder(t *testing.T) {
	s := newSimulation(t, 0)
	homeOf := func(name string) *simNode {
		i, _ := s.nodes[0].Home("backend/"+name, "")
		return s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.instance.ID() == i.ID() })]
	}
	for _, name := range []string{"e0", "e1"} {
		formerHome := homeOf(name)
		formerHome.delayNextOrder = true
		formerHome.round()
	}
	if len(s.lateOrders) != 2 {
		t.Fatalf("%d late orders, want 2", len(s.lateOrders))
	}
	s.publish()
	for _, n := range s.nodes {
		n.current = s.newest
		n.round()
	}
	for len(s.lateOrders) > 0 {
		s.arrive(0)
	}
	if got := s.engines["e0"].order.Fence; got != 2 {
		t.Errorf("engine that checks the token has manifest %d, want 2", got)
	}
	if got := s.engines["e1"].order.Fence; got != 1 {
		t.Errorf("engine that ignores the token has manifest %d, want the late 1 (the documented limit)", got)
	}
	s.now = s.now.Add(DefaultInterval)
	for _, n := range s.nodes {
		n.round()
	}
	if got := s.engines["e1"].order.Fence; got != 2 {
		t.Errorf("engine that ignores the token has manifest %d after the reconcile interval, want 2", got)
	}
}

// TestStoreRate guards against more loads in any minute than the weight store allows, while the regions are
// partitioned, slot homes change, processes pause and new manifests make all engines load again.
func TestStoreRate(t *testing.T) {
	const rate, schedules, ticks = 6, 20, 600
	loads := 0
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := newSimulation(t, rate)
		s.partition()
		for range ticks {
			if random.IntN(10) == 0 {
				s.publish()
				s.adoptAll()
			}
			// A tick is 2 s; on average, a node pauses after 400 s and resumes after 80 s.
			for _, n := range s.nodes {
				if n.paused && random.IntN(40) == 0 || !n.paused && random.IntN(200) == 0 {
					n.paused = !n.paused
					s.partition()
				}
			}
			s.advance()
		}
		s.checkRate(t, rate)
		loads += len(s.loads)
	}
	if loads < schedules*rate {
		t.Errorf("only %d loads in all schedules", loads)
	}
}

func (s *simulation) adoptAll() {
	for _, n := range s.nodes {
		n.current = s.newest
	}
}

// partition separates the regions; within a region, the instances see those that are not paused.
func (s *simulation) partition() {
	for _, n := range s.nodes {
		for _, other := range s.nodes {
			n.view[string(other.instance.ID())] = n.instance.Region() == other.instance.Region() && !other.paused
		}
	}
}

func (s *simulation) advance() {
	s.now = s.now.Add(maxObserveGap)
	for _, n := range s.nodes {
		if !n.paused {
			n.reconciler.observe()
			n.round()
		}
	}
}

func (s *simulation) checkRate(t *testing.T, rate int) {
	for i := rate; i < len(s.loads); i++ {
		if s.loads[i].Sub(s.loads[i-rate]) < time.Minute {
			t.Fatalf("%d loads within %s, the store allows %d per minute", rate+1, s.loads[i].Sub(s.loads[i-rate]), rate)
		}
	}
}
