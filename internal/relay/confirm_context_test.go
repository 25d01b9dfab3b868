package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/peer"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestCreatedOfEarlierAttempts guards against a sound stream that is broken off because the caller had some of the run's events from an earlier attempt,
// which the engine counts among those that it has made.
func TestCreatedOfEarlierAttempts(t *testing.T) {
	const position, sent, total = 5, 8, 10
	stop, eventsSent := make(chan struct{}), make(chan struct{})
	var once sync.Once
	source := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		for id := position + 1; id <= sent; id++ {
			writeEvent(w, id)
		}
		once.Do(func() { close(eventsSent) })
		<-stop
		resetConnection(w, nil)
	})
	target := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		for id := sent + 1; id <= total; id++ {
			writeEvent(w, id)
		}
	})
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, source, target)
	bed.setResumable(4*time.Second, 2)
	bed.copier.onLast, bed.copier.created = func() { close(stop) }, sent
	go func() {
		<-eventsSent
		bed.placer.moves <- pond.Move{From: "b0", Backend: "b1"}
	}()
	if status, body := bed.postAt(t, "key", fmt.Sprint(position)); status != http.StatusOK {
		t.Errorf("status %d, body %q, want a whole answer", status, body)
	}
}

// TestEndWithinShortDeadline guards against answers without a length that are refused although their server was done at once, because the caller waits
// less than deadlineMargin.
func TestEndWithinShortDeadline(t *testing.T) {
	for _, kind := range []route.Kind{route.KindAtMostOnce, route.KindIdempotent, route.KindStream} {
		t.Run(kind.String(), func(t *testing.T) {
			server := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Call"), eventsUntil(3))
				_ = buffer.Flush()
			})
			bed := newTestBed(t, kind, nil, server)
			bed.callerWait = 45 * time.Millisecond
			whole, statuses := 0, []int(nil)
			for range 10 {
				status, _ := bed.post(t, "key")
				if statuses = append(statuses, status); status == http.StatusOK {
					whole++
				}
			}
			if whole < 5 {
				t.Errorf("%d of 10 answers are whole, statuses %v", whole, statuses)
			}
		})
	}
}

// blockingWriter is a caller that takes no more bytes until a time.
type blockingWriter struct {
	*httptest.ResponseRecorder
	until time.Time
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Until(w.until))
	return w.ResponseRecorder.Write(p)
}

// TestReadyAnswerIsDeliveredLate guards against a whole answer with chunks that is broken off because its caller took the events slowly.
func TestReadyAnswerIsDeliveredLate(t *testing.T) {
	tests := []struct {
		name   string
		engine *route.EngineSpec
	}{{"generation", &route.EngineSpec{EventTokens: 4}}, {"stream of a plain service", nil}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, eventsUntil(3))
			})
			bed := newTestBed(t, route.KindStream, test.engine, server)
			const wait = 300 * time.Millisecond
			deadline := time.Now().Add(wait)
			in := bed.request(t, "key", "")
			w := &blockingWriter{httptest.NewRecorder(), deadline.Add(100 * time.Millisecond)}
			cut := false
			func() {
				defer func() { cut = recover() != nil }()
				bed.relay.Serve(w, in, &Call{
					ID: "call-1", Host: "127.0.0.1", Path: "/x", Key: "key", Deadline: deadline, Prompt: &Prompt{Tokens: 100, MaxOutput: 200},
				})
			}()
			if cut || !bytes.Equal(w.Body.Bytes(), []byte(eventsUntil(3))) {
				t.Errorf("cut %v, body %q", cut, w.Body.String())
			}
		})
	}
}

