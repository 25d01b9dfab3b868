package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestEndAtDeadlineIsNotComplete guards against a response that looks complete although its server stopped work at the deadline that it was given, and
// against a ready one that is not delivered late. An instance that shuts down gives servers an earlier deadline than that of the caller.
func TestEndAtDeadlineIsNotComplete(t *testing.T) {
	tests := []struct {
		name       string
		framed     bool
		after      time.Duration // the end, after the deadline of the server
		wantStatus int
	}{
		{"stream", false, 5 * time.Millisecond, 0},
		{"framed stream", true, 5 * time.Millisecond, 200},
		{"stream, before the deadline", false, -200 * time.Millisecond, 200},
		{"framed stream, before the deadline", true, -200 * time.Millisecond, 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				micros, err := strconv.ParseInt(r.Header.Get("Until"), 10, 64)
				if err != nil {
					t.Error(err)
				}
				if test.framed {
					w.Header().Set("Content-Type", "text/event-stream")
					writeEvent(w, 1)
					time.Sleep(time.Until(time.UnixMicro(micros).Add(test.after)))
					return
				}
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Call"), eventsUntil(1))
				_ = buffer.Flush()
				time.Sleep(time.Until(time.UnixMicro(micros).Add(test.after)))
			})
			bed := newTestBed(t, route.KindStream, nil, server)
			bed.callerWait = 10 * time.Second
			bed.relay.Leave(time.Now().Add(3 * time.Second))
			if status, body := bed.post(t, "key"); status != test.wantStatus {
				t.Errorf("status %d, body %q, want %d", status, body, test.wantStatus)
			}
		})
	}
}

// TestAnswerThatEndsAtDeadline guards against the same for answers that are read whole. A length or chunks show that one is complete.
func TestAnswerThatEndsAtDeadline(t *testing.T) {
	tests := []struct {
		name     string
		unframed bool
		left     time.Duration
		want     error
	}{
		{"without a length", true, 0, errEndAtDeadline},
		{"without a length, before the deadline", true, time.Minute, nil},
		{"with a length", false, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := attempt{rest: io.NopCloser(strings.NewReader("a part")), closeDelimited: test.unframed, endsEarlyFrom: time.Now().Add(test.left), confirmEnd: func() error { return nil }}
			if a.buffer(); !errors.Is(a.err, test.want) {
				t.Errorf("error %v, want %v", a.err, test.want)
			}
		})
	}
}
