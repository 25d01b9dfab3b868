package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// respondNever holds a request until its connection is closed.
func respondNever(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// callerPatience is longer than any wait that a test leaves to the relay.
const callerPatience = time.Minute

// setRouteTimeout publishes the test bed's route with a timeout.
func (b *testBed) setRouteTimeout(t *testing.T, timeout time.Duration) {
	t.Helper()
	former := b.decoder.catalogue
	matched, ok := former.Match("127.0.0.1", "/x")
	if !ok {
		t.Fatal("the test bed has no route")
	}
	changed := *matched
	changed.Timeout = timeout
	b.decoder.catalogue = route.New(route.Content{
		Version: 2, Routes: []route.Route{changed}, Services: former.Services(), Accounts: former.Accounts(),
	})
	b.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 90}}, feed.Knowledge{})
}

// postDuringShutdown sends a request, calls leave once the request is open, and returns the response.
func (b *testBed) postDuringShutdown(t *testing.T, leave func()) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callerPatience/2)
	t.Cleanup(cancel)
	go func() {
		for b.relay.Open() == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	resp, err := http.DefaultTransport.RoundTrip(b.request(t, "key", "").WithContext(ctx))
	if err != nil {
		t.Fatalf("no answer during the shutdown: %v", err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// TestWaitsEndAtShutdown guards against requests that wait for an engine while their instance stops, and are closed with it without an
// answer although their callers could have gone elsewhere.
func TestWaitsEndAtShutdown(t *testing.T) {
	tests := []struct {
		name          string
		maxOutput     int
		others        int
		minRetryAfter float64
	}{
		{"long", 2000, 1, 0},
		{"of unknown length", 0, 1, 0},
		{"without another instance", 2000, 0, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, newFakeBackend(t, respondEvents))
			bed.placer.full, bed.callerWait, bed.maxOutput, bed.others = true, callerPatience, test.maxOutput, test.others
			bed.setRouteTimeout(t, callerPatience)
			resp := bed.postDuringShutdown(t, func() { bed.relay.Leave(time.Now().Add(7 * time.Second)) })
			retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.StatusCode != http.StatusServiceUnavailable || err != nil || retryAfter < test.minRetryAfter {
				t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// TestAdmissionDuringShutdown guards against an instance that stops and accepts requests which cannot end before it does, by how long the
// latest ones took, or refuses others.
func TestAdmissionDuringShutdown(t *testing.T) {
	const service = "s"
	tests := []struct {
		name       string
		left       time.Duration // until the exit
		engine     *route.EngineSpec
		maxOutput  int
		call       time.Duration // how long plain requests took; 0 for none
		pace       time.Duration // time per token of the streams before; 0 for none
		wantStatus int
	}{
		{"plain, early", 7 * time.Second, nil, 0, 0, 0, 200},
		{"plain, quick", 3 * time.Second, nil, 0, 60 * time.Millisecond, 0, 200},
		{"plain, nothing known", 2 * time.Second, nil, 0, 0, 0, 503},
		{"plain, too late for a silent server", 1500 * time.Millisecond, nil, 0, 60 * time.Millisecond, 0, 503},
		{"plain, slow service", 7 * time.Second, nil, 0, 6 * time.Second, 0, 503},
		{"generation, quick engines", 7 * time.Second, &route.EngineSpec{Slots: 4}, 400, 0, 10 * time.Millisecond, 200},
		{"generation, slow engines", 7 * time.Second, &route.EngineSpec{Slots: 4}, 400, 0, 30 * time.Millisecond, 503},
		{"generation, too long", 7 * time.Second, &route.EngineSpec{Slots: 4}, 1000, 0, 10 * time.Millisecond, 503},
		{"generation, nothing known", 4 * time.Second, &route.EngineSpec{Slots: 4}, 300, 0, 0, 503},
		{"short generation, nothing known", 4 * time.Second, &route.EngineSpec{Slots: 4}, 12, 0, 0, 200},
		{"generation of unknown length", 7 * time.Second, &route.EngineSpec{Slots: 4}, 0, 0, 10 * time.Millisecond, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			respond := respondOK
			if test.engine != nil {
				respond = respondEvents
			}
			backend := newFakeBackend(t, respond)
			bed := newTestBed(t, route.KindStream, test.engine, backend)
			bed.maxOutput = test.maxOutput
			if test.call > 0 {
				bed.relay.history.BeginCall(service, time.Now()).Answered(time.Now().Add(test.call))
			}
			if test.pace > 0 {
				bed.relay.history.BeginGeneration(service, time.Now()).Answered(time.Now().Add(300 * time.Millisecond))
				bed.relay.history.RecordPace(service, test.pace)
			}
			bed.relay.Leave(time.Now().Add(test.left))
			status, _ := bed.post(t, "key")
			if sent := backend.requestCount() > 0; status != test.wantStatus || sent != (status == 200) {
				t.Errorf("status %d, sent %v; want %d", status, sent, test.wantStatus)
			}
		})
	}
}

// TestAdmissionToSilentService guards against an instance that stops and sends requests to backend servers that have stopped to answer, so
// that their callers get a failure of unknown outcome instead of a refusal.
func TestAdmissionToSilentService(t *testing.T) {
	const (
		timeout = 800 * time.Millisecond // of the route
		left    = 2100 * time.Millisecond
	)
	tests := []struct {
		name       string
		kind       route.Kind
		engine     *route.EngineSpec
		silent     int           // requests that are sent before the shutdown and get no answer
		wait       time.Duration // from these to the shutdown
		wantStatus int
	}{
		{"at most once, quick", route.KindAtMostOnce, nil, 0, 0, 200},
		{"at most once, open", route.KindAtMostOnce, nil, 3, 700 * time.Millisecond, 503},
		{"at most once, given up", route.KindAtMostOnce, nil, 3, 900 * time.Millisecond, 503},
		{"idempotent, given up", route.KindIdempotent, nil, 3, 900 * time.Millisecond, 503},
		{"generation, quick", route.KindStream, &route.EngineSpec{Slots: 4}, 0, 0, 200},
		{"generation, open", route.KindStream, &route.EngineSpec{Slots: 4}, 3, 700 * time.Millisecond, 503},
		{"generation, given up", route.KindStream, &route.EngineSpec{Slots: 4}, 3, 900 * time.Millisecond, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var silent atomic.Bool
			respond := respondOK
			if test.engine != nil {
				respond = respondEvents
			}
			bed := newTestBed(t, test.kind, test.engine, newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if silent.Load() {
					respondNever(w, r)
					return
				}
				respond(w, r)
			}))
			bed.maxOutput = 1
			bed.setRouteTimeout(t, timeout)
			for range 20 {
				if status, _ := bed.post(t, "key"); status != http.StatusOK {
					t.Fatalf("status %d of a backend server that answers", status)
				}
			}
			silent.Store(true)
			var group sync.WaitGroup
			for range test.silent {
				group.Go(func() { bed.post(t, "key") })
			}
			time.Sleep(test.wait)
			silent.Store(false)
			bed.relay.Leave(time.Now().Add(left))
			if status, _ := bed.post(t, "key"); status != test.wantStatus {
				t.Errorf("status %d, want %d", status, test.wantStatus)
			}
			group.Wait()
		})
	}
}

// TestSilentTryDuringShutdown guards against a request that is not tried at another replica while its instance stops, though there is time.
func TestSilentTryDuringShutdown(t *testing.T) {
	first, second := newFakeBackend(t, respondNever), newFakeBackend(t, respondOK)
	bed := newTestBed(t, route.KindIdempotent, nil, first, second)
	bed.setRouteTimeout(t, 2*time.Second)
	sent := time.Now()
	for range 20 {
		bed.relay.history.BeginCall("s", sent).Answered(sent.Add(time.Millisecond))
	}
	bed.relay.Leave(sent.Add(7 * time.Second))
	if status, _ := bed.post(t, "key"); status != http.StatusOK || second.requestCount() != 1 {
		t.Errorf("status %d after %d requests to the second replica", status, second.requestCount())
	}
}

// TestRefusedPlacementDuringShutdown guards against callers who return at once to a pool that is overloaded, and against callers who are kept
// away although only this instance has too little time for them.
func TestRefusedPlacementDuringShutdown(t *testing.T) {
	tests := []struct {
		name               string
		left               time.Duration // until the exit
		minRetry, maxRetry float64
	}{
		{"overloaded", time.Hour, 25, 35},
		{"too little time here", 20 * time.Second, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4})
			bed.callerWait = callerPatience
			bed.setRouteTimeout(t, callerPatience)
			bed.placer.refusal = pond.NewRefusal(pond.ReasonOverloaded, pond.RunNo, time.Now().Add(30*time.Second), "the predicted wait exceeds the deadline")
			bed.relay.Leave(time.Now().Add(test.left))
			resp, err := http.DefaultTransport.RoundTrip(bed.request(t, "key", ""))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if err != nil || retryAfter < test.minRetry || retryAfter > test.maxRetry {
				t.Errorf("status %d, Retry-After %q, want %v to %v", resp.StatusCode, resp.Header.Get("Retry-After"), test.minRetry, test.maxRetry)
			}
		})
	}
}

