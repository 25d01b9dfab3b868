package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// The fake protocol of these tests: the ID in "Call", the reply "NotRun", and the position in "After".
type fakeProtocol struct{}

func (fakeProtocol) Request(ctx context.Context, in *http.Request, call *Call, d Dispatch, body Body) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, in.Method, "http://"+d.Backend.Address+in.RequestURI, body.Reader())
	if err != nil {
		return nil, err
	}
	req.ContentLength = body.Length()
	req.Header.Set("Call", call.ID)
	req.Header.Set("Account", d.Account)
	if d.Resume != nil {
		req.Header.Set("Handle", d.Resume.Handle)
		req.Header.Set("After", d.Resume.Position)
	}
	return req, nil
}

func (fakeProtocol) Read(resp *http.Response, call *Call) Reply {
	return Reply{NotRun: resp.Header.Get("NotRun") != "", Genuine: resp.Header.Get("Call") == call.ID}
}

// fakeBackend counts the requests that reach it.
type fakeBackend struct {
	server *httptest.Server
	mu     sync.Mutex
	runs   int
}

func (b *fakeBackend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

func newBackend(t *testing.T, answer http.HandlerFunc) *fakeBackend {
	b := new(fakeBackend)
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.runs++
		b.mu.Unlock()
		w.Header().Set("Call", r.Header.Get("Call"))
		answer(w, r)
	}))
	t.Cleanup(b.server.Close)
	return b
}

func (b *fakeBackend) address() string { return b.server.Listener.Addr().String() }

// Answers of backend servers.
func answerOK(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "ok %s", body)
}
func answerError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}
func answerNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("NotRun", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
func answerReset(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}
func answerForeign(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Call", "another request")
	fmt.Fprint(w, "secret")
}
func answerCut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, "half")
}

// fakeDecoder makes the records of a test from Go values.
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

type testBed struct {
	relay     *Relay
	fleet     *fleet.Fleet
	decoder   *fakeDecoder
	front     *httptest.Server
	confirmed time.Time
	copier    *fakeCopier
	placer    *fakePlacer
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newBed(t *testing.T, kind route.Kind, engine *route.EngineLimits, backends ...*fakeBackend) *testBed {
	content := route.Content{
		Version: 1,
		Routes: []route.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: kind, Attempts: 2, Timeout: 5 * time.Second,
			Shares: []route.Share{{Service: "s", Weight: 1}},
		}},
		Services: []route.Service{{Name: "s", Engine: engine}},
		Accounts: []route.Account{{Name: "acme", Keys: []string{"key"}, Priority: route.NoPriority}},
	}
	bed := &testBed{
		decoder:   &fakeDecoder{catalogue: route.New(content), backends: map[string]route.Backend{}},
		confirmed: time.Now(),
		copier:    &fakeCopier{},
	}
	bed.fleet = fleet.New(fleet.Options{
		Decoder: bed.decoder, Regions: map[string][]string{"north": {"north-a"}}, Clock: time.Now, Log: quietLog(),
	})
	records := []feed.Record{{Key: "catalogue", Revision: 1}}
	for i, b := range backends {
		id := fmt.Sprint("b", i)
		bed.decoder.backends[id] = route.Backend{ID: id, Service: "s", Address: b.address(), DataCentre: "north-a", Slots: 4}
		records = append(records, feed.Record{Key: id, Revision: uint64(2 + i)})
	}
	bed.fleet.Apply(records, time.Time{})
	bed.placer = &fakePlacer{moves: make(chan pond.Move, 1)}
	bed.relay = New(Options{
		Fleet: bed.fleet, Placer: bed.placer, Protocol: fakeProtocol{}, Copier: bed.copier,
		Budget:    NewRetryBudget(0.2, 50, 10*time.Second),
		Instances: func() int { return 1 }, DataCentre: "north-a", KeyLease: func() time.Duration { return 5 * time.Second },
		ConfirmedAt: func() time.Time { return bed.confirmed }, Clock: time.Now,
		Metrics: metric.NewRequests(metric.New()), Traffic: metric.NewTraffic(metric.New()), Log: quietLog(),
	})
	bed.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		bed.relay.Serve(w, in, &Call{
			ID: "call-1", Host: in.Host, Path: in.URL.Path, Key: in.Header.Get("Key"), Deadline: time.Now().Add(4 * time.Second),
			Prompt: &Prompt{Tokens: 100, MaxOutput: 200},
		})
	}))
	t.Cleanup(bed.front.Close)
	return bed
}

