package hazard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCheckRequest guards against a request that goes on to crash backend servers, and against sound ones that are refused because they ran
// on servers which ended.
func TestCheckRequest(t *testing.T) {
	crash := func(t *Table, number int, requests ...string) {
		for _, request := range requests {
			t.Record(NewReport(fmt.Sprint("replica-", number), 1, "", true, []string{request}), start)
		}
	}
	tests := []struct {
		name    string
		prepare func(t *Table)
		request string
		after   time.Duration
		want    Verdict
	}{
		{"no crash", func(*Table) {}, "bad", 0, VerdictAdmit},
		{"two crashes", func(t *Table) {
			crash(t, 1, "bad")
			crash(t, 2, "bad")
		}, "bad", 0, VerdictAdmit},
		{"three crashes", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad")
			}
		}, "bad", 0, VerdictRefuse},
		{"three crashes, others beside it that come once", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad", fmt.Sprint("once-", i), fmt.Sprint("once too-", i))
			}
		}, "bad", 0, VerdictRefuse},
		{"one that comes once, beside the cause", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad", fmt.Sprint("once-", i))
			}
		}, "once-1", 0, VerdictAdmit},
		{"three reports of one crash", func(t *Table) {
			for range 3 {
				crash(t, 1, "bad")
			}
		}, "bad", 0, VerdictAdmit},
		{"two requests in the same crashes", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad", "polled")
			}
		}, "polled", 0, VerdictExperiment},
		{"the cause, beside one in the same crashes", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad", "polled")
			}
		}, "bad", 0, VerdictExperiment},
		{"the cause, after its experiment", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad", "polled")
			}
			crash(t, 3, "bad")
		}, "bad", 0, VerdictRefuse},
		{"the other one, after the experiment of the cause", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad", "polled")
			}
			crash(t, 3, "bad")
		}, "polled", 0, VerdictExperiment},
		{"experiments that crashed with the other one beside them", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad", "polled")
			}
			for i := 3; i < 5; i++ {
				crash(t, i, "polled")
				t.Record(NewReport(fmt.Sprint("replica-", i), 1, "", true, []string{"bad"}).InExperiment(true), start)
			}
		}, "bad", 0, VerdictRefuse},
		{"experiments of the other one", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad", "polled")
			}
			for i := 3; i < 5; i++ {
				crash(t, i, "polled")
				t.Record(NewReport(fmt.Sprint("replica-", i), 1, "", true, []string{"bad"}).InExperiment(true), start)
			}
		}, "polled", 0, VerdictExperiment},
		{"crashes that an instance of a former release has told of", func(t *Table) {
			for i := range 5 {
				crash(t, i, "bad", "polled")
			}
			for _, message := range messagesOf(t.Crashes(), start) {
				message.StatesExperiments = false
				t.Merge(crashOf(message, start), start)
			}
		}, "bad", 0, VerdictRefuse},
		{"answered between three accidents", func(t *Table) {
			for i := range 3 {
				crash(t, i, "polled")
				t.Clear([]string{"polled"}, "", start)
			}
		}, "polled", 0, VerdictAdmit},
		{"three accidents since an answer", func(t *Table) {
			t.Clear([]string{"polled"}, "", start)
			for i := range 3 {
				crash(t, i, "polled")
			}
		}, "polled", 0, VerdictRefuse},
		{"one may run again later", func(t *Table) {
			for i := range 3 {
				crash(t, i, "bad")
			}
		}, "bad", firstRequestDelay, VerdictExperiment},
		{"not again soon after that", func(t *Table) {
			for i := range 4 {
				crash(t, i, "bad")
			}
		}, "bad", firstRequestDelay, VerdictRefuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(false)
			test.prepare(table)
			if got := table.CheckRequest([]string{test.request}, start.Add(test.after)).Verdict(); got != test.want {
				t.Errorf("verdict %v, want %v", got, test.want)
			}
		})
	}
}

// TestRequestRefusedWithoutExperiment guards against a sound request that is refused for long because it was at each of five servers when
// another request crashed them, though it was never let in to show whether it is sound.
func TestRequestRefusedWithoutExperiment(t *testing.T) {
	for crashes := minCrashes; crashes <= 2*(minCrashes+maxExperiments); crashes++ {
		table := NewTable(false)
		for i := range crashes {
			table.Record(NewReport(fmt.Sprint("replica-", i), 1, "", true, []string{"bad"}), start)
			table.Record(NewReport(fmt.Sprint("replica-", i), 1, "", true, []string{"polled"}), start)
		}
		if got := table.CheckRequest([]string{"polled"}, start).Verdict(); got != VerdictExperiment {
			t.Errorf("after %d crashes: verdict %v, want %v", crashes, got, VerdictExperiment)
		}
	}
}

// TestRequestCrashBound guards against a request that crashes more than three backend servers and three more, with any requests beside it,
// and against a sound one that is refused for longer than until its experiment. A crash is known before the next request is checked.
func TestRequestCrashBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(false), start
		crashes, soundRefused := 0, 0
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			request := rapid.SampledFrom([]string{"bad", "polled", "polled too", "once"}).Draw(t, "request")
			if request == "once" {
				request = fmt.Sprint("once-", step)
			}
			d := table.CheckRequest([]string{request}, now)
			admitted := d.Verdict() == VerdictAdmit
			if d.Verdict() == VerdictExperiment {
				admitted, _ = table.Experiment([]string{request}, now)
			}
			switch {
			case request != "bad" && admitted:
				table.Clear([]string{request}, "", now)
			case request != "bad":
				soundRefused++
			case admitted:
				crashes++
				beside := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"polled", "polled too", "x", "y"}), rapid.ID[string]).Draw(t, "beside")
				for _, r := range beside {
					table.Record(NewReport(fmt.Sprint("replica-", step), 1, "", true, []string{r}), now)
				}
				report := NewReport(fmt.Sprint("replica-", step), 1, "", true, []string{request})
				table.Record(report.InExperiment(d.Verdict() == VerdictExperiment), now)
			}
		}
		if crashes > minCrashes+3 {
			t.Fatalf("%d crashes", crashes)
		}
		if soundRefused > 10 {
			t.Fatalf("%d sound requests refused", soundRefused)
		}
	})
}

// TestNothingRememberedOfSoundRequests guards against memory that grows with the number of different requests.
func TestNothingRememberedOfSoundRequests(t *testing.T) {
	table := NewTable(false)
	for i := range 10_000 {
		table.Clear([]string{fmt.Sprint("request-", i)}, "", start)
	}
	if table.sound != nil || len(table.crashes) != 0 || len(table.experiments) != 0 {
		t.Errorf("%d crashes and %d experiments after sound requests", len(table.crashes), len(table.experiments))
	}
	for i := range 2 * maxCrashes {
		table.Record(NewReport(fmt.Sprint("replica-", i), 1, "", true, []string{"request"}), start.Add(time.Duration(i)*time.Millisecond))
	}
	if len(table.crashes) > maxCrashes {
		t.Errorf("%d crashes are kept, want at most %d", len(table.crashes), maxCrashes)
	}
}
