package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// failingPool plays a pool some of whose engines return errors for new requests, while the runs that they have go on.
type failingPool struct {
	*Scheduler
	t       *testing.T
	emitted map[string]int    // of the runs that go on
	runs    map[string]string // the engine of each
	// placed and failed count the requests of the play by engine.
	placed, failed map[string]int
	refused        int
}

func newFailingPool(t *testing.T, engines int) *failingPool {
	p := &failingPool{
		Scheduler: newTestScheduler(testPolicy(), testEngines(engines, 34_000, 24)...), t: t,
		emitted: make(map[string]int), runs: make(map[string]string), placed: make(map[string]int), failed: make(map[string]int),
	}
	for i := range 2 * engines {
		req := testRequest(1_000_000+i, pond.ClassLong, 2000, 8000)
		engine := testEngines(engines, 34_000, 24)[i%engines].Name
		p.Register(req, engine, 100, epoch)
		p.emitted[req.ID], p.runs[req.ID] = 100, engine
	}
	return p
}

// play offers a short request each 20 ms for a time. One on an engine for which fails is true ends with an error after 10 ms, any other one
// after 200 ms with its answer.
func (p *failingPool) play(from, until time.Duration, fails func(engine string, number int) bool) {
	type running struct {
		id    string
		endAt time.Time
	}
	var open []running
	serve := func(d Decision, now time.Time) {
		p.placed[d.Engine]++
		if fails(d.Engine, p.placed[d.Engine]) {
			p.failed[d.Engine]++
			p.Finish(d.ID, End{BackendFailed: true}, now.Add(10*time.Millisecond))
			return
		}
		open = append(open, running{d.ID, now.Add(200 * time.Millisecond)})
	}
	for at := from; at < until; at += 20 * time.Millisecond {
		now := epoch.Add(at)
		for len(open) > 0 && !open[0].endAt.After(now) {
			p.Progress(open[0].id, Progress{Tokens: 8, FirstToken: 150 * time.Millisecond, Gap: normalGap}, now)
			p.Finish(open[0].id, End{Tokens: 8, Complete: true}, now)
			open = open[1:]
		}
		if at%(100*time.Millisecond) == 0 {
			for id := range p.runs {
				p.emitted[id] += 12
				p.Progress(id, Progress{Tokens: p.emitted[id], Gap: normalGap}, now)
			}
		}
		for _, d := range p.Tick(now) {
			switch d.Verdict {
			case VerdictServe:
				serve(d, now)
			case VerdictRefuse:
				p.refused++
			}
		}
		if d := p.Offer(testRequest(int(at/time.Millisecond), pond.ClassShort, 2000, 8), now); d.Verdict == VerdictServe {
			serve(d, now)
		} else if d.Verdict == VerdictRefuse {
			p.refused++
		}
	}
	for _, r := range open {
		p.Finish(r.id, End{Tokens: 8, Complete: true}, epoch.Add(until))
	}
}

// TestEnginesThatReturnErrors replays engines that return errors at once for 7 s, report that they are sound and go on with the runs that they
// have. It guards against a faulty engine that gets request after request because the runs on it are fast and it looks idle, and against one
// that gets none any more after it has recovered.
func TestEnginesThatReturnErrors(t *testing.T) {
	const engines, faulty, maxFailures = 12, 2, 8
	p := newFailingPool(t, engines)
	names := testEngines(engines, 34_000, 24)
	isFaulty := func(engine string, _ int) bool {
		for _, e := range names[:faulty] {
			if e.Name == engine {
				return true
			}
		}
		return false
	}
	never := func(string, int) bool { return false }
	p.play(0, 2*time.Second, never)
	p.play(2*time.Second, 9*time.Second, isFaulty)
	for _, e := range names[:faulty] {
		if got := p.failed[e.Name]; got > maxFailures {
			t.Errorf("%d requests were sent to %s while it returned errors, want at most %d", got, e.Name, maxFailures)
		}
	}
	before := fmt.Sprint(p.placed[names[0].Name], p.placed[names[1].Name])
	p.play(9*time.Second, 25*time.Second, never)
	for _, e := range names[:faulty] {
		if p.placed[e.Name] < p.failed[e.Name]+20 {
			t.Errorf("%s got %d requests in all, %s when it had recovered", e.Name, p.placed[e.Name], before)
		}
	}
	if p.refused > 0 {
		t.Errorf("%d requests were refused", p.refused)
	}
}

// TestSingleFailure guards against an engine that is left idle because it lost one answer while the others go on.
func TestSingleFailure(t *testing.T) {
	p := newFailingPool(t, 12)
	name := testEngines(12, 34_000, 24)[0].Name
	p.play(0, time.Second, func(string, int) bool { return false })
	failedOnce := false
	p.play(time.Second, 2*time.Second, func(engine string, _ int) bool {
		fails := engine == name && !failedOnce
		failedOnce = failedOnce || fails
		return fails
	})
	row, _ := p.engines.Get(name)
	if !failedOnce || row.straggler != stragglerNone || row.latency.failing() {
		t.Errorf("failed %t, state %d, failing %t", failedOnce, row.straggler, row.latency.failing())
	}
}

// TestErrorsOfAllEngines guards against a pool without engines because each of them fails a request now and then: the cause is not theirs,
// and the others would have been served.
func TestErrorsOfAllEngines(t *testing.T) {
	p := newFailingPool(t, 12)
	p.play(0, 20*time.Second, func(_ string, number int) bool { return number%5 == 0 })
	placed, failed := 0, 0
	for engine := range p.placed {
		placed += p.placed[engine]
		failed += p.failed[engine]
	}
	if offered := int(20 * time.Second / (20 * time.Millisecond)); placed < offered*95/100 || p.refused > 0 {
		t.Errorf("%d of %d requests were placed, %d of them failed; %d were refused", placed, offered, failed, p.refused)
	}
}
