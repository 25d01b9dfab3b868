package load

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// testEntry is an entry instance that serves one answer by a script.
type testEntry struct {
	address string
	// validity of its lookup answers.
	validity time.Duration
	lookups  int
	// paths are the requests other than lookups, with the value of Last-Event-ID or Idempotency-Key.
	paths []string
	// script handles the request numbered n, counted from 0 over all entries that share it.
	script func(n int, w http.ResponseWriter, r *http.Request)
	shared *int
}

func (e *testEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		e.lookups++
		_, _ = fmt.Fprintf(w, `{"entries":[{"address":"a:1"},{"address":"b:1"}],"validUntil":%q,"runKey":"key%d"}`,
			time.Now().Add(e.validity).Format(time.RFC3339Nano), *e.shared)
		return
	}
	n := *e.shared
	*e.shared++
	e.paths = append(e.paths, r.Method+" "+r.URL.Path+" "+r.Header.Get("Last-Event-ID")+r.Header.Get("Idempotency-Key"))
	e.script(n, w, r)
}

// serveOne runs one arrival against two entries that share a script. It is sent late after its intended time.
func serveOne(t *testing.T, arrival Arrival, late time.Duration, script func(n int, w http.ResponseWriter, r *http.Request)) (*recorder, []string) {
	t.Helper()
	plan := testPlan()
	plan.Accounts = 1
	rec := newRecorder(plan)
	calls := 0
	entries := handlers{}
	var list []*testEntry
	for _, address := range []string{"a:1", "b:1"} {
		entry := &testEntry{address: address, validity: time.Minute, script: script, shared: &calls}
		entries[address] = entry
		list = append(list, entry)
	}
	target := Target{Entries: []string{"none:1", "a:1", "b:1"}, Model: "m", Service: "s"}
	c := newCaller(&http.Client{Transport: entries}, plan, target, rec, time.Now().Add(-arrival.At-late))
	c.serve(t.Context(), arrival)
	time.Sleep(time.Minute) // Virtual time in which the script ends if the caller left early.
	synctest.Wait()
	return rec, append(list[0].paths, list[1].paths...)
}

const testLength = 5

func letter() Arrival {
	return Arrival{Kind: KindLong, Length: testLength, Due: time.Minute, prompt: "test length=5"}
}

// tokens sends the tokens from one offset to another, 10 ms apart, as an entry instance does.
func tokens(w http.ResponseWriter, generation string, from, to int) {
	text := fakes.Tokens(letter().Prompt(), generation)
	for i := from; i < to; i++ {
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: cursor%d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", i+1, text(i))
	}
}

func done(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "event: done\ndata: [DONE]\n\n") }

func refuse(w http.ResponseWriter, status int, retryAfter, body string) {
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, body)
}

