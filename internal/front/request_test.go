package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const validBody = `{"model":"letters","prompt":"hello"}`

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) T {
	t.Helper()
	var value T
	if err := json.Unmarshal(w.Body.Bytes(), &value); err != nil {
		t.Fatalf("body %q: %v", w.Body, err)
	}
	return value
}

// TestUnstreamedAnswer guards against a complete answer in the wrong format or with tokens missing.
func TestUnstreamedAnswer(t *testing.T) {
	f := New(testOptions(t, 3))
	tests := []struct{ path, body, want string }{
		{"/v1/completions", `{"model":"letters","prompt":"hello","max_tokens":10}`, `"text":"t0 t1 t2 "`},
		{"/v1/chat/completions", `{"model":"letters","messages":[{"role":"user","content":"hi"}]}`, `"message":{"role":"assistant","content":"t0 t1 t2 "}`},
		{"/v1/chat/completions", `{"model":"letters","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`, `"content":"t0 t1 t2 "`},
	}
	for _, test := range tests {
		w := sendRequest(f, http.MethodPost, test.path, test.body)
		if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), test.want) || !strings.Contains(w.Body.String(), `"completion_tokens":3`) {
			t.Errorf("%s: status %d, body %s, want %s", test.path, w.Code, w.Body, test.want)
		}
	}
}

// TestResumedAnswer guards against a resumed answer that repeats or skips tokens, changes its format, or is refused
// while the manifest is not confirmed, although resuming is not new work.
func TestResumedAnswer(t *testing.T) {
	options := testOptions(t, 5)
	f := New(options)
	body := `{"model":"letters","messages":[{"role":"user","content":"hi"}],"stream":true}`
	events := parseEvents(sendRequest(f, http.MethodPost, "/v1/chat/completions", body).Body.String())
	options.Source.(*fixedSource).unconfirmed = true
	for _, target := range []struct{ method, path string }{{http.MethodGet, "/v1/streams"}, {http.MethodPost, "/v1/chat/completions"}} {
		w := sendRequest(f, target.method, target.path, "", "Last-Event-ID", events[1].id)
		rest := parseEvents(w.Body.String())
		if len(rest) != 6 || rest[0].id == "" || rest[0].data != "" {
			t.Fatalf("%s: status %d, body %s, want a new cursor, 3 tokens, the final chunk and the done event", target.path, w.Code, w.Body)
		}
		for i, e := range rest[1:4] {
			if !strings.Contains(e.data, fmt.Sprintf(`"delta":{"content":"t%d "}`, i+2)) {
				t.Errorf("%s: event %d is %s", target.path, i, e.data)
			}
		}
		events = []sseEvent{{}, rest[0]}
	}
}

