package once

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestMain fixes the seed of the property tests, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "11", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestAtMostOnce guards against a key that runs twice and against a refusal "run: no" of a key that ran or runs later,
// under split views, restarts, pauses, lost, duplicated and late copies, failing replicas and full tables.
func TestAtMostOnce(t *testing.T) {
	names := map[string]opKind{
		"issue": opIssue, "call": opCall, "call again": opCall, "deliver": opDeliver, "deliver again": opDeliver,
		"duplicate": opDuplicate, "drop": opDrop, "step": opStep, "step again": opStep, "step once more": opStep,
		"restart": opRestart, "pause": opPause, "confirm": opConfirm, "pass": opPass, "view": opView,
		"drain": opDrain, "replica": opReplica,
	}
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, newOnceRules)
		actions := make(map[string]func(*rapid.T))
		for name, kind := range names {
			actions[name] = func(t *rapid.T) {
				argument := rapid.IntRange(0, 1<<20)
				w.apply(op{kind: kind, a: argument.Draw(t, "a"), b: argument.Draw(t, "b")})
			}
		}
		actions[""] = func(t *rapid.T) {
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}
		rt.Repeat(actions)
	})
}

// TestSchedules guards against the same faults as TestAtMostOnce in longer schedules, and against schedules that prove
// nothing: under them, an executor that hashes the key over its own live list must run a key twice.
func TestSchedules(t *testing.T) {
	const schedules, length = 400, 600
	naiveViolations := 0
	executed, deniedRun, forwards := 0, 0, 0
	reasons := make(map[pond.Reason]int)
	for seed := range uint64(schedules) {
		schedule := randomSchedule(seed, length)
		w := newWorld(t, newOnceRules)
		w.play(schedule)
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
		executed += len(w.executed)
		deniedRun += len(w.deniedRun)
		forwards += w.forwards
		for reason, count := range w.reasons {
			reasons[reason] += count
		}
		other := newWorld(t, newNaiveRules)
		other.play(schedule)
		if other.violation != "" {
			naiveViolations++
		}
	}
	t.Logf("%d keys ran, %d refused with run: no, %d forwards, refusals %v, naive violations in %d of %d schedules",
		executed, deniedRun, forwards, reasons, naiveViolations, schedules)
	if naiveViolations == 0 {
		t.Error("the naive executor ran no key twice, so the schedules prove nothing")
	}
	for _, reason := range []pond.Reason{
		pond.ReasonTableFull, pond.ReasonTooManyOpen, pond.ReasonKeyExpired, pond.ReasonKeyReused,
		pond.ReasonLeaving, pond.ReasonNotReady, pond.ReasonNoBackend, pond.ReasonBackendFailed, pond.ReasonExecutorGone,
	} {
		if reasons[reason] == 0 {
			t.Errorf("no schedule led to a refusal with reason %s", reason)
		}
	}
}

// TestSplitView guards against the violation that made the naive executor unusable: two instances that do not see each
// other run two copies of one call.
func TestSplitView(t *testing.T) {
	const x, y, z = 0, 1, 2
	schedule := []op{{kind: opIssue, a: x}}
	// Every instance loses the other two, so each is the owner in its own view.
	for _, pair := range [][2]int{{x, y}, {x, z}, {y, x}, {y, z}, {z, x}, {z, y}} {
		// An argument b that is a multiple of 4 loses the node that is its remainder.
		schedule = append(schedule, op{kind: opView, a: pair[0], b: pair[1] * 4})
	}
	for _, node := range []int{x, y} {
		// The argument b selects the node by its remainder and, not being a multiple of 16, the usual body.
		schedule = append(schedule, op{kind: opCall, b: 3 + node}, op{kind: opDeliver})
	}
	for range 8 {
		schedule = append(schedule, op{kind: opStep})
	}
	tests := []struct {
		name  string
		rules func(*world, pond.InstanceRef) rules
		runs  int
	}{
		{name: "naive", rules: newNaiveRules, runs: 2},
		{name: "once", rules: newOnceRules, runs: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, test.rules)
			w.play(schedule)
			if got := w.executed[w.keys[0]]; got != test.runs {
				t.Errorf("the call ran %d times, want %d", got, test.runs)
			}
		})
	}
}