// Guards against a caller that takes a broken answer for a whole one, loses a whole one, or retries against the
// system's advice.
func TestCallerGenerates(t *testing.T) {
	tests := []struct {
		name      string
		script    func(n int, w http.ResponseWriter, r *http.Request)
		whole     bool
		violation string
		failure   string
		requests  []string
	}{
		{"whole", func(_ int, w http.ResponseWriter, _ *http.Request) {
			tokens(w, "g", 0, testLength)
			done(w)
		}, true, "", "", []string{"POST /v1/completions "}},
		{"dropped and resumed", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				tokens(w, "g", 0, 3)
				panic(http.ErrAbortHandler)
			}
			tokens(w, "g", 3, testLength)
			done(w)
		}, true, "", "", []string{"POST /v1/completions ", "GET /v1/streams cursor3"}},
		{"dropped before the first token", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				panic(http.ErrAbortHandler)
			}
			tokens(w, "g", 0, testLength)
			done(w)
		}, true, "", "", []string{"POST /v1/completions ", "POST /v1/completions "}},
		{"moved", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				tokens(w, "g", 0, 2)
				_, _ = fmt.Fprint(w, "id: moved\nevent: move\ndata: {}\n\n")
				return
			}
			tokens(w, "g", 2, testLength)
			done(w)
		}, true, "", "", []string{"POST /v1/completions ", "GET /v1/streams moved"}},
		{"refused with advice", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				refuse(w, 503, "2", `{"reason":"overloaded","run":"no"}`)
				return
			}
			tokens(w, "g", 0, testLength)
			done(w)
		}, true, "", "", []string{"POST /v1/completions ", "POST /v1/completions "}},
		{"refused without advice", func(_ int, w http.ResponseWriter, _ *http.Request) {
			refuse(w, 504, "", `{"reason":"deadline","run":"no"}`)
		}, false, "", "deadline", []string{"POST /v1/completions "}},
		{"advice beyond the deadline", func(_ int, w http.ResponseWriter, _ *http.Request) {
			refuse(w, 503, "120", `{"reason":"overloaded","run":"no"}`)
		}, false, "", "overloaded", []string{"POST /v1/completions "}},
		{"ended by an error", func(_ int, w http.ResponseWriter, _ *http.Request) {
			tokens(w, "g", 0, 2)
			_, _ = fmt.Fprint(w, "event: error\ndata: {\"reason\":\"generationLost\"}\n\n")
		}, false, "", "generationLost", []string{"POST /v1/completions "}},
		{"never ends", func(_ int, w http.ResponseWriter, r *http.Request) {
			tokens(w, "g", 0, 2)
			<-r.Context().Done()
		}, false, "", gaveUpTimeout, []string{"POST /v1/completions "}},
		{"cut short", func(_ int, w http.ResponseWriter, _ *http.Request) {
			tokens(w, "g", 0, testLength-1)
			done(w)
		}, false, "ended before its last token", "", []string{"POST /v1/completions "}},
		{"token lost", func(_ int, w http.ResponseWriter, _ *http.Request) {
			tokens(w, "g", 0, 2)
			tokens(w, "g", 3, testLength)
			done(w)
		}, false, "in place of token 2", "", []string{"POST /v1/completions "}},
		{"token repeated", func(_ int, w http.ResponseWriter, _ *http.Request) {
			tokens(w, "g", 0, 2)
			tokens(w, "g", 1, testLength)
			done(w)
		}, false, "in place of token 2", "", []string{"POST /v1/completions "}},
		{"two generations mixed", func(_ int, w http.ResponseWriter, _ *http.Request) {
			tokens(w, "g", 0, 2)
			tokens(w, "h", 2, testLength)
			done(w)
		}, false, "another generation", "", []string{"POST /v1/completions "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rec, requests := serveOne(t, letter(), 0, test.script)
				if whole := rec.kinds[KindLong].whole == 1; whole != test.whole {
					t.Errorf("whole: got %v, want %v; failures %v", whole, test.whole, rec.failures)
				}
				if violation := strings.Join(rec.violations, ""); !strings.Contains(violation, test.violation) || test.violation == "" && violation != "" {
					t.Errorf("violation: got %q, want %q", violation, test.violation)
				}
				if test.failure != "" && rec.failures[test.failure] != 1 {
					t.Errorf("failures: got %v, want %s", rec.failures, test.failure)
				}
				slices.Sort(requests)
				slices.Sort(test.requests)
				if !slices.Equal(requests, test.requests) {
					t.Errorf("requests: got %q, want %q", requests, test.requests)
				}
			})
		})
	}
}

// Guards against a figure that improves when requests are refused late instead of served.
func TestWaitCountsRefusedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, _ := serveOne(t, letter(), 0, func(_ int, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(7 * time.Second)
			refuse(w, 504, "", `{"reason":"deadline","run":"no"}`)
		})
		k := rec.kinds[KindLong]
		if got := latency(k.wait); got.Count != 1 || got.P50Millis < 6990 || got.P50Millis > 7010 {
			t.Errorf("wait: %+v, want one of 7000 ms", got)
		}
		if got := k.firstToken.TotalCount(); got != 0 {
			t.Errorf("%d first tokens, want none", got)
		}
	})
}

// Guards against latencies that count from the send instead of the intended time, which would hide a late generator.
func TestCallerCountsFromIntendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, _ := serveOne(t, letter(), 3*time.Second, func(_ int, w http.ResponseWriter, _ *http.Request) {
			tokens(w, "g", 0, testLength)
			done(w)
		})
		k := rec.kinds[KindLong]
		if got := latency(k.firstToken).P50Millis; got < 3000 || got > 3020 {
			t.Errorf("first token from the intended time: %g ms, want about 3010", got)
		}
		if got := latency(k.firstTokenSent).P50Millis; got < 9.9 || got > 10.1 {
			t.Errorf("first token from the send: %g ms, want about 10", got)
		}
		if got := latency(rec.gaps); got.Count != testLength-1 || got.P50Millis < 9.9 || got.P50Millis > 10.1 {
			t.Errorf("between tokens: %+v, want 4 of about 10 ms", got)
		}
	})
}

