package relay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// setDataCentre moves a backend server to a data centre.
func (b *testBed) setDataCentre(id, dataCentre string) {
	backend := b.decoder.backends[id]
	backend.DataCentre = dataCentre
	b.decoder.backends[id] = backend
	b.fleet.Apply([]feed.Record{{Key: id, Revision: 50}}, feed.Knowledge{})
}

func (b *testBed) evacuate(dataCentre string) {
	b.fleet.Apply([]feed.Record{{Key: "evacuate/" + dataCentre, Revision: 60}}, feed.Knowledge{})
}

// TestCallWaitsWhileEvacuated guards against a call that is sent to a data centre whose evacuation became known while the call waited for its
// permit: it has to go to another replica, or be refused as not run.
func TestCallWaitsWhileEvacuated(t *testing.T) {
	tests := []struct {
		name       string
		elsewhere  bool // the other replica is in another data centre
		kind       route.Kind
		wantStatus int
	}{
		{"another replica", true, route.KindAtMostOnce, http.StatusOK},
		{"none left", false, route.KindAtMostOnce, http.StatusServiceUnavailable},
		{"another replica, idempotent", true, route.KindIdempotent, http.StatusOK},
		{"none left, idempotent", false, route.KindIdempotent, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			evacuated, other := newFakeBackend(t, respondOK), newFakeBackend(t, respondOK)
			bed := newTestBed(t, test.kind, nil, evacuated, other)
			bed.setDataCentre("b0", "north-b")
			if !test.elsewhere {
				bed.setDataCentre("b1", "north-b")
			}
			var once sync.Once
			self := pond.NewInstance(pond.InstanceRef{ID: "self"}, pond.InstanceLive, "", "", "north-a", "north")
			bed.relay.options.Limits = quota.NewGate(quota.Options{
				Self: "self", Peers: func() []pond.Instance { return nil }, Known: func(string) bool { return true },
				Homes: func(string) []pond.Instance {
					once.Do(func() { bed.evacuate("north-b") }) // While the question is on its way.
					return []pond.Instance{self}
				},
				Slots: func(string) int { return testSlots }, Service: func(string) string { return "s" }, Clock: time.Now, Log: quietLog(),
				Cold: func(string) quota.Cold { return quota.NewCold(time.Now().Add(time.Minute), 100) }, Seen: func() float64 { return 1 },
				RecordCold: func(string, time.Time) bool { return false },
			})
			if status, _ := bed.post(t, "key"); status != test.wantStatus {
				t.Errorf("status %d, want %d", status, test.wantStatus)
			}
			if n := evacuated.requestCount(); n != 0 {
				t.Errorf("%d requests in the evacuated data centre", n)
			}
		})
	}
}

// evacuateAfter evacuates a data centre after a number of placements.
func (b *testBed) evacuateAfter(placements int, dataCentre string) {
	made := 0
	b.relay.options.Placer = pond.PlacerFunc(func(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
		placement, err := b.placer.Place(ctx, req)
		if made++; made == placements {
			b.evacuate(dataCentre)
		}
		return placement, err
	})
}

// TestPlacedAndEvacuated guards against a generation that is sent to an engine whose data centre was evacuated after the placement: it is placed
// again, and refused as not run if every engine is there.
func TestPlacedAndEvacuated(t *testing.T) {
	for _, elsewhere := range []bool{true, false} {
		engine, other := newFakeBackend(t, continueStream), newFakeBackend(t, continueStream)
		bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, engine, other)
		bed.setDataCentre("b0", "north-b")
		bed.placer.spread = elsewhere
		bed.evacuateAfter(1, "north-b")
		wantStatus, wantOther := http.StatusOK, 1
		if !elsewhere {
			wantStatus, wantOther = http.StatusServiceUnavailable, 0
		}
		if status, body := bed.post(t, "key"); status != wantStatus {
			t.Errorf("status %d, body %q, want %d", status, body, wantStatus)
		}
		if engine.requestCount() != 0 || other.requestCount() != wantOther {
			t.Errorf("%d requests in the evacuated data centre, %d elsewhere, want 0 and %d", engine.requestCount(), other.requestCount(), wantOther)
		}
	}
}

