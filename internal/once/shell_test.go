package once

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

func serveHTTP(t testing.TB, handler http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// gate is a plain service that holds the first call until it is opened.
type gate struct {
	address string
	runs    atomic.Int32
	arrived chan struct{}
	open    chan struct{}
}

func newGate(t testing.TB) *gate {
	g := &gate{arrived: make(chan struct{}), open: make(chan struct{})}
	g.address = serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		if g.runs.Add(1) == 1 {
			close(g.arrived)
			<-g.open
		}
		io.WriteString(w, "paid")
	})
	return g
}

// TestRepeats guards against repeats that run the call again or get another answer, whichever instance receives them, and
// against a run that ends because its first caller gave up.
func TestRepeats(t *testing.T) {
	g := newGate(t)
	x, y := pair(t, manifestOf(t, 100, 0, g.address))
	call := charge(x.Issue(testAccount, time.Now())+":1", "5 euros")
	ctx, giveUp := context.WithCancel(t.Context())
	first := make(chan error)
	go func() {
		_, err := x.Handle(ctx, call)
		first <- err
	}()
	<-g.arrived
	giveUp()
	wantRefusal(t, <-first, pond.ReasonCanceled, pond.RunUnknown)

	var group sync.WaitGroup
	for _, executor := range []*Executor{x, y, x, y} {
		group.Go(func() {
			answer, err := executor.Handle(t.Context(), call)
			if err != nil || string(answer.Body) != "paid" {
				t.Errorf("answer %q, error %v", answer.Body, err)
			}
		})
	}
	close(g.open)
	group.Wait()
	other := call
	other.Body = []byte("6 euros")
	_, err := y.Handle(t.Context(), other)
	wantRefusal(t, err, pond.ReasonKeyReused, pond.RunUnknown)
	if got := g.runs.Load(); got != 1 {
		t.Errorf("the call ran %d times, want 1", got)
	}
}

// TestExecutorUnreachable guards against an instance that denies or repeats a call because the executor stopped to answer
// while the call was running, or cannot be reached at all.
func TestExecutorUnreachable(t *testing.T) {
	g := newGate(t)
	ctx, stop := context.WithCancel(t.Context())
	x, y := pairUntil(t, ctx, manifestOf(t, 100, 0, g.address))
	prefix := x.Issue(testAccount, time.Now())
	ended := make(chan error)
	go func() {
		_, err := y.Handle(t.Context(), charge(prefix+":1", ""))
		ended <- err
	}()
	<-g.arrived
	stop()
	var refusal *pond.Refusal
	if err := <-ended; !errors.As(err, &refusal) || refusal.Run() != pond.RunUnknown {
		t.Errorf("call in progress: error %v, want a refusal with run unknown", err)
	}
	close(g.open)
	gone := &directory{self: instance("y", 2, ""), instances: []pond.Instance{instance("x", 1, "127.0.0.1:1")}}
	z := newTestExecutor(t, gone, y.options.Source, newNetwork(t))
	_, err := z.Handle(t.Context(), charge(prefix+":2", ""))
	wantRefusal(t, err, pond.ReasonExecutorGone, pond.RunUnknown)
	if got := g.runs.Load(); got != 1 {
		t.Errorf("the service ran %d calls, want 1", got)
	}
}

// TestLookupRefusals guards against a false "run: no" of an idempotent call: one with a key may have a copy that ran.
func TestLookupRefusals(t *testing.T) {
	dialError := &net.OpError{Op: "dial", Err: errors.New("refused")}
	readError := &net.OpError{Op: "read", Err: errors.New("reset")}
	tests := []struct {
		name        string
		key         string
		unconfirmed bool
		err         error
		reason      pond.Reason
		run         pond.RunState
	}{
		{name: "unconfirmed", unconfirmed: true, reason: pond.ReasonNotReady, run: pond.RunNo},
		{name: "unconfirmed, key", key: "k", unconfirmed: true, reason: pond.ReasonNotReady, run: pond.RunUnknown},
		{name: "refused connections", err: dialError, reason: pond.ReasonBackendFailed, run: pond.RunNo},
		{name: "reset connections", err: readError, reason: pond.ReasonBackendFailed, run: pond.RunUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x, call := newLookup(t, func(*http.Request) (*http.Response, error) { return nil, test.err })
			x.options.Source.(*source).unconfirmed.Store(test.unconfirmed)
			call.Key = test.key
			_, err := x.Handle(t.Context(), call)
			wantRefusal(t, err, test.reason, test.run)
		})
	}
}

