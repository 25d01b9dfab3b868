package sched

import (
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	normalGap     = 7200 * time.Microsecond
	slowEngineGap = 9400 * time.Microsecond // 1.3 times as long
)

// reportGaps reports progress of the runs with their gaps for 4 s and carries out the moves that the scheduler decides.
// Two of three gaps are disturbed, as on an engine that prefills prompts half of the time.
func reportGaps(s *Scheduler, runs map[string]time.Duration, emitted map[string]int, moved func(Decision)) {
	now := epoch
	for step := range 40 {
		now = now.Add(100 * time.Millisecond)
		for id, gap := range runs {
			if step%3 > 0 {
				gap = gap * 5 / 2
			}
			emitted[id] += 12
			s.Progress(id, Progress{Tokens: emitted[id], Gap: gap}, now)
		}
		for _, move := range tickMoves(s, now) {
			moved(move)
			s.FinishMove(move.ID, move.Engine, true, now)
		}
	}
}

// TestBaselineGap guards against a wrong baseline because a single gap was measured too short, because a slow engine
// was not observed for a while, or because of longer gaps by disturbances. On one day of the users' benchmark, slow
// engines were taken for normal ones and got a quarter of the long runs.
func TestBaselineGap(t *testing.T) {
	var baseline baselineGap
	now := epoch
	observe := func(gap time.Duration, n int) {
		for range n {
			now = now.Add(30 * time.Millisecond)
			baseline.observe(gap, now)
		}
	}
	observe(slowEngineGap, minBaselineSamples-1)
	if _, known := baseline.best(); known {
		t.Error("the baseline is known from too few gaps")
	}
	observe(2*slowEngineGap, 10)
	observe(normalGap/2, baselineRank-1)
	if got, known := baseline.best(); !known || got != slowEngineGap {
		t.Errorf("baseline %v, %v; want %v despite longer gaps and a few shorter ones", got, known, slowEngineGap)
	}
	now = now.Add(time.Minute)
	if got, known := baseline.best(); !known || got != slowEngineGap {
		t.Errorf("baseline %v, %v after a minute without gaps; want %v", got, known, slowEngineGap)
	}
	now = now.Add(time.Minute)
	observe(normalGap, 2*int(baselineWindow/(30*time.Millisecond)))
	observe(slowEngineGap, 2*int(baselineWindow/(30*time.Millisecond))+2)
	if got, _ := baseline.best(); got != slowEngineGap {
		t.Errorf("baseline %v two windows after the engine became slow, want %v", got, slowEngineGap)
	}
}

// TestBaselineGapAfterMove guards against a slow target that is taken for a normal engine because the last gaps of the
// source are counted on it.
func TestBaselineGapAfterMove(t *testing.T) {
	engines := testEngines(2, 34_000, 24)
	s := newTestScheduler(copyPolicy(), engines...)
	startRuns(t, s, engines[:1], 1)
	s.SetAccepting(engines[0].Name, false)
	moves := tickMoves(s, epoch)
	if len(moves) != 1 || moves[0].Source != engines[0].Name {
		t.Fatalf("moves %+v, want one from %s", moves, engines[0].Name)
	}
	now := epoch
	for i := range 10 {
		now = now.Add(time.Millisecond)
		s.Progress(moves[0].ID, Progress{Tokens: 110 + i, Gap: normalGap}, now)
	}
	s.FinishMove(moves[0].ID, moves[0].Engine, true, now)
	s.Progress(moves[0].ID, Progress{Tokens: 130, Gap: normalGap}, now)
	target, _ := s.engines.Get(moves[0].Engine)
	if target.latency.baseline.samples != 0 {
		t.Errorf("%d gaps of the source are counted on the target", target.latency.baseline.samples)
	}
	s.Progress(moves[0].ID, Progress{Tokens: 142, Gap: slowEngineGap}, now.Add(100*time.Millisecond))
	if target.latency.baseline.samples != 1 {
		t.Errorf("%d gaps are counted on the target after its first one, want 1", target.latency.baseline.samples)
	}
}

// TestRebalanceSlowEngines starts long runs on a pool in which a third of the engines is slow, before the baselines are
// known. It guards against runs that stay on slow engines, and against moves that overload the others. If engines
// cannot copy, the runs stay.
func TestRebalanceSlowEngines(t *testing.T) {
	tests := []struct {
		name     string
		policy   Policy
		runs     int // on each engine
		wantLeft int // on the slow ones
	}{
		{"room on the others", copyPolicy(), 2, 0},
		{"no room on the others", copyPolicy(), 6, 12},
		{"engines that do not copy", testPolicy(), 2, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines := testEngines(6, 34_000, 24)
			s := newTestScheduler(test.policy, engines...)
			slow := map[string]bool{engines[0].Name: true, engines[1].Name: true}
			id := 0
			runs, emitted := make(map[string]time.Duration), make(map[string]int)
			for _, e := range engines {
				for range test.runs {
					req := testRequest(id, pond.ClassLong, 3000, 2000)
					s.Register(req, e.Name, 100, epoch)
					emitted[req.ID] = 100
					if runs[req.ID] = normalGap; slow[e.Name] {
						runs[req.ID] = slowEngineGap
					}
					id++
				}
			}
			reportGaps(s, runs, emitted, func(move Decision) {
				if slow[move.Engine] || !slow[move.Source] {
					t.Errorf("%s moves from %s to %s", move.ID, move.Source, move.Engine)
				}
				runs[move.ID] = normalGap
			})
			left := 0
			for _, stats := range s.EngineStats() {
				if slow[stats.Name] {
					left += stats.Running
				}
			}
			if left != test.wantLeft {
				t.Errorf("%d runs are left on slow engines, want %d", left, test.wantLeft)
			}
		})
	}
}

// TestSlowEngineLoad guards against long requests on slow engines while others have room, and against idle slow
// engines: requests of a few tokens may go there.
func TestSlowEngineLoad(t *testing.T) {
	e := engine{slowBaseline: true}
	long, short := &request{queue: queueLong, predictedOutput: 800}, &request{queue: queueShort, predictedOutput: 8}
	if l, s := e.slowEngineLoad(long), e.slowEngineLoad(short); l != slowLongLoad || s > l/10 {
		t.Errorf("load %v for long and %v for short requests, want %v and nearly none", l, s, slowLongLoad)
	}
	e.runningLong = 1
	if s := e.slowEngineLoad(short); s < slowShortLoad {
		t.Errorf("load %v for a short request next to a long run, want at least %v", s, slowShortLoad)
	}
	e.slowBaseline = false
	if l := e.slowEngineLoad(long); l != 0 {
		t.Errorf("load %v on a normal engine, want 0", l)
	}
}
