package hazard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/repro"
)

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 35}) }

var start = time.Unix(1000, 0)

// crashWith records that an engine ended when it had begun to answer a prompt with the parts.
func crashWith(t *Table, number int, version string, parts ...string) {
	t.Record(NewReport(fmt.Sprint("engine-", number), 1, version, true, parts), start)
}

// TestCheck guards against a part that goes on to crash engines, and against one that is refused for its company.
func TestCheck(t *testing.T) {
	tests := []struct {
		name        string
		prepare     func(t *Table)
		parts       []string
		wantVerdict Verdict
		wantParts   []string
	}{
		{"no crash", func(*Table) {}, []string{"a", "bad"}, VerdictAdmit, nil},
		{"two crashes", func(t *Table) {
			crashWith(t, 1, "", "bad")
			crashWith(t, 2, "", "bad")
		}, []string{"bad"}, VerdictAdmit, nil},
		{"three crashes", func(t *Table) {
			for i := range 3 {
				crashWith(t, i, "", "bad")
			}
		}, []string{"a", "bad"}, VerdictRefuse, []string{"bad"}},
		{"three reports of one crash", func(t *Table) {
			for range 3 {
				crashWith(t, 1, "", "bad")
			}
		}, []string{"bad"}, VerdictAdmit, nil},
		{"another part of the same caller", func(t *Table) {
			for i := range 3 {
				crashWith(t, i, "", "bad")
			}
		}, []string{"a", "good"}, VerdictAdmit, nil},
		{"always together", func(t *Table) {
			for i := range 3 {
				crashWith(t, i, "", "a", "bad")
			}
		}, []string{"a", "bad"}, VerdictRefuse, []string{"a", "bad"}},
		{"one of two that were always together", func(t *Table) {
			for i := range 20 {
				crashWith(t, i, "", "a", "bad")
			}
		}, []string{"a", "good"}, VerdictExperiment, []string{"a"}},
		{"sound, beside the cause twenty times", func(t *Table) {
			for i := range 20 {
				crashWith(t, i, "", "a", "bad")
			}
			t.Clear([]string{"a"}, "", start)
		}, []string{"a", "good"}, VerdictAdmit, nil},
		{"the cause, after its company was cleared", func(t *Table) {
			for i := range 3 {
				crashWith(t, i, "", "a", "bad")
			}
			t.Clear([]string{"a"}, "", start)
		}, []string{"a", "bad"}, VerdictRefuse, []string{"bad"}},
		{"cleared before the crash", func(t *Table) {
			t.Clear([]string{"a"}, "", start)
			for i := range 3 {
				crashWith(t, i, "", "a")
			}
		}, []string{"a"}, VerdictAdmit, nil},
		{"company of a convicted part", func(t *Table) {
			for i := range 3 {
				crashWith(t, i, "", "bad")
				crashWith(t, 10+i, "", "bad", "b")
			}
		}, []string{"b"}, VerdictAdmit, nil},
		{"sound on other weights", func(t *Table) {
			t.Clear([]string{"bad"}, "1", start)
			for i := range 3 {
				crashWith(t, i, "2", "bad")
			}
		}, []string{"bad"}, VerdictRefuse, []string{"bad"}},
		{"waited beside a request that had begun", func(t *Table) {
			for i := range 3 {
				crashWith(t, i, "", "bad")
				t.Record(NewReport(fmt.Sprint("engine-", i), 1, "", false, []string{"b"}), start)
			}
		}, []string{"b"}, VerdictAdmit, nil},
		{"no answer had begun", func(t *Table) {
			for i := range 3 {
				t.Record(NewReport(fmt.Sprint("engine-", i), 1, "", false, []string{"bad"}), start)
			}
		}, []string{"bad"}, VerdictRefuse, []string{"bad"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(true)
			test.prepare(table)
			d := table.Check(test.parts, start)
			if d.Verdict() != test.wantVerdict || !slices.Equal(d.Parts(), test.wantParts) {
				t.Errorf("verdict %v because of %v, want %v because of %v", d.Verdict(), d.Parts(), test.wantVerdict, test.wantParts)
			}
		})
	}
}

// TestForgetting guards against a part that is refused for ever, and against one that crashes engines again and again
// because it is forgotten while requests with it come.
func TestForgetting(t *testing.T) {
	table := NewTable(true)
	for i := range minCrashes {
		crashWith(table, i, "", "bad")
	}
	now := start
	for now.Sub(start) < experimentDelay {
		if v := table.Check([]string{"bad"}, now).Verdict(); v != VerdictRefuse {
			t.Fatalf("verdict %v %v after the last crash, want refuse", v, now.Sub(start))
		}
		now = now.Add(time.Minute)
	}
	if v := table.Check([]string{"bad"}, now).Verdict(); v != VerdictExperiment {
		t.Errorf("verdict %v %v after the last crash, want experiment", v, now.Sub(start))
	}
	table.Record(NewReport("engine-x", 1, "", true, []string{"bad"}), now)
	if v := table.Check([]string{"bad"}, now.Add(experimentDelay+time.Second)).Verdict(); v != VerdictRefuse {
		t.Errorf("verdict %v after a failed experiment, want refuse for twice as long", v)
	}
	now = now.Add(2*experimentDelay + retention + time.Second)
	crashWith(table, 100, "", "other") // Evicts.
	table.evict(now)
	if v := table.Check([]string{"bad"}, now).Verdict(); v != VerdictAdmit {
		t.Errorf("verdict %v long after the last request, want admit", v)
	}
}

