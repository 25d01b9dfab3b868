package fakes

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// response is the result of a request: the recorded response, and whether the handler closed the connection.
type response struct {
	*httptest.ResponseRecorder
	aborted bool
}

// call runs a request in this goroutine. It sets aborted if the handler closes the connection.
func call(ctx context.Context, h http.Handler, method, path, body string) (resp response) {
	resp.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			if r != http.ErrAbortHandler {
				panic(r)
			}
			resp.aborted = true
		}
	}()
	h.ServeHTTP(resp, httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body)))
	return resp
}

// startCall runs a request in a new goroutine.
func startCall(ctx context.Context, h http.Handler, method, path, body string) <-chan response {
	done := make(chan response, 1)
	go func() { done <- call(ctx, h, method, path, body) }()
	return done
}

func decodeBody[T any](t *testing.T, resp response) T {
	t.Helper()
	var value T
	if err := json.Unmarshal(resp.Body.Bytes(), &value); err != nil {
		t.Fatalf("status %d, body %q: %v", resp.Code, resp.Body, err)
	}
	return value
}

// tokenTexts returns the token texts of a stream and whether it ended with "done".
func tokenTexts(t *testing.T, resp response) (tokens []string, done bool) {
	t.Helper()
	tokens, end := parseSSE(t, resp)
	return tokens, end == "done"
}

// parseSSE returns the token texts of a stream and the name of the event that ends it, or an empty name.
func parseSSE(t *testing.T, resp response) (tokens []string, end string) {
	t.Helper()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			end = event
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || end != "" {
			continue
		}
		var event struct{ Text string }
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatal(err)
		}
		tokens = append(tokens, event.Text)
	}
	return tokens, end
}

func wantTexts(prompt, generation string, from, to int) []string {
	text := TokenText(prompt, generation)
	var want []string
	for offset := from; offset < to; offset++ {
		want = append(want, text(offset))
	}
	return want
}

func generationBody(generation string, length int) string {
	return fmt.Sprintf(`{"generation":%q,"prompt":"length=%d"}`, generation, length)
}

// withEngine runs f with an engine on virtual time. A step of one generation takes 11 ms.
func withEngine(t *testing.T, configure func(*EngineConfig), f func(ctx context.Context, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		config := DefaultEngineConfig("e")
		config.Batch = testBatch
		config.EventGap = 0
		if configure != nil {
			configure(&config)
		}
		e := NewEngine(config)
		defer e.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f(ctx, e)
	})
}

func injectFault(t *testing.T, ctx context.Context, h http.Handler, fault string) {
	t.Helper()
	if resp := call(ctx, h, "POST", "/faults", fault); resp.Code != http.StatusNoContent {
		t.Fatalf("fault %s: status %d: %s", fault, resp.Code, resp.Body)
	}
}

// Guards against a stream that loses, repeats or reorders tokens, on the first read and after a resume.
func TestEngineStreamAndResume(t *testing.T) {
	withEngine(t, nil, func(ctx context.Context, e *Engine) {
		resp := call(ctx, e, "POST", "/v1/generations", generationBody("g", 8))
		if tokens, done := tokenTexts(t, resp); !done || !slices.Equal(tokens, wantTexts("length=8", "g", 0, 8)) {
			t.Errorf("stream: done %v, tokens %q", done, tokens)
		}
		for _, offset := range []int{0, 3, 8} {
			resp := call(ctx, e, "GET", fmt.Sprintf("/v1/generations/g?offset=%d", offset), "")
			if tokens, done := tokenTexts(t, resp); !done || !slices.Equal(tokens, wantTexts("length=8", "g", offset, 8)) {
				t.Errorf("resume at %d: done %v, tokens %q", offset, done, tokens)
			}
		}
	})
}

// Guards against responses to invalid requests that a caller cannot distinguish from a lost generation.
func TestEngineRefusals(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		status                   int
	}{
		{"unknown generation", "GET", "/v1/generations/none?offset=0", "", http.StatusNotFound},
		{"cancel of an unknown generation", "DELETE", "/v1/generations/none", "", http.StatusNotFound},
		{"offset beyond the output", "GET", "/v1/generations/g?offset=9", "", http.StatusRequestedRangeNotSatisfiable},
		{"no offset", "GET", "/v1/generations/g", "", http.StatusBadRequest},
		{"same ID twice", "POST", "/v1/generations", generationBody("g", 1), http.StatusConflict},
		{"no ID", "POST", "/v1/generations", `{"prompt":"x"}`, http.StatusBadRequest},
		{"prompt larger than the memory", "POST", "/v1/generations",
			`{"generation":"h","prompt":"` + strings.Repeat("x", 400) + `"}`, http.StatusRequestEntityTooLarge},
		{"unknown fault", "POST", "/faults", `{"kind":"sleepy"}`, http.StatusBadRequest},
		{"slow without a factor", "POST", "/faults", `{"kind":"slow"}`, http.StatusBadRequest},
	}
	withEngine(t, nil, func(ctx context.Context, e *Engine) {
		call(ctx, e, "POST", "/v1/generations", generationBody("g", 8))
		for _, test := range tests {
			if resp := call(ctx, e, test.method, test.path, test.body); resp.Code != test.status {
				t.Errorf("%s: status %d, want %d: %s", test.name, resp.Code, test.status, resp.Body)
			}
		}
	})
}

