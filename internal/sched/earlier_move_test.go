package sched

import (
	"testing"
	"time"
)

// TestFailedMoveOfEarlierOrder guards against the report that an earlier move of a request failed, which ends the one in progress: the place on the target
// is released and another move is ordered while the run goes on there.
func TestFailedMoveOfEarlierOrder(t *testing.T) {
	engines := testEngines(3, 34_000, 24)
	s := newTestScheduler(copyPolicy(), engines...)
	startRuns(t, s, engines[:1], 1)
	s.SetAccepting(engines[0].Name, false)
	moves := tickMoves(s, epoch)
	if len(moves) != 1 {
		t.Fatalf("moves %+v, want one", moves)
	}
	earlier := engines[1].Name
	if moves[0].Engine == earlier {
		earlier = engines[2].Name
	}
	s.FinishMove(moves[0].ID, earlier, false, epoch.Add(10*time.Millisecond))
	if on, _ := s.EngineOf(moves[0].ID); on != moves[0].Engine {
		t.Errorf("the run is counted on %s, want %s, the target of the move in progress", on, moves[0].Engine)
	}
	if again := tickMoves(s, epoch.Add(2*moveRetryDelay)); len(again) != 0 {
		t.Errorf("%+v is ordered during another move", again)
	}
}
