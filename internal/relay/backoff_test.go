package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// requestingBackoff returns a handler that rejects requests and asks for a back-off while on is true.
func requestingBackoff(backoff string, on *atomic.Bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if on.Load() {
			w.Header().Set("Rest", backoff)
			respondNotRun(w, r)
			return
		}
		next(w, r)
	}
}

// TestReplicasBackingOff guards against requests to replicas that have asked for a back-off, first ones, repeats and last
// resorts, and against refusals while another replica serves.
func TestReplicasBackingOff(t *testing.T) {
	const requests = 20
	var on atomic.Bool
	on.Store(true)
	tests := []struct {
		name        string
		kind        route.Kind
		second      http.HandlerFunc
		wantSecond  int
		wantRefused int
	}{
		{"the other serves", route.KindAtMostOnce, respondOK, requests, 0},
		{"the other fails", route.KindIdempotent, respondError, requests, 0},
		{"both ask for it", route.KindIdempotent, requestingBackoff("5s", &on, respondOK), 1, requests},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newFakeBackend(t, requestingBackoff("5s", &on, respondOK)), newFakeBackend(t, test.second)
			bed := newTestBed(t, test.kind, nil, first, second)
			refused, began := 0, time.Now()
			for range requests {
				if status, _ := bed.post(t, "key"); status == http.StatusServiceUnavailable {
					refused++
				}
			}
			if first.requestCount() > 1 || second.requestCount() != test.wantSecond || refused != test.wantRefused {
				t.Errorf("%d and %d requests at the replicas, %d refused; want at most 1, %d, %d",
					first.requestCount(), second.requestCount(), refused, test.wantSecond, test.wantRefused)
			}
			if elapsed := time.Since(began); elapsed > 2*time.Second {
				t.Errorf("%d requests took %v", requests, elapsed)
			}
		})
	}
}

// TestRetryAfterBackoff guards against callers who are told to return before the back-off ends, and against all returning
// at once.
func TestRetryAfterBackoff(t *testing.T) {
	var on atomic.Bool
	on.Store(true)
	bed := newTestBed(t, route.KindAtMostOnce, nil, newFakeBackend(t, requestingBackoff("3s", &on, respondOK)))
	delays := make(map[float64]bool)
	for range 10 {
		resp, err := http.DefaultTransport.RoundTrip(bed.request(t, "key", ""))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || after < 2.5 || after > 4.2 {
			t.Errorf("status %d, Retry-After %v, error %v; want 503 and 3 to 4.1 s", resp.StatusCode, after, err)
		}
		delays[after] = true
	}
	if len(delays) < 5 {
		t.Errorf("%d different delays in 10 refusals", len(delays))
	}
}

// TestAfterBackoff guards against a replica that gets everything at the moment at which its back-off ends, and against one
// that gets nothing afterwards.
func TestAfterBackoff(t *testing.T) {
	now := time.Now()
	table := newReplicaTable()
	candidates := []candidate{{backend: route.Backend{ID: "a", Slots: 10}, sameDataCentre: true}, {backend: route.Backend{ID: "b", Slots: 10}, sameRegion: true}}
	table.backOff("a")
	chosen := make(map[string]int)
	for range 5 {
		backend, _ := table.acquire(candidates, now)
		chosen[backend.ID]++
	}
	if chosen["a"] != 1 {
		t.Errorf("%d of 5 requests go to the replica before it has answered one, want 1", chosen["a"])
	}
	table.release("a", false, now)
	if backend, _ := table.acquire(candidates, now); backend.ID != "a" {
		t.Error("the replica has answered and gets no request")
	}
}

// TestEnginesBackingOff guards against generations that are sent to an engine which has asked for a back-off, whatever the
// home says, and against moves to one.
func TestEnginesBackingOff(t *testing.T) {
	engine := newFakeBackend(t, respondOK)
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, engine)
	bed.fleet.ApplySignal("b0", fleet.Signal{Backoff: 2 * time.Second}, fleet.SourceRequest)
	if status, _ := bed.post(t, "key"); status != http.StatusServiceUnavailable || engine.requestCount() != 0 {
		t.Errorf("status %d, %d requests at the engine; want 503 and none", status, engine.requestCount())
	}
	for _, end := range bed.placer.ended {
		if end != (pond.PlacementEnd{}) {
			t.Errorf("a placement that was not used ended with %+v", end)
		}
	}
}

