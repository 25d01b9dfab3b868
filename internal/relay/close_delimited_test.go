package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestBrokenOffStreamOfOldCaller guards against a broken-off stream that a caller takes for a whole one, because it speaks HTTP/1.0 and gets neither a
// length nor chunks.
func TestBrokenOffStreamOfOldCaller(t *testing.T) {
	const events = "id: 1\ndata: token\n\nid: 2\ndata: token\n\n"
	tests := []struct {
		name      string
		resets    bool // the engine, after two events
		wantWhole bool
	}{
		{"broken off", true, false},
		{"whole", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			received := make(chan struct{})
			engine := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, events)
				_ = http.NewResponseController(w).Flush() // The response shows what arrived.
				select {
				case <-received:
				case <-r.Context().Done():
				}
				if test.resets {
					resetConnection(w, r)
				}
			})
			bed := newTestBed(t, route.KindStream, nil, engine)
			front := httptest.NewUnstartedServer(bed.front.Config.Handler)
			log := logrus.New()
			log.SetOutput(io.Discard)
			group := bound.NewGuard(bound.Options{Limits: bound.NewLimits(0, 0), Log: log}).Callers("callers")
			group.Install(front.Config)
			front.Listener = group.Listener(front.Listener)
			front.Start()
			t.Cleanup(front.Close)
			conn, err := net.Dial("tcp", front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, "POST /x HTTP/1.0\r\nHost: 127.0.0.1\r\nKey: key\r\nContent-Length: 5\r\n\r\nhello"); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.ReadFull(resp.Body, make([]byte, len(events))); err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("status %d, error %v", resp.StatusCode, err)
			}
			close(received)
			if rest, err := io.ReadAll(resp.Body); (err == nil) != test.wantWhole || len(rest) > 0 {
				t.Errorf("further bytes %q, error %v, want whole %t", rest, err, test.wantWhole)
			}
		})
	}
}