// ask sends a request and returns the status and the body; status 0 stands for an answer that broke off.
func (b *testBed) ask(t *testing.T, key string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.front.URL+"/x", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Key", key)
	resp, err := http.DefaultTransport.RoundTrip(req)
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

// TestPlainAttempts guards against a request that runs twice though it must not, against a refusal of a request that may
// have run, and against an answer that is broken, cut or another one's.
func TestPlainAttempts(t *testing.T) {
	tests := []struct {
		name       string
		kind       route.Kind
		first      http.HandlerFunc
		wantStatus int
		wantRuns   int // requests that reach the second replica
	}{
		{"at most once, error", route.KindAtMostOnce, answerError, 500, 0},
		{"at most once, reset", route.KindAtMostOnce, answerReset, 502, 0},
		{"at most once, foreign answer", route.KindAtMostOnce, answerForeign, 502, 0},
		{"at most once, cut answer", route.KindAtMostOnce, answerCut, 502, 0},
		{"at most once, not run", route.KindAtMostOnce, answerNotRun, 200, 1},
		{"idempotent, error", route.KindIdempotent, answerError, 200, 1},
		{"idempotent, reset", route.KindIdempotent, answerReset, 200, 1},
		{"idempotent, foreign answer", route.KindIdempotent, answerForeign, 200, 1},
		{"idempotent, cut answer", route.KindIdempotent, answerCut, 200, 1},
		{"idempotent, not run", route.KindIdempotent, answerNotRun, 200, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newBackend(t, test.first), newBackend(t, answerOK)
			bed := newBed(t, test.kind, nil, first, second)
			status, body := bed.ask(t, "key")
			if status != test.wantStatus || status == 200 && body != "ok hello" {
				t.Errorf("answer %d %q, want %d", status, body, test.wantStatus)
			}
			if first.count() != 1 || second.count() != test.wantRuns {
				t.Errorf("%d and %d requests at the replicas, want 1 and %d", first.count(), second.count(), test.wantRuns)
			}
		})
	}
}

// TestRefusals guards against refusals without a time to return, and against keys that are accepted too long.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name       string
		prepare    func(bed *testBed)
		key        string
		wantStatus int
		wantRuns   int
	}{
		{"served", func(*testBed) {}, "key", 200, 1},
		{"no replica", func(bed *testBed) { bed.fleet.Refused("b0") }, "key", 503, 0},
		{"unknown key", func(*testBed) {}, "other", 401, 0},
		{"keys not confirmed", func(bed *testBed) { bed.confirmed = time.Now().Add(-5 * time.Second) }, "key", 503, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := newBackend(t, answerOK)
			bed := newBed(t, route.KindAtMostOnce, nil, backend)
			test.prepare(bed)
			if status, _ := bed.ask(t, test.key); status != test.wantStatus {
				t.Errorf("status %d, want %d", status, test.wantStatus)
			}
			if backend.count() != test.wantRuns {
				t.Errorf("%d requests at the replica, want %d", backend.count(), test.wantRuns)
			}
		})
	}
}

// fakePlacer places every generation on the first engine.
type fakePlacer struct {
	moves chan pond.Move
	mu    sync.Mutex
	moved []string
	ended []pond.PlacementEnd
}

func (p *fakePlacer) Place(context.Context, pond.PlaceRequest) (pond.Placement, error) { return p, nil }
func (p *fakePlacer) Backend() (name, address string)                                  { return "b0", "" }
func (p *fakePlacer) Progress(int, time.Time)                                          {}
func (p *fakePlacer) Moves() <-chan pond.Move                                          { return p.moves }