// TestRefusesAllAtTheEnd guards against a request that is sent to a backend server while the instance closes its connections.
func TestRefusesAllAtTheEnd(t *testing.T) {
	backend := newFakeBackend(t, respondOK)
	bed := newTestBed(t, route.KindIdempotent, nil, backend)
	bed.relay.Leave(time.Now().Add(time.Hour))
	bed.relay.Stop()
	if status, _ := bed.post(t, "key"); status != http.StatusServiceUnavailable || backend.requestCount() > 0 {
		t.Errorf("status %d after %d requests to the backend server", status, backend.requestCount())
	}
}

// TestFinalAnswerBeforeExit guards against requests that are closed without an answer because their backend server is silent when the
// instance stops.
func TestFinalAnswerBeforeExit(t *testing.T) {
	tests := []struct {
		name   string
		kind   route.Kind
		engine *route.EngineSpec
	}{
		{"at most once", route.KindAtMostOnce, nil},
		{"idempotent", route.KindIdempotent, nil},
		{"generation", route.KindStream, &route.EngineSpec{Slots: 4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bed := newTestBed(t, test.kind, test.engine, newFakeBackend(t, respondNever))
			bed.callerWait = callerPatience
			bed.setRouteTimeout(t, callerPatience)
			resp := bed.postDuringShutdown(t, func() {
				time.Sleep(50 * time.Millisecond)
				bed.relay.Leave(time.Now().Add(500 * time.Millisecond))
			})
			if resp.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("status %d, want %d", resp.StatusCode, http.StatusGatewayTimeout)
			}
		})
	}
}

