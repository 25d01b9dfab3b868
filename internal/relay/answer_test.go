package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

// respondRaw answers with raw bytes, in which %s stands for the ID of the request, and then ends the connection: with a reset if it is still sending a
// long body.
func respondRaw(t *testing.T, answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		uploading := r.ContentLength > replayLimit
		_, _ = io.ReadFull(r.Body, make([]byte, 16<<10))
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, answer, r.Header.Get("Call"))
		if uploading {
			time.Sleep(50 * time.Millisecond) // The relay's writes fill the buffers.
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// routeKinds are the ways on which answers are forwarded.
var routeKinds = []struct {
	name   string
	kind   route.Kind
	engine *route.EngineSpec
}{
	{"at most once", route.KindAtMostOnce, nil},
	{"idempotent", route.KindIdempotent, nil},
	{"stream", route.KindStream, nil},
	{"generation", route.KindStream, &route.EngineSpec{Slots: 4}},
}

// TestAnswerDuringUpload guards against a part of an answer that a caller gets as whole because its backend server reset the connection while the
// request was still being sent, and against an answer with a length that is lost with the upload.
func TestAnswerDuringUpload(t *testing.T) {
	const upload = 12 << 20 // more than the buffers of both connections
	events := eventsUntil(3)
	tests := []struct {
		name, head string
		whole      bool
	}{
		{"no length", "", false},
		{"length", fmt.Sprintf("Content-Length: %d\r\n", len(events)), true},
	}
	for _, way := range routeKinds {
		for _, test := range tests {
			t.Run(way.name+", "+test.name, func(t *testing.T) {
				t.Parallel()
				backend := newFakeBackend(t, respondRaw(t,
					"HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Type: text/event-stream\r\n"+test.head+"\r\n"+events))
				for range 5 {
					bed := newTestBed(t, way.kind, way.engine, backend)
					req := bed.request(t, "key", "")
					req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, upload))), upload
					resp, err := http.DefaultTransport.RoundTrip(req)
					if err != nil {
						if test.whole {
							t.Errorf("no answer: %v", err)
						}
						continue
					}
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					switch whole := resp.StatusCode == http.StatusOK && err == nil; {
					case whole != test.whole:
						t.Errorf("status %d, %d bytes, error %v, want a whole answer: %t", resp.StatusCode, len(body), err, test.whole)
					case resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusBadGateway:
						t.Errorf("status %d, want %d", resp.StatusCode, http.StatusBadGateway)
					}
				}
			})
		}
	}
}
