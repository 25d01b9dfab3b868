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

// showGaps makes the engines of a scheduler show their gaps for a time and carries out the moves that it asks for. Most
// gaps are disturbed, as on an engine that reads prompts half of the time.
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
			s.Moved(move.ID, move.Engine, true, now)
		}
	}
}

// TestPace guards against engines whose pace is told wrongly: by a gap that came out too short, by the tokens of the
// engine that a run came from, or because a slow engine was not observed for a while. On a day of the users' bench slow
// engines passed as usual ones, and a quarter of the long runs went there.
func TestPace(t *testing.T) {
	var p baselineGap
	now := epoch
	observe := func(gap time.Duration, n int) {
		for range n {
			now = now.Add(30 * time.Millisecond)
			p.observe(gap, now)
		}
	}
	observe(slowEngineGap, minBaselineSamples-1)
	if _, known := p.best(); known {
		t.Error("the pace is known from fewer gaps than it takes")
	}
	observe(2*slowEngineGap, 10)
	observe(normalGap/2, baselineRank-1)
	if got, known := p.best(); !known || got != slowEngineGap {
		t.Errorf("pace %v, %v; want %v in spite of longer gaps and single shorter ones", got, known, slowEngineGap)
	}
	now = now.Add(time.Minute)
	if got, known := p.best(); !known || got != slowEngineGap {
		t.Errorf("pace %v, %v after a minute without gaps; want %v", got, known, slowEngineGap)
	}
	now = now.Add(time.Minute)
	observe(normalGap, 2*int(baselineWindow/(30*time.Millisecond)))
	observe(slowEngineGap, 2*int(baselineWindow/(30*time.Millisecond))+2)
	if got, _ := p.best(); got != slowEngineGap {
		t.Errorf("pace %v two windows after the engine became slow, want %v", got, slowEngineGap)
	}
}

// TestPaceOfMove guards against a slow target that passes as a usual engine because the last tokens of its source are
// counted on it.
func TestPaceOfMove(t *testing.T) {
	engines := testEngines(2, 34_000, 24)
	s := newTestScheduler(copyPolicy(), engines...)
	startRuns(t, s, engines[:1], 1)
	s.SetAccepting(engines[0].Name, false)
	found := tickMoves(s, epoch)
	if len(found) != 1 || found[0].Source != engines[0].Name {
		t.Fatalf("moves %+v, want one from %s", found, engines[0].Name)
	}
	now := epoch
	for i := range 10 {
		now = now.Add(time.Millisecond)
		s.Progress(found[0].ID, Progress{Tokens: 110 + i, Gap: normalGap}, now)
	}
	s.Moved(found[0].ID, found[0].Engine, true, now)
	s.Progress(found[0].ID, Progress{Tokens: 130, Gap: normalGap}, now)
	target, _ := s.engines.Get(found[0].Engine)
	if target.latency.baseline.samples != 0 {
		t.Errorf("%d gaps of the source are counted on the target", target.latency.baseline.samples)
	}
	s.Progress(found[0].ID, Progress{Tokens: 142, Gap: slowEngineGap}, now.Add(100*time.Millisecond))
	if target.latency.baseline.samples != 1 {
		t.Errorf("%d gaps are counted on the target after its first one, want 1", target.latency.baseline.samples)
	}
}

// TestUnburdenSlowEngines replays a third of slow engines, on which long runs started before their pace was known. It
// guards against runs that stay there, and against moves that fill the other engines. Without copies between engines
// they stay, as they did before.
func TestUnburdenSlowEngines(t *testing.T) {
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

// TestSlowEngineLoad guards against long outputs on slow engines while others have room, and against leaving slow
// engines idle: outputs of a few tokens are welcome there.
func TestSlowEngineLoad(t *testing.T) {
	e := engine{slowBaseline: true}
	long, short := &request{queue: queueLong, predictedOutput: 800}, &request{queue: queueShort, predictedOutput: 8}
	if l, s := e.slowEngineLoad(long), e.slowEngineLoad(short); l != slowLongLoad || s > l/10 {
		t.Errorf("load %v for long and %v for short work, want %v and nearly none", l, s, slowLongLoad)
	}
	e.runningLong = 1
	if s := e.slowEngineLoad(short); s < slowShortLoad {
		t.Errorf("load %v for a prompt beside a long run, want at least %v", s, slowShortLoad)
	}
	e.slowBaseline = false
	if l := e.slowEngineLoad(long); l != 0 {
		t.Errorf("load %v on a usual engine, want 0", l)
	}
}
