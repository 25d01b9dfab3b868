package calls

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// gatedService is a plain service that blocks the first call until release is closed.
type gatedService struct {
	address string
	runs    atomic.Int32
	arrived chan struct{}
	release chan struct{}
}

func newGatedService(t testing.TB) *gatedService {
	g := &gatedService{arrived: make(chan struct{}), release: make(chan struct{})}
	g.address = serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		if g.runs.Add(1) == 1 {
			close(g.arrived)
			<-g.release
		}
		io.WriteString(w, "paid")
	})
	return g
}

// TestRepeats guards against repeats that run the call again or get another answer, whichever instance receives them,
// and against a run that is aborted when its first caller cancels.
func TestRepeats(t *testing.T) {
	g := newGatedService(t)
	x, y := startPair(t, manifestOf(t, 100, 0, g.address))
	call := chargeCall(x.Issue(testAccount, time.Now())+":1", "5 euros")
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error)
	go func() {
		_, err := x.Handle(ctx, call)
		first <- err
	}()
	<-g.arrived
	cancel()
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
	close(g.release)
	group.Wait()
	other := call
	other.Body = []byte("6 euros")
	_, err := y.Handle(t.Context(), other)
	wantRefusal(t, err, pond.ReasonKeyReused, pond.RunUnknown)
	if got := g.runs.Load(); got != 1 {
		t.Errorf("the call ran %d times, want 1", got)
	}
}

// TestExecutorUnreachable guards against an instance that refuses with "run: no" or runs the call itself because the
// executor stopped responding during the call or cannot be reached at all.
func TestExecutorUnreachable(t *testing.T) {
	g := newGatedService(t)
	ctx, stop := context.WithCancel(t.Context())
	x, y := startPairUntil(t, ctx, manifestOf(t, 100, 0, g.address))
	prefix := x.Issue(testAccount, time.Now())
	ended := make(chan error)
	go func() {
		_, err := y.Handle(t.Context(), chargeCall(prefix+":1", ""))
		ended <- err
	}()
	<-g.arrived
	stop()
	var refusal *pond.Refusal
	if err := <-ended; !errors.As(err, &refusal) || refusal.Run() != pond.RunUnknown {
		t.Errorf("call in progress: error %v, want a refusal with run unknown", err)
	}
	close(g.release)
	unreachable := &fixedDirectory{self: instance("y", 2, ""), instances: []pond.Instance{instance("x", 1, "127.0.0.1:1")}}
	z := newTestExecutor(t, unreachable, y.options.Source, newNetwork(t))
	_, err := z.Handle(t.Context(), chargeCall(prefix+":2", ""))
	wantRefusal(t, err, pond.ReasonExecutorGone, pond.RunUnknown)
	if got := g.runs.Load(); got != 1 {
		t.Errorf("the service ran %d calls, want 1", got)
	}
}

