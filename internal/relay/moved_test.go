package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestStoppedRunIsNotComplete guards against a stream that looks complete although this instance had its run stopped for a move and the run
// could not go on, and against a whole one that looks broken. An answer without a length ends with its connection in both cases.
func TestStoppedRunIsNotComplete(t *testing.T) {
	const sent, total = 3, 5
	goesOn := func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for id := after + 1; id <= total; id++ {
			writeEvent(w, id)
		}
	}
	tests := []struct {
		name       string
		framed     bool
		copyErr    error // of the last copy
		target     http.HandlerFunc
		wantStatus int
		wantEvents int
	}{
		{"target has no room", false, nil, respondNotRun, 0, sent},
		{"target crashes", false, nil, resetConnection, 0, sent},
		{"target fails", false, nil, respondError, 0, sent},
		{"goes on", false, nil, goesOn, 200, total},
		{"had ended before", false, &CopyError{NoRun: true}, respondNotRun, 200, sent},
		{"last copy fails", false, &CopyError{}, respondNotRun, 0, sent},
		{"framed and had ended before", true, &CopyError{NoRun: true}, respondNotRun, 200, sent},
		{"framed, last copy fails", true, io.ErrUnexpectedEOF, respondNotRun, 200, sent},
		{"framed and stopped", true, nil, respondNotRun, 0, sent},
		{"framed and stopped, not copied", true, &CopyError{Handle: "kept"}, respondNotRun, 0, sent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stop, eventsSent := make(chan struct{}), make(chan struct{})
			source := newFakeBackend(t, declineResumption(func(w http.ResponseWriter, r *http.Request) {
				if test.framed {
					for id := range sent {
						writeEvent(w, id+1)
					}
					close(eventsSent)
					<-stop
					return
				}
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n\r\n", r.Header.Get("Call"))
				for id := range sent {
					fmt.Fprintf(buffer, "id: %d\ndata: token %d\n\n", id+1, id+1)
				}
				_ = buffer.Flush()
				close(eventsSent)
				<-stop
				_ = conn.Close()
			}))
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, newFakeBackend(t, test.target))
			bed.copier.onLast, bed.copier.err = func() { close(stop) }, test.copyErr
			go func() {
				<-eventsSent
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
			}()
			status, body := bed.post(t, "key")
			want := ""
			for id := 1; id <= test.wantEvents; id++ {
				want += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
			}
			if status != test.wantStatus || body != want {
				t.Errorf("status %d, body %q, want %d, %q", status, body, test.wantStatus, want)
			}
		})
	}
}

// scriptedCopier answers copies one after the other.
type scriptedCopier struct {
	answers []func() (Copy, error)
	next    atomic.Int32
}

func (c *scriptedCopier) Copy(context.Context, route.Backend, string, route.Backend, bool) (Copy, error) {
	if index := int(c.next.Add(1)) - 1; index < len(c.answers) {
		return c.answers[index]()
	}
	return Copy{}, &CopyError{NoRun: true}
}

func (*scriptedCopier) Drop(context.Context, route.Backend, string) error { return nil }

// TestStoppedRunIsNotCompleteAfterSecondOrder guards against an order that makes the relay forget that the run was stopped for the order before: the end
// of the connection passes for that of the answer. It follows a change of the home of a pool during a move.
func TestStoppedRunIsNotCompleteAfterSecondOrder(t *testing.T) {
	const sent, total = 3, 5
	goesOn := func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for id := after + 1; id <= total; id++ {
			writeEvent(w, id)
		}
	}
	copied := func() (Copy, error) { return Copy{Handle: "copied"}, nil }
	gone := func() (Copy, error) { return Copy{}, &CopyError{NoRun: true} }
	tests := []struct {
		name       string
		answerLost bool // to the order that stops the run
		second     []func() (Copy, error)
		target     http.HandlerFunc
		wantStatus int
		wantEvents int
	}{
		{"result not taken", false, []func() (Copy, error){gone}, goesOn, 200, total},
		{"result not taken, target has no room", false, []func() (Copy, error){gone}, respondNotRun, 0, sent},
		{"answer lost, run gone", true, []func() (Copy, error){gone}, goesOn, 200, total},
		{"answer lost, run gone before the last copy", true, []func() (Copy, error){copied, gone}, goesOn, 200, total},
		{"answer lost, target has no room", true, []func() (Copy, error){copied, gone}, respondNotRun, 0, sent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begun, stopped, secondOrder := make(chan struct{}), make(chan struct{}), make(chan struct{})
			source := newFakeBackend(t, declineResumption(func(w http.ResponseWriter, r *http.Request) {
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Call"), eventsUntil(sent))
				_ = buffer.Flush()
				close(begun)
				<-stopped
				select { // The relay closes the connection closeDelay after the last copy.
				case <-secondOrder:
				case <-time.After(closeDelay / 2):
				}
				_ = conn.Close()
			}))
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, newFakeBackend(t, test.target))
			copier := &scriptedCopier{answers: []func() (Copy, error){copied, func() (Copy, error) {
				close(stopped)
				if test.answerLost {
					return Copy{}, io.ErrUnexpectedEOF
				}
				return copied()
			}}}
			copier.answers = append(copier.answers, test.second...)
			last := len(copier.answers) - 1
			answer := copier.answers[last]
			copier.answers[last] = func() (Copy, error) {
				// The relay reads the answer before it sees the end of the connection.
				time.AfterFunc(closeDelay/10, func() { close(secondOrder) })
				return answer()
			}
			bed.relay.options.Copier = copier
			go func() {
				<-begun
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
				<-stopped
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
			}()
			if status, body := bed.post(t, "key"); status != test.wantStatus || body != eventsUntil(test.wantEvents) {
				t.Errorf("status %d, body %q, want %d with %d events", status, body, test.wantStatus, test.wantEvents)
			}
		})
	}
}