// TestRefusals guards against wrong reasons, run states and status codes, and against accepting requests that must be
// refused: invalid ones, those of unknown callers, and those that the manifest or the phase of the instance forbids.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name           string
		path           string
		body           string
		header         []string
		change         func(*Options)
		status         int
		reason         pond.Reason
		wantRetryAfter bool
	}{
		{name: "no key", header: []string{"Authorization", ""}, status: 401, reason: pond.ReasonUnauthenticated},
		{name: "wrong key", header: []string{"Authorization", "Bearer wrong"}, status: 401, reason: pond.ReasonUnauthenticated},
		{name: "wrong scheme", header: []string{"Authorization", "Basic " + testAPIKey}, status: 401, reason: pond.ReasonUnauthenticated},
		{name: "unknown path", path: "/v1/nothing", status: 404, reason: pond.ReasonNotFound},
		{name: "not JSON", body: "{", status: 400, reason: pond.ReasonBadRequest},
		{name: "large body", body: `{"prompt":"` + strings.Repeat("x", 5000) + `"}`, status: 413, reason: pond.ReasonTooLarge},
		{name: "unknown model", body: `{"model":"other"}`, status: 404, reason: pond.ReasonNotFound},
		{name: "unknown version", body: `{"model":"letters","version":"v9"}`, status: 404, reason: pond.ReasonNotFound},
		{name: "unknown adapter", body: `{"model":"letters","adapter":"x"}`, status: 404, reason: pond.ReasonNotFound},
		{name: "too many tokens", body: `{"model":"letters","maxTokens":5000}`, status: 400, reason: pond.ReasonBadRequest},
		{name: "unknown class", header: []string{"X-Class", "huge"}, status: 400, reason: pond.ReasonBadRequest},
		{name: "invalid deadline", header: []string{"X-Deadline", "soon"}, status: 400, reason: pond.ReasonBadRequest},
		{name: "invalid timeout", header: []string{"Request-Timeout", "1.5"}, status: 400, reason: pond.ReasonBadRequest},
		{name: "deadline has passed", header: []string{"X-Deadline", "2020-01-01T00:00:00Z"}, status: 504, reason: pond.ReasonDeadline},
		{name: "zero timeout", header: []string{"Request-Timeout", "0"}, status: 504, reason: pond.ReasonDeadline},
		{name: "leaving", change: func(o *Options) { o.Accepting = func() bool { return false } }, status: 503, reason: pond.ReasonLeaving, wantRetryAfter: true},
		{name: "not confirmed", change: func(o *Options) { o.Source.(*fixedSource).unconfirmed = true }, status: 503, reason: pond.ReasonNotReady, wantRetryAfter: true},
		{name: "no manifest", change: func(o *Options) { o.Source = &fixedSource{} }, status: 503, reason: pond.ReasonNotReady, wantRetryAfter: true},
		{name: "overloaded", change: func(o *Options) {
			o.Placer = pond.PlacerFunc(func(context.Context, pond.PlaceRequest) (pond.Placement, error) {
				return nil, pond.NewRefusal(pond.ReasonOverloaded, pond.RunNo, time.Now().Add(3*time.Second), "queue is full")
			})
		}, status: 503, reason: pond.ReasonOverloaded, wantRetryAfter: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			options := testOptions(t, 3)
			if test.change != nil {
				test.change(&options)
			}
			path, body := "/v1/completions", validBody
			if test.path != "" {
				path = test.path
			}
			if test.body != "" {
				body = test.body
			}
			w := sendRequest(New(options), http.MethodPost, path, body, test.header...)
			p := decode[problem](t, w)
			if w.Code != test.status || p.Status != test.status || p.Reason != test.reason.String() || p.Run != "no" || p.Instance != "entry-1" {
				t.Errorf("status %d, body %s, want %d and reason %v", w.Code, w.Body, test.status, test.reason)
			}
			if w.Header().Get("Content-Type") != problemMediaType || (w.Header().Get("Retry-After") != "") != test.wantRetryAfter {
				t.Errorf("header %v", w.Header())
			}
		})
	}
}

// TestInvalidCursor guards against resuming with an invalid cursor, and against a refusal that claims "not run"
// although the generation is running.
func TestInvalidCursor(t *testing.T) {
	w := sendRequest(New(testOptions(t, 3)), http.MethodGet, "/v1/streams", "", "Last-Event-ID", "forged.cursor")
	if p := decode[problem](t, w); w.Code != 400 || p.Reason != "cursorInvalid" || p.Run != "unknown" {
		t.Errorf("status %d, body %s", w.Code, w.Body)
	}
}

// TestKeyedRunState guards against the answer "not run" for a call with an idempotency key from anyone but its
// executor.
func TestKeyedRunState(t *testing.T) {
	failingExecutor := func(err error) pond.Executor {
		return pond.HandlerFunc[pond.Call, pond.Answer](func(context.Context, pond.Call) (pond.Answer, error) { return pond.Answer{}, err })
	}
	tests := []struct {
		name   string
		change func(*Options)
		run    string
	}{
		{name: "leaving", change: func(o *Options) { o.Accepting = func() bool { return false } }, run: "unknown"},
		{name: "not confirmed", change: func(o *Options) {
			o.Source.(*fixedSource).unconfirmed = true
			o.Executor = failingExecutor(refuse(pond.ReasonTableFull, "the call must not reach the executor"))
		}, run: "unknown"},
		{name: "no executor", change: func(o *Options) { o.Executor = nil }, run: "unknown"},
		{name: "executor refuses", change: func(o *Options) { o.Executor = failingExecutor(refuse(pond.ReasonTableFull, "")) }, run: "no"},
		{name: "executor does not know", change: func(o *Options) {
			o.Executor = failingExecutor(pond.NewRefusal(pond.ReasonExecutorGone, pond.RunUnknown, zeroTime, ""))
		}, run: "unknown"},
		{name: "executor fails", change: func(o *Options) { o.Executor = failingExecutor(errors.New("broken")) }, run: "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			options := testOptions(t, 3)
			test.change(&options)
			w := sendRequest(New(options), http.MethodPost, "/services/portal/confirm", "{}", "Idempotency-Key", "prefix:1")
			if p := decode[problem](t, w); p.Run != test.run {
				t.Errorf("status %d, body %s, want run %s", w.Code, w.Body, test.run)
			}
		})
	}
}