// TestMoveTargetBackingOff guards against a run that is lost although the back-off of the engine that has its copy ends
// soon, and against a request to that engine before.
func TestMoveTargetBackingOff(t *testing.T) {
	stop := make(chan struct{})
	var bed *testBed
	source := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		bed.placer.moves <- pond.Move{Backend: "b1"}
		<-stop
		resetConnection(w, nil)
	})
	var resumedAt, backoffEnds time.Time
	target := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		resumedAt = time.Now()
		writeEvent(w, 2)
	})
	bed = newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
	bed.copier.onLast = func() {
		backoffEnds = time.Now().Add(300 * time.Millisecond)
		bed.fleet.ApplySignal("b1", fleet.Signal{Backoff: time.Until(backoffEnds)}, fleet.SourceRequest)
		close(stop)
	}
	bed.decoder.backends["b0"] = route.Backend{ID: "b0", Service: "s", Address: source.address(), Leaving: true}
	bed.fleet.Apply([]feed.Record{{Key: "b0", Revision: 9}}, feed.Knowledge{})
	status, body := bed.post(t, "key")
	if status != http.StatusOK || target.requestCount() != 1 || resumedAt.Before(backoffEnds) {
		t.Errorf("status %d, %q, %d requests at the target, %v after the back-off; want a whole answer after it", status, body,
			target.requestCount(), resumedAt.Sub(backoffEnds))
	}
}

// TestResumptionBesideBackoffs guards against a run that waits long for one of the engines that have its copy while the other one takes it, or that is lost
// because it does not wait for the better one.
func TestResumptionBesideBackoffs(t *testing.T) {
	const far = 30 * time.Second
	tests := []struct {
		name           string
		target, source time.Duration // back-offs from the last copy on
		decline        time.Duration // time until the target declines; 0 if it takes the run
		sourceBreaks   bool          // if it is asked
		wantAt         string        // the engine where the run goes on; empty for none
		wantBefore     time.Duration // the end of the answer, from the last copy on
	}{
		{"target for a moment", 100 * time.Millisecond, 0, 0, true, "b1", 2 * time.Second},
		{"target for long", far, 0, 0, false, "b0", maxPermitWait},
		{"target for long, source for a moment", far, 300 * time.Millisecond, 0, false, "b0", maxPermitWait},
		{"target for less long than the source", time.Second, far, 0, true, "b1", 2 * time.Second},
		{"both for long", far, 2500 * time.Millisecond, 0, false, "", maxPermitWait},
		{"target for a moment, declines late, source for a moment", 500 * time.Millisecond, 1800 * time.Millisecond, 1200 * time.Millisecond, false, "b0", 4 * time.Second},
		{"target declines late, source for a moment", 0, maxPermitWait + 150*time.Millisecond, maxPermitWait + 50*time.Millisecond, false, "b0", 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stop, copied := make(chan struct{}), make(chan time.Time, 1)
			var bed *testBed
			source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Header.Get("Handle") == "":
					writeEvent(w, 1)
					bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
					<-stop
					resetConnection(w, r)
				case test.sourceBreaks:
					resetConnection(w, r)
				default:
					writeEvent(w, 2)
				}
			})
			target := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if test.decline > 0 {
					time.Sleep(test.decline)
					respondNotRun(w, r)
					return
				}
				writeEvent(w, 2)
			})
			bed = newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
			bed.copier.onLast = func() {
				for id, backoff := range map[string]time.Duration{"b0": test.source, "b1": test.target} {
					if backoff > 0 {
						bed.fleet.ApplySignal(id, fleet.Signal{Backoff: backoff}, fleet.SourceRequest)
					}
				}
				copied <- time.Now()
				close(stop)
			}
			status, body := bed.post(t, "key")
			if took := time.Since(<-copied); took > test.wantBefore {
				t.Errorf("the answer ends %v after the last copy, want less than %v", took, test.wantBefore)
			}
			if whole := status == http.StatusOK && body == eventsUntil(2); whole != (test.wantAt != "") {
				t.Errorf("status %d, %q, want it to go on at %q", status, body, test.wantAt)
			}
			if test.wantAt != "" {
				if reported, want := bed.placer.reportedMoves(), fmt.Sprint("b1", test.wantAt == "b1"); !slices.Equal(reported, []string{want}) {
					t.Errorf("reported moves %v, want %s", reported, want)
				}
			}
		})
	}
}