// senderFunc adapts a function to sender.
type senderFunc func(ctx context.Context) (pond.Answer, pond.Outcome, error)

func (f senderFunc) send(
	ctx context.Context, _ string, _ *pond.Call, _ func() error,
) (pond.Answer, pond.Outcome, error) {
	return f(ctx)
}

// TestForwardedDeadline guards against a run that does not know the deadline of the call at the receiving instance.
func TestForwardedDeadline(t *testing.T) {
	x, y := pair(t, manifestOf(t, 100, 0, "127.0.0.1:1"))
	var got time.Time
	x.sender = senderFunc(func(ctx context.Context) (pond.Answer, pond.Outcome, error) {
		got, _ = ctx.Deadline()
		return pond.Answer{Status: http.StatusOK}, pond.OutcomeAnswered, nil
	})
	want := time.Now().Add(time.Hour)
	ctx, cancel := context.WithDeadline(t.Context(), want)
	defer cancel()
	if _, err := y.Handle(ctx, charge(x.Issue(testAccount, time.Now())+":1", "")); err != nil {
		t.Fatal(err)
	}
	// The default deadline is two minutes; the difference covers the time on the way.
	if early := want.Sub(got); early < -time.Minute || early > 30*time.Minute {
		t.Errorf("the run has a deadline %s before the one of the call", early)
	}
}

// TestRateLimit guards against an account that exceeds its rate, and against a refusal that a late copy overturns.
func TestRateLimit(t *testing.T) {
	// A limit of one open call comes with two calls a second.
	w := newWorld(t, newOnceRules)
	w.manifest = manifestOf(t, 100, 1)
	node := w.nodes[0]
	prefix := node.rules.issue(w.now)
	accept := func(suffix string) *pond.Refusal {
		call := charge(prefix+":"+suffix, "")
		_, refusal, r := node.rules.receive(&call, node, node.terms())
		if r != nil {
			node.rules.finish(r, result{})
		}
		return refusal
	}
	for _, suffix := range []string{"1", "2"} {
		if refusal := accept(suffix); refusal != nil {
			t.Errorf("call %s: %v", suffix, refusal)
		}
	}
	refusal := accept("3")
	wantRefusal(t, refusal, pond.ReasonRateLimited, pond.RunNo)
	if want := w.now.Add(500 * time.Millisecond); !refusal.RetryAt().Equal(want) {
		t.Errorf("retry at %s, want %s", refusal.RetryAt(), want)
	}
	w.now = w.now.Add(time.Second)
	wantRefusal(t, accept("3"), pond.ReasonRateLimited, pond.RunNo)
	if refusal := accept("4"); refusal != nil {
		t.Errorf("call 4: %v", refusal)
	}
}

// TestDrain guards against a graceful shutdown that interrupts a call in progress, loses its answer, or runs a call that
// it has refused.
func TestDrain(t *testing.T) {
	g := newGate(t)
	x, y := pair(t, manifestOf(t, 100, 0, g.address))
	prefix := x.Issue(testAccount, time.Now())
	running, late := charge(prefix+":running", ""), charge(prefix+":late", "")
	answers := make(chan string, 2)
	handle := func(executor *Executor) {
		answer, err := executor.Handle(t.Context(), running)
		if err != nil {
			t.Errorf("call in progress: error %v", err)
		}
		answers <- string(answer.Body)
	}
	go handle(y)
	<-g.arrived
	idle := x.beginDrain()
	drained := make(chan error)
	go func() { drained <- x.Drain(t.Context()) }()
	for _, executor := range []*Executor{x, y, x} {
		_, err := executor.Handle(t.Context(), late)
		wantRefusal(t, err, pond.ReasonLeaving, pond.RunNo)
	}
	select {
	case <-idle:
		t.Error("drained while a call was in progress")
	default:
	}
	go handle(x)
	close(g.open)
	for range 2 {
		if got := <-answers; got != "paid" {
			t.Errorf("answer %q, want paid", got)
		}
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: error %v", err)
	}
	if got := g.runs.Load(); got != 1 {
		t.Errorf("the service ran %d calls, want 1", got)
	}
}

