package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
)

// fakeEntry is an entry instance without placement: it forwards generations to the only engine and calls to the service.
type fakeEntry struct {
	backends    handlerTransport
	generations atomic.Int64
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/entries":
		_, _ = fmt.Fprintf(w, `{"entries":[{"address":"entry:1"}],"validUntil":%q,"runKey":"key"}`,
			time.Now().Add(time.Hour).Format(time.RFC3339Nano))
	case r.URL.Path == "/v1/completions":
		e.generate(w, r)
	default:
		r.URL.Path = strings.TrimPrefix(r.URL.Path, "/services/s")
		e.backends["service:1"].ServeHTTP(w, r)
	}
}

func (e *fakeEntry) generate(w http.ResponseWriter, r *http.Request) {
	var body generationBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	generation := fmt.Sprint("g", e.generations.Add(1))
	start, err := json.Marshal(fakes.GenerationRequest{Generation: generation, Prompt: body.Prompt})
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://engine:1/v1/generations", strings.NewReader(string(start)))
	if err != nil {
		panic(err)
	}
	resp, err := e.backends.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	events := eventReader{reader: bufio.NewReader(resp.Body)}
	for {
		event, err := events.next()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if event.name == "done" {
			writeDone(w)
			return
		}
		_, _ = fmt.Fprintf(w, "id: x\ndata: {\"choices\":[%s]}\n\n", event.data)
	}
}

// Guards against a report that loses requests or tokens, reads wrong counters, or does not slow the engines.
func TestRun(t *testing.T) {
	plan := Plan{Mix: "dosis", Profile: "steady", Seed: 3, Duration: 20 * time.Second, Rate: 2, Accounts: 3, MaxTokens: 200}
	offered, tokens := 0, 0
	for _, a := range mustArrivals(t, plan) {
		offered++
		tokens += a.Length
	}
	run := func(slowdown *Slowdown) (report *Report) {
		synctest.Test(t, func(t *testing.T) {
			engine := fakes.NewEngine(fakes.DefaultEngineConfig("e"))
			defer engine.Close()
			hosts := handlerTransport{"engine:1": engine, "service:1": fakes.NewService("s")}
			hosts["entry:1"] = &fakeEntry{backends: hosts}
			target := Target{
				Name: "test", Entries: []string{"entry:1"}, Engines: []string{"engine:1", "none:1"},
				Services: []string{"service:1"}, Service: "s", Slowdown: slowdown,
			}
			if _, err := runWith(t, plan, target, hosts); err == nil {
				t.Error("an engine that could not be reset was ignored")
			}
			target.Engines = target.Engines[:1]
			var err error
			if report, err = runWith(t, plan, target, hosts); err != nil {
				t.Fatal(err)
			}
		})
		return report
	}
	baseline := run(nil)
	if total := baseline.total(); total.Offered != offered || total.OnTime != offered {
		t.Errorf("offered %d, on time %d, want %d each; failures %v", total.Offered, total.OnTime, offered, baseline.Failures)
	}
	if baseline.Engines.Tokens != int64(tokens) || baseline.Kind(KindShort).Tokens+baseline.Kind(KindLong).Tokens != int64(tokens) {
		t.Errorf("%d tokens generated, want %d", baseline.Engines.Tokens, tokens)
	}
	if charges := baseline.Kind(KindCharge).Offered; charges == 0 || baseline.Charges.Executed != charges || baseline.Charges.Duplicated != 0 {
		t.Errorf("charges: %+v, want %d executed once", baseline.Charges, charges)
	}
	slowed := run(&Slowdown{Share: 1, Factor: 10, Interval: 4 * time.Second, Duration: 2 * time.Second})
	if slowed.TokenGap.P99Millis < 5*baseline.TokenGap.P99Millis {
		t.Errorf("between tokens p99: %g ms slowed, %g ms not slowed", slowed.TokenGap.P99Millis, baseline.TokenGap.P99Millis)
	}
}

func runWith(t *testing.T, plan Plan, target Target, hosts handlerTransport) (*Report, error) {
	t.Helper()
	return run(t.Context(), plan, target, hosts)
}
