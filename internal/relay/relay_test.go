package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/hazard"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// fakeProtocol sends the request ID in the header "Call" and the position in "After". It reads "Call", "NotRun", "Limit" and
// "Rest" of responses.
type fakeProtocol struct{}

func (fakeProtocol) Request(ctx context.Context, in *http.Request, call *Call, d Dispatch, body Body) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, in.Method, "http://"+d.Backend.Address+in.RequestURI, body.Reader())
	if err != nil {
		return nil, err
	}
	req.ContentLength = body.Length()
	req.Header.Set("Call", call.ID)
	req.Header.Set("Account", d.Account)
	req.Header.Set("Until", strconv.FormatInt(d.Deadline.UnixMicro(), 10))
	req.Header.Set("After", d.Position)
	req.Header.Set("Urgent", strconv.FormatBool(d.Urgent))
	if d.Resume != nil {
		req.Header.Set("Handle", d.Resume.Handle)
	}
	return req, nil
}

func (fakeProtocol) InspectResponse(resp *http.Response, call *Call) Reply {
	reply := Reply{NotRun: resp.Header.Get("NotRun") != "", Genuine: resp.Header.Get("Call") == call.ID, Limit: quota.NoLimit()}
	if perSecond, err := strconv.ParseFloat(resp.Header.Get("Limit"), 64); err == nil {
		reply.Limit = quota.LimitOf(perSecond)
	}
	reply.Limit = reply.Limit.WithBrittle(resp.Header.Get("Brittle") != "")
	if rest, err := time.ParseDuration(resp.Header.Get("Rest")); err == nil {
		reply.Signal.Backoff = rest
	}
	return reply
}

// fakeBackend counts the requests that reach it.
type fakeBackend struct {
	server   *httptest.Server
	mu       sync.Mutex
	requests int
}

func (b *fakeBackend) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

func newFakeBackend(t *testing.T, respond http.HandlerFunc) *fakeBackend {
	b := new(fakeBackend)
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A client of another test process may still ask for a server that had the same port before.
		if r.Header.Get("Call") != "" {
			b.mu.Lock()
			b.requests++
			b.mu.Unlock()
		}
		w.Header().Set("Call", r.Header.Get("Call"))
		respond(w, r)
	}))
	t.Cleanup(b.server.Close)
	return b
}

func (b *fakeBackend) address() string { return b.server.Listener.Addr().String() }

// Handlers of fake backend servers.
func respondOK(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "ok %s", body)
}
func respondError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}
func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("NotRun", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// declineResumption returns a handler of an engine that keeps no copies of its runs.
func declineResumption(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Handle") != "" {
			respondNotRun(w, r)
			return
		}
		handler(w, r)
	}
}

func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}
func respondForeign(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Call", "another request")
	fmt.Fprint(w, "secret")
}
func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, "half")
}

// fakeDecoder decodes records to the Go values of a test.
type fakeDecoder struct {
	catalogue *route.Catalogue
	backends  map[string]route.Backend
}

func (d *fakeDecoder) Catalogue(record feed.Record) (*route.Catalogue, error) {
	if record.Key == "catalogue" {
		return d.catalogue, nil
	}
	return nil, nil
}

func (d *fakeDecoder) Backend(record feed.Record) (route.Backend, bool, error) {
	backend, ok := d.backends[record.Key]
	return backend, ok, nil
}

// Evacuation takes the data centre from a key "evacuate/NAME".
func (d *fakeDecoder) Evacuation(record feed.Record) (string, bool) {
	return strings.CutPrefix(record.Key, "evacuate/")
}

