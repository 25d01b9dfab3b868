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

// testEntry is an entry instance whose responses a test scripts.
type testEntry struct {
	address string
	// validity is the lifetime of its responses to GET /v1/entries.
	validity time.Duration
	lookups  int
	// paths are the requests other than GET /v1/entries, with the value of Last-Event-ID or Idempotency-Key.
	paths []string
	// script handles request n, counted from 0 over all entries that share requestCount.
	script       func(n int, w http.ResponseWriter, r *http.Request)
	requestCount *int
}

func (e *testEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		e.lookups++
		_, _ = fmt.Fprintf(w, `{"entries":[{"address":"a:1"},{"address":"b:1"}],"validUntil":%q,"runKey":"key%d"}`,
			time.Now().Add(e.validity).Format(time.RFC3339Nano), *e.requestCount)
		return
	}
	n := *e.requestCount
	*e.requestCount++
	e.paths = append(e.paths, r.Method+" "+r.URL.Path+" "+r.Header.Get("Last-Event-ID")+r.Header.Get("Idempotency-Key"))
	e.script(n, w, r)
}

// sendOne sends one arrival to two entries that share a script, delay after its intended time. It returns the recorder
// and the requests that the entries received.
func sendOne(t *testing.T, arrival Arrival, delay time.Duration, script func(n int, w http.ResponseWriter, r *http.Request)) (*recorder, []string) {
	t.Helper()
	plan := testPlan()
	plan.Accounts = 1
	rec := newRecorder(plan)
	calls := 0
	entries := handlerTransport{}
	var list []*testEntry
	for _, address := range []string{"a:1", "b:1"} {
		entry := &testEntry{address: address, validity: time.Minute, script: script, requestCount: &calls}
		entries[address] = entry
		list = append(list, entry)
	}
	target := Target{Entries: []string{"none:1", "a:1", "b:1"}, Model: "m", Service: "s"}
	c := newCaller(&http.Client{Transport: entries}, plan, target, rec, time.Now().Add(-arrival.At-delay))
	c.send(t.Context(), arrival)
	time.Sleep(time.Minute) // Virtual time in which the script ends if the caller gave up early.
	synctest.Wait()
	return rec, append(list[0].paths, list[1].paths...)
}

const testLength = 5

func longArrival() Arrival {
	return Arrival{Kind: KindLong, Length: testLength, Due: time.Minute, prompt: "test length=5"}
}

// writeTokens sends the tokens with offsets in [from, to), 10 ms apart, as an entry instance does.
func writeTokens(w http.ResponseWriter, generation string, from, to int) {
	text := fakes.TokenText(longArrival().Prompt(), generation)
	for i := from; i < to; i++ {
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: cursor%d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", i+1, text(i))
	}
}

func writeDone(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "event: done\ndata: [DONE]\n\n") }

func writeRefusal(w http.ResponseWriter, status int, retryAfter, body string) {
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, body)
}

