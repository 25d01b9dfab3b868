package once

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/naive"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// replica is a plain service that counts each call when it has read the whole request. It closes the connection without
// an answer the first time that it sees a call with the body or the query "kill".
type replica struct {
	listener net.Listener
	reset    bool
	// stops makes the replica accept no connection after the first that it closed.
	stops bool

	mu     sync.Mutex
	runs   map[string]int
	header http.Header
}

func newReplica(t testing.TB, reset bool) *replica {
	r := &replica{listener: listen(t), reset: reset, runs: make(map[string]int)}
	t.Cleanup(func() { r.listener.Close() })
	go r.serve()
	return r
}

func (r *replica) address() string { return r.listener.Addr().String() }

func (r *replica) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *replica) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if r.count(req) == 1 && (string(body) == "kill" || req.URL.RawQuery == "kill") {
			if r.stops {
				r.listener.Close()
			}
			if r.reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"); err != nil {
			return
		}
	}
}

func (r *replica) count(req *http.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := req.Header.Get("Idempotency-Key")
	r.runs[key]++
	r.header = req.Header
	return r.runs[key]
}

func (r *replica) ran(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[key]
}

// TestConnectionKilled guards against a second run after the replica closed or reset the connection when it had read the
// body. The naive executor shows the fault: net/http repeats a request with an Idempotency-Key if the connection was
// used before.
func TestConnectionKilled(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newReplica(t, reset)
		other := newReplica(t, reset)
		// With one replica the warm-up uses the same one; with two there is another to which a second run could go.
		for _, addresses := range [][]string{{r.address()}, {r.address(), other.address()}} {
			x, _ := pair(t, manifestOf(t, 100, 0, addresses...))
			// Both executors have the same incarnation, so the suffix keeps their keys apart.
			prefix := fmt.Sprintf("%s:%d replicas, ", x.Issue(testAccount, time.Now()), len(addresses))
			for _, body := range []string{"warm up", "kill", "kill"} {
				call := keyed(prefix+body, body)
				_, err := x.Handle(t.Context(), call)
				if body == "kill" {
					wantRefusal(t, err, pond.ReasonBackendFailed, pond.RunUnknown)
				}
				if got := r.ran(call.Key) + other.ran(call.Key); got != 1 {
					t.Errorf("reset %t: call %q ran %d times, want 1", reset, body, got)
				}
			}
		}

		src := &source{manifest: manifestOf(t, 100, 0, r.address())}
		calls := naive.NewCalls(src, &directory{}, nil)
		for body, want := range map[string]int{"warm up": 1, "kill": 2} {
			if body == "kill" {
				_, _ = calls.Handle(t.Context(), keyed("warm", ""))
			}
			_, _ = calls.Handle(t.Context(), keyed("naive:"+body, body))
			if got := r.ran("naive:" + body); got != want {
				t.Errorf("reset %t: naive executor ran call %q %d times, the fault that is shown needs %d", reset, body, got, want)
			}
		}
	}
}

// keyed returns a call whose header carries the key, as callers send it.
func keyed(key, body string) pond.Call {
	call := charge(key, body)
	call.Header = http.Header{"Idempotency-Key": {key}}
	return call
}

// TestStoppedReplica guards against denying a lookup because the dial of its repetition by net/http was refused.
func TestStoppedReplica(t *testing.T) {
	r := newReplica(t, false)
	r.stops = true
	x, _ := pair(t, manifestOf(t, 100, 0, r.address()))
	call := pond.Call{Account: testAccount, Service: "shop", Method: http.MethodGet, Path: "/status"}
	if _, err := x.Handle(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	call.Header = http.Header{"Idempotency-Key": {"second"}}
	call.Path += "?kill"
	_, err := x.Handle(t.Context(), call)
	wantRefusal(t, err, pond.ReasonBackendFailed, pond.RunUnknown)
	if got := r.ran("second"); got != 1 {
		t.Errorf("the call ran %d times, want 1", got)
	}
}

// TestRefusedConnection guards against giving up although a refused connection proves that the call did not run.
func TestRefusedConnection(t *testing.T) {
	r := newReplica(t, false)
	closed := listen(t)
	closed.Close()
	x, _ := pair(t, manifestOf(t, 100, 0, closed.Addr().String(), r.address()))
	// The order of the replicas rotates, so that two of four calls try the closed one first.
	for _, suffix := range []string{"1", "2", "3", "4"} {
		call := keyed(x.Issue(testAccount, time.Now())+":"+suffix, "")
		if _, err := x.Handle(t.Context(), call); err != nil {
			t.Errorf("error %v, want an answer of the other replica", err)
		}
		if got := r.ran(call.Key); got != 1 {
			t.Errorf("the call ran %d times, want 1", got)
		}
	}
}

// TestCheck guards against bytes that leave before the check, and against an outcome other than OutcomeNotSent after it
// failed.
func TestCheck(t *testing.T) {
	listener := listen(t)
	defer listener.Close()
	received := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			received <- err.Error()
			return
		}
		defer conn.Close()
		buffer := make([]byte, 1)
		n, _ := conn.Read(buffer)
		received <- string(buffer[:n])
	}()
	failed := errors.New("check failed")
	call := charge("key", "body")
	_, outcome, err := newSingleSender().send(t.Context(), listener.Addr().String(), &call, func() error { return failed })
	if outcome != pond.OutcomeNotSent || !errors.Is(err, failed) {
		t.Errorf("outcome %s, error %v", outcome, err)
	}
	if got := <-received; got != "" {
		t.Errorf("the replica received %q before the check", got)
	}
}