type testBed struct {
	relay       *Relay
	fleet       *fleet.Fleet
	decoder     *fakeDecoder
	front       *httptest.Server
	confirmedAt time.Time
	copier      *fakeCopier
	placer      *fakePlacer
	parts       []string // shared parts of the prompts
	others      int      // instances that serve callers beside this one
	// callerWait is how long callers wait, and maxOutput the length of their generations.
	callerWait time.Duration
	maxOutput  int
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// testSlots is the number of requests that a replica runs at a time.
const testSlots = 2

// newTestGate returns a gate of an instance that is the home of all backend servers.
func newTestGate(fleet *fleet.Fleet) *quota.Gate {
	self := pond.NewInstance(pond.InstanceRef{ID: "self"}, pond.InstanceLive, "", "", "north-a", "north")
	return quota.NewGate(quota.Options{
		Self: "self", Homes: func(string) []pond.Instance { return []pond.Instance{self} },
		Peers: func() []pond.Instance { return nil }, Known: func(string) bool { return true }, Slots: func(string) int { return testSlots }, Service: func(string) string { return "s" }, Clock: time.Now, Log: quietLog(),
		Cold: func(backend string) quota.Cold { return quota.NewCold(fleet.Cold(backend)) }, RecordCold: fleet.RecordCold,
		Seen: func() float64 { return 1 },
	})
}

// newTestGuard returns a guard of the only instance, for which every backend server that breaks a request off has ended.
func newTestGuard(judge hazard.Judge) *hazard.Guard { return newTestGuardOf(judge, true) }

func newTestGuardOf(judge hazard.Judge, ended bool) *hazard.Guard {
	return newTestGuardAt(judge, ended, time.Now)
}

func newTestGuardAt(judge hazard.Judge, ended bool, clock func() time.Time) *hazard.Guard {
	self := pond.NewInstance(pond.InstanceRef{ID: "self"}, pond.InstanceLive, "", "", "north-a", "north")
	return hazard.NewGuard(hazard.Options{
		Self: "self", Homes: func(string) []pond.Instance { return []pond.Instance{self} },
		Peers: func() []pond.Instance { return nil }, Ended: func(context.Context, string) bool { return ended },
		Clock: clock, Log: quietLog(), Judge: judge, RemembersSound: true,
	})
}

// confirmWatch is the time for which the test bed watches a connection to a backend server that may have ended.
const confirmWatch = 100 * time.Millisecond

func newTestBed(t *testing.T, kind route.Kind, engine *route.EngineSpec, backends ...*fakeBackend) *testBed {
	content := route.Content{
		Version: 1,
		Routes: []route.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: kind, MaxAttempts: 2, Timeout: 5 * time.Second,
			Shares: []route.Share{{Service: "s", Weight: 1}},
		}},
		Services: []route.Service{{Name: "s", Engine: engine}},
		Accounts: []route.Account{{Name: "acme", Keys: []string{"key"}, Priority: route.NoPriority}},
	}
	bed := &testBed{
		decoder:     &fakeDecoder{catalogue: route.New(content), backends: map[string]route.Backend{}},
		confirmedAt: time.Now(),
		copier:      &fakeCopier{},
		others:      1,
		callerWait:  4 * time.Second,
		maxOutput:   200,
	}
	bed.fleet = fleet.New(fleet.Options{
		Decoder: bed.decoder, Regions: map[string][]string{"north": {"north-a"}, "south": {"south-a"}}, Clock: time.Now, Log: quietLog(),
		ColdOvershoot: 1, ColdSlack: 1, // Without effect for services that state no rate.
	})
	records := []feed.Record{{Key: "catalogue", Revision: 1}}
	for i, b := range backends {
		id := fmt.Sprint("b", i)
		bed.decoder.backends[id] = route.Backend{ID: id, Service: "s", Address: b.address(), DataCentre: "north-a", Slots: 4}
		records = append(records, feed.Record{Key: id, Revision: uint64(2 + i)})
	}
	bed.fleet.Apply(records, feed.Knowledge{})
	bed.placer = &fakePlacer{moves: make(chan pond.Move, 1)}
	bed.relay = New(Options{
		Fleet: bed.fleet, Placer: bed.placer, Protocol: fakeProtocol{}, Copier: bed.copier,
		Dial:   new(net.Dialer).DialContext,
		Blames: func(string) bool { return true },
		ConfirmEnd: func(ctx context.Context, backend route.Backend) error {
			for {
				conn, err := new(net.Dialer).DialContext(ctx, "tcp", backend.Address)
				if err != nil {
					return err
				}
				// The kernel accepts connections for a process that is about to end, and resets them with it.
				_ = conn.SetReadDeadline(time.Now().Add(confirmWatch))
				_, err = conn.Read(make([]byte, 1))
				_ = conn.Close()
				if errors.Is(err, os.ErrDeadlineExceeded) {
					return nil
				}
			}
		},
		Budget:    NewRetryBudget(0.2, 50, 10*time.Second),
		Limits:    newTestGate(bed.fleet),
		Hazards:   newTestGuard((*hazard.Table).Check),
		Requests:  newTestGuard((*hazard.Table).CheckRequest),
		Instances: func() int { return 1 }, Others: func() int { return bed.others }, DataCentre: "north-a", KeyLease: func() time.Duration { return 5 * time.Second },
		ConfirmedAt: func() time.Time { return bed.confirmedAt }, Clock: time.Now,
		Metrics: metric.NewRequests(metric.New()), Traffic: metric.NewTraffic(metric.New()), Log: quietLog(),
	})
	bed.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		bed.relay.Serve(w, in, &Call{
			ID: "call-1", Host: in.Host, Path: in.URL.Path, Key: in.Header.Get("Key"), Deadline: time.Now().Add(bed.callerWait),
			Prompt: &Prompt{Tokens: 100, MaxOutput: bed.maxOutput, SharedParts: bed.parts}, Position: in.Header.Get("Position"),
		})
	}))
	t.Cleanup(bed.front.Close)
	return bed
}