// TestIdempotentRefusals guards against a false "run: no" for an idempotent call, of which a copy may have run if it
// has a key.
func TestIdempotentRefusals(t *testing.T) {
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
			x, call := newIdempotentCall(t, func(*http.Request) (*http.Response, error) { return nil, test.err })
			x.options.Source.(*fixedSource).unconfirmed.Store(test.unconfirmed)
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

// TestForwardedDeadline guards against a forwarded call that loses its deadline.
func TestForwardedDeadline(t *testing.T) {
	x, y := startPair(t, manifestOf(t, 100, 0, "127.0.0.1:1"))
	var got time.Time
	x.sender = senderFunc(func(ctx context.Context) (pond.Answer, pond.Outcome, error) {
		got, _ = ctx.Deadline()
		return pond.Answer{Status: http.StatusOK}, pond.OutcomeAnswered, nil
	})
	want := time.Now().Add(time.Hour)
	ctx, cancel := context.WithDeadline(t.Context(), want)
	defer cancel()
	if _, err := y.Handle(ctx, chargeCall(x.Issue(testAccount, time.Now())+":1", "")); err != nil {
		t.Fatal(err)
	}
	// The default deadline is two minutes, far below the hour of the call. The tolerance covers the forwarding time.
	if early := want.Sub(got); early < -time.Minute || early > 30*time.Minute {
		t.Errorf("the deadline of the run is %s before that of the call", early)
	}
}

// TestRateLimit guards against an account that exceeds its rate, and against admitting a late copy of a refused call.
func TestRateLimit(t *testing.T) {
	// manifestOf adds a rate of two calls per second to a limit of one open call.
	s := newSimulation(t, newAtMostOnceRules)
	s.manifest = manifestOf(t, 100, 1)
	node := s.nodes[0]
	prefix := node.rules.issue(s.now)
	admit := func(suffix string) *pond.Refusal {
		call := chargeCall(prefix+":"+suffix, "")
		_, refusal, r := node.rules.receive(&call, node, node.snapshot())
		if r != nil {
			node.rules.finish(r, result{})
		}
		return refusal
	}
	for _, suffix := range []string{"1", "2"} {
		if refusal := admit(suffix); refusal != nil {
			t.Errorf("call %s: %v", suffix, refusal)
		}
	}
	refusal := admit("3")
	wantRefusal(t, refusal, pond.ReasonRateLimited, pond.RunNo)
	if want := s.now.Add(500 * time.Millisecond); !refusal.RetryAt().Equal(want) {
		t.Errorf("retry at %s, want %s", refusal.RetryAt(), want)
	}
	s.now = s.now.Add(time.Second)
	wantRefusal(t, admit("3"), pond.ReasonRateLimited, pond.RunNo)
	if refusal := admit("4"); refusal != nil {
		t.Errorf("call 4: %v", refusal)
	}
}

// TestDrain guards against a graceful shutdown that interrupts a call in progress, loses its answer, or runs a call
// that it has refused.
func TestDrain(t *testing.T) {
	g := newGatedService(t)
	x, y := startPair(t, manifestOf(t, 100, 0, g.address))
	prefix := x.Issue(testAccount, time.Now())
	running, late := chargeCall(prefix+":running", ""), chargeCall(prefix+":late", "")
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
	close(g.release)
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

// TestDrainLimit guards against a drain that outlasts its context, and against a recorded call that is sent after it.
func TestDrainLimit(t *testing.T) {
	g := newGatedService(t)
	defer close(g.release)
	x, _ := startPair(t, manifestOf(t, 100, 0, g.address))
	prefix := x.Issue(testAccount, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	go x.Handle(ctx, chargeCall(prefix+":1", ""))
	<-g.arrived
	cancel()
	if err := x.Drain(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("drain: error %v, want context.Canceled", err)
	}
	now := time.Now()
	r := &record{expiry: now.Add(time.Minute)}
	err := x.checkSend(&pond.Call{}, r, now.Add(time.Minute), "r0")
	wantRefusal(t, err, pond.ReasonLeaving, pond.RunNo)
}

// TestDrainWithoutCalls guards against an error, which would be logged as a warning, if the context has ended but no
// call is in progress.
func TestDrainWithoutCalls(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		x, _ := startPair(t, manifestOf(t, 100, 0, "127.0.0.1:1"))
		if err := x.Drain(ctx); err != nil {
			t.Fatalf("drain without calls: %v", err)
		}
	}
}

// roundTripFunc replaces the transport to replicas.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

func newIdempotentCall(t testing.TB, transport roundTripFunc) (x *Executor, call pond.Call) {
	dir := &fixedDirectory{self: instance("x", 1, "")}
	src := &fixedSource{manifest: manifestOf(t, 100, 0, "127.0.0.1:1", "127.0.0.1:2")}
	x = newTestExecutor(t, dir, src, newNetwork(t))
	x.client.Transport = transport
	return x, pond.Call{Account: testAccount, Service: "shop", Method: http.MethodGet, Path: "/status?order=1"}
}

func respond(status int) (*http.Response, error) {
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader("open"))}, nil
}

