package sched

import (
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	usualGap = 7200 * time.Microsecond
	slowGap  = 9400 * time.Microsecond // 1.3 times as long
)

// showGaps makes the engines of a scheduler show their gaps for a time and carries out the moves that it asks for. Most
// gaps are disturbed, as on an engine that reads prompts half of the time.
func showGaps(s *Scheduler, runs map[string]time.Duration, shown map[string]int, moved func(Decision)) {
	now := epoch
	for step := range 40 {
		now = now.Add(100 * time.Millisecond)
		for id, gap := range runs {
			if step%3 > 0 {
				gap = gap * 5 / 2
			}
			shown[id] += 12
			s.Progress(id, Progress{Tokens: shown[id], Gap: gap}, now)
		}
		for _, move := range moves(s, now) {
			moved(move)
			s.Moved(move.ID, move.Engine, true, now)
		}
	}
}

// TestPace guards against engines whose pace is told wrongly: by a gap that came out too short, by the tokens of the
// engine that a run came from, or because a slow engine was not observed for a while. On a day of the users' bench slow
// engines passed as usual ones, and a quarter of the long runs went there.
func TestPace(t *testing.T) {
	var p pace
	now := epoch
	observe := func(gap time.Duration, n int) {
		for range n {
			now = now.Add(30 * time.Millisecond)
			p.observe(gap, now)
		}
	}
	observe(slowGap, paceSamples-1)
	if _, known := p.best(); known {
		t.Error("the pace is known from fewer gaps than it takes")
	}
	observe(2*slowGap, 10)
	observe(usualGap/2, paceRank-1)
	if got, known := p.best(); !known || got != slowGap {
		t.Errorf("pace %v, %v; want %v in spite of longer gaps and single shorter ones", got, known, slowGap)
	}
	now = now.Add(time.Minute)
	if got, known := p.best(); !known || got != slowGap {
		t.Errorf("pace %v, %v after a minute without gaps; want %v", got, known, slowGap)
	}
	now = now.Add(time.Minute)
	observe(usualGap, 2*int(paceWindow/(30*time.Millisecond)))
	observe(slowGap, 2*int(paceWindow/(30*time.Millisecond))+2)
	if got, _ := p.best(); got != slowGap {
		t.Errorf("pace %v two windows after the engine became slow, want %v", got, slowGap)
	}
}

// TestPaceOfMove guards against a slow target that passes as a usual engine because the last tokens of its source are
// counted on it.
func TestPaceOfMove(t *testing.T) {
	engines := testEngines(2, 34_000, 24)
	s := newTestScheduler(movingPolicy(), engines...)
	startRuns(t, s, engines[:1], 1)
	s.SetAccepting(engines[0].Name, false)
	found := moves(s, epoch)
	if len(found) != 1 || found[0].Source != engines[0].Name {
		t.Fatalf("moves %+v, want one from %s", found, engines[0].Name)
	}
	now := epoch
	for i := range 10 {
		now = now.Add(time.Millisecond)
		s.Progress(found[0].ID, Progress{Tokens: 110 + i, Gap: usualGap}, now)
	}
	s.Moved(found[0].ID, found[0].Engine, true, now)
	s.Progress(found[0].ID, Progress{Tokens: 130, Gap: usualGap}, now)
	target, _ := s.engines.Get(found[0].Engine)
	if target.speed.pace.samples != 0 {
		t.Errorf("%d gaps of the source are counted on the target", target.speed.pace.samples)
	}
	s.Progress(found[0].ID, Progress{Tokens: 142, Gap: slowGap}, now.Add(100*time.Millisecond))
	if target.speed.pace.samples != 1 {
		t.Errorf("%d gaps are counted on the target after its first one, want 1", target.speed.pace.samples)
	}
}

// TestUnburdenSlowEngines replays a third of slow engines, on which long runs started before their pace was known. It
// guards against runs that stay there, and against moves that fill the other engines. Without copies between engines they
// stay, as they did before.
func TestUnburdenSlowEngines(t *testing.T) {
	tests := []struct {
		name     string
		policy   Policy
		runs     int // on each engine
		wantLeft int // on the slow ones
	}{
		{"room on the others", movingPolicy(), 2, 0},
		{"no room on the others", movingPolicy(), 6, 12},
		{"engines that do not copy", testPolicy(), 2, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines := testEngines(6, 34_000, 24)
			s := newTestScheduler(test.policy, engines...)
			slow := map[string]bool{engines[0].Name: true, engines[1].Name: true}
			id := 0
			runs, shown := make(map[string]time.Duration), make(map[string]int)
			for _, e := range engines {
				for range test.runs {
					req := testRequest(id, pond.ClassLong, 3000, 2000)
					s.Register(req, e.Name, 100, epoch)
					shown[req.ID] = 100
					if runs[req.ID] = usualGap; slow[e.Name] {
						runs[req.ID] = slowGap
					}
					id++
				}
			}
			showGaps(s, runs, shown, func(move Decision) {
				if slow[move.Engine] || !slow[move.Source] {
					t.Errorf("%s moves from %s to %s", move.ID, move.Source, move.Engine)
				}
				runs[move.ID] = usualGap
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

// TestSlowEngineLoad guards against long outputs on slow engines while others have room, and against leaving slow engines
// idle: outputs of a few tokens are welcome there.
func TestSlowEngineLoad(t *testing.T) {
	e := engine{slowPace: true}
	long, short := &request{queue: queueLong, predicted: 800}, &request{queue: queueShort, predicted: 8}
	if l, s := e.paceLoad(long), e.paceLoad(short); l != longOnSlowLoad || s > l/10 {
		t.Errorf("load %v for long and %v for short work, want %v and nearly none", l, s, longOnSlowLoad)
	}
	e.runningLong = 1
	if s := e.paceLoad(short); s < shortOnSlowLoad {
		t.Errorf("load %v for a prompt beside a long run, want at least %v", s, shortOnSlowLoad)
	}
	e.slowPace = false
	if l := e.paceLoad(long); l != 0 {
		t.Errorf("load %v on a usual engine, want 0", l)
	}
}
