package hazard

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// The times of a replacement in the tests: a shutdown takes drainTime, and longer while the instance waits for another one that keeps
	// what it knows, graceTime at most. An instance is seen in a new state viewDelay later.
	drainTime = 4500 * time.Millisecond
	graceTime = 7300 * time.Millisecond
	viewDelay = 300 * time.Millisecond

	// contactLimit is the time within which the instances have to know again what all had known.
	contactLimit = 2 * time.Second
)

// replace shuts a node down and starts it again without what it knew.
func (n *node) replace(restartDelay time.Duration) (took time.Duration) {
	began := time.Now()
	n.setState(pond.InstanceLeaving)
	var group sync.WaitGroup
	group.Go(func() { n.guard.HandOver(n.fleet.ctx, began.Add(graceTime)) })
	time.Sleep(drainTime)
	group.Wait()
	took = time.Since(began)
	n.stop()
	n.fleet.setDown(n, true)
	time.Sleep(restartDelay)
	n.fleet.setDown(n, false)
	ref := pond.InstanceRef{ID: n.self.ID(), Incarnation: n.self.Ref().Incarnation + 1}
	self := pond.NewInstance(ref, pond.InstanceLive, n.self.HTTPAddress(), n.self.PeerAddress(), n.self.DataCentre(), n.self.Region())
	n.start()
	time.Sleep(viewDelay)
	n.fleet.mu.Lock()
	n.self = self
	n.fleet.mu.Unlock()
	return took
}

// setState makes the others see the node in another state, viewDelay later.
func (n *node) setState(state pond.InstanceState) {
	go func() {
		time.Sleep(viewDelay)
		n.fleet.mu.Lock()
		defer n.fleet.mu.Unlock()
		n.self = n.self.WithState(state)
	}()
}

// TestCrashesOutliveReplacement guards against crashes that are forgotten because all instances that know of them are replaced, however
// their shutdowns overlap, and against shutdowns that wait without need.
func TestCrashesOutliveReplacement(t *testing.T) {
	tests := []struct {
		instances    int
		gap          time.Duration
		restartDelay time.Duration
	}{
		{2, 0, 300 * time.Millisecond},
		{4, 500 * time.Millisecond, 2 * time.Second},
		{9, 0, 300 * time.Millisecond},
		{9, 0, 2 * time.Second},
		{9, 500 * time.Millisecond, 2 * time.Second},
		{9, 6 * time.Second, 2 * time.Second},
		{80, 0, 300 * time.Millisecond},
		{80, 0, 2 * time.Second},
		{80, 100 * time.Millisecond, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d instances, %v apart, back after %v", test.instances, test.gap, test.restartDelay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOfGuards(t, test.instances)
				defer f.close()
				for i := range minCrashes {
					f.crash(f.nodes[i%test.instances], fmt.Sprint("engine-", i), "bad")
				}
				time.Sleep(10 * time.Second)
				if got := f.verdicts(VerdictRefuse, "bad"); got != test.instances {
					t.Fatalf("%d of %d instances know of the crashes before the replacement", got, test.instances)
				}
				var group sync.WaitGroup
				var waited int
				for _, n := range f.nodes {
					group.Go(func() {
						took := n.replace(test.restartDelay)
						f.mu.Lock()
						defer f.mu.Unlock()
						if took > drainTime {
							waited++
						}
					})
					time.Sleep(test.gap)
				}
				group.Wait()
				known := f.verdicts(VerdictRefuse, "bad")
				began := time.Now()
				for f.verdicts(VerdictRefuse, "bad") < test.instances && time.Since(began) < contactLimit {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("%d instances know of the crashes when the last is back, all %v later; %d waited to end", known, time.Since(began), waited)
				if got := f.verdicts(VerdictRefuse, "bad"); got != test.instances {
					t.Errorf("%d of %d instances know of the crashes %v after the replacement", got, test.instances, contactLimit)
				}
				if limit := max(1, test.instances/10); waited > limit {
					t.Errorf("%d instances waited for another one that keeps their crashes, want at most %d", waited, limit)
				}
			})
		})
	}
}