// post sends a request and returns the status and the body. Status 0 stands for a truncated response.
func (b *testBed) post(t *testing.T, key string) (int, string) {
	t.Helper()
	return b.postAt(t, key, "")
}

// request returns a caller's request.
func (b *testBed) request(t *testing.T, key, position string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.front.URL+"/x", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Key", key)
	req.Header.Set("Position", position)
	return req
}

// postAt is post for a caller that has the events up to a position.
func (b *testBed) postAt(t *testing.T, key, position string) (int, string) {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(b.request(t, key, position))
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, string(body)
	}
	return resp.StatusCode, string(body)
}

// removeAccounts publishes the test bed's catalogue without accounts; requests still need a key.
func (b *testBed) removeAccounts() {
	former := b.decoder.catalogue
	b.decoder.catalogue = route.New(route.Content{
		Version: former.Version() + 1, Routes: former.Routes(), Services: former.Services(), RequiresKeys: true,
	})
	b.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 90}}, feed.Knowledge{})
}

// TestServiceAttempts guards against running a request twice that must run at most once, against refusing a request
// that may have run, and against delivering a truncated response or one to another request.
func TestServiceAttempts(t *testing.T) {
	tests := []struct {
		name       string
		kind       route.Kind
		first      http.HandlerFunc
		wantStatus int
		wantRuns   int // requests that reach the second replica
	}{
		{"at most once, error", route.KindAtMostOnce, respondError, 500, 0},
		{"at most once, reset", route.KindAtMostOnce, resetConnection, 502, 0},
		{"at most once, response to another request", route.KindAtMostOnce, respondForeign, 502, 0},
		{"at most once, truncated response", route.KindAtMostOnce, respondTruncated, 502, 0},
		{"at most once, not run", route.KindAtMostOnce, respondNotRun, 200, 1},
		{"idempotent, error", route.KindIdempotent, respondError, 200, 1},
		{"idempotent, reset", route.KindIdempotent, resetConnection, 200, 1},
		{"idempotent, response to another request", route.KindIdempotent, respondForeign, 200, 1},
		{"idempotent, truncated response", route.KindIdempotent, respondTruncated, 200, 1},
		{"idempotent, not run", route.KindIdempotent, respondNotRun, 200, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newFakeBackend(t, test.first), newFakeBackend(t, respondOK)
			bed := newTestBed(t, test.kind, nil, first, second)
			status, body := bed.post(t, "key")
			if status != test.wantStatus || status == 200 && body != "ok hello" {
				t.Errorf("response %d %q, want %d", status, body, test.wantStatus)
			}
			if first.requestCount() != 1 || second.requestCount() != test.wantRuns {
				t.Errorf("%d and %d requests at the replicas, want 1 and %d", first.requestCount(), second.requestCount(), test.wantRuns)
			}
		})
	}
}

