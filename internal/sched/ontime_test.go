package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const onTimeTarget = 4 * time.Second

// replayBurst replays long requests at 0.7 times the capacity with a burst beyond it, and returns how many were offered, served and served within
// the target, and the longest wait.
func replayBurst(disabled pond.MechanismSet, burst float64, length time.Duration) (offered, served, onTime int, longest time.Duration) {
	random := rand.New(rand.NewPCG(9, 1))
	long := func() arrival { return longArrival(random, fmt.Sprint("account", random.IntN(8))) }
	arrivals := mergeArrivals(
		poisson(random, 0.7*longPerSecond, 0, 60*time.Second, long),
		poisson(random, burst*longPerSecond, 10*time.Second, 10*time.Second+length, long),
	)
	policy := testPolicy()
	policy.Disabled = disabled
	for _, r := range replayWith(policy, arrivals, 120*time.Second, func(r *Request, _ arrival) { r.Target = onTimeTarget }, true) {
		offered++
		if !r.served {
			continue
		}
		served++
		longest = max(longest, r.wait)
		if r.wait+longPromptTokens/14*time.Millisecond <= onTimeTarget {
			onTime++
		}
	}
	return offered, served, onTime, longest
}

// TestReplayOnTimeFirst replays bursts whose backlog exceeds the target. It guards against bursts that make all later requests late, and against
// requests that are lost because they were put back.
func TestReplayOnTimeFirst(t *testing.T) {
	tests := []struct {
		name   string
		burst  float64
		length time.Duration
		// fewerLate is the share of the late requests that putting them back saves at least.
		fewerLate float64
	}{
		{"hardly a burst", 0.1, time.Second, 0},
		{"short burst", 1.3, 4 * time.Second, 0},
		{"long burst", 1.3, 12 * time.Second, 0.1},
		{"high burst", 2.5, 8 * time.Second, 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			offered, served, onTime, longest := replayBurst(0, test.burst, test.length)
			_, servedWithout, onTimeWithout, longestWithout := replayBurst(1<<uint(pond.MechanismOnTimeFirst), test.burst, test.length)
			t.Logf("of %d: served %d, on time %d, longest wait %v; without %d, %d, %v",
				offered, served, onTime, longest, servedWithout, onTimeWithout, longestWithout)
			late, lateWithout := served-onTime, servedWithout-onTimeWithout
			if float64(late) > (1-test.fewerLate)*float64(lateWithout) {
				t.Errorf("%d requests are late, %d without, want a share of %.2f fewer", late, lateWithout, test.fewerLate)
			}
			if served < servedWithout*98/100 {
				t.Errorf("%d requests are served, %d without", served, servedWithout)
			}
		})
	}
}

// TestYieldingOrder guards against a late request that keeps others from being on time, against one that goes before a more urgent one, and against one
// that is never served or stays without a decision because it has been put back.
func TestYieldingOrder(t *testing.T) {
	const target = 2 * time.Second
	newFullScheduler := func() *Scheduler {
		s := newTestScheduler(testPolicy(), testEngines(1, 34_000, 24)...)
		s.Register(testRequest(1000, pond.ClassLong, 30_000, 300), "engine-0000", 1, epoch)
		return s
	}
	offer := func(s *Scheduler, id int, account string, priority int, at, deadline time.Duration) {
		req := testRequest(id, pond.ClassLong, 3000, 200)
		req.Account, req.Priority, req.Target, req.Deadline = account, priority, target, epoch.Add(deadline)
		if d := s.Offer(req, epoch.Add(at)); d.Verdict != VerdictWait {
			t.Fatalf("request %d: %v, want it to wait", id, d.Verdict)
		}
	}
	served := func(s *Scheduler, at time.Duration) []string {
		var ids []string
		for _, d := range s.Tick(epoch.Add(at)) {
			if d.Verdict == VerdictServe {
				ids = append(ids, d.ID)
			}
		}
		return ids
	}
	name := func(id int) string { return testRequest(id, pond.ClassLong, 3000, 200).ID }
	tests := []struct {
		name     string
		priority int           // of the request that is late
		at       time.Duration // when there is room
		want     []int
	}{
		{"both on time", 0, 1500 * time.Millisecond, []int{1, 2}},
		{"the first is late", 0, 2500 * time.Millisecond, []int{2, 1}},
		{"the first is late and more urgent", 1, 2500 * time.Millisecond, []int{1, 2}},
		{"the caller of the first will leave soon", 0, 6100 * time.Millisecond, []int{1, 2}},
	}
	for _, account := range []string{"a", "b"} {
		for _, test := range tests {
			if test.priority > 0 && account == "a" {
				continue // The requests of one account go by deadline, whatever their priority.
			}
			t.Run(test.name+", account "+account, func(t *testing.T) {
				s := newFullScheduler()
				offer(s, 1, "a", test.priority, 0, time.Minute)
				second := max(test.at-time.Second, 500*time.Millisecond)
				offer(s, 2, account, 0, second, time.Minute)
				if got := served(s, test.at); len(got) > 0 {
					t.Fatalf("%v are served without room", got)
				}
				s.Finish(name(1000), End{Tokens: 300, Complete: true}, epoch.Add(test.at))
				got := served(s, test.at)
				want := []string{name(test.want[0]), name(test.want[1])}
				if !slices.Equal(got, want) {
					t.Errorf("order %v, want %v", got, want)
				}
			})
		}
	}
	t.Run("deadline behind others", func(t *testing.T) {
		s := newFullScheduler()
		offer(s, 1, "a", 0, 0, 5*time.Second)
		for id := 2; id < 6; id++ {
			offer(s, id, "a", 0, 4*time.Second, time.Minute)
		}
		s.Tick(epoch.Add(4500 * time.Millisecond))
		if got := s.Stats(); got.Yielding != 1 || got.WaitingLong != 5 {
			t.Errorf("%d requests wait and %d yield, want 5 and 1", got.WaitingLong, got.Yielding)
		}
		var refused []string
		for _, d := range s.Tick(epoch.Add(5100 * time.Millisecond)) {
			if d.Verdict == VerdictRefuse {
				refused = append(refused, d.ID)
			}
		}
		if !slices.Equal(refused, []string{name(1)}) {
			t.Errorf("refused %v, want the one whose deadline has passed", refused)
		}
	})
	t.Run("offered again after its home was lost", func(t *testing.T) {
		s := newFullScheduler()
		req := testRequest(1, pond.ClassLong, 3000, 200)
		req.Target, req.Waited = target, target+time.Second
		s.Offer(req, epoch)
		offer(s, 2, "b", 0, 0, time.Minute)
		s.Tick(epoch.Add(yieldInterval))
		if got := s.Stats().Yielding; got != 1 {
			t.Errorf("%d requests yield, want the one that has waited at the former home", got)
		}
	})
	t.Run("deadline between two checks", func(t *testing.T) {
		s := newFullScheduler()
		offer(s, 1, "a", 0, 0, 5*time.Second)
		offer(s, 2, "a", 0, 4*time.Second, time.Minute)
		s.Tick(epoch.Add(4980 * time.Millisecond))
		s.Finish(name(1000), End{Tokens: 300, Complete: true}, epoch.Add(5010*time.Millisecond))
		if got := served(s, 5010*time.Millisecond); !slices.Equal(got, []string{name(2)}) {
			t.Errorf("%v are served, want only the one whose deadline has not passed", got)
		}
	})
}