// Guards against two concurrent readers of one generation, and against a superseded reader that takes the end of its
// stream for a lost connection and resumes.
func TestEngineNewReaderEndsOlder(t *testing.T) {
	withEngine(t, nil, func(ctx context.Context, e *Engine) {
		first := startCall(ctx, e, "POST", "/v1/generations", generationBody("g", 20))
		time.Sleep(115 * time.Millisecond)
		second := startCall(ctx, e, "GET", "/v1/generations/g?offset=2", "")
		if tokens, end := parseSSE(t, <-first); end != endSuperseded || !slices.Equal(tokens, wantTexts("length=20", "g", 0, 10)) {
			t.Errorf("older reader: ended by %q after %d tokens", end, len(tokens))
		}
		if tokens, done := tokenTexts(t, <-second); !done || !slices.Equal(tokens, wantTexts("length=20", "g", 2, 20)) {
			t.Errorf("new reader: done %v, %d tokens", done, len(tokens))
		}
	})
}

// Guards against a cancelled generation that keeps its memory or can still be read.
func TestEngineCancel(t *testing.T) {
	withEngine(t, nil, func(ctx context.Context, e *Engine) {
		stream := startCall(ctx, e, "POST", "/v1/generations", generationBody("g", 20))
		time.Sleep(50 * time.Millisecond)
		if resp := call(ctx, e, "DELETE", "/v1/generations/g", ""); resp.Code != http.StatusNoContent {
			t.Errorf("cancel: status %d", resp.Code)
		}
		if _, end := parseSSE(t, <-stream); end != endCanceled {
			t.Errorf("the stream of a cancelled generation ended by %q", end)
		}
		if resp := call(ctx, e, "GET", "/v1/generations/g?offset=0", ""); resp.Code != http.StatusNotFound {
			t.Errorf("resume after cancel: status %d", resp.Code)
		}
		if report := e.Report(); report.Running != 0 || report.UsedTokens != 0 {
			t.Errorf("after cancel: %+v", report)
		}
	})
}

// Guards against a load report that does not list a generation whose reader has disconnected.
func TestEngineListsUnread(t *testing.T) {
	withEngine(t, nil, func(ctx context.Context, e *Engine) {
		readCtx, disconnect := context.WithCancel(ctx)
		stream := startCall(readCtx, e, "POST", "/v1/generations", generationBody("g", 50))
		time.Sleep(50 * time.Millisecond)
		if unread := e.Report().Unread; len(unread) != 0 {
			t.Errorf("unread generations while the reader is connected: %q", unread)
		}
		disconnect()
		<-stream
		if unread := e.Report().Unread; !slices.Equal(unread, []string{"g"}) {
			t.Errorf("unread generations after the reader disconnected: %q", unread)
		}
	})
}

// Guards against load reports that are newer than the configured lag, which would hide decisions on stale load.
func TestEngineReportLags(t *testing.T) {
	withEngine(t, nil, func(ctx context.Context, e *Engine) {
		begin := time.Now()
		startCall(ctx, e, "POST", "/v1/generations", generationBody("g", 10))
		for _, test := range []struct {
			at      time.Duration
			running int
		}{{400 * time.Millisecond, 0}, {560 * time.Millisecond, 1}, {900 * time.Millisecond, 0}} {
			time.Sleep(test.at - time.Since(begin))
			report := decodeBody[LoadReport](t, call(ctx, e, "GET", "/v1/load", ""))
			if report.Running != test.running {
				t.Errorf("at %v: %d running, want %d", test.at, report.Running, test.running)
			}
		}
	})
}

