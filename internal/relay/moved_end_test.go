package relay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// sendCloseDelimited sends a response without a length and chunks, whose end is that of the connection after hold is closed.
func sendCloseDelimited(t *testing.T, w http.ResponseWriter, r *http.Request, body string, hold <-chan struct{}) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Call"), body)
	if err := buffer.Flush(); err != nil {
		t.Error(err)
	}
	if hold != nil {
		<-hold
	}
}

// TestMovedRunEndsWithoutEvents guards against a run that was moved and whose next engine closes the connection before the first event: the caller gets an
// empty answer, or one without the events that the run had made, as a whole one.
func TestMovedRunEndsWithoutEvents(t *testing.T) {
	tests := []struct {
		name     string
		position string // of the caller
		events   []int  // of the source
		created  int    // that the run had made when it was stopped
		complete bool
	}{
		{"before its first event", "", nil, 0, false},
		{"after its last event", "", []int{1, 2}, 2, true},
		{"caller had some, two missing", "5", []int{6}, 8, false},
		{"caller had some, none missing", "5", []int{6}, 6, true},
		{"caller had some, events counted from there", "5", []int{6, 7}, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begun, stop := make(chan struct{}), make(chan struct{})
			source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				body := ""
				for _, id := range test.events {
					body += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
				}
				time.AfterFunc(50*time.Millisecond, func() { close(begun) })
				sendCloseDelimited(t, w, r, body, stop)
			})
			target := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) { sendCloseDelimited(t, w, r, "", nil) })
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
			bed.setResumable(4*time.Second, 1)
			bed.copier.onLast, bed.copier.created = func() { close(stop) }, test.created
			go func() {
				<-begun
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
			}()
			status, body := bed.postAt(t, "key", test.position)
			if complete := status == http.StatusOK; complete != test.complete || strings.Count(body, "data:") > len(test.events) {
				t.Errorf("status %d, body %q, want a complete answer: %v", status, body, test.complete)
			}
		})
	}
}

// TestStoppedRunStaysOpen guards against a caller who waits until the deadline for a run that its engine has stopped, because the engine leaves the connection
// open.
func TestStoppedRunStaysOpen(t *testing.T) {
	const sent, total = 3, 4
	for _, copyErr := range []error{nil, &CopyError{Handle: "kept"}} {
		t.Run(fmt.Sprint(copyErr), func(t *testing.T) {
			begun := make(chan struct{})
			var requests atomic.Int32
			source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) > 1 {
					writeEvent(w, total)
					return
				}
				for id := 1; id <= sent; id++ {
					writeEvent(w, id)
				}
				_, _ = io.Copy(io.Discard, r.Body) // So that the end of the connection is seen.
				close(begun)
				<-r.Context().Done()
			})
			target := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, total) })
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
			bed.copier.onLast, bed.copier.err = func() {}, copyErr
			go func() {
				<-begun
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
			}()
			began := time.Now()
			status, body := bed.post(t, "key")
			if took := time.Since(began); status != http.StatusOK || body != eventsUntil(total) || took > closeDelay+time.Second {
				t.Errorf("status %d, body %q after %v", status, body, took)
			}
		})
	}
}

// TestRestartedRunIsShorter guards against a whole answer that is broken off because a former run of the request had made more events.
func TestRestartedRunIsShorter(t *testing.T) {
	const sent, total, formerTotal = 3, 6, 8
	begun, stop := make(chan struct{}), make(chan struct{})
	source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		for id := 1; id <= sent; id++ {
			writeEvent(w, id)
		}
		close(begun)
		<-stop
		resetConnection(w, r)
	})
	target := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		writeEvent(w, sent+1)
		time.Sleep(50 * time.Millisecond)
		resetConnection(w, r)
	})
	third := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		for id := sent + 2; id <= total; id++ {
			writeEvent(w, id)
		}
	})
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target, third)
	bed.setResumable(4*time.Second, 3)
	bed.copier.created = formerTotal
	bed.copier.onLast = func() {
		bed.placer.mu.Lock()
		defer bed.placer.mu.Unlock()
		bed.placer.next = 2
		close(stop)
	}
	go func() {
		<-begun
		bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
	}()
	if status, body := bed.post(t, "key"); status != http.StatusOK || body != eventsUntil(total) {
		t.Errorf("status %d, body %q", status, body)
	}
}

// TestStopNotSent guards against a whole answer that is broken off because its engine could not be told to stop the run.
func TestStopNotSent(t *testing.T) {
	const total = 5
	begun, end := make(chan struct{}), make(chan struct{})
	source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		time.AfterFunc(50*time.Millisecond, func() { close(begun) })
		sendCloseDelimited(t, w, r, eventsUntil(total), end)
	})
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, newFakeBackend(t, respondNotRun))
	bed.copier.onLast = func() { time.AfterFunc(100*time.Millisecond, func() { close(end) }) }
	bed.copier.err = engine.NewError(pond.OutcomeNotSent, 0, false, syscall.ECONNREFUSED)
	go func() {
		<-begun
		bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
	}()
	if status, body := bed.post(t, "key"); status != http.StatusOK || body != eventsUntil(total) {
		t.Errorf("status %d, body %q", status, body)
	}
}

// TestEventsWithoutIDsComeTwice guards against a run that begins again although nothing tells it where the caller is.
func TestEventsWithoutIDsComeTwice(t *testing.T) {
	const sent, total = 2, 3
	events := func(first, last int) (text string) {
		for number := first; number <= last; number++ {
			text += fmt.Sprintf("data: token %d\n\n", number)
		}
		return text
	}
	first := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.WriteString(w, events(1, sent)); err != nil {
			t.Error(err)
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		resetConnection(w, r)
	})
	second := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, events(1, total)) })
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, first, second)
	bed.setResumable(4*time.Second, 2)
	bed.placer.spread = true
	if status, body := bed.post(t, "key"); status == http.StatusOK || body != events(1, sent) {
		t.Errorf("status %d, body %q", status, body)
	}
}
