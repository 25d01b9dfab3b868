package relay

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestEndOfProcessIsNotComplete guards against a response without a length and chunks that looks complete although the process of its server has ended:
// the kernel ends the connection in order.
func TestEndOfProcessIsNotComplete(t *testing.T) {
	engine := &route.EngineSpec{EventTokens: 4}
	tests := []struct {
		name       string
		kind       route.Kind
		engine     *route.EngineSpec
		framed     bool
		ends       bool // the process of the server
		wantStatus int
	}{
		{"generation", route.KindStream, engine, false, true, 0},
		{"generation, runs on", route.KindStream, engine, false, false, 200},
		{"generation, framed", route.KindStream, engine, true, true, 200},
		{"stream of a plain service", route.KindStream, nil, false, true, 0},
		{"stream of a plain service, runs on", route.KindStream, nil, false, false, 200},
		{"answer", route.KindAtMostOnce, nil, false, true, 502},
		{"answer, runs on", route.KindAtMostOnce, nil, false, false, 200},
		{"answer that may be repeated", route.KindIdempotent, nil, false, true, 502},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var server *fakeBackend
			server = newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				if test.ends {
					_ = server.server.Listener.Close()
				}
				fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n", r.Header.Get("Call"))
				if test.framed {
					fmt.Fprintf(buffer, "Content-Length: %d\r\n", len(eventsUntil(3)))
				}
				fmt.Fprintf(buffer, "\r\n%s", eventsUntil(3))
				_ = buffer.Flush()
				_ = conn.Close()
			})
			bed := newTestBed(t, test.kind, test.engine, server)
			if status, body := bed.post(t, "key"); status != test.wantStatus {
				t.Errorf("status %d, body %q, want %d", status, body, test.wantStatus)
			}
		})
	}
}