// TestRefusals guards against wrong statuses of refused requests, and against keys that are accepted after their lease.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name       string
		prepare    func(bed *testBed)
		key        string
		wantStatus int
		wantRuns   int
	}{
		{"served", func(*testBed) {}, "key", 200, 1},
		{"no replica", func(bed *testBed) { bed.fleet.MarkLeaving("b0") }, "key", 503, 0},
		{"unknown key", func(*testBed) {}, "other", 401, 0},
		{"keys not confirmed", func(bed *testBed) { bed.confirmedAt = time.Now().Add(-5 * time.Second) }, "key", 503, 0},
		{"no account left", func(bed *testBed) { bed.removeAccounts() }, "key", 401, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := newFakeBackend(t, respondOK)
			bed := newTestBed(t, route.KindAtMostOnce, nil, backend)
			test.prepare(bed)
			if status, _ := bed.post(t, test.key); status != test.wantStatus {
				t.Errorf("status %d, want %d", status, test.wantStatus)
			}
			if backend.requestCount() != test.wantRuns {
				t.Errorf("%d requests at the replica, want %d", backend.requestCount(), test.wantRuns)
			}
		})
	}
}

// TestNoServerReached guards against requests that wait although no backend server can be reached, against callers who are
// told to return at once or all together, and against engines that are blamed for it.
func TestNoServerReached(t *testing.T) {
	for _, test := range []struct {
		kind   route.Kind
		engine *route.EngineSpec
	}{{route.KindAtMostOnce, nil}, {route.KindIdempotent, nil}, {route.KindStream, &route.EngineSpec{Slots: 4}}} {
		bed := newTestBed(t, test.kind, test.engine, newFakeBackend(t, respondOK), newFakeBackend(t, respondOK))
		bed.relay.transport = engine.NewUnpooledTransport(func(context.Context, string, string) (net.Conn, error) {
			return nil, reach.ErrIsolated
		})
		bed.relay.options.Blames = func(string) bool { return false }
		delays := make(map[string]bool)
		for range 10 {
			resp, err := http.DefaultTransport.RoundTrip(bed.request(t, "key", ""))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable || after < unreachedRetryDelay/2 || after > 2*unreachedRetryDelay {
				t.Errorf("%v: status %d, Retry-After %v, error %v", test.kind, resp.StatusCode, after, err)
			}
			delays[resp.Header.Get("Retry-After")] = true
		}
		if len(delays) < 5 {
			t.Errorf("%v: %d different delays in 10 refusals", test.kind, len(delays))
		}
		for _, end := range bed.placer.ended {
			if end.BackendFailed {
				t.Error("an engine is blamed")
			}
		}
	}
}

// fakePlacer places every generation on the first engine or, with spread, on one engine after the other.
type fakePlacer struct {
	moves    chan pond.Move
	spread   bool
	next     int // number of the backend server for the next generations
	urgent   bool
	placed   int
	mu       sync.Mutex
	reported []string
	finished chan struct{} // gets a value with the end of each move; nil for none
	ended    []pond.PlacementEnd
	excluded []string // by the newest request
	full     bool     // no engine has room
	refusal  error    // of every generation; nil for none
	retries  int      // requests that count as retries
}

