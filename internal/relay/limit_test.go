package relay

import (
	"net/http"
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
	bed.fleet.Apply([]feed.Record{{Key: "b0", Revision: 9}}, time.Time{})
	bed.relay.options.Limits.Observe("b1", quota.LimitOf(4), time.Now())
	if status, body := bed.post(t, "key"); status != http.StatusOK || target.requestCount() != 1 {
		t.Errorf("status %d, %q, %d requests at the target; want a whole answer", status, body, target.requestCount())
	}
}