// Guards against cache events that are readable too early or without the configured gaps.
func TestEngineCacheEvents(t *testing.T) {
	prompt := strings.Repeat("p", 10*cacheBlockBytes)
	body := `{"generation":"g","maxTokens":1,"prompt":"` + prompt + `"}`
	for _, test := range []struct {
		gap    float64
		events int
	}{{0, 10}, {1, 0}} {
		withEngine(t, func(c *EngineConfig) {
			c.EventGap = test.gap
			c.Batch.MemoryTokens = 2000
		}, func(ctx context.Context, e *Engine) {
			call(ctx, e, "POST", "/v1/generations", body)
			if events := decodeBody[[]CacheEvent](t, call(ctx, e, "GET", "/v1/events?after=0", "")); len(events) != 0 {
				t.Errorf("gap %g: %d events before the delay", test.gap, len(events))
			}
			time.Sleep(e.config.EventDelay)
			events := decodeBody[[]CacheEvent](t, call(ctx, e, "GET", "/v1/events?after=0", ""))
			if len(events) != test.events {
				t.Errorf("gap %g: %d events, want %d", test.gap, len(events), test.events)
			}
			rest := decodeBody[[]CacheEvent](t, call(ctx, e, "GET", "/v1/events?after=4", ""))
			if want := max(0, test.events-4); len(rest) != want {
				t.Errorf("gap %g: %d events after 4, want %d", test.gap, len(rest), want)
			}
		})
	}
}

// Guards against an outdated order that takes effect on an engine that checks fencing tokens, and against an engine
// that checks fencing tokens although it should ignore them.
func TestEngineFencing(t *testing.T) {
	const newer, older = `{"fence":5,"model":"m","version":"2","role":"serve"}`, `{"fence":4,"model":"m","version":"1","role":"serve"}`
	for _, test := range []struct {
		checks  bool
		status  int
		version string
	}{{true, http.StatusConflict, "2"}, {false, http.StatusOK, "1"}} {
		withEngine(t, func(c *EngineConfig) { c.ChecksFencing = test.checks }, func(ctx context.Context, e *Engine) {
			call(ctx, e, "POST", "/v1/orders", newer)
			if resp := call(ctx, e, "POST", "/v1/orders", older); resp.Code != test.status {
				t.Errorf("checks %v: status %d, want %d", test.checks, resp.Code, test.status)
			}
			if state := decodeBody[EngineState](t, call(ctx, e, "GET", "/v1/state", "")); state.Version != test.version {
				t.Errorf("checks %v: version %s, want %s", test.checks, state.Version, test.version)
			}
		})
	}
}

// Guards against an engine that serves a model that is still loading or that no order named.
func TestEngineLoadsModel(t *testing.T) {
	withEngine(t, nil, func(ctx context.Context, e *Engine) {
		generate := func(id, model string) int {
			body := fmt.Sprintf(`{"generation":%q,"model":%q,"prompt":"length=1"}`, id, model)
			return call(ctx, e, "POST", "/v1/generations", body).Code
		}
		order := `{"fence":1,"model":"m","version":"1","role":"serve"}`
		call(ctx, e, "POST", "/v1/orders", order)
		if got := generate("a", "m"); got != http.StatusServiceUnavailable {
			t.Errorf("while loading: status %d", got)
		}
		time.Sleep(e.config.LoadTime)
		if got := generate("b", "m"); got != http.StatusOK {
			t.Errorf("after loading: status %d", got)
		}
		if got := generate("c", "other"); got != http.StatusNotFound {
			t.Errorf("other model: status %d", got)
		}
		call(ctx, e, "POST", "/v1/orders", order)
		if got := generate("d", "m"); got != http.StatusOK {
			t.Errorf("after the same order: status %d", got)
		}
	})
}

