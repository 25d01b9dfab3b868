package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

// deadlineProtocol states the time left in whole milliseconds, as the platform's protocol does.
type deadlineProtocol struct{ fakeProtocol }

func (p deadlineProtocol) Request(ctx context.Context, in *http.Request, call *Call, d Dispatch, body Body) (*http.Request, error) {
	req, err := p.fakeProtocol.Request(ctx, in, call, d, body)
	if err == nil {
		req.Header.Set("Deadline", strconv.FormatInt(max((time.Until(d.Deadline)+time.Millisecond-1).Milliseconds(), 1), 10))
	}
	return req, err
}

// TestEngineStopsAtDeadline guards against a stream that looks complete because its engine stopped work at the deadline that it was given, and ended
// its connection in order. Requests of a row overlap.
func TestEngineStopsAtDeadline(t *testing.T) {
	const (
		tries = 20
		soon  = 600 * time.Millisecond
		apart = 10 * time.Millisecond
	)
	tests := []struct {
		name    string
		timeout time.Duration // of the route
		wait    time.Duration // of the caller
		off     time.Duration // from the deadline that the engine was given to its end
		plain   bool
		helper  bool
	}{
		// The engine's clock may run ahead, its timers round, or it keeps a reserve.
		{"50 ms early", callerPatience, soon, -50 * time.Millisecond, false, false},
		{"5 ms early", callerPatience, soon, -5 * time.Millisecond, false, false},
		{"1 ms early", callerPatience, soon, -time.Millisecond, false, false},
		// The deadline is rounded up to whole milliseconds, as package platform does, so that this instance's comes first.
		{"at the deadline", callerPatience, soon, 0, false, false},
		{"at the deadline of a route whose caller waits longer", soon, callerPatience, 0, false, false},
		{"at the deadline, through another instance", callerPatience, soon, 0, false, true},
		{"at the deadline, plain service", callerPatience, soon, 0, true, false},
		{"1 ms late", callerPatience, soon, time.Millisecond, false, false},
		{"20 ms late", callerPatience, soon, 20 * time.Millisecond, false, false},
		{"20 ms late, plain service", callerPatience, soon, 20 * time.Millisecond, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go stopAtDeadline(conn, test.off)
				}
			}()
			spec := &route.EngineSpec{EventTokens: 4}
			if test.plain {
				spec = nil
			}
			bed := newTestBed(t, route.KindStream, spec)
			bed.relay.options.Protocol = deadlineProtocol{}
			bed.addServers(listener.Addr().String())
			bed.callerWait = test.wait
			bed.setRouteTimeout(t, test.timeout)
			if test.helper {
				bed.dialThrough(t, startProcess(t, roleHelper).address)
			}
			var complete atomic.Int32
			var callers sync.WaitGroup
			for range tries {
				time.Sleep(apart) // The time on the way to the engine is to be that of a quiet one.
				callers.Go(func() {
					if status, _ := bed.post(t, "key"); status == http.StatusOK {
						complete.Add(1)
					}
				})
			}
			callers.Wait()
			if complete.Load() > 0 {
				t.Errorf("%d of %d streams that their engine broke off look complete", complete.Load(), tries)
			}
		})
	}
}

// stopAtDeadline sends some events and ends the connection in order at the deadline of the request.
func stopAtDeadline(conn net.Conn, off time.Duration) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	began := time.Now()
	_, _ = io.Copy(io.Discard, req.Body)
	millis, _ := strconv.Atoi(req.Header.Get("Deadline"))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCall: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", req.Header.Get("Call"), eventsUntil(processEvents))
	time.Sleep(time.Until(began.Add(time.Duration(millis)*time.Millisecond + off)))
}
