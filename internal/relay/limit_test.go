package relay

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// limitedTo returns a handler whose responses name a limit.
func limitedTo(limit string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", limit)
		next(w, r)
	}
}

// TestLimitedReplicas guards against requests beyond the limits of replicas: first ones, repeats, and those that wait
// instead of being refused at once.
func TestLimitedReplicas(t *testing.T) {
	const requests = 20
	tests := []struct {
		name          string
		kind          route.Kind
		first, second http.HandlerFunc
		wantFirst     int // most requests at the first replica
		wantSecond    int // most requests at the second replica
		wantRefused   bool
	}{
		{"one of two", route.KindAtMostOnce, limitedTo("0.5", respondOK), respondOK, 2, requests, false},
		{"both", route.KindAtMostOnce, limitedTo("0.5", respondOK), limitedTo("0.5", respondOK), 2, 2, true},
		{"repeats", route.KindIdempotent, limitedTo("0.5", respondError), respondError, 2, requests, false},
		{"not run at a limited one", route.KindAtMostOnce, limitedTo("0.5", respondNotRun), respondOK, 2, requests, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newFakeBackend(t, test.first), newFakeBackend(t, test.second)
			bed := newTestBed(t, test.kind, nil, first, second)
			refused := 0
			began := time.Now()
			for range requests {
				if status, _ := bed.post(t, "key"); status == http.StatusServiceUnavailable {
					refused++
				}
			}
			permitted := int(time.Since(began).Seconds()) // More than the limit permits in this time.
			if first.requestCount() > test.wantFirst+permitted || second.requestCount() > test.wantSecond+permitted {
				t.Errorf("%d and %d requests at the replicas, want at most %d and %d",
					first.requestCount(), second.requestCount(), test.wantFirst, test.wantSecond)
			}
			if (refused > 0) != test.wantRefused {
				t.Errorf("%d requests were refused", refused)
			}
		})
	}
}

// TestDeniedEngineIsNoRetry guards against generations that are refused for lack of retry budget because the limits of engines did not permit them: these
// engines never received the generation.
func TestDeniedEngineIsNoRetry(t *testing.T) {
	first, second := newFakeBackend(t, respondOK), newFakeBackend(t, continueStream)
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, first, second)
	bed.placer.spread = true
	bed.relay.options.Limits.Observe("b0", quota.LimitOf(0.5), time.Now())
	if status, _ := bed.post(t, "key"); status != http.StatusOK || first.requestCount() != 0 || second.requestCount() != 1 {
		t.Errorf("status %d, %d and %d requests at the engines; want one at the second", status, first.requestCount(), second.requestCount())
	}
	bed.placer.mu.Lock()
	defer bed.placer.mu.Unlock()
	if bed.placer.retries != 0 {
		t.Errorf("%d placements need budget for retries, want 0", bed.placer.retries)
	}
}

// TestBrittleReplica guards against a brittle replica whose room is used up by requests that have ended, and against one that gets more
// requests at a time than it has room for.
func TestBrittleReplica(t *testing.T) {
	brittle := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Brittle", "1")
			next(w, r)
		}
	}
	large := strings.Repeat("x", 2*responseBufferLimit)
	tests := []struct {
		name       string
		respond    http.HandlerFunc
		wantStatus int
	}{
		{"answers", respondOK, http.StatusOK},
		{"large answers", func(w http.ResponseWriter, r *http.Request) {
			respondOK(w, r)
			_, _ = io.WriteString(w, large)
		}, http.StatusOK},
		{"errors", respondError, http.StatusInternalServerError},
		{"resets", func(w http.ResponseWriter, r *http.Request) { resetConnection(w, r) }, http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			replica := newFakeBackend(t, brittle(test.respond))
			bed := newTestBed(t, route.KindAtMostOnce, nil, replica)
			bed.relay.options.Limits.Observe("b0", quota.NoLimit().WithBrittle(true), time.Now())
			bed.post(t, "key") // Begins to count.
			time.Sleep(500 * time.Millisecond)
			for i := range 10 {
				if status, body := bed.post(t, "key"); status != test.wantStatus {
					t.Fatalf("request %d: status %d, %.100q; want %d", i, status, body, test.wantStatus)
				}
			}
		})
	}
	t.Run("at a time", func(t *testing.T) {
		var running, most atomic.Int32
		replica := newFakeBackend(t, brittle(func(w http.ResponseWriter, r *http.Request) {
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(100 * time.Millisecond)
			running.Add(-1)
			respondOK(w, r)
		}))
		bed := newTestBed(t, route.KindAtMostOnce, nil, replica)
		bed.relay.options.Limits.Observe("b0", quota.NoLimit().WithBrittle(true), time.Now())
		bed.post(t, "key")
		time.Sleep(500 * time.Millisecond)
		var requests sync.WaitGroup
		for range 20 {
			requests.Go(func() { bed.post(t, "key") })
			time.Sleep(20 * time.Millisecond)
		}
		requests.Wait()
		if got := most.Load(); got != testSlots {
			t.Errorf("%d requests at a time at a brittle replica with %d slots", got, testSlots)
		}
	})
}

// TestLimitedRetryAfter guards against callers that are told to return sooner than the limit lets them in.
func TestLimitedRetryAfter(t *testing.T) {
	bed := newTestBed(t, route.KindAtMostOnce, nil, newFakeBackend(t, limitedTo("0.5", respondOK)))
	if status, _ := bed.post(t, "key"); status != http.StatusOK {
		t.Fatalf("status %d before the limit is known", status)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, bed.front.URL+"/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Key", "key")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || after < time.Second || after > 5*time.Second {
		t.Errorf("status %d, Retry-After %v, error %v; want 503 and about 2 s", resp.StatusCode, after, err)
	}
}

// TestLimitedEngines guards against generations, and runs that go on from a copy, that are sent beyond an engine's limit.
func TestLimitedEngines(t *testing.T) {
	engine := newFakeBackend(t, respondOK)
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, engine)
	bed.relay.options.Limits.Observe("b0", quota.LimitOf(0.5), time.Now())
	if status, _ := bed.post(t, "key"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
	if engine.requestCount() != 0 {
		t.Errorf("%d requests at the engine, want none", engine.requestCount())
	}
	for _, end := range bed.placer.ended {
		if end != (pond.PlacementEnd{}) {
			t.Errorf("a placement that was not used ended with %+v", end)
		}
	}
}

// TestLimitedMoveTarget guards against a run that is lost although a permit for the engine that has its copy comes soon.
func TestLimitedMoveTarget(t *testing.T) {
	stop := make(chan struct{})
	var bed *testBed
	source := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		bed.placer.moves <- pond.Move{Backend: "b1"}
		<-stop
		resetConnection(w, nil)
	})
	target := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) })
	bed = newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
	bed.copier.onLast = func() { close(stop) }
	bed.decoder.backends["b0"] = route.Backend{ID: "b0", Service: "s", Address: source.address(), Leaving: true}
	bed.fleet.Apply([]feed.Record{{Key: "b0", Revision: 9}}, feed.Knowledge{})
	bed.relay.options.Limits.Observe("b1", quota.LimitOf(4), time.Now())
	if status, body := bed.post(t, "key"); status != http.StatusOK || target.requestCount() != 1 {
		t.Errorf("status %d, %q, %d requests at the target; want a whole answer", status, body, target.requestCount())
	}
}