// TestHedge guards against an idempotent call that waits for a slow replica, and against a slower attempt that is not
// cancelled.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := make(chan string, 2)
		canceled := make(chan error, 1)
		x, call := newIdempotentCall(t, func(req *http.Request) (*http.Response, error) {
			hosts <- req.URL.Host
			if len(hosts) > 1 {
				return respond(http.StatusOK)
			}
			<-req.Context().Done()
			canceled <- req.Context().Err()
			return nil, req.Context().Err()
		})
		startedAt := time.Now()
		answer, err := x.Handle(t.Context(), call)
		if err != nil || string(answer.Body) != "open" {
			t.Errorf("answer %q, error %v", answer.Body, err)
		}
		if elapsed := time.Since(startedAt); elapsed != initialHedgeDelay {
			t.Errorf("the call took %s, want the hedge delay %s", elapsed, initialHedgeDelay)
		}
		if first, second := <-hosts, <-hosts; first == second {
			t.Errorf("both attempts went to %s", first)
		}
		if err := <-canceled; !errors.Is(err, context.Canceled) {
			t.Errorf("the slower attempt ended with %v, want context.Canceled", err)
		}
	})
}

// TestRetryBudget guards against retries that multiply the load of a failing service, and against an idempotent call
// that is never retried.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		x, call := newIdempotentCall(t, func(*http.Request) (*http.Response, error) {
			attempts.Add(1)
			return respond(http.StatusServiceUnavailable)
		})
		const calls = 200
		for range calls {
			_, err := x.Handle(t.Context(), call)
			wantRefusal(t, err, pond.ReasonBackendFailed, pond.RunUnknown)
		}
		// The budget starts with one retry and gains a tenth of the first attempts.
		if got := attempts.Load(); got < calls*11/10-1 || got > calls*11/10+1 {
			t.Errorf("%d attempts for %d calls, want a tenth more than calls", got, calls)
		}
	})
}

// TestStatusOfServiceIsNoRefusal guards against a call that runs again, or whose caller is told that it has not run, because its service ran it and answered
// with a status that elsewhere promises the contrary.
func TestStatusOfServiceIsNoRefusal(t *testing.T) {
	tests := []struct {
		status           int
		idempotentAnswer bool // whether the caller of an idempotent call gets the answer
	}{
		{http.StatusRequestTimeout, true},
		{http.StatusMisdirectedRequest, true},
		{http.StatusTooManyRequests, true},
		{http.StatusServiceUnavailable, false},
	}
	for _, test := range tests {
		t.Run(strconv.Itoa(test.status), func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			answer := func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, "ran")
			}
			x, y := startPair(t, manifestOf(t, 100, 0, serveHTTP(t, answer), serveHTTP(t, answer)))
			call := chargeCall(x.Issue(testAccount, time.Now())+":1", "body")
			for _, executor := range []*Executor{x, y, x} {
				got, err := executor.Handle(t.Context(), call)
				if err != nil || got.Status != test.status || string(got.Body) != "ran" {
					t.Errorf("status %d, body %q, error %v, want the answer of the service", got.Status, got.Body, err)
				}
			}
			if got := runs.Load(); got != 1 {
				t.Errorf("the call ran %d times, want once", got)
			}
			got, err := x.Handle(t.Context(), pond.Call{Account: testAccount, Service: "shop", Method: http.MethodGet, Path: "/status"})
			if test.idempotentAnswer != (err == nil && got.Status == test.status) {
				t.Errorf("idempotent: status %d, error %v", got.Status, err)
			}
			if err != nil {
				wantRefusal(t, err, pond.ReasonBackendFailed, pond.RunUnknown)
			}
		})
	}
}