// TestMoveToEvacuated guards against a run that is stopped for a move to, or goes on in, a data centre that was evacuated before or during the
// move, and against one that is not moved out of there.
func TestMoveToEvacuated(t *testing.T) {
	tests := []struct {
		name      string
		evacuate  string // the data centre
		when      string // "before", at the "first" copy or at the "last" one
		copyErr   error  // of the last copy
		wantWhole bool   // the answer
		wantMoved bool   // the run
		wantStays bool   // the run goes on at its source
		wantDrop  bool   // the first copy is freed
	}{
		{"target before", "north-b", "before", nil, true, false, false, false},
		{"target at the first copy", "north-b", "first", nil, true, false, false, true},
		{"target at the last copy", "north-b", "last", nil, true, false, true, false},
		{"source", "north-c", "before", nil, true, true, false, false},
		{"source, resumption there", "north-c", "before", &CopyError{Handle: "h"}, true, true, false, false},
		{"source and target", "", "last", &CopyError{Handle: "h"}, false, false, false, false},
		{"source and target, copied", "", "last", nil, false, false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stop, sent, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
			var sources int
			source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if sources++; sources > 1 {
					writeEvent(w, 2)
					return
				}
				writeEvent(w, 1)
				close(sent)
				select {
				case <-stop: // The last copy stops the run.
					resetConnection(w, nil)
				case <-ended:
					writeEvent(w, 2)
				}
			})
			target := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) })
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
			bed.setDataCentre("b0", "north-c")
			bed.setDataCentre("b1", "north-b")
			evacuate := func(when string) {
				switch {
				case when != test.when:
				case test.evacuate == "":
					bed.evacuate("north-b")
					bed.evacuate("north-c")
				default:
					bed.evacuate(test.evacuate)
				}
			}
			bed.placer.finished, bed.copier.dropped = make(chan struct{}, 1), make(chan string, 1)
			bed.copier.onFirst = func() { evacuate("first") }
			bed.copier.onLast, bed.copier.err = func() { evacuate("last"); close(stop) }, test.copyErr
			go func() {
				<-sent
				evacuate("before")
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
				if !test.wantMoved && !test.wantStays && test.wantWhole {
					<-bed.placer.finished
					close(ended)
				}
			}()
			status, body := bed.post(t, "key")
			if whole := status == http.StatusOK && body == eventsUntil(2); whole != test.wantWhole {
				t.Errorf("status %d, %q, whole answer wanted: %t", status, body, test.wantWhole)
			}
			count := func(further bool) int {
				if further {
					return 1
				}
				return 0
			}
			if n := target.requestCount(); n != count(test.wantMoved) {
				t.Errorf("%d requests at the target, moved wanted: %t", n, test.wantMoved)
			}
			if n := source.requestCount(); n != 1+count(test.wantStays) {
				t.Errorf("%d requests at the source, resumption there wanted: %t", n, test.wantStays)
			}
			if dropped := len(bed.copier.dropped) > 0; dropped != test.wantDrop {
				t.Errorf("the first copy was freed: %t, want %t", dropped, test.wantDrop)
			}
		})
	}
}

// TestRestartAwayFromEvacuated guards against a resumable stream that is run again in a data centre that was evacuated after the placement of
// the new run.
func TestRestartAwayFromEvacuated(t *testing.T) {
	first, evacuated, third := newFakeBackend(t, breakAfter(3)), newFakeBackend(t, continueStream), newFakeBackend(t, continueStream)
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, first, evacuated, third)
	bed.setResumable(5*time.Second, 3)
	bed.setDataCentre("b1", "north-b")
	bed.placer.spread = true
	bed.evacuateAfter(2, "north-b")
	status, body := bed.post(t, "key")
	if status != http.StatusOK || body != eventsFrom(1) {
		t.Errorf("status %d, body %q, want all events", status, body)
	}
	if n := evacuated.requestCount(); n != 0 {
		t.Errorf("%d requests in the evacuated data centre", n)
	}
}
