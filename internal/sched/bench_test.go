package sched

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// benchScheduler returns a pool with learned lengths and share of its long work capacity offered. A random half of the
// requests has ended, so that engines are loaded unevenly.
func benchScheduler(replicas, perEngine int) *Scheduler {
	s := newTestScheduler(testPolicy(), testEngines(replicas, 60_000, 64)...)
	teach(s, "a", pond.ClassLong, 400, minLengthSamples)
	offerAll(s, 0, perEngine*replicas, pond.ClassLong, 200, 2000)
	random := rand.New(rand.NewPCG(3, 4))
	for i := range perEngine * replicas {
		if random.IntN(2) == 0 && perEngine < 64 {
			s.Finish(fmt.Sprintf("g%05d", i), End{}, epoch)
		}
	}
	return s
}

// BenchmarkDecision measures one arrival and its end. In "free" most engines have room; in "full" none has and the
// request is queued after a search over all of them; "falling" is the worst order of loads for the search.
func BenchmarkDecision(b *testing.B) {
	for _, replicas := range []int{10, 50, 150, 600, 1200} {
		for _, state := range []string{"free", "full", "falling"} {
			b.Run(fmt.Sprint(state, "/", replicas), func(b *testing.B) { benchDecision(b, replicas, state) })
		}
	}
}

func benchDecision(b *testing.B, replicas int, state string) {
	perEngine, want := 48, VerdictServe
	if state == "full" {
		perEngine, want = 64, VerdictWait
	}
	s := benchScheduler(replicas, perEngine)
	if state == "full" {
		for id, r := range s.requests.All() {
			if r.waiting() {
				s.Cancel(id, epoch)
			}
		}
	}
	if state == "falling" {
		for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
			s.engines.At(slot).reserved = 40_000 - int(slot)
		}
	}
	req := testRequest(99_999_999, pond.ClassLong, 200, 2000)
	req.PrefixHash = 7
	b.ReportAllocs()
	for b.Loop() {
		if got := s.Offer(req, epoch).Verdict; got != want {
			b.Fatalf("%v, want %v", got, want)
		}
		s.Finish(req.ID, End{}, epoch)
	}
}

// BenchmarkTick measures one run of all systems at full load with 1,000 waiting requests of 10 accounts, while one
// request ends and one arrives.
func BenchmarkTick(b *testing.B) {
	for _, replicas := range []int{10, 150, 600, 1200} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			s := newTestScheduler(testPolicy(), testEngines(replicas, 60_000, 64)...)
			offerAll(s, 0, 64*replicas, pond.ClassLong, 200, 2000)
			running := s.Stats().Running
			for i := range 1000 {
				req := testRequest(1_000_000+i, pond.ClassLong, 200, 2000)
				req.Account = fmt.Sprint("account", i%10)
				s.Offer(req, epoch)
			}
			now, next := epoch, 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				id := fmt.Sprintf("g%05d", next%running)
				next++
				s.Finish(id, End{}, now)
				s.Offer(testRequest(next%running, pond.ClassLong, 200, 2000), now)
				s.Tick(now)
			}
			b.ReportMetric(float64(s.Stats().WaitingLong), "waiting")
		})
	}
}

// BenchmarkMemory reports the bytes that the tables take for one engine and for one running request.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	const engines, requests = 1200, 40_000
	for b.Loop() {
		specs, reqs := testEngines(engines, 60_000, 64), make([]Request, requests)
		for i := range reqs {
			reqs[i] = testRequest(i, pond.ClassShort, 100, 100)
		}
		start := heap()
		s := newTestScheduler(testPolicy(), specs...)
		withEngines := heap()
		for _, req := range reqs {
			s.Offer(req, epoch)
		}
		end := heap()
		b.ReportMetric((withEngines-start)/engines, "B/engine")
		b.ReportMetric((end-withEngines)/requests, "B/request")
		runtime.KeepAlive(s)
		runtime.KeepAlive(reqs)
	}
}

// TestDecisionAllocates guards against an allocation on the decision path.
func TestDecisionAllocates(t *testing.T) {
	s := benchScheduler(600, 48)
	req := testRequest(99_999_999, pond.ClassUnknown, 200, 2000)
	req.PrefixHash = 7
	s.Offer(req, epoch)
	s.Finish(req.ID, End{}, epoch)
	got := testing.AllocsPerRun(100, func() {
		s.Offer(req, epoch)
		s.Progress(req.ID, Progress{Tokens: 400}, epoch)
		s.Tick(epoch)
		s.Finish(req.ID, End{}, epoch)
	})
	if got != 0 {
		t.Errorf("%v allocations for one decision, want none", got)
	}
}
