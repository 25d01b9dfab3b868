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

// relay is an entry instance without any decision: it passes generations to the engine and calls to the service.
type relay struct {
	hosts handlers
	count atomic.Int64
}

func (e *relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/entries":
		_, _ = fmt.Fprintf(w, `{"entries":[{"address":"entry:1"}],"validUntil":%q,"runKey":"key"}`,
			time.Now().Add(time.Hour).Format(time.RFC3339Nano))
	case r.URL.Path == "/v1/completions":
		e.generate(w, r)
	default:
		r.URL.Path = strings.TrimPrefix(r.URL.Path, "/services/s")
		e.hosts["service:1"].ServeHTTP(w, r)
	}
}

func (e *relay) generate(w http.ResponseWriter, r *http.Request) {
	var body generationBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	generation := fmt.Sprint("g", e.count.Add(1))
	start, err := json.Marshal(fakes.GenerationRequest{Generation: generation, Prompt: body.Prompt})
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://engine:1/v1/generations", strings.NewReader(string(start)))
	if err != nil {
		panic(err)
	}
	resp, err := e.hosts.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	events := eventReader{reader: bufio.NewReader(resp.Body)}
	for {
		ev, err := events.next()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if ev.name == "done" {
			done(w)
			return
		}
		_, _ = fmt.Fprintf(w, "id: x\ndata: {\"choices\":[%s]}\n\n", ev.data)
	}
}

// Guards against a report that loses requests or tokens, reads wrong counters, or does not slow the engines.
func TestRun(t *testing.T) {
	plan := Plan{Mix: "dosis", Profile: "steady", Seed: 3, Duration: 20 * time.Second, Rate: 2, Accounts: 3, MaxTokens: 200}
	offered, length := 0, 0
	for _, a := range arrivalsOf(t, plan) {
		offered++
		length += a.Length
	}
	run := func(slow *Slow) (report *Report) {
		synctest.Test(t, func(t *testing.T) {
			engine := fakes.NewEngine(fakes.DefaultEngineConfig("e"))
			defer engine.Close()
			hosts := handlers{"engine:1": engine, "service:1": fakes.NewService("s")}
			hosts["entry:1"] = &relay{hosts: hosts}
			target := Target{
				Name: "test", Entries: []string{"entry:1"}, Engines: []string{"engine:1", "none:1"},
				Services: []string{"service:1"}, Service: "s", Slow: slow,
			}
			if _, err := runOn(t, plan, target, hosts); err == nil {
				t.Error("an engine that could not be reset was ignored")
			}
			target.Engines = target.Engines[:1]
			var err error
			if report, err = runOn(t, plan, target, hosts); err != nil {
				t.Fatal(err)
			}
		})
		return report
	}
	calm := run(nil)
	if total := calm.total(); total.Offered != offered || total.OnTime != offered {
		t.Errorf("offered %d, on time %d, want %d each; failures %v", total.Offered, total.OnTime, offered, calm.Failures)
	}
	if calm.Engines.Tokens != int64(length) || calm.Kind(KindShort).Tokens+calm.Kind(KindLong).Tokens != int64(length) {
		t.Errorf("%d tokens generated, want %d", calm.Engines.Tokens, length)
	}
	if charges := calm.Kind(KindCharge).Offered; charges == 0 || calm.Charges.Executed != charges || calm.Charges.Doubled != 0 {
		t.Errorf("charges: %+v, want %d executed once", calm.Charges, charges)
	}
	slowed := run(&Slow{Share: 1, Factor: 10, Every: 4 * time.Second, For: 2 * time.Second})
	if slowed.Gap.P99Millis < 5*calm.Gap.P99Millis {
		t.Errorf("between tokens p99: %g ms slowed, %g ms not slowed", slowed.Gap.P99Millis, calm.Gap.P99Millis)
	}
}

func runOn(t *testing.T, plan Plan, target Target, hosts handlers) (*Report, error) {
	t.Helper()
	return run(t.Context(), plan, target, hosts)
}