// Guards against a caller that counts a broken answer as complete or a complete one as failed, or that ignores
// Retry-After.
func TestCallerGenerates(t *testing.T) {
	tests := []struct {
		name      string
		script    func(n int, w http.ResponseWriter, r *http.Request)
		complete  bool
		violation string
		failure   string
		requests  []string
	}{
		{"whole", func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, "g", 0, testLength)
			writeDone(w)
		}, true, "", "", []string{"POST /v1/completions "}},
		{"dropped and resumed", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				writeTokens(w, "g", 0, 3)
				panic(http.ErrAbortHandler)
			}
			writeTokens(w, "g", 3, testLength)
			writeDone(w)
		}, true, "", "", []string{"POST /v1/completions ", "GET /v1/streams cursor3"}},
		{"dropped before the first token", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				panic(http.ErrAbortHandler)
			}
			writeTokens(w, "g", 0, testLength)
			writeDone(w)
		}, true, "", "", []string{"POST /v1/completions ", "POST /v1/completions "}},
		{"moved", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				writeTokens(w, "g", 0, 2)
				_, _ = fmt.Fprint(w, "id: moved\nevent: move\ndata: {}\n\n")
				return
			}
			writeTokens(w, "g", 2, testLength)
			writeDone(w)
		}, true, "", "", []string{"POST /v1/completions ", "GET /v1/streams moved"}},
		{"refused with Retry-After", func(n int, w http.ResponseWriter, _ *http.Request) {
			if n == 0 {
				writeRefusal(w, 503, "2", `{"reason":"overloaded","run":"no"}`)
				return
			}
			writeTokens(w, "g", 0, testLength)
			writeDone(w)
		}, true, "", "", []string{"POST /v1/completions ", "POST /v1/completions "}},
		{"refused without Retry-After", func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeRefusal(w, 504, "", `{"reason":"deadline","run":"no"}`)
		}, false, "", "deadline", []string{"POST /v1/completions "}},
		{"Retry-After beyond the deadline", func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeRefusal(w, 503, "120", `{"reason":"overloaded","run":"no"}`)
		}, false, "", "overloaded", []string{"POST /v1/completions "}},
		{"ended by an error", func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, "g", 0, 2)
			_, _ = fmt.Fprint(w, "event: error\ndata: {\"reason\":\"generationLost\"}\n\n")
		}, false, "", "generationLost", []string{"POST /v1/completions "}},
		{"never ends", func(_ int, w http.ResponseWriter, r *http.Request) {
			writeTokens(w, "g", 0, 2)
			<-r.Context().Done()
		}, false, "", reasonTimeout, []string{"POST /v1/completions "}},
		{"cut short", func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, "g", 0, testLength-1)
			writeDone(w)
		}, false, "ended before its last token", "", []string{"POST /v1/completions "}},
		{"token lost", func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, "g", 0, 2)
			writeTokens(w, "g", 3, testLength)
			writeDone(w)
		}, false, "in place of token 2", "", []string{"POST /v1/completions "}},
		{"token repeated", func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, "g", 0, 2)
			writeTokens(w, "g", 1, testLength)
			writeDone(w)
		}, false, "in place of token 2", "", []string{"POST /v1/completions "}},
		{"two generations mixed", func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, "g", 0, 2)
			writeTokens(w, "h", 2, testLength)
			writeDone(w)
		}, false, "another generation", "", []string{"POST /v1/completions "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rec, requests := sendOne(t, longArrival(), 0, test.script)
				if complete := rec.kinds[KindLong].complete == 1; complete != test.complete {
					t.Errorf("complete: got %v, want %v; failures %v", complete, test.complete, rec.failures)
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

// Guards against a wait time that improves when requests are refused late instead of served.
func TestWaitCountsRefusedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, _ := sendOne(t, longArrival(), 0, func(_ int, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(7 * time.Second)
			writeRefusal(w, 504, "", `{"reason":"deadline","run":"no"}`)
		})
		k := rec.kinds[KindLong]
		if got := summarize(k.wait); got.Count != 1 || got.P50Millis < 6990 || got.P50Millis > 7010 {
			t.Errorf("wait: %+v, want one of 7000 ms", got)
		}
		if got := k.firstToken.TotalCount(); got != 0 {
			t.Errorf("%d first tokens, want none", got)
		}
	})
}

// Guards against latencies that count from the actual instead of the intended send time, which would hide a generator
// that falls behind.
func TestCallerCountsFromIntendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, _ := sendOne(t, longArrival(), 3*time.Second, func(_ int, w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, "g", 0, testLength)
			writeDone(w)
		})
		k := rec.kinds[KindLong]
		if got := summarize(k.firstToken).P50Millis; got < 3000 || got > 3020 {
			t.Errorf("first token from the intended time: %g ms, want about 3010", got)
		}
		if got := summarize(k.firstTokenFromSend).P50Millis; got < 9.9 || got > 10.1 {
			t.Errorf("first token from the send: %g ms, want about 10", got)
		}
		if got := summarize(rec.tokenGaps); got.Count != testLength-1 || got.P50Millis < 9.9 || got.P50Millis > 10.1 {
			t.Errorf("between tokens: %+v, want 4 of about 10 ms", got)
		}
	})
}

// Guards against a caller that repeats a charge whose outcome is unknown under a new key, or one that was refused as
// not run under the same key, which stays refused.
func TestCallerCharges(t *testing.T) {
	const unknown, notRun = `{"reason":"executorGone","run":"unknown"}`, `{"reason":"tableFull","run":"no"}`
	tests := []struct {
		name     string
		first    func(w http.ResponseWriter)
		keys     []string
		complete int
		notRun   int
	}{
		{"answered", func(w http.ResponseWriter) { w.WriteHeader(200) }, []string{"key0:c0.0"}, 1, 0},
		{"connection closed", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, []string{"key0:c0.0", "key0:c0.0"}, 1, 0},
		{"unknown with Retry-After", func(w http.ResponseWriter) { writeRefusal(w, 502, "1", unknown) }, []string{"key0:c0.0", "key0:c0.0"}, 1, 0},
		{"unknown without Retry-After", func(w http.ResponseWriter) { writeRefusal(w, 502, "", unknown) }, []string{"key0:c0.0"}, 0, 0},
		{"not run with Retry-After", func(w http.ResponseWriter) { writeRefusal(w, 503, "1", notRun) }, []string{"key0:c0.0", "key1:c0.1"}, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				charge := Arrival{Kind: KindCharge, Due: time.Minute}
				rec, requests := sendOne(t, charge, 0, func(n int, w http.ResponseWriter, _ *http.Request) {
					if n == 0 {
						test.first(w)
					}
				})
				slices.Sort(requests)
				var want []string
				for _, key := range test.keys {
					want = append(want, "POST /services/s/charges/c0 "+key)
				}
				// GET /v1/entries after a failed connection returns a new key prefix, which must not be used for a charge
				// whose outcome is unknown.
				if !slices.Equal(requests, want) {
					t.Errorf("requests: got %q, want %q", requests, want)
				}
				if k := rec.kinds[KindCharge]; k.complete != test.complete || len(rec.charges[0].notRunKeys) != test.notRun {
					t.Errorf("complete %d, not run %q", k.complete, rec.charges[0].notRunKeys)
				}
			})
		})
	}
}