// TestUnconfirmedBeforeSend guards against a call that is sent although the confirmation was lost after the call was
// recorded, and against a refusal that does not hold for a repeat after the confirmation returned.
func TestUnconfirmedBeforeSend(t *testing.T) {
	r := newReplica(t, false)
	x, _ := pair(t, manifestOf(t, 100, 0, r.address()))
	src := x.options.Source.(*source)
	looks := 0
	x.replicas.view = pond.BackendViewFunc(func(string) bool { return true })
	x.options.Backends = pond.BackendViewFunc(func(string) bool {
		// The first look is the check directly before the send.
		looks++
		src.unconfirmed.Store(true)
		return true
	})
	call := keyed(x.Issue(testAccount, time.Now())+":1", "")
	for range 2 {
		_, err := x.Handle(t.Context(), call)
		wantRefusal(t, err, pond.ReasonNotReady, pond.RunNo)
		src.unconfirmed.Store(false)
	}
	if got := r.ran(call.Key); got != 0 || looks != 1 {
		t.Errorf("the call ran %d times after %d looks, want none after 1", got, looks)
	}
}

// TestTooLarge guards against an answer that exhausts memory, and against denying that its call ran.
func TestTooLarge(t *testing.T) {
	address := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("a", maxAnswerBodyBytes+1))
	})
	x, _ := pair(t, manifestOf(t, 100, 0, address))
	_, err := x.Handle(t.Context(), keyed(x.Issue(testAccount, time.Now())+":1", ""))
	wantRefusal(t, err, pond.ReasonTooLarge, pond.RunYes)
}

// TestAnswerBytes guards against kept answers that exhaust memory.
func TestAnswerBytes(t *testing.T) {
	r := newReplica(t, false)
	x, _ := pair(t, manifestOf(t, 100, 0, r.address()))
	x.core.maxAnswerBytes = 1
	prefix := x.Issue(testAccount, time.Now())
	if _, err := x.Handle(t.Context(), keyed(prefix+":1", "")); err != nil {
		t.Fatal(err)
	}
	_, err := x.Handle(t.Context(), keyed(prefix+":2", ""))
	wantRefusal(t, err, pond.ReasonTableFull, pond.RunNo)
}

// TestRequest guards against credentials and fields of one connection that reach a plain service, and against a path that
// changes the address.
func TestRequest(t *testing.T) {
	call := charge("key", "body")
	call.Header = http.Header{
		"Authorization": {"Bearer secret"}, "Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"},
		"Transfer-Encoding": {"chunked"}, "Idempotency-Key": {"key"}, "X-Other": {"2"},
	}
	req, err := newRequest(context.Background(), "127.0.0.1:1", &call)
	if err != nil {
		t.Fatal(err)
	}
	if len(req.Header) != 2 || req.Header.Get("Idempotency-Key") != "key" || req.Header.Get("X-Other") != "2" {
		t.Errorf("header %v, want Idempotency-Key and X-Other", req.Header)
	}
	if req.GetBody != nil {
		t.Error("the request has GetBody, so that a transport could repeat it")
	}
	call.Path = "@127.0.0.1:2/charge"
	if _, err := newRequest(context.Background(), "127.0.0.1:1", &call); err == nil {
		t.Error("a path without a leading slash was accepted")
	}
}
