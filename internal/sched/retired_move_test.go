package sched

import (
	"testing"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

// TestMoveDeclinedFromUnlistedEngine guards against a run that goes on at its source, which is no longer listed, and is not moved again because it counts as one of
// the target that declined it.
func TestMoveDeclinedFromUnlistedEngine(t *testing.T) {
	engines := testEngines(3, 34_000, 24)
	s := newTestScheduler(copyPolicy(), engines...)
	startRuns(t, s, engines[:1], 1)
	s.SetEngines(engines[1:])
	moves := tickMoves(s, epoch)
	if len(moves) != 1 {
		t.Fatalf("moves %+v, want one", moves)
	}
	s.SetEngines(engines[1:])
	s.FinishMove(moves[0].ID, moves[0].Engine, false, epoch.Add(moveRetryDelay))
	if on, _ := s.EngineOf(moves[0].ID); on != engines[0].Name {
		t.Errorf("the run is counted on %s, want %s, its source", on, engines[0].Name)
	}
	again := tickMoves(s, epoch.Add(3*moveRetryDelay))
	if len(again) != 1 || again[0].Engine == moves[0].Engine {
		t.Fatalf("moves %+v after the declined one to %s, want one to the other target", again, moves[0].Engine)
	}
	s.FinishMove(again[0].ID, again[0].Engine, true, epoch.Add(4*moveRetryDelay))
	s.SetEngines(engines[1:])
	if _, listed := s.engines.Slot(engines[0].Name); listed {
		t.Errorf("%s is kept without a run", engines[0].Name)
	}
}

// TestUnlistedEngineIsNotChosen guards against choices of an engine that is no longer listed, and is kept without a run only while its last one moves: by its load it
// would be the best one.
func TestUnlistedEngineIsNotChosen(t *testing.T) {
	engines := testEngines(3, 34_000, 24)
	s := newTestScheduler(copyPolicy(), engines...)
	startRuns(t, s, engines[:1], 1)
	s.SetEngines(engines[1:])
	if moves := tickMoves(s, epoch); len(moves) != 1 {
		t.Fatalf("moves %+v, want one", moves)
	}
	s.SetEngines(engines[1:])
	unlisted, known := s.engines.Slot(engines[0].Name)
	if !known {
		t.Fatalf("%s is not kept during the move", engines[0].Name)
	}
	if best, _, ok := s.leastLoadedByBound(&request{}, epoch); best == unlisted || !ok {
		t.Errorf("the search by bounds finds engine %v, ok %t; want another one than %v", best, ok, unlisted)
	}
	s.hold = engineHold{engine: unlisted, request: table.Slot(0)}
	if s.holdEngine(table.Slot(0)); s.hold.engine == unlisted {
		t.Errorf("engine %v stays held", unlisted)
	}
}
