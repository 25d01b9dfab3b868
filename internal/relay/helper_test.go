package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// carriedConn is a connection through another instance.
type carriedConn struct {
	net.Conn
	helper *fakeHelper
}

func (*carriedConn) Via() pond.InstanceID                   { return "helper" }
func (*carriedConn) SendSignal(string, fleet.Signal) error  { return nil }
func (c *carriedConn) EndsAt() (time.Time, <-chan struct{}) { return c.helper.end() }

// fakeHelper is another instance, and the dialer that connects through it as long as its end, if it has one, fits.
type fakeHelper struct {
	mu      sync.Mutex
	endsAt  time.Time // zero for no end
	changed chan struct{}
	refused int // connections that the end did not fit
	onDial  func()
}

func newFakeHelper(bed *testBed) *fakeHelper {
	h := &fakeHelper{changed: make(chan struct{}), onDial: func() {}}
	bed.relay.transport = engine.NewUnpooledTransport(h.dial)
	return h
}

func (h *fakeHelper) setEnd(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endsAt = at
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *fakeHelper) end() (time.Time, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endsAt, h.changed
}

// replaceAfterFirst lets all connections but the first lead through another helper, which does not end.
func (h *fakeHelper) replaceAfterFirst() {
	dials := 0
	h.onDial = func() {
		if dials++; dials > 1 {
			h.setEnd(time.Time{})
		}
	}
}

func (h *fakeHelper) refusals() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused
}

func (h *fakeHelper) dial(ctx context.Context, network, address string) (net.Conn, error) {
	h.onDial()
	if endsAt, _ := h.end(); !endsAt.IsZero() && !reach.FitOf(ctx)(endsAt) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.refused++
		return nil, &reach.EndsError{At: endsAt}
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &carriedConn{Conn: conn, helper: h}, nil
}

// addBackends adds backend servers to the test bed, which has none.
func (b *testBed) addBackends(backends ...*fakeBackend) {
	var records []feed.Record
	for i, backend := range backends {
		id := fmt.Sprint("b", i)
		b.decoder.backends[id] = route.Backend{ID: id, Service: "s", Address: backend.address(), DataCentre: "north-a", Slots: 4}
		records = append(records, feed.Record{Key: id, Revision: uint64(50 + i)})
	}
	b.fleet.Apply(records, feed.Knowledge{})
}

// TestRequestsThroughHelperThatEnds guards against requests that are sent through an instance which ends before their answers are expected, and
// against others that are refused.
func TestRequestsThroughHelperThatEnds(t *testing.T) {
	tests := []struct {
		name       string
		kind       route.Kind
		left       time.Duration // until the end of the helper; 0 if it states none
		timeout    time.Duration // of the route
		others     int
		wantStatus int
	}{
		{"helper of a former release, or one that goes on", route.KindAtMostOnce, 0, 4 * time.Second, 1, 200},
		{"early", route.KindAtMostOnce, 7 * time.Second, 4 * time.Second, 1, 200},
		{"early, no other instance, no time to wait", route.KindAtMostOnce, 7 * time.Second, 4 * time.Second, 0, 200},
		{"late, at most once", route.KindAtMostOnce, 2 * time.Second, 4 * time.Second, 1, 503},
		{"late, may be repeated", route.KindIdempotent, 2 * time.Second, 4 * time.Second, 1, 503},
		{"late, other instances, much time", route.KindAtMostOnce, 2 * time.Second, callerPatience, 1, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := newFakeBackend(t, respondOK)
			bed := newTestBed(t, test.kind, nil, backend)
			bed.others, bed.callerWait = test.others, test.timeout
			bed.setRouteTimeout(t, test.timeout)
			h := newFakeHelper(bed)
			if test.left > 0 {
				h.setEnd(time.Now().Add(test.left))
			}
			status, _ := bed.post(t, "key")
			if status != test.wantStatus {
				t.Errorf("status %d, want %d", status, test.wantStatus)
			}
			if sent := backend.requestCount() > 0; sent != (test.wantStatus == 200) {
				t.Errorf("sent: %v", sent)
			}
		})
	}
}

// TestRequestAwaitsHelper guards against requests that may run once and are sent through an instance which ends before their deadline, and against
// requests that are refused although there is time until the only helper serves again.
func TestRequestAwaitsHelper(t *testing.T) {
	for _, test := range []struct {
		kind route.Kind
		left time.Duration // until the end of the helper
	}{{route.KindAtMostOnce, 7 * time.Second}, {route.KindIdempotent, time.Second}} {
		t.Run(test.kind.String(), func(t *testing.T) {
			backend := newFakeBackend(t, respondOK)
			bed := newTestBed(t, test.kind, nil, backend)
			bed.others, bed.callerWait = 0, callerPatience
			bed.setRouteTimeout(t, callerPatience)
			h := newFakeHelper(bed)
			h.setEnd(time.Now().Add(test.left))
			const tries = 3
			h.onDial = func() {
				if h.refusals() == tries {
					if backend.requestCount() > 0 {
						t.Error("sent through a helper that ends")
					}
					h.setEnd(time.Time{}) // It has started again.
				}
			}
			if status, _ := bed.post(t, "key"); status != http.StatusOK || h.refusals() != tries {
				t.Errorf("status %d after %d tries", status, h.refusals())
			}
		})
	}
}