func (p *fakePlacer) Place(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
	if p.refusal != nil {
		return nil, p.refusal
	}
	if p.full {
		<-ctx.Done()
		return nil, pond.NewRefusal(pond.ReasonCanceled, pond.RunNo, time.Time{}, "the wait was canceled")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed++
	p.excluded = req.Exclude
	if len(req.Avoid) > 0 {
		p.retries++
	}
	return p, nil
}

func (p *fakePlacer) Backend() (name, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spread {
		return fmt.Sprint("b", p.placed-1), ""
	}
	return fmt.Sprint("b", p.next), ""
}

func (p *fakePlacer) Progress(int, time.Time) {}
func (p *fakePlacer) Urgent() bool            { return p.urgent }
func (p *fakePlacer) Moves() <-chan pond.Move { return p.moves }

func (p *fakePlacer) Done(end pond.PlacementEnd, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, end)
}

func (p *fakePlacer) FinishMove(move pond.Move, ok bool, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported = append(p.reported, fmt.Sprint(move.Backend, ok))
	if p.finished != nil {
		p.finished <- struct{}{}
	}
}

// awaitEnd waits until a placement has ended.
func (p *fakePlacer) awaitEnd(t *testing.T) {
	t.Helper()
	for {
		p.mu.Lock()
		ended := len(p.ended)
		p.mu.Unlock()
		if ended > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// reportedMoves returns the moves that were reported to the placer so far.
func (p *fakePlacer) reportedMoves() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reported)
}

// fakeCopier calls onFirst during the first copy, and onLast, which stops the source's stream, during the last one.
type fakeCopier struct {
	onFirst func()
	onLast  func()
	err     error // of the last copy
	created int   // events, at the last copy
	dropped chan string
}

func (c *fakeCopier) Copy(ctx context.Context, _ route.Backend, run string, _ route.Backend, last bool) (Copy, error) {
	if !last {
		if c.onFirst != nil {
			c.onFirst()
		}
		return Copy{Handle: "first"}, ctx.Err()
	}
	c.onLast()
	return Copy{Handle: "last", Events: c.created}, c.err
}

func (c *fakeCopier) Drop(_ context.Context, _ route.Backend, handle string) error {
	if c.dropped != nil {
		c.dropped <- handle
	}
	return nil
}

func writeEvent(w http.ResponseWriter, id int) {
	fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", id, id)
	_ = http.NewResponseController(w).Flush()
}

// TestMove guards against events that are lost, duplicated or out of order after a run has moved to another engine, and
// against a response that looks complete although the run was lost. The stream of the source ends in the middle of an
// event, and the target repeats an event.
func TestMove(t *testing.T) {
	const total, eventsBeforeReset = 8, 3
	tests := []struct {
		name     string
		copyErr  error
		target   http.HandlerFunc
		wantDone bool
		wantRuns int // requests at the source
	}{
		{name: "moved", wantDone: true, wantRuns: 1},
		{name: "engine lost before the last copy", copyErr: io.ErrUnexpectedEOF, wantDone: true, wantRuns: 1},
		{name: "copy gone", target: respondNotRun, wantRuns: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stop, partSent := make(chan struct{}), make(chan struct{})
			source := newFakeBackend(t, declineResumption(func(w http.ResponseWriter, _ *http.Request) {
				for id := range eventsBeforeReset {
					writeEvent(w, id+1)
				}
				fmt.Fprint(w, "id: 4\nda")
				_ = http.NewResponseController(w).Flush()
				close(partSent)
				<-stop
				resetConnection(w, nil)
			}))
			resume := test.target
			if resume == nil {
				resume = func(w http.ResponseWriter, r *http.Request) {
					after, _ := strconv.Atoi(r.Header.Get("After"))
					for id := after; id <= total; id++ {
						writeEvent(w, id)
					}
				}
			}
			target := newFakeBackend(t, resume)
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
			bed.copier.onLast, bed.copier.err = func() { close(stop) }, test.copyErr
			go func() {
				<-partSent
				bed.decoder.backends["b0"] = route.Backend{ID: "b0", Service: "s", Address: source.address(), Leaving: true}
				bed.fleet.Apply([]feed.Record{{Key: "b0", Revision: 9}}, feed.Knowledge{})
				bed.placer.moves <- pond.Move{Backend: "b1"}
			}()
			status, body := bed.post(t, "key")
			if done := status == 200; done != test.wantDone {
				t.Fatalf("status %d, complete response: %v, want %v", status, done, test.wantDone)
			}
			if runs := source.requestCount(); runs != test.wantRuns {
				t.Errorf("%d requests at the source, want %d", runs, test.wantRuns)
			}
			if !test.wantDone {
				return
			}
			want := ""
			for id := 1; id <= total; id++ {
				want += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
			}
			if body != want {
				t.Errorf("response %q, want %q", body, want)
			}
			if moved := bed.placer.reportedMoves(); len(moved) != 1 || moved[0] != "b1true" {
				t.Errorf("reported moves %v, want one to b1", moved)
			}
		})
	}
}

