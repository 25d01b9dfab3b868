package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestBodyIsReadOnce guards against a second send that gets another part of a body than the caller sent: of a long one only the beginning is kept.
func TestBodyIsReadOnce(t *testing.T) {
	tests := []struct {
		name       string
		size, read int // read is the number of bytes that the first reader gets
		wantSent   bool
	}{
		{"kept", replayLimit, replayLimit, false},
		{"long, not sent", replayLimit + 1, 0, false},
		{"long, begun", replayLimit + 1, 1, true},
		{"long, sent", 2 * replayLimit, 2 * replayLimit, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			content := numberedBody(test.size)
			in := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", bytes.NewReader(content))
			body, err := readBody(in, 0, func() {})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(body.Reader(), make([]byte, test.read)); err != nil {
				t.Fatal(err)
			}
			if body.Sent() != test.wantSent {
				t.Errorf("sent %t, want %t", body.Sent(), test.wantSent)
			}
			again, err := io.ReadAll(body.Reader())
			switch {
			case test.wantSent && (len(again) > 0 || !errors.Is(err, errBodySent)):
				t.Errorf("another reader got %d bytes, error %v", len(again), err)
			case !test.wantSent && (!bytes.Equal(again, content) || err != nil):
				t.Errorf("another reader got %d bytes of %d, error %v", len(again), len(content), err)
			}
		})
	}
}

// TestLongBodyIsSentOnce guards against a request with a long body that reaches a second backend server, with another body, after the first one has
// failed it or refused it in the middle of its upload.
func TestLongBodyIsSentOnce(t *testing.T) {
	refuse := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("NotRun", "1")
			w.WriteHeader(status)
		}
	}
	failures := []struct {
		name  string
		serve http.HandlerFunc
	}{
		{"reset", resetConnection},
		{"error", respondError},
		{"408", refuse(http.StatusRequestTimeout)},
		{"421", refuse(http.StatusMisdirectedRequest)},
		{"429", refuse(http.StatusTooManyRequests)},
		{"503", refuse(http.StatusServiceUnavailable)},
		{"part of a stream", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			writeEvent(w, 1)
			resetConnection(w, r)
		}},
	}
	for _, way := range routeKinds {
		for _, failure := range failures {
			t.Run(way.name+", "+failure.name, func(t *testing.T) {
				var requests atomic.Int32
				serve := func(w http.ResponseWriter, r *http.Request) {
					requests.Add(1)
					if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
						t.Error(err)
					}
					_, _ = io.ReadFull(r.Body, make([]byte, replayLimit+2))
					failure.serve(w, r)
				}
				bed := newTestBed(t, way.kind, way.engine, newFakeBackend(t, serve), newFakeBackend(t, serve))
				ctx, cancel := context.WithTimeout(t.Context(), callerPatience/2)
				defer cancel()
				req := bed.request(t, "key", "").WithContext(ctx)
				req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 4*replayLimit))), 4*replayLimit
				if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK && way.kind != route.KindStream {
						t.Errorf("status %d", resp.StatusCode)
					}
				}
				if requests.Load() != 1 {
					t.Errorf("the request was sent %d times", requests.Load())
				}
			})
		}
	}
}
