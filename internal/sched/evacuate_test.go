package sched

import (
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// copyPolicy lets engines copy a run of 4,000 tokens in 0.22 s, as deployments do.
func copyPolicy() Policy {
	policy := testPolicy()
	policy.TokenCopyTime = 55 * time.Microsecond
	return policy
}

// startRuns registers n long requests on each engine, with 100 tokens emitted each.
func startRuns(t *testing.T, s *Scheduler, engines []Engine, n int) {
	t.Helper()
	id := 0
	for _, e := range engines {
		for range n {
			req := testRequest(id, pond.ClassLong, 3000, 2000)
			s.Register(req, e.Name, 100, epoch)
			id++
		}
	}
}

// tickMoves runs a tick and returns the moves among its decisions.
func tickMoves(s *Scheduler, now time.Time) []Decision {
	var moves []Decision
	for _, decision := range s.Tick(now) {
		if decision.Verdict == VerdictMove {
			moves = append(moves, decision)
		}
	}
	return moves
}

// TestEvacuateReclaimedEngines reclaims two of twelve engines at once, each with four long runs, as happens on a calm
// day. It guards against runs left on a leaving engine, runs that move to another leaving engine, and concurrent copies
// from one engine, which delay each other. If engines cannot copy, nothing moves and all eight runs are lost.
func TestEvacuateReclaimedEngines(t *testing.T) {
	tests := []struct {
		name     string
		policy   Policy
		wantLeft int
	}{
		{name: "engines that copy", policy: copyPolicy(), wantLeft: 0},
		{name: "engines that do not", policy: testPolicy(), wantLeft: 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines := testEngines(12, 34_000, 24)
			s := newTestScheduler(test.policy, engines...)
			startRuns(t, s, engines, 4)
			leaving := map[string]bool{engines[0].Name: true, engines[1].Name: true}
			for name := range leaving {
				s.SetAccepting(name, false)
			}
			const copyTime = 250 * time.Millisecond
			now := epoch
			for step := range 6 {
				moves := tickMoves(s, now)
				if len(moves) > len(leaving) {
					t.Fatalf("step %d: %d moves at once from %d engines", step, len(moves), len(leaving))
				}
				now = now.Add(copyTime)
				for _, move := range moves {
					if leaving[move.Engine] {
						t.Errorf("step %d: %s moves to %s, which leaves too", step, move.ID, move.Engine)
					}
					s.FinishMove(move.ID, move.Engine, true, now)
				}
			}
			left := 0
			for _, stats := range s.EngineStats() {
				if leaving[stats.Name] {
					left += stats.Running
				}
			}
			if left != test.wantLeft {
				t.Errorf("%d runs are left on leaving engines, want %d", left, test.wantLeft)
			}
		})
	}
}

// TestEvacuateOrder guards against spending the notice on runs that finish in time or have not started, while others
// are lost.
func TestEvacuateOrder(t *testing.T) {
	engines := testEngines(2, 34_000, 24)
	s := newTestScheduler(copyPolicy(), engines...)
	source := engines[0].Name
	add := func(id, prompt, maxOut, emitted int) string {
		req := testRequest(id, pond.ClassLong, prompt, maxOut)
		s.Register(req, source, emitted, epoch)
		return req.ID
	}
	ending := add(1, 3000, 1000, 990)
	queued := add(2, 3000, 2000, 0)
	costly := add(3, 6000, 1500, 100)
	cheap := add(4, 2000, 1500, 100)
	s.SetAccepting(source, false)
	now := epoch
	var order []string
	for range 4 {
		moves := tickMoves(s, now)
		if len(moves) != 1 {
			t.Fatalf("%d moves after %v, want 1", len(moves), order)
		}
		order = append(order, moves[0].ID)
		s.FinishMove(moves[0].ID, moves[0].Engine, true, now)
		now = now.Add(time.Millisecond)
	}
	want := []string{cheap, costly, ending, queued}
	for i := range want {
		if order[i] != want[i] {
			t.Fatalf("order of moves %v, want %v", order, want)
		}
	}
}

// TestEvacuateWithinDataCentre tells an engine to leave while the engines of its own data centre are more loaded than
// one of another. It guards against copies to the other data centre, which take twice as long, if the engine is full
// and its other runs need the time, and against overloading its own data centre if there is enough time.
func TestEvacuateWithinDataCentre(t *testing.T) {
	tests := []struct {
		runs           int
		wantDataCentre string
	}{{1, "b"}, {8, "a"}}
	for _, test := range tests {
		engines := testEngines(3, 34_000, 24)
		engines[0].DataCentre, engines[1].DataCentre, engines[2].DataCentre = "a", "a", "b"
		s := newTestScheduler(copyPolicy(), engines...)
		startRuns(t, s, engines[:1], test.runs)
		for id := range 3 {
			s.Register(testRequest(100+id, pond.ClassLong, 3000, 2000), engines[1].Name, 100, epoch)
		}
		s.SetAccepting(engines[0].Name, false)
		moves := tickMoves(s, epoch)
		if len(moves) != 1 {
			t.Fatalf("%d runs: %d moves, want 1", test.runs, len(moves))
		}
		target, _ := s.engines.Get(moves[0].Engine)
		if target.dataCentre != test.wantDataCentre {
			t.Errorf("%d runs: the first goes to data centre %s, want %s", test.runs, target.dataCentre, test.wantDataCentre)
		}
	}
}

// TestEvacuateFailedMove guards against a run that is counted on the target after a failed move, and against another
// move to that target.
func TestEvacuateFailedMove(t *testing.T) {
	engines := testEngines(3, 34_000, 24)
	s := newTestScheduler(copyPolicy(), engines...)
	startRuns(t, s, engines[:1], 1)
	s.SetAccepting(engines[0].Name, false)
	first := tickMoves(s, epoch)
	if len(first) != 1 {
		t.Fatalf("%d moves, want 1", len(first))
	}
	s.FinishMove(first[0].ID, first[0].Engine, false, epoch)
	if got := s.EngineStats()[0].Running; got != 1 {
		t.Errorf("%d runs counted on the source after a failed move, want 1", got)
	}
	if again := tickMoves(s, epoch.Add(moveRetryDelay/2)); len(again) != 0 {
		t.Errorf("the move is retried before the delay: %v", again)
	}
	second := tickMoves(s, epoch.Add(2*moveRetryDelay))
	if len(second) != 1 || second[0].Engine == first[0].Engine {
		t.Errorf("moves %v after a failed one to %s, want one to the other engine", second, first[0].Engine)
	}
	// The instance that carries out the move is gone, so the move expires and its batch slot on the target is free again.
	if late := tickMoves(s, epoch.Add(2*moveRetryDelay+2*moveTimeout)); len(late) > 1 {
		t.Errorf("moves %v after one that expired", late)
	}
}

// BenchmarkEvacuate measures one tick of a pool of the largest expected size, about 100 engines and 500 requests a
// second, while engines leave.
func BenchmarkEvacuate(b *testing.B) {
	engines := testEngines(100, 200_000, 64)
	s := newTestScheduler(copyPolicy(), engines...)
	for i := range 2000 {
		s.Register(testRequest(i, pond.ClassLong, 3000, 2000), engines[i%len(engines)].Name, 100, epoch)
	}
	for i := range 17 {
		s.SetAccepting(engines[i].Name, false)
	}
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		for _, move := range s.Tick(now) {
			s.FinishMove(move.ID, move.Engine, false, now)
		}
	}
}
