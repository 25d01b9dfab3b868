package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// crashAfter returns a handler that sends events and then ends within one, as a crashed engine does.
func crashAfter(events int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for id := range events {
			writeEvent(w, id+1)
		}
		fmt.Fprint(w, "id: 9\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func respondEvents(w http.ResponseWriter, _ *http.Request) {
	for id := range 3 {
		writeEvent(w, id+1)
	}
}

func (b *testBed) withParts(parts ...string) *testBed {
	b.parts = parts
	return b
}

// awaitCrashes waits until the guard knows a number of crashes.
func (b *testBed) awaitCrashes(n int) {
	for b.relay.options.Hazards.Crashes() < n {
		time.Sleep(time.Millisecond)
	}
}

// TestPromptCrashesEngines guards against a request that carries the crash of one engine to the next, as a repeat or as a new
// request, and against sound prompts that are not repeated.
func TestPromptCrashesEngines(t *testing.T) {
	tests := []struct {
		name      string
		first     http.HandlerFunc
		sound     bool // answers with the part have begun before
		wantNext  int  // requests at the next engine
		wantKnown int  // crashes that the guard knows
	}{
		{"hardly begun", crashAfter(0), false, 0, 1},
		{"within the second event", crashAfter(1), false, 0, 1},
		{"hardly begun, sound", crashAfter(0), true, 1, 1},
		{"well begun", crashAfter(3), false, 1, 0},
		{"before the head", resetConnection, false, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, next := newFakeBackend(t, test.first), newFakeBackend(t, respondEvents)
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, first, next).withParts("p")
			bed.setResumable(5*time.Second, 2)
			bed.placer.spread = true
			if test.sound {
				bed.relay.options.Hazards.Begun([]string{"p"}, "")
			}
			bed.post(t, "key")
			bed.awaitCrashes(test.wantKnown)
			if next.requestCount() != test.wantNext {
				t.Errorf("%d requests at the next engine, want %d", next.requestCount(), test.wantNext)
			}
			if n := bed.relay.options.Hazards.Crashes(); n != test.wantKnown {
				t.Errorf("%d crashes known, want %d", n, test.wantKnown)
			}
		})
	}
}

// TestPromptRefused guards against requests that still reach engines after three have crashed under their part, and against
// refused ones of other prompts.
func TestPromptRefused(t *testing.T) {
	var engines []*fakeBackend
	for range 3 {
		engines = append(engines, newFakeBackend(t, crashAfter(0)))
	}
	engines = append(engines, newFakeBackend(t, respondEvents))
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, engines...).withParts("a", "bad")
	bed.placer.spread = true
	for i := range 3 {
		if status, _ := bed.post(t, "key"); status != http.StatusBadGateway {
			t.Errorf("status %d from a crashed engine, want 502", status)
		}
		bed.awaitCrashes(i + 1)
	}
	if status, _ := bed.post(t, "key"); status != http.StatusServiceUnavailable || engines[3].requestCount() != 0 {
		t.Errorf("status %d and %d requests at the next engine, want 503 and none", status, engines[3].requestCount())
	}
	if status, _ := bed.withParts("b", "good").post(t, "key"); status != http.StatusOK || engines[3].requestCount() != 1 {
		t.Errorf("status %d and %d requests for a sound prompt, want 200 and one", status, engines[3].requestCount())
	}
}

// TestLeavingServerIsNoCrash guards against parts and requests that are suspected because their backend server left: its entry was removed,
// or it has said so in an answer.
func TestLeavingServerIsNoCrash(t *testing.T) {
	tests := []struct {
		name   string
		kind   route.Kind
		engine *route.EngineSpec
		leave  func(f *fleet.Fleet)
	}{
		{"engine, removed", route.KindStream, &route.EngineSpec{Slots: 4}, removeFirst},
		{"engine, has said it", route.KindStream, &route.EngineSpec{Slots: 4}, sayLeaving},
		{"replica, removed", route.KindIdempotent, nil, removeFirst},
		{"replica, has said it", route.KindIdempotent, nil, sayLeaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var bed *testBed
			server := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				test.leave(bed.fleet)
				crashAfter(0)(w, r)
			})
			bed = newTestBed(t, test.kind, test.engine, server).withParts("p")
			bed.post(t, "key")
			time.Sleep(20 * time.Millisecond)
			if parts, requests := bed.relay.options.Hazards.Crashes(), bed.relay.options.Requests.Crashes(); parts+requests != 0 {
				t.Errorf("%d crashes known of parts and %d of requests, want none", parts, requests)
			}
		})
	}
}

func removeFirst(f *fleet.Fleet) {
	f.Apply([]feed.Record{{Key: "b0", Revision: 9, Deleted: true}}, feed.Knowledge{})
}

func sayLeaving(f *fleet.Fleet) {
	f.ApplySignal("b0", fleet.Signal{Leaving: true}, fleet.SourceRequest)
}

// TestUnframedAnswer guards against an answer that ends with its connection and is taken for whole although nothing of it has
// come, and against one that is taken for broken although it is whole.
func TestUnframedAnswer(t *testing.T) {
	tests := []struct {
		name       string
		body       string
		wantStatus int
	}{
		{"nothing", "", http.StatusBadGateway},
		{"within an event", "id: 1\ndata: x", http.StatusBadGateway},
		{"whole", "id: 1\ndata: x\n\n", http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Call"), test.body)
				_ = buffer.Flush()
				_ = conn.Close()
			})
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, engine)
			if status, _ := bed.post(t, "key"); status != test.wantStatus {
				t.Errorf("status %d, want %d", status, test.wantStatus)
			}
		})
	}
}