// TestUrgentPlacement guards against an engine that is not told that a request is urgent, or that others are not.
func TestUrgentPlacement(t *testing.T) {
	for _, urgent := range []bool{false, true} {
		got := make(chan string, 1)
		source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
			got <- r.Header.Get("Urgent")
			continueStream(w, r)
		})
		bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source)
		bed.placer.urgent = urgent
		if status, _ := bed.post(t, "key"); status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
		if want := strconv.FormatBool(urgent); <-got != want {
			t.Errorf("the engine was not told that urgent is %s", want)
		}
	}
}

// TestUnusedCopyDropped guards against a copy that occupies the target's memory for seconds because its run ended while
// it was made.
func TestUnusedCopyDropped(t *testing.T) {
	copying, ended := make(chan struct{}), make(chan struct{})
	source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		writeEvent(w, 1)
		<-copying
		writeEvent(w, 2)
	})
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, newFakeBackend(t, respondNotRun))
	bed.copier.dropped = make(chan string, 1)
	bed.copier.onFirst = func() {
		close(copying)
		<-ended
	}
	bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
	if status, _ := bed.post(t, "key"); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	bed.placer.awaitEnd(t)
	close(ended)
	select {
	case handle := <-bed.copier.dropped:
		if handle != "first" {
			t.Errorf("copy %q dropped, want the first one", handle)
		}
	case <-time.After(10 * time.Second):
		t.Error("the copy was not dropped")
	}
}

// TestMoveOrderSource guards against ignoring a move away from an engine that is not leaving, and against executing a
// move away from an engine that does not have the run any more.
func TestMoveOrderSource(t *testing.T) {
	for _, from := range []string{"b0", "b7"} {
		stop, eventSent := make(chan struct{}), make(chan struct{})
		source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			writeEvent(w, 1)
			close(eventSent)
			<-stop
			if from == "b0" {
				resetConnection(w, nil)
				return
			}
			writeEvent(w, 2)
		})
		target := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) { writeEvent(w, 2) })
		bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
		bed.copier.onLast = func() { close(stop) }
		go func() {
			<-eventSent
			bed.placer.moves <- pond.Move{From: from, Backend: "b1"}
			if from == "b0" {
				return
			}
			for len(bed.placer.reportedMoves()) == 0 {
				time.Sleep(time.Millisecond)
			}
			close(stop)
		}()
		status, _ := bed.post(t, "key")
		want := "b1true"
		if from != "b0" {
			want = "b0true"
		}
		if moved := bed.placer.reportedMoves(); status != http.StatusOK || len(moved) != 1 || moved[0] != want {
			t.Errorf("move from %s: status %d, reported moves %v; want 200 and %s", from, status, moved, want)
		}
	}
}

