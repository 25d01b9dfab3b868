package calls

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/repro"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 11, Checks: 300, Steps: 150}) }

// TestAtMostOnce guards against a key that runs twice, and against "run: no" for a key that runs before or after that
// refusal, under divergent views, restarts, pauses, lost, duplicated and late copies, failing replicas and full tables.
func TestAtMostOnce(t *testing.T) {
	names := map[string]opKind{
		"issue": opIssue, "call": opCall, "call again": opCall, "deliver": opDeliver, "deliver again": opDeliver,
		"duplicate": opDuplicate, "drop": opDrop, "step": opStep, "step again": opStep, "step once more": opStep,
		"restart": opRestart, "pause": opPause, "confirm": opConfirm, "pass": opAdvanceClock, "view": opView,
		"drain": opDrain, "replica": opToggleReplica,
	}
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(t, newAtMostOnceRules)
		actions := make(map[string]func(*rapid.T))
		for name, kind := range names {
			actions[name] = func(t *rapid.T) {
				argument := rapid.IntRange(0, 1<<20)
				s.apply(op{kind: kind, a: argument.Draw(t, "a"), b: argument.Draw(t, "b")})
			}
		}
		actions[""] = func(t *rapid.T) {
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
		rt.Repeat(actions)
	})
}

// TestRandomSchedules guards against the same failures as TestAtMostOnce in longer schedules. To prove that the
// schedules can detect them, a naive executor, which hashes keys over its own list of live instances, must run a key
// twice.
func TestRandomSchedules(t *testing.T) {
	const schedules, length = 400, 600
	naiveViolations := 0
	executed, refusedAsNotRun, forwards := 0, 0, 0
	reasons := make(map[pond.Reason]int)
	for seed := range uint64(schedules) {
		schedule := randomSchedule(seed, length)
		s := newSimulation(t, newAtMostOnceRules)
		s.play(schedule)
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		executed += len(s.executed)
		refusedAsNotRun += len(s.refusedAsNotRun)
		forwards += s.forwards
		for reason, count := range s.reasons {
			reasons[reason] += count
		}
		naiveSim := newSimulation(t, newNaiveRules)
		naiveSim.play(schedule)
		if naiveSim.violation != "" {
			naiveViolations++
		}
	}
	t.Logf("%d keys ran, %d refused with run: no, %d forwards, refusals %v, naive violations in %d of %d schedules",
		executed, refusedAsNotRun, forwards, reasons, naiveViolations, schedules)
	if naiveViolations == 0 {
		t.Error("the naive executor ran no key twice, so the schedules cannot detect violations")
	}
	for _, reason := range []pond.Reason{
		pond.ReasonTableFull, pond.ReasonTooManyOpen, pond.ReasonKeyExpired, pond.ReasonKeyReused,
		pond.ReasonLeaving, pond.ReasonNotReady, pond.ReasonNoBackend, pond.ReasonBackendFailed, pond.ReasonExecutorGone,
	} {
		if reasons[reason] == 0 {
			t.Errorf("no schedule produced a refusal with reason %s", reason)
		}
	}
}

// TestSplitView guards against two instances that do not see each other and run two copies of one call, as the naive
// executor does.
func TestSplitView(t *testing.T) {
	const x, y, z = 0, 1, 2
	schedule := []op{{kind: opIssue, a: x}}
	// Every instance sees only itself, so each is the owner in its own view.
	for _, pair := range [][2]int{{x, y}, {x, z}, {y, x}, {y, z}, {z, x}, {z, y}} {
		// An argument b that is a multiple of 4 removes the node b%3 from the view.
		schedule = append(schedule, op{kind: opView, a: pair[0], b: pair[1] * 4})
	}
	for _, node := range []int{x, y} {
		// The copy goes to node b%3; it has the usual body, because b is not a multiple of 16.
		schedule = append(schedule, op{kind: opCall, b: 3 + node}, op{kind: opDeliver})
	}
	for range 8 {
		schedule = append(schedule, op{kind: opStep})
	}
	tests := []struct {
		name  string
		rules func(*simulation, pond.InstanceRef) executorRules
		runs  int
	}{
		{name: "naive", rules: newNaiveRules, runs: 2},
		{name: "once", rules: newAtMostOnceRules, runs: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(t, test.rules)
			s.play(schedule)
			if got := s.executed[s.keys[0]]; got != test.runs {
				t.Errorf("the call ran %d times, want %d", got, test.runs)
			}
		})
	}
}