// TestRunWithLongBodyIsNotMoved guards against a run that goes on elsewhere with a part of its body: only the beginning of a long one is kept.
func TestRunWithLongBodyIsNotMoved(t *testing.T) {
	const events = 5
	tests := []struct {
		name      string
		size      int
		chunked   bool
		wantMoved bool
	}{
		{"kept", replayLimit, false, true},
		{"kept, in chunks", replayLimit, true, true},
		{"long", replayLimit + 1, false, false},
		{"long, in chunks", 100_000, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begun, stopped := make(chan struct{}), make(chan struct{})
			stop := sync.OnceFunc(func() { close(stopped) })
			checkBody := func(r *http.Request) {
				if body, err := io.ReadAll(r.Body); err != nil || len(body) != test.size {
					t.Errorf("a backend server got %d bytes of %d, error %v", len(body), test.size, err)
				}
			}
			writeEvents := func(w http.ResponseWriter, first, last int) {
				for id := first; id <= last; id++ {
					writeEvent(w, id)
				}
			}
			source := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				checkBody(r)
				writeEvents(w, 1, 2)
				close(begun)
				<-stopped
				if !test.wantMoved {
					writeEvents(w, 3, events)
				}
			})
			target := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				checkBody(r)
				writeEvents(w, 3, events)
			})
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
			bed.placer.finished = make(chan struct{}, 1)
			bed.copier.onLast = stop
			go func() {
				<-begun
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
				if !test.wantMoved {
					<-bed.placer.finished
					stop()
				}
			}()
			req := bed.request(t, "key", "")
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", test.size))), int64(test.size)
			if test.chunked {
				req.ContentLength = -1
			}
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != eventsUntil(events) {
				t.Errorf("body %q, error %v, want %d events", body, err, events)
			}
			if reported := bed.placer.reportedMoves(); !slices.Equal(reported, []string{fmt.Sprint("b1", test.wantMoved)}) {
				t.Errorf("reported moves %v, want one to b1 that ended with %t", reported, test.wantMoved)
			}
		})
	}
}

func eventsUntil(last int) string {
	var text strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

// TestMovesDuringShutdown guards against a run that is stopped for a move although its instance ends before it can go on elsewhere, and against
// a run that stays on an engine that ends although there is time to move it.
func TestMovesDuringShutdown(t *testing.T) {
	const events = 5
	tests := []struct {
		name     string
		leaves   bool          // the source
		left     time.Duration // until the exit when the move is ordered; 0 without a shutdown
		lessLeft time.Duration // until the exit from the first copy on; 0 for no change
		copyTook time.Duration // by the latest moves; 0 for none
		want     bool
	}{
		{"no shutdown", false, 0, 0, time.Minute, true},
		{"slow engine, early", false, 7 * time.Second, 0, 0, true},
		{"slow engine, late", false, 2 * time.Second, 0, 0, false},
		{"engine leaves, late", true, 2 * time.Second, 0, 0, true},
		{"engine leaves, at the end", true, 800 * time.Millisecond, 0, 0, false},
		{"engine leaves, at the end, quick copies", true, 800 * time.Millisecond, 0, 50 * time.Millisecond, true},
		{"engine leaves, slow copies", true, 4 * time.Second, 0, 5 * time.Second, false},
		{"shutdown during the first copy", true, 0, 400 * time.Millisecond, 0, false},
		{"exit earlier since the first copy", true, 7 * time.Second, 400 * time.Millisecond, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stop, begun := make(chan struct{}), make(chan struct{})
			source := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				writeEvent(w, 1)
				close(begun)
				<-stop
				for id := 2; id <= events; id++ {
					writeEvent(w, id)
				}
			})
			bed := newTestBed(t, route.KindStream, &route.EngineSpec{Slots: 4}, source, newFakeBackend(t, respondEvents))
			if test.copyTook > 0 {
				now := time.Now()
				bed.relay.history.BeginCopy("s", now.Add(-test.copyTook)).Answered(now)
			}
			bed.copier.dropped = make(chan string, 1)
			bed.copier.onFirst = func() {
				if test.lessLeft > 0 {
					bed.relay.Leave(time.Now().Add(test.lessLeft))
				}
			}
			stopped := false
			bed.copier.onLast = func() {
				stopped = true
				close(stop)
			}
			go func() {
				<-begun
				if test.leaves {
					bed.decoder.backends["b0"] = route.Backend{ID: "b0", Service: "s", Address: source.address(), Leaving: true}
					bed.fleet.Apply([]feed.Record{{Key: "b0", Revision: 9}}, feed.Knowledge{})
				}
				if test.left > 0 {
					bed.relay.Leave(time.Now().Add(test.left))
				}
				bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
				if test.want {
					return
				}
				for t.Context().Err() == nil && len(bed.placer.reportedMoves()) == 0 {
					time.Sleep(time.Millisecond)
				}
				close(stop)
			}()
			if status, _ := bed.post(t, "key"); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			if stopped != test.want {
				t.Errorf("the run is stopped for a move: %v, want %v", stopped, test.want)
			}
			if moved := bed.placer.reportedMoves(); !slices.Equal(moved, []string{fmt.Sprint("b1", test.want)}) {
				t.Errorf("reported moves %v", moved)
			}
			if test.lessLeft > 0 {
				if handle := <-bed.copier.dropped; handle != "first" {
					t.Errorf("copy %q is dropped, want the first", handle)
				}
			}
		})
	}
}