// TestRestartBesideDenials guards against a resumable stream that breaks off, or pauses for longer than callers wait, because the limits of the engines that
// have its copy deny it.
func TestRestartBesideDenials(t *testing.T) {
	const callersLeaveAfter = 2 * time.Second
	for _, test := range []struct {
		name          string
		sourceBackoff time.Duration // zero if the source has a limit too
	}{{"target", 30 * time.Second}, {"target and source", 0}} {
		t.Run(test.name, func(t *testing.T) {
			stop := make(chan struct{})
			var bed *testBed
			source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				writeEvent(w, 1)
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
				<-stop
				resetConnection(w, r)
			})
			var copiedAt, restartedAt time.Time
			other := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				restartedAt = time.Now()
				writeEvent(w, 2)
			})
			bed = newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, newFakeBackend(t, respondNotRun), other)
			bed.placer.spread, bed.callerWait = true, callerPatience
			bed.setResumable(callerPatience, 2)
			bed.copier.onLast = func() {
				bed.relay.options.Limits.Observe("b1", quota.LimitOf(0.2), time.Now())
				if test.sourceBackoff > 0 {
					bed.fleet.ApplySignal("b0", fleet.Signal{Backoff: test.sourceBackoff}, fleet.SourceRequest)
				} else {
					bed.relay.options.Limits.Observe("b0", quota.LimitOf(0.2), time.Now())
				}
				copiedAt = time.Now()
				close(stop)
			}
			status, body := bed.post(t, "key")
			if status != http.StatusOK || body != eventsUntil(2) || other.requestCount() != 1 {
				t.Errorf("status %d, %q, %d requests at the engine that is left; want a whole answer from there", status, body, other.requestCount())
			}
			if pause := restartedAt.Sub(copiedAt); pause >= callersLeaveAfter {
				t.Errorf("the stream pauses for %v, want less than %v", pause, callersLeaveAfter)
			}
		})
	}
}

// TestMoveTargetLeaving guards against a run that is moved to an engine which has said to this instance that it leaves. The home of the
// pool that orders the move may be another instance, which the engine has not told.
func TestMoveTargetLeaving(t *testing.T) {
	var bed *testBed
	source := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
		time.Sleep(300 * time.Millisecond)
		writeEvent(w, 2)
	})
	target := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) })
	bed = newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
	bed.fleet.ApplySignal("b1", fleet.Signal{Leaving: true}, fleet.SourceRequest)
	copies := 0
	bed.copier.onLast = func() { copies++ }
	if status, body := bed.post(t, "key"); status != http.StatusOK || target.requestCount() != 0 || copies != 0 {
		t.Errorf("status %d, %q, %d requests and %d last copies at the target; want a whole answer of the source", status, body,
			target.requestCount(), copies)
	}
}

// TestHomeOffersLeavingEngines guards against a home in another instance that offers engines which have told only this one that they leave: each is
// rejected here, and after some the request is refused although others have room.
func TestHomeOffersLeavingEngines(t *testing.T) {
	engines := []*fakeBackend{newFakeBackend(t, respondOK), newFakeBackend(t, respondOK), newFakeBackend(t, respondOK)}
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, engines...)
	bed.placer.next = 2
	bed.fleet.ApplySignal("b0", fleet.Signal{Leaving: true}, fleet.SourceRequest)
	bed.fleet.ApplySignal("b1", fleet.Signal{Backoff: time.Second}, fleet.SourceRequest)
	bed.fleet.ApplySignal("other", fleet.Signal{Leaving: true}, fleet.SourceRequest)
	_, _ = bed.post(t, "key")
	if want := []string{"b0", "b1"}; !slices.Equal(bed.placer.excluded, want) {
		t.Errorf("the placement excludes %v, want %v", bed.placer.excluded, want)
	}
}