// TestExperimentOneAtATime guards against several experiments with a part at once, and one that never ends.
func TestExperimentOneAtATime(t *testing.T) {
	table := NewTable(true)
	if ok, _ := table.Experiment([]string{"a", "b"}, start); !ok {
		t.Fatal("the first experiment is not permitted")
	}
	if ok, retryAt := table.Experiment([]string{"b"}, start); ok || !retryAt.Equal(start.Add(experimentTime)) {
		t.Errorf("second experiment permitted %v, retry at %v", ok, retryAt)
	}
	if ok, _ := table.Experiment([]string{"b"}, start.Add(experimentTime)); !ok {
		t.Error("no experiment after the time of the first one")
	}
	table.Clear([]string{"b"}, "", start.Add(experimentTime))
	if ok, _ := table.Experiment([]string{"b"}, start.Add(experimentTime)); !ok {
		t.Error("no experiment after the part was cleared")
	}
}

// TestTableBounds guards against a table that a caller fills who sends no two prompts alike.
func TestTableBounds(t *testing.T) {
	table := NewTable(true)
	for i := range 10 * maxCrashes {
		var parts []string
		for j := range 10 * maxParts {
			parts = append(parts, fmt.Sprint(i, ".", j))
		}
		table.Record(NewReport(fmt.Sprint(i), 1, "", i%2 == 0, parts), start.Add(time.Duration(i)*time.Millisecond))
		table.Clear(parts[:maxParts], "1", start)
	}
	if len(table.crashes) > maxCrashes || table.sound.Len() > maxSound {
		t.Errorf("%d crashes and %d sound parts", len(table.crashes), table.sound.Len())
	}
	for _, c := range table.crashes {
		if len(c.writing) > maxParts || len(c.waiting) > maxParts || len(c.cleared) > 2*maxParts {
			t.Fatalf("a crash with %d, %d and %d parts", len(c.writing), len(c.waiting), len(c.cleared))
		}
	}
}

// TestMergeOrder guards against instances that decide differently after they have got the same messages in another order,
// some of them twice or through others.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		var reports []*Crash
		for i := range rapid.IntRange(1, 12).Draw(t, "reports") {
			engine := fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(t, fmt.Sprint("engine", i)))
			parts := rapid.SliceOfN(rapid.SampledFrom(names), 1, 3).Draw(t, fmt.Sprint("parts", i))
			writing := rapid.Bool().Draw(t, fmt.Sprint("writing", i))
			experiment := rapid.Bool().Draw(t, fmt.Sprint("experiment", i))
			c := NewReport(engine, 1, "1", writing, parts).InExperiment(experiment).crash(start)
			c.unstated = rapid.IntRange(0, 4).Draw(t, fmt.Sprint("release", i)) == 0
			c.clear(rapid.SliceOfN(rapid.SampledFrom(names), 0, 2).Draw(t, fmt.Sprint("cleared", i)))
			reports = append(reports, c)
		}
		tables := []*Table{NewTable(true), NewTable(true)}
		for _, table := range tables {
			order := rapid.Permutation(append(slices.Clone(reports), reports...)).Draw(t, "order")
			for _, c := range order {
				table.Merge(crashOf(messagesOf([]*Crash{c}, start)[0], start), start)
			}
		}
		for _, part := range names {
			for _, judge := range []Judge{(*Table).Check, (*Table).CheckRequest} {
				first, second := judge(tables[0], []string{part}, start), judge(tables[1], []string{part}, start)
				if first.Verdict() != second.Verdict() {
					t.Errorf("part %s: %v and %v", part, first.Verdict(), second.Verdict())
				}
			}
		}
	})
}

// TestOnlyTheCauseIsRefused replays requests of sound parts and of one cause on engines that crash under it, and guards against
// a sound request that is refused and a cause that goes on.
func TestOnlyTheCauseIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(true), start
		sound := []string{"a", "b", "c", "d", "e", "f"}
		crashes, engine := 0, 0
		for i := range rapid.IntRange(20, 200).Draw(t, "requests") {
			now = now.Add(100 * time.Millisecond)
			parts := rapid.SliceOfNDistinct(rapid.SampledFrom(sound), 1, 3, func(s string) string { return s }).Draw(t, fmt.Sprint("parts", i))
			bad := rapid.IntRange(0, 2).Draw(t, fmt.Sprint("bad", i)) == 0
			if bad {
				parts = append(parts, "bad")
			}
			d := table.Check(parts, now)
			if !bad && d.Verdict() == VerdictRefuse {
				t.Fatalf("request %d of sound parts %v is refused because of %v", i, parts, d.Parts())
			}
			if d.Verdict() == VerdictRefuse {
				continue
			}
			if bad {
				engine++
				crashes++
				table.Record(NewReport(fmt.Sprint(engine), 1, "1", true, parts), now)
				continue
			}
			table.Clear(parts, "1", now)
		}
		if most := 2*minCrashes + len(sound); crashes > most {
			t.Errorf("%d crashes, want at most %d", crashes, most)
		}
	})
}