// TestHeadWithoutLength guards against a response to HEAD, which has no body, that is refused because its end is not confirmed.
func TestHeadWithoutLength(t *testing.T) {
	server := newFakeBackend(t, func(http.ResponseWriter, *http.Request) {})
	bed := newTestBed(t, route.KindIdempotent, nil, server)
	bed.relay.options.ConfirmEnd = func(context.Context, route.Backend) error { return errors.New("not running") }
	in := bed.request(t, "key", "")
	in.Method, in.Body, in.ContentLength = http.MethodHead, nil, 0
	resp, err := http.DefaultTransport.RoundTrip(in)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestConfirmationIsNoNewRequest guards against a question to a server whose connection has ended that helpers refuse as a new request to one that leaves,
// or that has to fit the work of the request which is over.
func TestConfirmationIsNoNewRequest(t *testing.T) {
	server := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Call"), eventsUntil(3))
		_ = buffer.Flush()
	})
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, server)
	asked, fits := false, true
	bed.relay.options.ConfirmEnd = func(ctx context.Context, _ route.Backend) error {
		asked, fits = true, reach.FitOf(ctx)(time.Now().Add(time.Millisecond))
		return nil
	}
	if status, _ := bed.post(t, "key"); status != http.StatusOK || !asked || !fits {
		t.Errorf("status %d, asked %v, a helper that ends soon will do: %v", status, asked, fits)
	}
}

// TestEndThroughHelperOfLeavingServer guards against a sound stream that is broken off because the question to its server is declined by the helper: the
// server leaves, and takes no new requests.
func TestEndThroughHelperOfLeavingServer(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		t.Run(fmt.Sprint("leaves ", leaving), func(t *testing.T) { endThroughHelper(t, leaving) })
	}
}

// endThroughHelper plays a stream that only a helper carries.
func endThroughHelper(t *testing.T, leaving bool) {
	var leaves atomic.Bool
	server := newFakeBackend(t, func(w http.ResponseWriter, r *http.Request) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		leaves.Store(leaving)
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nCall: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("Call"), eventsUntil(3))
		_ = buffer.Flush()
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	network, err := peer.NewNetwork([]byte(peerSecret))
	if err != nil {
		t.Fatal(err)
	}
	defer network.Close()
	no := func(string) bool { return false }
	helper := network.NewServer()
	carrier := reach.NewServer(newReach(network), reach.ServerOptions{
		Known: func(string) bool { return true }, Leaving: no, EndsAt: func() time.Time { return time.Time{} },
		Leaves:     func(string) (string, bool) { return "b0", leaves.Load() },
		Evacuated:  func(string) (string, bool) { return "", false },
		BackingOff: no, ApplySignal: func(string, fleet.Signal) {},
	})
	if err := peerpb.DRPCRegisterTunnels(helper.Mux(), carrier); err != nil {
		t.Fatal(err)
	}
	go func() { _ = helper.Serve(t.Context(), listener) }()
	bed := newTestBed(t, route.KindStream, &route.EngineSpec{EventTokens: 4}, server)
	bed.dialThrough(t, listener.Addr().String())
	instance := pond.NewInstance(pond.InstanceRef{ID: "helper"}, pond.InstanceLive, "", listener.Addr().String(), "north-a", "north").WithCapacity(100)
	dialer := reach.NewDialer(reach.Options{
		SourceIP: "192.0.2.1", // No direct connection succeeds.
		Servers:  func() []string { return nil }, Helpers: func(string) []reach.Helper { return []reach.Helper{reach.NewHelper(instance, 1)} },
		Connect:       func(address string) drpc.Conn { return network.Conn(address) },
		RecordLeaving: func(string, string) bool { return false }, Clock: time.Now,
		Results: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "results"}, []string{"result"}), Log: quietLog(),
	})
	defer dialer.Close()
	bed.relay.options.ConfirmEnd = func(ctx context.Context, backend route.Backend) error {
		conn, err := dialer.DialContext(reach.PreferHelper(ctx), "tcp", backend.Address)
		if err != nil {
			t.Logf("the question: %v", err)
			return err
		}
		return conn.Close()
	}
	if status, body := bed.post(t, "key"); status != http.StatusOK {
		t.Errorf("status %d, body %q", status, body)
	}
}