// Guards against a caller that repeats a charge of unknown fate under a new key, or one that was refused as not run
// under the key that stays refused.
func TestCallerCharges(t *testing.T) {
	const unknown, notRun = `{"reason":"executorGone","run":"unknown"}`, `{"reason":"tableFull","run":"no"}`
	tests := []struct {
		name   string
		first  func(w http.ResponseWriter)
		keys   []string
		whole  int
		notRun int
	}{
		{"answered", func(w http.ResponseWriter) { w.WriteHeader(200) }, []string{"key0:c0.0"}, 1, 0},
		{"connection closed", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, []string{"key0:c0.0", "key0:c0.0"}, 1, 0},
		{"unknown with advice", func(w http.ResponseWriter) { refuse(w, 502, "1", unknown) }, []string{"key0:c0.0", "key0:c0.0"}, 1, 0},
		{"unknown without advice", func(w http.ResponseWriter) { refuse(w, 502, "", unknown) }, []string{"key0:c0.0"}, 0, 0},
		{"not run with advice", func(w http.ResponseWriter) { refuse(w, 503, "1", notRun) }, []string{"key0:c0.0", "key1:c0.1"}, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				charge := Arrival{Kind: KindCharge, Due: time.Minute}
				rec, requests := serveOne(t, charge, 0, func(n int, w http.ResponseWriter, _ *http.Request) {
					if n == 0 {
						test.first(w)
					}
				})
				slices.Sort(requests)
				var want []string
				for _, key := range test.keys {
					want = append(want, "POST /services/s/charges/c0 "+key)
				}
				// A lookup after a failed connection gives a new prefix, which must not be used for the same charge.
				if !slices.Equal(requests, want) {
					t.Errorf("requests: got %q, want %q", requests, want)
				}
				if k := rec.kinds[KindCharge]; k.whole != test.whole || len(rec.charges[0].notRun) != test.notRun {
					t.Errorf("whole %d, not run %q", k.whole, rec.charges[0].notRun)
				}
			})
		})
	}
}

// Guards against callers that ask for entries at each request, or go on using an answer that has ended.
func TestDirectoryKeepsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		entry := &testEntry{validity: 15 * time.Second, shared: &calls}
		client := &http.Client{Transport: handlers{"a:1": entry}}
		d := newDirectory(client, 0, []string{"a:1"})
		for i, test := range []struct {
			wait    time.Duration
			lookups int
		}{{0, 1}, {14 * time.Second, 1}, {time.Second, 2}} {
			time.Sleep(test.wait)
			if address, key := d.pick(t.Context(), "a:1"); address != "b:1" || key != "key0" {
				t.Errorf("pick %d: address %s, key %s", i, address, key)
			}
			if entry.lookups != test.lookups {
				t.Errorf("pick %d: %d lookups, want %d", i, entry.lookups, test.lookups)
			}
		}
	})
}

// Guards against a report that misses a doubled charge, one that ran after "not run", or one that never ran.
func TestChargeReport(t *testing.T) {
	tests := []struct {
		name       string
		logs       []chargeLog
		executions map[string]int
		want       ChargeReport
	}{
		{"once", []chargeLog{{answered: []string{"p:c1.0"}}}, map[string]int{"p:c1.0": 1, "GET /charges/s1": 9},
			ChargeReport{Offered: 1, Answered: 1, Executed: 1}},
		{"twice under one key", []chargeLog{{answered: []string{"p:c1.0"}}}, map[string]int{"p:c1.0": 2},
			ChargeReport{Offered: 1, Answered: 1, Executed: 1, Doubled: 1}},
		{"twice under two keys", []chargeLog{{answered: []string{"q:c1.1"}, notRun: []string{"p:c1.0"}}},
			map[string]int{"p:c1.0": 1, "q:c1.1": 1},
			ChargeReport{Offered: 1, Answered: 1, Executed: 1, Doubled: 1, FalseNotRun: 1}},
		{"answered but not run", []chargeLog{{answered: []string{"p:c1.0"}}}, nil,
			ChargeReport{Offered: 1, Answered: 1, AnsweredNotRun: 1}},
		{"counted without a key", []chargeLog{{answered: []string{"p:c1.0"}}}, map[string]int{"POST /charges/c1": 2},
			ChargeReport{Offered: 1, Answered: 1, Executed: 1, Doubled: 1}},
	}
	for _, test := range tests {
		if got := chargeReport(test.logs, test.executions); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

// Guards against a table or a plot that can't show reports of empty runs, and against a wrong ratio.
func TestReportOutput(t *testing.T) {
	plan := testPlan()
	report := func(name string, offered int) *Report {
		rec := newRecorder(plan)
		for i := range offered {
			rec.add(&outcome{arrival: Arrival{Number: i, Kind: KindShort, Due: time.Second}, whole: true, tokens: 1, firstToken: time.Millisecond})
		}
		return rec.report(Target{Name: name})
	}
	var table, picture, document strings.Builder
	reports := []*Report{report("naive", 6), report("current", 4), report("empty", 0)}
	for _, write := range []func() error{
		func() error { return WriteTable(&table, reports[:2]...) },
		func() error { return WritePlot(&picture, reports...) },
		func() error { return WriteJSON(&document, reports...) },
	} {
		if err := write(); err != nil {
			t.Fatal(err)
		}
	}
	found := false
	for line := range strings.Lines(table.String()) {
		fields := strings.Fields(line)
		found = found || slices.Equal(fields, []string{"offered", "6", "4", "1.50"})
	}
	if !found {
		t.Errorf("table:\n%s", table.String())
	}
	if !strings.HasPrefix(picture.String(), "\x89PNG") {
		t.Error("the plot is not a PNG")
	}
	if !strings.Contains(document.String(), strconv.Quote("firstTokenSent")) {
		t.Error("the JSON lacks firstTokenSent")
	}
}