// TestRefusedAfterWaitForHelper guards against a request that has waited for a helper and is then sent again and again, without the retry budget, to
// a replica that does not take it.
func TestRefusedAfterWaitForHelper(t *testing.T) {
	backend := newFakeBackend(t, respondNotRun)
	bed := newTestBed(t, route.KindIdempotent, nil, backend)
	bed.others, bed.callerWait = 0, callerPatience
	bed.setRouteTimeout(t, callerPatience)
	h := newFakeHelper(bed)
	h.setEnd(time.Now().Add(time.Second))
	h.onDial = func() {
		if h.refusals() > 0 {
			h.setEnd(time.Time{}) // It has started again.
		}
	}
	if status, _ := bed.post(t, "key"); status != http.StatusServiceUnavailable || h.refusals() != 1 || backend.requestCount() != 1 {
		t.Errorf("status %d after %d tries, %d requests at the replica, want 1", status, h.refusals(), backend.requestCount())
	}
}

// TestHelperEndsDuringCall guards against calls that are broken off by the end of the instance that carries them, and against backend servers and
// requests that are blamed for it.
func TestHelperEndsDuringCall(t *testing.T) {
	for _, test := range []struct {
		kind       route.Kind
		wantStatus int
	}{{route.KindAtMostOnce, 504}, {route.KindIdempotent, 200}} {
		t.Run(test.kind.String(), func(t *testing.T) {
			bed := newTestBed(t, test.kind, nil)
			h := newFakeHelper(bed)
			h.replaceAfterFirst()
			var once sync.Once
			respond := func(w http.ResponseWriter, r *http.Request) {
				first := false
				once.Do(func() { first = true })
				if !first {
					respondOK(w, r)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				h.setEnd(time.Now().Add(helperReserve + 50*time.Millisecond))
				<-r.Context().Done()
			}
			bed.addBackends(newFakeBackend(t, respond), newFakeBackend(t, respond))
			bed.callerWait = callerPatience
			bed.setRouteTimeout(t, callerPatience)
			if status, _ := bed.post(t, "key"); status != test.wantStatus {
				t.Errorf("status %d, want %d", status, test.wantStatus)
			}
		})
	}
}

// TestHelperEndsDuringStream guards against streams that break off with the instance that carries their connections although they could go on over
// another one, on another engine that has a copy of the run or, if they are resumable, by a new run.
func TestHelperEndsDuringStream(t *testing.T) {
	const sent, total = 3, 6
	tests := []struct {
		name      string
		resumable bool
		left      time.Duration // until the end of the helper
		wantDone  bool
		wantEnds  []bool // of the placements: whether they are complete
		retries   int    // placements that need budget
	}{
		{"moved", false, 5 * time.Second, true, []bool{false, true}, 0},
		{"started again", true, 300 * time.Millisecond, true, []bool{false, true}, 1},
		{"lost", false, 300 * time.Millisecond, false, []bool{false}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4})
			h := newFakeHelper(bed)
			h.replaceAfterFirst()
			stop := make(chan struct{})
			source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				for id := range sent {
					writeEvent(w, id+1)
				}
				h.setEnd(time.Now().Add(test.left))
				select {
				case <-stop:
					resetConnection(w, r)
				case <-r.Context().Done():
				}
			})
			target := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				after, _ := strconv.Atoi(r.Header.Get("After"))
				for id := after + 1; id <= total; id++ {
					writeEvent(w, id)
				}
			})
			bed.addBackends(source, target)
			bed.placer.spread, bed.maxOutput, bed.callerWait = true, 1000, callerPatience
			if test.resumable {
				bed.setResumable(callerPatience, 2)
			} else {
				bed.setRouteTimeout(t, callerPatience)
			}
			bed.copier.onLast = func() { close(stop) }
			status, body := bed.post(t, "key")
			if done := status == http.StatusOK; done != test.wantDone {
				t.Fatalf("status %d, complete: %v, want %v", status, done, test.wantDone)
			}
			want := ""
			for id := 1; id <= total; id++ {
				want += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
			}
			if test.wantDone && body != want {
				t.Errorf("response %q, want %q", body, want)
			}
			bed.placer.mu.Lock()
			defer bed.placer.mu.Unlock()
			var ends []bool
			for _, end := range bed.placer.ended {
				ends = append(ends, end.Complete)
				if end.BackendFailed {
					t.Error("an engine is blamed for the end of a helper")
				}
			}
			if fmt.Sprint(ends) != fmt.Sprint(test.wantEnds) {
				t.Errorf("placements ended %v, want %v", ends, test.wantEnds)
			}
			if len(bed.placer.reported) > 0 {
				t.Errorf("moves %v are reported to a placer that has not ordered any", bed.placer.reported)
			}
			if bed.placer.retries != test.retries {
				t.Errorf("%d placements count as retries, want %d", bed.placer.retries, test.retries)
			}
		})
	}
}
