package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestEventsOfPlainService guards against a stream of a service without engines that looks complete although it ended within an event, and against
// a whole one that looks broken or is changed.
func TestEventsOfPlainService(t *testing.T) {
	whole, cut := eventsUntil(5), eventsUntil(3)+"id: 4\nda"
	long := strings.Repeat(eventsUntil(5), responseBufferLimit/len(whole)+2)
	tests := []struct {
		name       string
		mediaType  string
		framed     bool
		sent       string
		wantStatus int // 0 for a response that breaks off
		wantBody   string
	}{
		{"whole", "text/event-stream", false, whole, 200, whole},
		{"whole, with a parameter", "text/event-stream; charset=utf-8", false, whole, 200, whole},
		{"whole, with a malformed parameter", "text/event-stream; charset", false, whole, 200, whole},
		{"whole, without a type", "", false, whole, 200, whole},
		{"whole and framed", "text/event-stream", true, whole, 200, whole},
		{"long", "text/event-stream", false, long, 200, long},
		{"cut", "text/event-stream", false, cut, 0, eventsUntil(3)},
		{"cut, with a malformed parameter", "text/event-stream; charset", false, cut, 0, eventsUntil(3)},
		{"cut, without a type", "", false, cut, 0, eventsUntil(3)},
		{"cut before the blank line", "text/event-stream", false, whole[:len(whole)-1], 0, eventsUntil(4)},
		{"cut and framed", "text/event-stream", true, cut, 0, eventsUntil(3)},
		{"long and cut", "text/event-stream", false, long + "id", 0, long},
		{"followed by another response", "text/event-stream", false, whole + "HTTP/1.1 200 OK\r\nCall: other\r\n\r\n" + whole, 0, whole},
		{"cut within the first event", "text/event-stream", false, "id: 1", 502, ""},
		{"nothing", "text/event-stream", false, "", 502, ""},
		{"nothing, framed", "text/event-stream", true, "", 200, ""},
		{"comments only", "text/event-stream", false, comment, 502, ""},
		{"comments first", "text/event-stream", false, comment + whole + comment, 200, comment + whole + comment},
		{"an event that is too large", "text/event-stream", false, "data: " + strings.Repeat("x", maxEventBytes), 502, ""},
		{"no events", "application/json", false, "{}", 200, "{}"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", test.mediaType)
				if test.framed {
					_, _ = io.WriteString(w, test.sent)
					return
				}
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s",
					r.Header.Get("Call"), test.mediaType, test.sent)
				_ = buffer.Flush()
				_ = conn.Close()
			})
			bed := newTestBed(t, route.KindStream, nil, backend)
			if status, body := bed.post(t, "key"); status != test.wantStatus || body != test.wantBody {
				t.Errorf("status %d, %d bytes %.60q, want %d, %d bytes %.60q", status, len(body), body, test.wantStatus, len(test.wantBody), test.wantBody)
			}
			if backend.requestCount() != 1 {
				t.Errorf("%d requests at the backend server, want one", backend.requestCount())
			}
		})
	}
}

// TestEventsAreNotHeldBack guards against events of a plain service that wait for the end of their stream, and against a position that is
// not passed on, so that a caller who resumes gets all events again.
func TestEventsAreNotHeldBack(t *testing.T) {
	const position = 3
	received := make(chan struct{})
	backend := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if after := r.Header.Get("After"); after != fmt.Sprint(position) {
			t.Errorf("the backend server got position %q, want %d", after, position)
		}
		writeEvent(w, position+1)
		<-received
		writeEvent(w, position+2)
	})
	bed := newTestBed(t, route.KindStream, nil, backend)
	former := bed.decoder.catalogue
	routes := []route.Route{former.Routes()[0]}
	routes[0].Resumable = true
	bed.decoder.catalogue = route.New(route.Content{Version: 2, Routes: routes, Services: former.Services(), Accounts: former.Accounts()})
	bed.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 90}}, feed.Knowledge{})
	resp, err := http.DefaultTransport.RoundTrip(bed.request(t, "key", fmt.Sprint(position)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make(chan error, 1)
	scanner := newEventScanner(bufio.NewReader(resp.Body))
	go func() {
		_, err := scanner.next()
		first <- err
	}()
	select {
	case err := <-first:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(4 * time.Second):
		t.Fatal("the first event has not come before the second was sent")
	}
	close(received)
	if event, err := scanner.next(); err != nil || eventID(event) != fmt.Sprint(position+2) {
		t.Errorf("second event %q, error %v", event, err)
	}
	if event, err := scanner.next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last event: %q, error %v", event, err)
	}
}
