package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

const (
	// endlessBurst is what an endless answer sends as fast as it can, before it goes on slowly.
	endlessBurst = 2 << 20

	// callDeadline is the deadline of the requests of a test bed, and endSlack the time that ending them may take.
	callDeadline = 4 * time.Second
	endSlack     = time.Second
)

// endlessAnswer returns a handler that sends a prefix and then repeats a text until its connection is closed. It counts the open ones.
func endlessAnswer(prefix, repeated string, open *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		open.Add(1)
		defer open.Add(-1)
		if _, err := io.WriteString(conn, prefix); err != nil {
			return
		}
		part := []byte(strings.Repeat(repeated, 1+1024/len(repeated)))
		for sent := 0; ; sent += len(part) {
			if sent > endlessBurst {
				time.Sleep(20 * time.Millisecond)
			}
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}
}

const (
	unframedHead = "HTTP/1.1 200 OK\r\nCall: call-1\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\nCall: call-1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// endlessAnswers are answers that end nowhere: in their heads, bodies and events.
var endlessAnswers = []struct {
	name, prefix, repeated string
	stream                 bool
}{
	{"status line", "HTTP/1.1 200 ", "x", false},
	{"header field", "HTTP/1.1 200 OK\r\nA: ", "x", false},
	{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
	{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", false},
	{"chunk line", chunkedHead, "0", false},
	{"chunks", chunkedHead, "1\r\nx\r\n", false},
	{"trailer", chunkedHead + "1\r\nx\r\n0\r\n", "A: b\r\n", false},
	{"body", unframedHead, "x", false},
	{"header fields of a stream", "HTTP/1.1 200 OK\r\n", "A: b\r\n", true},
	{"line of an event", unframedHead + "data: ", "x", true},
	{"lines of an event", unframedHead, "data: x\n", true},
	{"events", unframedHead, "data: x\n\n", true},
	{"chunks of an event", chunkedHead, "8\r\ndata: x\n\r\n", true},
}

// TestEndlessAnswers guards against an answer without an end that keeps its caller beyond the deadline, looks like a whole one, or keeps
// its connection open.
func TestEndlessAnswers(t *testing.T) {
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var open atomic.Int32
			backend := newFakeBackend(t, endlessAnswer(test.prefix, test.repeated, &open))
			kind, engine := route.KindAtMostOnce, (*route.EngineSpec)(nil)
			if test.stream {
				kind, engine = route.KindStream, &route.EngineSpec{EventTokens: 4}
			}
			bed := newTestBed(t, kind, engine, backend)
			begun := time.Now()
			status, body := bed.post(t, "key")
			if elapsed := time.Since(begun); elapsed > callDeadline+endSlack {
				t.Errorf("the caller's request took %v", elapsed)
			}
			if status != 0 && status < http.StatusInternalServerError {
				t.Errorf("status %d, %d bytes: it looks like a whole answer", status, len(body))
			}
			for deadline := time.Now().Add(endSlack); open.Load() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the connection to the backend server stays open")
				}
			}
			if !test.stream && !bed.relay.replicas.isSuspect("b0", time.Now()) {
				t.Error("the replica is not suspected")
			}
			if backend.requestCount() > 2 {
				t.Errorf("%d requests to the backend server", backend.requestCount())
			}
		})
	}
}

// TestMemoryOfEndlessAnswers guards against answers without an end that together take more memory than an instance has.
func TestMemoryOfEndlessAnswers(t *testing.T) {
	const count, memory = 200, 134_000_000
	for _, test := range endlessAnswers {
		if !strings.Contains(test.name, "event") && test.name != "body" && test.name != "header fields" {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			var open atomic.Int32
			backend := newFakeBackend(t, endlessAnswer(test.prefix, test.repeated, &open))
			kind, engine := route.KindAtMostOnce, (*route.EngineSpec)(nil)
			if test.stream {
				kind, engine = route.KindStream, &route.EngineSpec{EventTokens: 4}
			}
			bed := newTestBed(t, kind, engine, backend)
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			var callers sync.WaitGroup
			for range count {
				callers.Go(func() {
					resp, err := http.DefaultTransport.RoundTrip(bed.request(t, "key", ""))
					if err != nil {
						return
					}
					defer resp.Body.Close()
					_, _ = io.Copy(io.Discard, resp.Body) // The end is checked by TestEndlessAnswers.
				})
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				callers.Wait()
			}()
			most := uint64(0)
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-time.After(50 * time.Millisecond):
				}
				runtime.ReadMemStats(&now)
				if now.HeapAlloc > before.HeapAlloc {
					most = max(most, now.HeapAlloc-before.HeapAlloc)
				}
			}
			t.Logf("%d MB for %d answers, both ends of each connection", most>>20, count)
			if most > memory {
				t.Errorf("%d MB for %d answers, want at most %d", most>>20, count, memory>>20)
			}
		})
	}
}

// slowBody is a request body that sends a part at each read, without an end.
type slowBody struct {
	part  []byte
	pause time.Duration
	sent  atomic.Int64
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	n := copy(p, b.part)
	b.sent.Add(int64(n))
	return n, nil
}

// TestEndlessRequests guards against callers whose requests have no end: they may not pass the limit of bodies or keep an instance
// beyond their deadline.
func TestEndlessRequests(t *testing.T) {
	const limit = 1 << 20
	tests := []struct {
		name        string
		body        *slowBody
		wantRunning int // most requests that the backend server begins to read
		wantStatus  int
	}{
		{"fast", &slowBody{part: bytes.Repeat([]byte("x"), 32<<10), pause: time.Millisecond}, 1, http.StatusRequestEntityTooLarge},
		{"slow", &slowBody{part: []byte("x"), pause: 50 * time.Millisecond}, 0, http.StatusRequestTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var received atomic.Int64
			backend := newFakeBackend(t, func(_ http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				received.Store(n)
			})
			bed := newTestBed(t, route.KindAtMostOnce, nil, backend)
			bed.decoder.catalogue = route.New(route.Content{
				Version: 2, Limits: route.Limits{BodyBytes: limit},
				Routes: []route.Route{{
					Name: "r", Host: "127.0.0.1", Prefix: "/", Kind: route.KindAtMostOnce, Timeout: 3 * time.Second,
					Shares: []route.Share{{Service: "s", Weight: 1}},
				}},
				Services: []route.Service{{Name: "s"}},
				Accounts: []route.Account{{Name: "acme", Keys: []string{"key"}, Priority: route.NoPriority}},
			})
			bed.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 100}}, feed.Knowledge{})
			ctx, cancel := context.WithTimeout(t.Context(), callDeadline+2*endSlack)
			defer cancel()
			req := bed.request(t, "key", "").WithContext(ctx)
			req.Body, req.ContentLength = io.NopCloser(test.body), -1
			begun := time.Now()
			resp, err := http.DefaultTransport.RoundTrip(req)
			if elapsed := time.Since(begun); elapsed > callDeadline+endSlack {
				t.Errorf("the request took %v", elapsed)
			}
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode != test.wantStatus {
					t.Errorf("status %d, want %d", resp.StatusCode, test.wantStatus)
				}
			}
			time.Sleep(100 * time.Millisecond)
			if received.Load() > limit || backend.requestCount() > test.wantRunning {
				t.Errorf("%d requests reached the backend server, with %d bytes; the limit is %d", backend.requestCount(), received.Load(), limit)
			}
		})
	}
}
