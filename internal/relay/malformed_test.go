package relay

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestMalformedAnswer guards against an answer with a malformed head that reaches the caller, counts as a promise that the request was not run, or is
// believed in what it says of its backend server.
func TestMalformedAnswer(t *testing.T) {
	heads := []struct{ name, status, field string }{
		{"status 000", "000 OK", ""},
		{"status 099", "099 OK", ""},
		{"blank before the colon", "200 OK", "X-Field : 1\r\n"},
		{"blank in a name, not run", "503 Service Unavailable", "NotRun: 1\r\nX Field: 1\r\n"},
		{"blank before a name", "200 OK", "X-First: 1\r\n X-Field: 1\r\n"},
		{"control byte in a name", "200 OK", "X\x01Field: 1\r\n"},
	}
	for _, way := range routeKinds {
		for _, head := range heads {
			t.Run(way.name+", "+head.name, func(t *testing.T) {
				answer := "HTTP/1.1 " + head.status + "\r\nCall: %s\r\nRest: 10s\r\nLimit: 1\r\nContent-Type: text/event-stream\r\n" + head.field +
					fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(eventsUntil(3)), eventsUntil(3))
				backend := newFakeBackend(t, respondRaw(t, answer))
				bed := newTestBed(t, way.kind, way.engine, backend)
				if status, body := bed.post(t, "key"); status != http.StatusBadGateway {
					t.Errorf("status %d, body %q, want %d", status, body, http.StatusBadGateway)
				}
				if requests := backend.requestCount(); requests != 1 {
					t.Errorf("%d requests at the backend server, want one", requests)
				}
				if _, backingOff := bed.fleet.BackoffUntil("b0"); backingOff {
					t.Error("the back-off of a malformed head is believed")
				}
				if _, limited := bed.relay.options.Limits.Limit("b0"); limited {
					t.Error("the limit of a malformed head is believed")
				}
			})
		}
	}
}

// TestMalformedAnswerIsRetried guards against a request of an idempotent route that fails because of one backend server in trouble.
func TestMalformedAnswerIsRetried(t *testing.T) {
	broken := newFakeBackend(t, respondRaw(t, "HTTP/1.1 000 OK\r\nCall: %s\r\nContent-Length: 2\r\n\r\nhi"))
	bed := newTestBed(t, route.KindIdempotent, nil, broken, newFakeBackend(t, respondOK))
	for range 4 {
		if status, body := bed.post(t, "key"); status != http.StatusOK || body != "ok hello" {
			t.Errorf("status %d, body %q", status, body)
		}
	}
	if requests := broken.requestCount(); requests > 1 {
		t.Errorf("%d requests at the backend server in trouble, want one at most", requests)
	}
}