// TestDrainLimit guards against a shutdown that waits longer than its limit or sends a recorded call after it.
func TestDrainLimit(t *testing.T) {
	g := newGate(t)
	defer close(g.open)
	x, _ := pair(t, manifestOf(t, 100, 0, g.address))
	prefix := x.Issue(testAccount, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	go x.Handle(ctx, charge(prefix+":1", ""))
	<-g.arrived
	cancel()
	if err := x.Drain(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("drain: error %v, want context.Canceled", err)
	}
	now := time.Now()
	r := &record{expiry: now.Add(time.Minute)}
	err := x.clear(r, now.Add(time.Minute), "r0")
	wantRefusal(t, err, pond.ReasonLeaving, pond.RunNo)
}

// TestDrainWithoutCalls guards against a warning about calls handed over when the limit has passed but no call is in
// progress.
func TestDrainWithoutCalls(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		x, _ := pair(t, manifestOf(t, 100, 0, "127.0.0.1:1"))
		if err := x.Drain(ctx); err != nil {
			t.Fatalf("drain without calls: %v", err)
		}
	}
}

// roundTrip is a stand-in for the transport to replicas.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

func newLookup(t testing.TB, transport roundTrip) (x *Executor, call pond.Call) {
	dir := &directory{self: instance("x", 1, "")}
	src := &source{manifest: manifestOf(t, 100, 0, "127.0.0.1:1", "127.0.0.1:2")}
	x = newTestExecutor(t, dir, src, newNetwork(t))
	x.client.Transport = transport
	return x, pond.Call{Account: testAccount, Service: "shop", Method: http.MethodGet, Path: "/status?order=1"}
}

func respond(status int) (*http.Response, error) {
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader("open"))}, nil
}

// TestHedge guards against an idempotent call that waits for a slow replica, and against a loser that goes on.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := make(chan string, 2)
		canceled := make(chan error, 1)
		x, call := newLookup(t, func(req *http.Request) (*http.Response, error) {
			hosts <- req.URL.Host
			if len(hosts) > 1 {
				return respond(http.StatusOK)
			}
			<-req.Context().Done()
			canceled <- req.Context().Err()
			return nil, req.Context().Err()
		})
		began := time.Now()
		answer, err := x.Handle(t.Context(), call)
		if err != nil || string(answer.Body) != "open" {
			t.Errorf("answer %q, error %v", answer.Body, err)
		}
		if took := time.Since(began); took != initialHedgeDelay {
			t.Errorf("the call took %s, want the hedge delay %s", took, initialHedgeDelay)
		}
		if first, second := <-hosts, <-hosts; first == second {
			t.Errorf("both attempts went to %s", first)
		}
		if err := <-canceled; !errors.Is(err, context.Canceled) {
			t.Errorf("the loser ended with %v, want context.Canceled", err)
		}
	})
}

// TestRetryBudget guards against retries that multiply the load of a failing service, and against a lookup that is not
// retried at all.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		x, call := newLookup(t, func(*http.Request) (*http.Response, error) {
			attempts.Add(1)
			return respond(http.StatusServiceUnavailable)
		})
		const calls = 200
		for range calls {
			_, err := x.Handle(t.Context(), call)
			wantRefusal(t, err, pond.ReasonBackendFailed, pond.RunUnknown)
		}
		// One saved retry and a tenth of the first attempts.
		if got := attempts.Load(); got < calls*11/10-1 || got > calls*11/10+1 {
			t.Errorf("%d attempts for %d calls, want a tenth more", got, calls)
		}
	})
}