// Guards against faults that have no effect or cannot be cleared.
func TestEngineFaults(t *testing.T) {
	t.Run("leave", func(t *testing.T) {
		withEngine(t, nil, func(ctx context.Context, e *Engine) {
			stream := startCall(ctx, e, "POST", "/v1/generations", generationBody("g", 8))
			time.Sleep(20 * time.Millisecond)
			injectFault(t, ctx, e, `{"kind":"leave"}`)
			resp := call(ctx, e, "POST", "/v1/generations", generationBody("h", 8))
			if resp.Code != http.StatusServiceUnavailable || resp.Header().Get("X-Leaving") != "true" {
				t.Errorf("new work: status %d, X-Leaving %q", resp.Code, resp.Header().Get("X-Leaving"))
			}
			if tokens, done := tokenTexts(t, <-stream); !done || len(tokens) != 8 {
				t.Errorf("running work: done %v, %d tokens", done, len(tokens))
			}
			injectFault(t, ctx, e, `{"kind":"none"}`)
			if resp := call(ctx, e, "POST", "/v1/generations", generationBody("h", 8)); resp.Code != http.StatusOK {
				t.Errorf("after the fault: status %d", resp.Code)
			}
		})
	})
	t.Run("slow", func(t *testing.T) {
		withEngine(t, nil, func(ctx context.Context, e *Engine) {
			injectFault(t, ctx, e, `{"kind":"slow","factor":10,"duration":"300ms"}`)
			begin := time.Now()
			call(ctx, e, "POST", "/v1/generations", generationBody("g", 10))
			// Steps that begin within 300 ms take 110 ms, the others 11 ms; the first one adds 3 prompt tokens.
			if got, want := time.Since(begin), 3*110*time.Millisecond+3*time.Millisecond+7*11*time.Millisecond; got != want {
				t.Errorf("took %v, want %v", got, want)
			}
		})
	})
	t.Run("freeze", func(t *testing.T) {
		withEngine(t, nil, func(ctx context.Context, e *Engine) {
			begin := time.Now()
			stream := startCall(ctx, e, "POST", "/v1/generations", generationBody("g", 4))
			time.Sleep(30 * time.Millisecond)
			injectFault(t, ctx, e, `{"kind":"freeze","duration":"2s"}`)
			resp := call(ctx, e, "GET", "/v1/load?lag=0", "")
			if time.Since(begin) < 2*time.Second || resp.Code != http.StatusOK {
				t.Errorf("load report: status %d after %v", resp.Code, time.Since(begin))
			}
			if tokens, done := tokenTexts(t, <-stream); !done || len(tokens) != 4 || time.Since(begin) < 2*time.Second {
				t.Errorf("stream: done %v, %d tokens after %v", done, len(tokens), time.Since(begin))
			}
		})
	})
	t.Run("drop once", func(t *testing.T) {
		withEngine(t, nil, func(ctx context.Context, e *Engine) {
			stream := startCall(ctx, e, "POST", "/v1/generations", generationBody("g", 20))
			time.Sleep(50 * time.Millisecond)
			injectFault(t, ctx, e, `{"kind":"drop"}`)
			if resp := <-stream; !resp.aborted {
				t.Error("the open stream was not dropped")
			}
			resp := call(ctx, e, "GET", "/v1/generations/g?offset=0", "")
			if tokens, done := tokenTexts(t, resp); !done || len(tokens) != 20 {
				t.Errorf("resume: done %v, %d tokens", done, len(tokens))
			}
		})
	})
	t.Run("drop by share", func(t *testing.T) {
		withEngine(t, nil, func(ctx context.Context, e *Engine) {
			injectFault(t, ctx, e, `{"kind":"drop","share":1}`)
			if resp := call(ctx, e, "POST", "/v1/generations", generationBody("g", 20)); !resp.aborted {
				t.Error("the stream was not dropped")
			}
		})
	})
	t.Run("duplicate", func(t *testing.T) {
		withEngine(t, nil, func(ctx context.Context, e *Engine) {
			injectFault(t, ctx, e, `{"kind":"duplicate"}`)
			tokens, done := tokenTexts(t, call(ctx, e, "POST", "/v1/generations", generationBody("g", 5)))
			if !done || len(tokens) != 10 || tokens[0] != tokens[1] || tokens[8] != tokens[9] {
				t.Errorf("done %v, tokens %q", done, tokens)
			}
		})
	})
	t.Run("die", func(t *testing.T) {
		withEngine(t, nil, func(ctx context.Context, e *Engine) {
			died := false
			e.OnDie(func() { died = true })
			stream := startCall(ctx, e, "POST", "/v1/generations", generationBody("g", 20))
			time.Sleep(50 * time.Millisecond)
			injectFault(t, ctx, e, `{"kind":"die"}`)
			if resp := <-stream; !resp.aborted || !died {
				t.Errorf("open stream aborted %v, server closed %v", resp.aborted, died)
			}
			if resp := call(ctx, e, "GET", "/v1/load", ""); !resp.aborted {
				t.Error("a dead engine responded")
			}
		})
	})
}

// Guards against state that survives a reset, so that a second run of the same arrivals differs from the first.
func TestEngineReset(t *testing.T) {
	withEngine(t, nil, func(ctx context.Context, e *Engine) {
		stream := startCall(ctx, e, "POST", "/v1/generations", generationBody("g", 1000))
		time.Sleep(50 * time.Millisecond)
		injectFault(t, ctx, e, `{"kind":"leave"}`)
		call(ctx, e, "POST", "/reset", "")
		if _, end := parseSSE(t, <-stream); end != endCanceled {
			t.Errorf("the open stream ended by %q", end)
		}
		report := e.Report()
		if report.Running != 0 || report.Tokens != 0 || report.State != "ready" {
			t.Errorf("after the reset: %+v", report)
		}
		if tokens, done := tokenTexts(t, call(ctx, e, "POST", "/v1/generations", generationBody("g", 3))); !done || len(tokens) != 3 {
			t.Errorf("new generation: done %v, %d tokens", done, len(tokens))
		}
	})
}