func (p *fakePlacer) Done(end pond.PlacementEnd, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = append(p.ended, end)
}

func (p *fakePlacer) Moved(move pond.Move, ok bool, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moved = append(p.moved, fmt.Sprint(move.Backend, ok))
}

// reported returns the moves that were reported so far.
func (p *fakePlacer) reported() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.moved)
}

// fakeCopier stops the source's stream with the last copy.
type fakeCopier struct {
	onLast func()
	err    error // of the last copy
}

func (c *fakeCopier) Copy(_ context.Context, _ route.Backend, run string, _ route.Backend, last bool) (Copy, error) {
	if !last {
		return Copy{Handle: "first"}, nil
	}
	c.onLast()
	return Copy{Handle: "last"}, c.err
}

func (*fakeCopier) Drop(context.Context, route.Backend, string) error { return nil }

func writeEvent(w http.ResponseWriter, id int) {
	fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", id, id)
	_ = http.NewResponseController(w).Flush()
}

// TestMove guards against events that are lost, doubled or out of order when a run goes on on another engine, and against
// an answer that looks complete though the run was lost. The source breaks off in the middle of an event, and the target
// repeats one.
func TestMove(t *testing.T) {
	const total, cutAt = 8, 3
	tests := []struct {
		name     string
		copyErr  error
		target   http.HandlerFunc
		wantDone bool
	}{
		{name: "moved", wantDone: true},
		{name: "engine lost before the last copy", copyErr: io.ErrUnexpectedEOF, wantDone: true},
		{name: "copy gone", target: answerNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stop, halfway := make(chan struct{}), make(chan struct{})
			source := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				for id := range cutAt {
					writeEvent(w, id+1)
				}
				fmt.Fprint(w, "id: 4\nda")
				_ = http.NewResponseController(w).Flush()
				close(halfway)
				<-stop
				answerReset(w, nil)
			})
			resume := test.target
			if resume == nil {
				resume = func(w http.ResponseWriter, r *http.Request) {
					after, _ := strconv.Atoi(r.Header.Get("After"))
					for id := after; id <= total; id++ {
						writeEvent(w, id)
					}
				}
			}
			target := newBackend(t, resume)
			bed := newBed(t, route.KindStream, &route.EngineLimits{EventTokens: 4}, source, target)
			bed.copier.onLast, bed.copier.err = func() { close(stop) }, test.copyErr
			go func() {
				<-halfway
				bed.decoder.backends["b0"] = route.Backend{ID: "b0", Service: "s", Address: source.address(), Leaving: true}
				bed.fleet.Apply([]feed.Record{{Key: "b0", Revision: 9}}, time.Time{})
				bed.placer.moves <- pond.Move{Backend: "b1"}
			}()
			status, body := bed.ask(t, "key")
			if done := status == 200; done != test.wantDone {
				t.Fatalf("status %d, whole answer: %v, want %v", status, done, test.wantDone)
			}
			if !test.wantDone {
				return
			}
			want := ""
			for id := 1; id <= total; id++ {
				want += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
			}
			if body != want {
				t.Errorf("answer %q, want %q", body, want)
			}
			if moved := bed.placer.reported(); len(moved) != 1 || moved[0] != "b1true" {
				t.Errorf("moves reported: %v, want one to b1", moved)
			}
		})
	}
}

// TestMoveFromStayingEngine guards against moves that are ignored because the engine that is to lose the run stays, and
// against carrying out one that names an engine which the run has left.
func TestMoveFromStayingEngine(t *testing.T) {
	for _, from := range []string{"b0", "b7"} {
		stop, halfway := make(chan struct{}), make(chan struct{})
		source := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			writeEvent(w, 1)
			close(halfway)
			<-stop
			if from == "b0" {
				answerReset(w, nil)
				return
			}
			writeEvent(w, 2)
		})
		target := newBackend(t, func(w http.ResponseWriter, r *http.Request) { writeEvent(w, 2) })
		bed := newBed(t, route.KindStream, &route.EngineLimits{EventTokens: 4}, source, target)
		bed.copier.onLast = func() { close(stop) }
		go func() {
			<-halfway
			bed.placer.moves <- pond.Move{From: from, Backend: "b1"}
			if from == "b0" {
				return
			}
			for len(bed.placer.reported()) == 0 {
				time.Sleep(time.Millisecond)
			}
			close(stop)
		}()
		status, _ := bed.ask(t, "key")
		want := "b1true"
		if from != "b0" {
			want = "b0true"
		}
		if moved := bed.placer.reported(); status != http.StatusOK || len(moved) != 1 || moved[0] != want {
			t.Errorf("a move from %s: status %d, moves reported %v; want 200 and %s", from, status, moved, want)
		}
	}
}

