package relay

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/hazard"
	"github.com/dragonflypond/dragonflypond/internal/repro"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const streamEvents = 8

func eventsFrom(first int) string {
	var text strings.Builder
	for id := first; id <= streamEvents; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

// continueStream sends the events after the position in the request.
func continueStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get("After"))
	for id := after + 1; id <= streamEvents; id++ {
		writeEvent(w, id)
	}
}

// breakAfter sends up to the given number of events after the position in the request and breaks off in the middle of
// the next one.
func breakAfter(events int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for id := after + 1; id <= min(after+events, streamEvents); id++ {
			writeEvent(w, id)
		}
		fmt.Fprintf(w, "id: %d\nda", after+events+1)
		_ = http.NewResponseController(w).Flush()
		resetConnection(w, r)
	}
}

// sendNothing keeps the connection open until the relay closes it.
func sendNothing(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func stallAfterOne(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	writeEvent(w, 1)
	<-r.Context().Done()
}

const comment = ": ping\n\n"

// sendComments sends a number of events, and then comments until the relay closes the connection.
func sendComments(events int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for id := range events {
			writeEvent(w, id+1)
		}
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, comment)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// commentBetween sends a comment before each event and one at the end.
func commentBetween(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	for id := range streamEvents {
		_, _ = io.WriteString(w, comment)
		writeEvent(w, id+1)
	}
	_, _ = io.WriteString(w, comment)
}

// setResumable publishes the test bed's route as resumable, with a timeout and a number of attempts.
func (b *testBed) setResumable(timeout time.Duration, attempts int) {
	content := route.Content{
		Version: 2,
		Routes: []route.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: route.KindStream, Resumable: true, MaxAttempts: attempts,
			Timeout: timeout, Shares: []route.Share{{Service: "s", Weight: 1}},
		}},
		Services: []route.Service{{Name: "s", Engine: &route.EngineSpec{EventTokens: 4}}},
		Accounts: []route.Account{{Name: "acme", Keys: []string{"key"}, Priority: route.NoPriority}},
	}
	b.decoder.catalogue = route.New(content)
	b.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 90}}, feed.Knowledge{})
}

// TestResumableStream guards against resumable streams that are lost with their engine, events that are sent twice to a
// caller that resumes, and repeated runs of streams that may not be resumed.
func TestResumableStream(t *testing.T) {
	tests := []struct {
		name       string
		resumable  bool
		first      http.HandlerFunc
		position   string
		wantStatus int
		wantBody   string
		wantSecond int // requests at the second engine
	}{
		{"caller resumes", true, continueStream, "5", 200, eventsFrom(6), 0},
		{"caller resumes, stream breaks", true, breakAfter(1), "5", 200, eventsFrom(6), 1},
		{"caller's position on another route", false, continueStream, "5", 200, eventsFrom(1), 0},
		{"malformed position", true, continueStream, "five", 400, "", 0},
		{"negative position", true, continueStream, "-1", 400, "", 0},
		{"breaks after three events", true, breakAfter(3), "", 200, eventsFrom(1), 1},
		{"breaks before the first event", true, breakAfter(0), "", 200, eventsFrom(1), 1},
		{"reset before the response", true, resetConnection, "", 200, eventsFrom(1), 1},
		{"error", true, respondError, "", 200, eventsFrom(1), 1},
		{"refused", true, respondNotRun, "", 200, eventsFrom(1), 1},
		{"no response", true, sendNothing, "", 200, eventsFrom(1), 1},
		{"stalls after an event", true, stallAfterOne, "", 200, eventsFrom(1), 1},
		{"comments without an event", true, sendComments(0), "", 200, eventsFrom(1), 1},
		{"an event, then comments", true, sendComments(1), "", 200, eventsFrom(1), 1},
		{"comments between the events", true, commentBetween, "", 200, eventsFrom(1), 0},
		{"not resumable, breaks", false, breakAfter(3), "", 0, "", 0},
		{"not resumable, reset before the response", false, resetConnection, "", 502, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newFakeBackend(t, test.first), newFakeBackend(t, continueStream)
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, first, second)
			bed.placer.spread = true
			if test.resumable {
				bed.setResumable(500*time.Millisecond, 2)
			}
			status, body := bed.postAt(t, "key", test.position)
			body = strings.ReplaceAll(body, comment, "")
			if status != test.wantStatus || status == 200 && body != test.wantBody {
				t.Errorf("response %d %q, want %d %q", status, body, test.wantStatus, test.wantBody)
			}
			if second.requestCount() != test.wantSecond {
				t.Errorf("%d requests at the second engine, want %d", second.requestCount(), test.wantSecond)
			}
		})
	}
}