// TestHandOver guards against an instance that shuts down and relies on one that is about to end as well, and against a wait where nobody
// can take over.
func TestHandOver(t *testing.T) {
	tests := []struct {
		name      string
		others    int
		crashes   int
		othersEnd time.Duration // when the others shut down, after the instance; 0 if they run on
		want      time.Duration
	}{
		{"no crash", 2, 0, 0, 0},
		{"others run on", 2, 3, 0, 0},
		{"nobody else", 0, 3, 0, 0},
		{"others end before", 2, 3, -time.Second, graceTime},
		{"others end later", 2, 3, time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOfGuards(t, 1+test.others)
				defer f.close()
				for i := range test.crashes {
					f.crash(f.nodes[0], fmt.Sprint("engine-", i), "bad")
				}
				time.Sleep(10 * time.Second)
				stopsAt := time.Now().Add(graceTime)
				for _, n := range f.nodes[1:] {
					if test.othersEnd == 0 {
						continue
					}
					n.guard.mu.Lock()
					n.guard.keeping.stay, n.guard.keeping.stopsAt = peerpb.Stay_STAY_STOPS, stopsAt.Add(test.othersEnd)
					n.guard.mu.Unlock()
				}
				began := time.Now()
				f.nodes[0].guard.HandOver(t.Context(), stopsAt)
				if took := time.Since(began).Round(handOverInterval); took != test.want {
					t.Errorf("handing over took %v, want %v", took, test.want)
				}
			})
		})
	}
}

// TestHandOverToEachOther guards against two instances that shut down at almost the same time and rely on each other: the first asks before the
// second is told to stop, and the second before the first has counted its answers.
func TestHandOverToEachOther(t *testing.T) {
	for _, gap := range []time.Duration{time.Millisecond, 100 * time.Millisecond, peerTimeout - time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetOfGuards(t, 3)
				defer f.close()
				f.crash(f.nodes[0], "engine-0", "bad")
				time.Sleep(10 * time.Second)
				f.mu.Lock()
				f.nodes[2].hangs = true // The rounds of questions last for peerTimeout.
				f.mu.Unlock()
				first, second := f.nodes[0].guard, f.nodes[1].guard
				lastStop := time.Now().Add(graceTime)
				var group sync.WaitGroup
				group.Go(func() { first.HandOver(t.Context(), lastStop) })
				time.Sleep(gap)
				group.Go(func() { second.HandOver(t.Context(), lastStop.Add(-time.Second)) })
				group.Wait()
				if left := time.Until(lastStop); left > 0 {
					t.Errorf("nobody keeps the crashes for the last %v", left)
				}
			})
		})
	}
}

// TestPassOnEnds guards against instances that pass on the same crashes without end because their tables forget them again.
func TestPassOnEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOfGuards(t, 9)
		defer f.close()
		for i, n := range f.nodes {
			n.guard.merge([]*peerpb.EngineCrash{{
				Engine: fmt.Sprint("engine-", i), Writing: []string{"bad"},
				AgeMicro: (2 * retention).Microseconds(), UsedAgeMicro: (2 * retention).Microseconds(),
			}})
		}
		time.Sleep(10 * time.Second)
		calls := f.calls()
		if limit := 9 * (startPeers + maxPassOns*passOnPeers + int(10*time.Second/exchangeInterval)); calls > limit {
			t.Errorf("%d calls in the first 10 s, want at most %d", calls, limit)
		}
		time.Sleep(time.Minute)
		if more, limit := f.calls()-calls, 9*int(time.Minute/exchangeInterval); more > limit {
			t.Errorf("%d calls in a minute, want at most %d", more, limit)
		}
	})
}

// TestOutlasts guards against two instances that rely on each other, and against one that relies on what another does not state.
func TestOutlasts(t *testing.T) {
	at := time.UnixMilli(1000)
	stops := func(id pond.InstanceID, stopsAt time.Time) keeping {
		return keeping{peerpb.Stay_STAY_STOPS, stopsAt, id}
	}
	own := stops("b", at)
	tests := []struct {
		name  string
		other keeping
		want  bool
	}{
		{"runs on", keeping{stay: peerpb.Stay_STAY_RUNS_ON, id: "a"}, true},
		{"stops later", stops("a", at.Add(time.Millisecond)), true},
		{"stops before", stops("c", at.Add(-time.Millisecond)), false},
		{"stops at the same time, the ID follows", stops("c", at), true},
		{"stops at the same time, the ID precedes", stops("a", at), false},
		{"stops in the same millisecond, the ID precedes", stops("a", at.Add(time.Microsecond)), false},
		{"has handed over", keeping{stay: peerpb.Stay_STAY_HANDED_OVER, stopsAt: at.Add(time.Hour), id: "a"}, false},
		{"states what this release does not know", keeping{stay: 99, stopsAt: at.Add(time.Hour), id: "a"}, false},
		{"did not answer", keeping{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.other.outlasts(own); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	t.Run("former release", func(t *testing.T) {
		ref := pond.InstanceRef{ID: "a", Incarnation: 1}
		for _, state := range []pond.InstanceState{pond.InstanceLive, pond.InstanceSuspect, pond.InstanceLeaving} {
			peer := pond.NewInstance(ref, state, "", "", "", "")
			if got, want := keepingOf(peer, &peerpb.ExchangeResponse{}).outlasts(own), state == pond.InstanceLive; got != want {
				t.Errorf("%v and nothing stated: got %v, want %v", state, got, want)
			}
		}
	})
}