// TestCallerLeaves guards against engines that work on for a caller that has gone.
func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	source := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		writeEvent(w, 1)
		<-r.Context().Done()
		close(left)
	})
	bed := newBed(t, route.KindStream, &route.EngineLimits{EventTokens: 4}, source)
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
	<-left
}

// TestCutAtShutdown guards against a log that says a caller left although the shutdown of the instance cut its answer.
func TestCutAtShutdown(t *testing.T) {
	tests := []struct {
		until time.Duration
		want  string
	}{{-time.Millisecond, "leaving"}, {time.Hour, "canceled"}}
	for _, test := range tests {
		bed := newBed(t, route.KindStream, &route.EngineLimits{EventTokens: 4})
		out := new(bytes.Buffer)
		log := logrus.New()
		log.SetOutput(out)
		until := time.Now().Add(test.until)
		bed.relay.leavingUntil.Store(&until)
		x := &exchange{relay: bed.relay, log: log.WithField(logs.Request, "r"), arrived: time.Now()}
		func() {
			defer func() { _ = recover() }() // http.ErrAbortHandler
			x.abortClosed()
		}()
		if !strings.Contains(out.String(), "reason="+test.want) {
			t.Errorf("the log says %q, want the reason %s", out.String(), test.want)
		}
	}
}

// TestGenerationNames guards against placements that are mixed up because callers send the same ID twice or none.
func TestGenerationNames(t *testing.T) {
	r := newBed(t, route.KindStream, nil).relay
	names := map[string]bool{}
	for _, id := range []string{"a", "a", "", ""} {
		names[r.generation(id)] = true
	}
	if len(names) != 4 {
		t.Errorf("%d names for four placements: %v", len(names), names)
	}
}

// TestLeaving guards against an instance that takes generations which are cut when it ends, and against one that refuses
// those that would end in time.
func TestLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		leaving bool
		prompt  *Prompt
		want    bool
	}{
		{"not leaving", false, &Prompt{MaxOutput: 2000}, false},
		{"short", true, &Prompt{MaxOutput: 12}, false},
		{"ends in time", true, &Prompt{MaxOutput: 400}, false},
		{"too long", true, &Prompt{MaxOutput: 1000}, true},
		{"unknown length", true, &Prompt{}, true},
		{"no description", true, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newBed(t, route.KindStream, nil).relay
			if test.leaving {
				r.Leave(now.Add(7 * time.Second))
			}
			if got := r.outlasts(test.prompt, now); got != test.want {
				t.Errorf("refused %v, want %v", got, test.want)
			}
		})
	}
}

// TestKeyEndsMeanwhile guards against a request that is sent though its key ended while it waited, and against a replica
// that counts such a request as open for good.
func TestKeyEndsMeanwhile(t *testing.T) {
	backend := newBackend(t, answerOK)
	bed := newBed(t, route.KindAtMostOnce, nil, backend)
	checks := 0
	bed.relay.options.KeyLease = func() time.Duration {
		if checks++; checks > 1 {
			return time.Nanosecond
		}
		return 5 * time.Second
	}
	if status, _ := bed.ask(t, "key"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if backend.count() != 0 || len(bed.relay.replicas.rows) != 0 {
		t.Errorf("%d requests at the replica and %d counted, want none", backend.count(), len(bed.relay.replicas.rows))
	}
}