// TestCommentsAreNoProgress guards against an engine that keeps a stream with comments until there is no time left for another one. The
// caller gets the comments of a stream that goes on.
func TestCommentsAreNoProgress(t *testing.T) {
	const timeout = 2 * time.Second
	for _, events := range []int{0, 1} {
		t.Run(fmt.Sprint(events, " events"), func(t *testing.T) {
			var left time.Duration
			began := time.Now()
			second := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				left = timeout - time.Since(began)
				continueStream(w, r)
			})
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, newFakeBackend(t, sendComments(events)), second)
			bed.placer.spread = true
			bed.setResumable(timeout, 2)
			began = time.Now()
			if status, body := bed.post(t, "key"); status != http.StatusOK || strings.ReplaceAll(body, comment, "") != eventsFrom(1) {
				t.Errorf("response %d %q", status, body)
			}
			// Half of the time is the second engine's; the rest is slack for slow machines.
			if left < timeout/4 {
				t.Errorf("%v of %v were left for the second engine", left, timeout)
			}
		})
	}
}

// TestResumableNotRun guards against a response that says "not run" after an engine may have run the request.
func TestResumableNotRun(t *testing.T) {
	tests := []struct {
		name       string
		handlers   []http.HandlerFunc
		wantStatus int
	}{
		{"both refuse", []http.HandlerFunc{respondNotRun, respondNotRun, respondNotRun, respondNotRun}, 503},
		{"the first may have run it", []http.HandlerFunc{resetConnection, respondNotRun, respondNotRun, respondNotRun}, 502},
		{"both break", []http.HandlerFunc{resetConnection, resetConnection}, 502},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var backends []*fakeBackend
			for _, handler := range test.handlers {
				backends = append(backends, newFakeBackend(t, handler))
			}
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, backends...)
			bed.placer.spread = true
			bed.setResumable(time.Second, 2)
			if status, _ := bed.postAt(t, "key", ""); status != test.wantStatus {
				t.Errorf("status %d, want %d", status, test.wantStatus)
			}
		})
	}
}

// TestResumableProperty guards against events that are lost, repeated or out of order in any sequence of breaks, moves
// and restarts, and against a stream that goes on although two engines in a row have ended when they had hardly begun it.
func TestResumableProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		moveAt := rapid.IntRange(0, 2).Draw(rt, "event after which the first engine is left by a move; 0 for no move")
		maxBreaks := 3
		if moveAt > 0 {
			maxBreaks = 2 // The target of the move gets a second request, because the fake placer ignores Avoid.
		}
		breaks := rapid.SliceOfN(rapid.IntRange(0, 3), 0, maxBreaks).Draw(rt, "events before each break")
		ended := rapid.Bool().Draw(rt, "engines that break off have ended")
		position := rapid.IntRange(0, streamEvents-1).Draw(rt, "caller's position")
		var backends []*fakeBackend
		for _, events := range breaks {
			backends = append(backends, newFakeBackend(t, breakAfter(events)))
		}
		backends = append(backends, newFakeBackend(t, continueStream))
		stopped, eventsSent := make(chan struct{}), make(chan struct{})
		if moveAt > 0 {
			first := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				after, _ := strconv.Atoi(r.Header.Get("After"))
				for id := after + 1; id <= min(after+moveAt, streamEvents); id++ {
					writeEvent(w, id)
				}
				close(eventsSent)
				<-stopped
				resetConnection(w, r)
			})
			backends = slices.Insert(backends, 0, first)
		}
		bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, backends...)
		bed.placer.spread = true
		bed.relay.options.Requests = newTestGuardOf((*hazard.Table).CheckRequest, ended)
		bed.setResumable(5*time.Second, 4)
		bed.copier.onLast = func() { close(stopped) }
		if moveAt > 0 {
			go func() {
				<-eventsSent
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
			}()
		}
		caller := ""
		if position > 0 {
			caller = strconv.Itoa(position)
		}
		status, body := bed.postAt(t, "key", caller)
		if ended && endedInARow(breaks, moveAt, streamEvents-position) >= 2 {
			if status == http.StatusOK {
				rt.Fatalf("response %d %q after two engines have ended in a row", status, body)
			}
			return
		}
		if want := eventsFrom(position + 1); status != http.StatusOK || body != want {
			rt.Fatalf("response %d %q, want %q", status, body, want)
		}
	})
}

// endedInARow returns the greatest number of engines that have broken off since one has begun to answer. breaks holds the events before
// each break, left those that the caller lacks. The target of a move gets a second request.
func endedInARow(breaks []int, moveAt, left int) int {
	greatest, suspects := 0, make(map[int]bool)
	left -= min(moveAt, left)
	visit := func(engine int) {
		events := min(breaks[engine], left)
		left -= events
		if events >= begunEvents {
			clear(suspects)
			return
		}
		suspects[engine] = true
		greatest = max(greatest, len(suspects))
	}
	for engine := range breaks {
		if engine == 0 && moveAt > 0 {
			visit(engine)
		}
		visit(engine)
	}
	return greatest
}

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 19}) }