// TestCallerDisconnects guards against engines that continue to work for a caller that has disconnected.
func TestCallerDisconnects(t *testing.T) {
	engineCanceled := make(chan struct{})
	source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		writeEvent(w, 1)
		<-r.Context().Done()
		close(engineCanceled)
	})
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, bed.front.URL+"/x", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Key", "key")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	cancel()
	<-engineCanceled
}

// TestAbortReasonAtShutdown guards against a log that says the caller left although the shutdown of the instance
// aborted the response.
func TestAbortReasonAtShutdown(t *testing.T) {
	tests := []struct {
		until time.Duration
		want  string
	}{{-time.Millisecond, "leaving"}, {time.Hour, "canceled"}}
	for _, test := range tests {
		bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4})
		out := new(bytes.Buffer)
		log := logrus.New()
		log.SetOutput(out)
		bed.relay.Leave(time.Now().Add(test.until))
		x := &exchange{relay: bed.relay, log: log.WithField(logs.Request, "r"), arrived: time.Now()}
		func() {
			defer func() { _ = recover() }() // http.ErrAbortHandler
			x.abortDisconnected()
		}()
		if !strings.Contains(out.String(), "reason="+test.want) {
			t.Errorf("log %q, want reason %s", out.String(), test.want)
		}
	}
}

// TestGenerationIDsUnique guards against placements that are confused because callers send the same ID twice or none.
func TestGenerationIDsUnique(t *testing.T) {
	r := newTestBed(t, route.KindStream, nil).relay
	ids := map[string]bool{}
	for _, id := range []string{"a", "a", "", ""} {
		ids[r.generationID(id)] = true
	}
	if len(ids) != 4 {
		t.Errorf("%d IDs for four placements: %v", len(ids), ids)
	}
}

// TestKeyExpiresBeforeSend guards against sending a request whose key expired while it waited, and against counting
// such a request as open at a replica for ever.
func TestKeyExpiresBeforeSend(t *testing.T) {
	backend := newFakeBackend(t, respondOK)
	bed := newTestBed(t, route.KindAtMostOnce, nil, backend)
	checks := 0
	bed.relay.options.KeyLease = func() time.Duration {
		if checks++; checks > 1 {
			return time.Nanosecond
		}
		return 5 * time.Second
	}
	if status, _ := bed.post(t, "key"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if backend.requestCount() != 0 || len(bed.relay.replicas.states) != 0 {
		t.Errorf("%d requests at the replica and %d replicas with state, want none", backend.requestCount(), len(bed.relay.replicas.states))
	}
}

// TestKeysRequiredBeforeSend guards against a request without an account that is sent although keys have become required while it waited.
func TestKeysRequiredBeforeSend(t *testing.T) {
	for _, way := range routeKinds {
		t.Run(way.name, func(t *testing.T) {
			backend := newFakeBackend(t, respondOK)
			bed := newTestBed(t, way.kind, way.engine, backend)
			former := bed.decoder.catalogue
			publish := func(version uint64, requiresKeys bool) {
				bed.decoder.catalogue = route.New(route.Content{
					Version: version, Routes: former.Routes(), Services: former.Services(), RequiresKeys: requiresKeys,
				})
				bed.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 90 + version}}, feed.Knowledge{})
			}
			publish(2, false)
			body, caller := io.Pipe()
			go func() {
				_, _ = io.WriteString(caller, "hel") // The request has been admitted once this is read.
				time.Sleep(50 * time.Millisecond)
				publish(3, true)
				_, _ = io.WriteString(caller, "lo")
				_ = caller.Close()
			}()
			req := bed.request(t, "key", "")
			req.Body = body
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable || backend.requestCount() != 0 {
				t.Errorf("status %d, %d requests at the backend server, want 503 and none", resp.StatusCode, backend.requestCount())
			}
		})
	}
}