// Guards against callers that request the entries before each call, or use a response that has expired.
func TestEntryCacheExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		entry := &testEntry{validity: 15 * time.Second, requestCount: &calls}
		client := &http.Client{Transport: handlerTransport{"a:1": entry}}
		cache := newEntryCache(client, 0, []string{"a:1"})
		for i, test := range []struct {
			wait    time.Duration
			lookups int
		}{{0, 1}, {14 * time.Second, 1}, {time.Second, 2}} {
			time.Sleep(test.wait)
			if address, key := cache.pick(t.Context(), "a:1"); address != "b:1" || key != "key0" {
				t.Errorf("pick %d: address %s, key %s", i, address, key)
			}
			if entry.lookups != test.lookups {
				t.Errorf("pick %d: %d lookups, want %d", i, entry.lookups, test.lookups)
			}
		}
	})
}

// Guards against a report that misses a duplicated charge, one that ran after "not run", or one that never ran.
func TestChargeReport(t *testing.T) {
	tests := []struct {
		name       string
		logs       []chargeLog
		executions map[string]int
		want       ChargeReport
	}{
		{"once", []chargeLog{{answeredKeys: []string{"p:c1.0"}}}, map[string]int{"p:c1.0": 1, "GET /charges/s1": 9},
			ChargeReport{Offered: 1, Answered: 1, Executed: 1}},
		{"twice under one key", []chargeLog{{answeredKeys: []string{"p:c1.0"}}}, map[string]int{"p:c1.0": 2},
			ChargeReport{Offered: 1, Answered: 1, Executed: 1, Duplicated: 1}},
		{"twice under two keys", []chargeLog{{answeredKeys: []string{"q:c1.1"}, notRunKeys: []string{"p:c1.0"}}},
			map[string]int{"p:c1.0": 1, "q:c1.1": 1},
			ChargeReport{Offered: 1, Answered: 1, Executed: 1, Duplicated: 1, FalseNotRun: 1}},
		{"answered but not run", []chargeLog{{answeredKeys: []string{"p:c1.0"}}}, nil,
			ChargeReport{Offered: 1, Answered: 1, AnsweredNotRun: 1}},
		{"counted without a key", []chargeLog{{answeredKeys: []string{"p:c1.0"}}}, map[string]int{"POST /charges/c1": 2},
			ChargeReport{Offered: 1, Answered: 1, Executed: 1, Duplicated: 1}},
	}
	for _, test := range tests {
		if got := chargeReport(test.logs, test.executions); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

// Guards against a table or a plot that fails for reports of empty runs, and against a wrong ratio.
func TestReportOutput(t *testing.T) {
	plan := testPlan()
	report := func(name string, offered int) *Report {
		rec := newRecorder(plan)
		for i := range offered {
			rec.add(&outcome{arrival: Arrival{Number: i, Kind: KindShort, Due: time.Second}, complete: true, tokens: 1, firstToken: time.Millisecond})
		}
		return rec.report(Target{Name: name})
	}
	var table, image, jsonText strings.Builder
	reports := []*Report{report("naive", 6), report("current", 4), report("empty", 0)}
	for _, write := range []func() error{
		func() error { return WriteTable(&table, reports[:2]...) },
		func() error { return WritePlot(&image, reports...) },
		func() error { return WriteJSON(&jsonText, reports...) },
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
	if !strings.HasPrefix(image.String(), "\x89PNG") {
		t.Error("the plot is not a PNG")
	}
	if !strings.Contains(jsonText.String(), strconv.Quote("firstTokenSent")) {
		t.Error("the JSON lacks firstTokenSent")
	}
}