// TestUploadAtTheEnd guards against a caller without an answer whose long body is still on its way when the instance stops.
func TestUploadAtTheEnd(t *testing.T) {
	bed := newTestBed(t, route.KindAtMostOnce, nil, newFakeBackend(t, respondOK))
	bed.callerWait = callerPatience
	bed.setRouteTimeout(t, callerPatience)
	body, rest := io.Pipe()
	defer rest.Close()
	req := bed.request(t, "key", "")
	req.Body, req.ContentLength = body, 3*replayLimit
	sent := time.Now()
	for range 20 {
		bed.relay.history.BeginCall("s", sent).Answered(sent.Add(time.Millisecond))
	}
	bed.relay.Leave(sent.Add(3 * time.Second))
	go func() { _, _ = rest.Write(make([]byte, 2*replayLimit)) }()
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	context.AfterFunc(ctx, func() { _ = rest.Close() })
	resp, err := http.DefaultTransport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		t.Fatalf("no answer during the shutdown: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d, want %d", resp.StatusCode, http.StatusGatewayTimeout)
	}
}

// TestFailedTryDuringShutdown guards against a request that is repeated without enough time before its instance stops, or although it may not
// be, and against a caller who gets less than the answer to the first try.
func TestFailedTryDuringShutdown(t *testing.T) {
	const (
		left  = 2300 * time.Millisecond // 0.5 s until the latest start of a quick request
		spent = 700 * time.Millisecond
	)
	after := func(delay time.Duration, respond http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(delay)
			respond(w, r)
		}
	}
	tests := []struct {
		name          string
		kind          route.Kind
		first, second http.HandlerFunc
		wantStatus    int
		wantRuns      int // requests that reach the second replica
	}{
		{"at most once, error", route.KindAtMostOnce, respondError, respondOK, 500, 0},
		{"at most once, reset", route.KindAtMostOnce, resetConnection, respondOK, 502, 0},
		{"at most once, silent", route.KindAtMostOnce, respondNever, respondOK, 504, 0},
		{"at most once, not run, too late", route.KindAtMostOnce, after(spent, respondNotRun), respondOK, 503, 0},
		{"idempotent, error in time", route.KindIdempotent, respondError, respondOK, 200, 1},
		{"idempotent, error too late", route.KindIdempotent, after(spent, respondError), respondOK, 500, 0},
		{"idempotent, reset too late", route.KindIdempotent, after(spent, resetConnection), respondOK, 502, 0},
		{"idempotent, error, then silent", route.KindIdempotent, respondError, respondNever, 500, 1},
		{"idempotent, silent", route.KindIdempotent, respondNever, respondOK, 504, 0},
		{"idempotent, silent for longer than half of the time", route.KindIdempotent, after(1400*time.Millisecond, respondOK), respondOK, 200, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			first, second := newFakeBackend(t, test.first), newFakeBackend(t, test.second)
			bed := newTestBed(t, test.kind, nil, first, second)
			bed.callerWait = callerPatience
			bed.setRouteTimeout(t, callerPatience)
			sent := time.Now()
			for range 20 {
				bed.relay.history.BeginCall("s", sent).Answered(sent.Add(time.Millisecond))
			}
			exitAt := sent.Add(left)
			bed.relay.Leave(exitAt)
			status, _ := bed.post(t, "key")
			if status != test.wantStatus || second.requestCount() != test.wantRuns || first.requestCount() != 1 {
				t.Errorf("status %d after %d and %d requests to the replicas, want %d after 1 and %d", status, first.requestCount(), second.requestCount(),
					test.wantStatus, test.wantRuns)
			}
			if time.Now().After(exitAt) {
				t.Errorf("the answer came %v after the exit", time.Since(exitAt))
			}
		})
	}
}