// TestServiceCall guards against calls that lose their path, query, idempotency key or body, and against leaking the
// API key or hop-by-hop headers to a service.
func TestServiceCall(t *testing.T) {
	options := testOptions(t, 3)
	var got pond.Call
	options.Executor = pond.HandlerFunc[pond.Call, pond.Answer](func(_ context.Context, call pond.Call) (pond.Answer, error) {
		got = call
		return pond.Answer{Status: 201, Header: http.Header{"X-Answer": {"yes"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}, Body: []byte("done")}, nil
	})
	w := sendRequest(New(options), http.MethodPost, "/services/portal/confirm/a%2Fb?x=1", "{}", "Idempotency-Key", "prefix:1", "Connection", "X-Hop", "X-Hop", "1", "X-Keep", "1")
	if w.Code != 201 || w.Body.String() != "done" || w.Header().Get("X-Answer") != "yes" || w.Header().Get("X-Hop") != "" {
		t.Errorf("status %d, header %v, body %s", w.Code, w.Header(), w.Body)
	}
	if got.Account != "acme" || got.Service != "portal" || got.Method != http.MethodPost || got.Path != "/confirm/a%2Fb?x=1" || got.Key != "prefix:1" || string(got.Body) != "{}" {
		t.Errorf("call %+v", got)
	}
	if got.Header.Get("Authorization") != "" || got.Header.Get("X-Hop") != "" || got.Header.Get("X-Keep") != "1" {
		t.Errorf("header of the call %v", got.Header)
	}
}

// TestRateLimit guards against an account that exceeds its rate, and against a wrong retry time in the refusal. The
// manifest allows 4 requests a second.
func TestRateLimit(t *testing.T) {
	account, _ := testManifest(t, "127.0.0.1:1").Account("acme")
	var l accountLimits
	now := time.Unix(1000, 0)
	for i := range 4 {
		release, err := l.admit(account, now)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		release()
	}
	_, err := l.admit(account, now)
	refusal := asRefusal(err)
	if refusal.Reason() != pond.ReasonRateLimited || !refusal.RetryAt().Equal(now.Add(250*time.Millisecond)) {
		t.Errorf("fifth request: %v, retry at %v", err, refusal.RetryAt())
	}
	if _, err := l.admit(account, refusal.RetryAt()); err != nil {
		t.Errorf("request at the advised time: %v", err)
	}
}

// TestKeyedCallsNotLimited guards against account limits on at-most-once calls with an idempotency key at the instance
// that receives them.
func TestKeyedCallsNotLimited(t *testing.T) {
	options := testOptions(t, 1)
	options.Executor = pond.HandlerFunc[pond.Call, pond.Answer](func(context.Context, pond.Call) (pond.Answer, error) {
		return pond.Answer{Status: 200}, nil
	})
	f := New(options)
	for i := range 20 {
		w := sendRequest(f, http.MethodPost, "/services/portal/confirm", "{}", "Idempotency-Key", "prefix:1")
		if w.Code != http.StatusOK {
			t.Fatalf("call %d with an idempotency key: status %d, body %s", i, w.Code, w.Body)
		}
	}
}

// deadlineWriter records the read deadlines of a connection.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (w *deadlineWriter) SetReadDeadline(at time.Time) error {
	w.deadlines = append(w.deadlines, at)
	return nil
}

// TestBodyDeadline guards against callers that hold requests open by sending a body slowly, and against a read deadline
// that is not removed and cuts off the answer.
func TestBodyDeadline(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(validBody))
	r.Header.Set("Authorization", "Bearer "+testAPIKey)
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	New(testOptions(t, 1)).ServeHTTP(w, r)
	if len(w.deadlines) != 2 || w.deadlines[0].IsZero() || !w.deadlines[1].IsZero() {
		t.Errorf("read deadlines %v, want one deadline and then its removal", w.deadlines)
	}
}

// TestOpenLimit guards against an account that exceeds its limit of open requests, and against a count that is not
// decremented when a request ends.
func TestOpenLimit(t *testing.T) {
	options := testOptions(t, 1)
	entered, release := make(chan struct{}, 2), make(chan struct{})
	options.Executor = pond.HandlerFunc[pond.Call, pond.Answer](func(context.Context, pond.Call) (pond.Answer, error) {
		entered <- struct{}{}
		<-release
		return pond.Answer{Status: 200}, nil
	})
	f := New(options)
	done := make(chan struct{}, 2)
	for range 2 {
		go func() {
			sendRequest(f, http.MethodGet, "/services/portal/schedule/1", "")
			done <- struct{}{}
		}()
	}
	<-entered
	<-entered
	w := sendRequest(f, http.MethodGet, "/services/portal/schedule/1", "")
	if p := decode[problem](t, w); w.Code != http.StatusTooManyRequests || p.Reason != "tooManyOpen" {
		t.Errorf("status %d, body %s", w.Code, w.Body)
	}
	close(release)
	<-done
	<-done
	if w := sendRequest(f, http.MethodGet, "/services/portal/schedule/1", ""); w.Code != http.StatusOK {
		t.Errorf("after the open requests ended: status %d, body %s", w.Code, w.Body)
	}
}

// TestEntries guards against listing instances that are not live, and against a missing run key.
func TestEntries(t *testing.T) {
	options := testOptions(t, 1)
	directory := options.Directory.(staticDirectory)
	for i, state := range []pond.InstanceState{pond.InstanceLeaving, pond.InstanceSuspect, pond.InstanceGone, pond.InstanceLive} {
		ref := pond.InstanceRef{ID: pond.InstanceID(fmt.Sprintf("entry-%d", i+2)), Incarnation: 1}
		directory = append(directory, pond.NewInstance(ref, state, "127.0.0.1:90", "127.0.0.1:91", "attiki-1", "attiki"))
	}
	options.Directory = directory
	options.RunKeys = RunKeyIssuerFunc(func(account string, _ time.Time) string { return "key-of-" + account })
	w := sendRequest(New(options), http.MethodGet, "/v1/entries", "")
	response := decode[entriesResponse](t, w)
	if len(response.Entries) != 2 || response.Entries[0].Instance != "entry-1" || response.Entries[1].Instance != "entry-5" {
		t.Errorf("entries %+v, want entry-1 and entry-5", response.Entries)
	}
	if response.RunKey != "key-of-acme" || w.Header().Get(runKeyHeader) != "key-of-acme" || response.ValidUntil.IsZero() {
		t.Errorf("run key %q, header %v, valid until %v", response.RunKey, w.Header(), response.ValidUntil)
	}
}

// TestReady guards against an instance that reports ready before it is ready, and against unavailable operator
// endpoints.
func TestReady(t *testing.T) {
	options := testOptions(t, 1)
	ready := false
	options.Ready = func() bool { return ready }
	f := New(options)
	if w := sendRequest(f, http.MethodGet, "/readyz", ""); w.Code != http.StatusServiceUnavailable {
		t.Errorf("not ready: status %d", w.Code)
	}
	ready = true
	for _, path := range []string{"/readyz", "/healthz", "/metrics"} {
		if w := sendRequest(f, http.MethodGet, path, ""); w.Code != http.StatusOK {
			t.Errorf("%s: status %d", path, w.Code)
		}
	}
}