// TestStalledStreamDuringShutdown guards against a stream that is broken off because its engine is silent, for the sake of another engine that it
// cannot be sent to any more.
func TestStalledStreamDuringShutdown(t *testing.T) {
	tests := []struct {
		name     string
		left     time.Duration // until the exit
		wantRuns int           // at the second engine
	}{
		{"time for another engine", 7 * time.Second, 1},
		{"no time for another engine", 2500 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			first := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(1300 * time.Millisecond)
				respondEvents(w, r)
			})
			second := newFakeBackend(t, respondEvents)
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, first, second)
			bed.placer.spread, bed.maxOutput = true, 3
			bed.setResumable(2*time.Second, 2)
			now := time.Now()
			for range 20 {
				bed.relay.history.BeginGeneration("s", now).Answered(now.Add(time.Millisecond))
				bed.relay.history.RecordPace("s", time.Millisecond)
			}
			bed.relay.Leave(now.Add(test.left))
			if status, _ := bed.post(t, "key"); status != http.StatusOK || second.requestCount() != test.wantRuns {
				t.Errorf("status %d after %d requests to the second engine, want %d", status, second.requestCount(), test.wantRuns)
			}
		})
	}
}

// TestLongAnswer guards against an answer that is cut while its caller receives it, at the time that is reserved for a try at another replica or for
// final answers.
func TestLongAnswer(t *testing.T) {
	const part = responseBufferLimit
	tests := []struct {
		name    string
		timeout time.Duration // of the route
		leave   time.Duration // from the request to the exit; 0 for no shutdown
		pause   time.Duration // in the middle of the answer
	}{
		{"pause beyond half of the time", 2 * time.Second, 0, 1300 * time.Millisecond},
		{"pause beyond the time of final answers", callerPatience, 2200 * time.Millisecond, 1950 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestBed(t, route.KindIdempotent, nil, newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, part+1))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(test.pause)
				_, _ = w.Write(make([]byte, part))
			}), newFakeBackend(t, respondOK))
			bed.callerWait = callerPatience
			bed.setRouteTimeout(t, test.timeout)
			now := time.Now()
			for range 20 {
				bed.relay.history.BeginCall("s", now).Answered(now.Add(time.Millisecond))
			}
			if test.leave > 0 {
				bed.relay.Leave(now.Add(test.leave))
			}
			if status, body := bed.post(t, "key"); status != http.StatusOK || len(body) != 2*part+1 {
				t.Errorf("status %d with %d bytes, want %d", status, len(body), 2*part+1)
			}
		})
	}
}

// TestShortStreamsRecordTheirPace guards against an instance that stops and accepts streams of few events by a pace that their engines do not
// have.
func TestShortStreamsRecordTheirPace(t *testing.T) {
	const (
		left   = 2400 * time.Millisecond // until the exit
		events = 12
		pause  = 110 * time.Millisecond
	)
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		for id := range events {
			writeEvent(w, id+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	}))
	bed.maxOutput = events
	if status, _ := bed.post(t, "key"); status != http.StatusOK {
		t.Fatalf("status %d before the shutdown", status)
	}
	bed.relay.Leave(time.Now().Add(left))
	if status, _ := bed.post(t, "key"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d for a stream that is expected to outlast the instance, want 503", status)
	}
}

// TestMoveOrderedAtTheEnd guards against a run that is stopped for a move when its instance has no time left to go on with it elsewhere.
func TestMoveOrderedAtTheEnd(t *testing.T) {
	stop := make(chan struct{})
	source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		for id := 1; ; id++ {
			writeEvent(w, id)
			select {
			case <-stop:
				return
			case <-r.Context().Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, source, newFakeBackend(t, respondEvents))
	bed.callerWait = callerPatience
	bed.setRouteTimeout(t, callerPatience)
	var exitAt time.Time
	bed.copier.onLast = func() {
		t.Errorf("the run is stopped for a move %v before the exit", time.Until(exitAt).Round(time.Millisecond))
		close(stop)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		time.Sleep(200 * time.Millisecond)
		exitAt = time.Now().Add(200 * time.Millisecond)
		bed.relay.Leave(exitAt)
		time.Sleep(190 * time.Millisecond)
		bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
		time.Sleep(100 * time.Millisecond)
		bed.front.CloseClientConnections()
	}()
	bed.post(t, "key")
	<-ended
}
