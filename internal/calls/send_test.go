package calls

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

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/naive"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// fakeReplica is a plain service that counts each call after reading the whole request. The first time it receives a
// call with the body or the query "kill", it closes the connection without an answer.
type fakeReplica struct {
	listener net.Listener
	reset    bool
	// stopAfterKill makes the replica accept no connection after the first that it closed.
	stopAfterKill bool

	mu     sync.Mutex
	runs   map[string]int
	header http.Header
}

func newFakeReplica(t testing.TB, reset bool) *fakeReplica {
	r := &fakeReplica{listener: listen(t), reset: reset, runs: make(map[string]int)}
	t.Cleanup(func() { r.listener.Close() })
	go r.serve()
	return r
}

func (r *fakeReplica) address() string { return r.listener.Addr().String() }

func (r *fakeReplica) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

func (r *fakeReplica) serveConn(conn net.Conn) {
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
		if r.recordRun(req) == 1 && (string(body) == "kill" || req.URL.RawQuery == "kill") {
			if r.stopAfterKill {
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

func (r *fakeReplica) recordRun(req *http.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := req.Header.Get("Idempotency-Key")
	r.runs[key]++
	r.header = req.Header
	return r.runs[key]
}

func (r *fakeReplica) runCount(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[key]
}

// TestConnectionKilled guards against a second run after the replica read the body and closed or reset the connection.
// The naive executor demonstrates the failure: net/http repeats a request with an Idempotency-Key if the connection was
// reused.
func TestConnectionKilled(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newFakeReplica(t, reset)
		other := newFakeReplica(t, reset)
		// With one replica, the warm-up call goes to the same one; with two, a second run could go to the other.
		for _, addresses := range [][]string{{r.address()}, {r.address(), other.address()}} {
			x, _ := startPair(t, manifestOf(t, 100, 0, addresses...))
			// Both executors have the same incarnation, so the suffix keeps their keys apart.
			prefix := fmt.Sprintf("%s:%d replicas, ", x.Issue(testAccount, time.Now()), len(addresses))
			for _, body := range []string{"warm up", "kill", "kill"} {
				call := chargeCallWithHeader(prefix+body, body)
				_, err := x.Handle(t.Context(), call)
				if body == "kill" {
					wantRefusal(t, err, pond.ReasonBackendFailed, pond.RunUnknown)
				}
				if got := r.runCount(call.Key) + other.runCount(call.Key); got != 1 {
					t.Errorf("reset %t: call %q ran %d times, want 1", reset, body, got)
				}
			}
		}

		src := &fixedSource{manifest: manifestOf(t, 100, 0, r.address())}
		naiveExecutor := naive.NewExecutor(src, &fixedDirectory{}, nil)
		for body, want := range map[string]int{"warm up": 1, "kill": 2} {
			if body == "kill" {
				_, _ = naiveExecutor.Handle(t.Context(), chargeCallWithHeader("warm", ""))
			}
			_, _ = naiveExecutor.Handle(t.Context(), chargeCallWithHeader("naive:"+body, body))
			if got := r.runCount("naive:" + body); got != want {
				t.Errorf("reset %t: naive executor ran call %q %d times, want %d", reset, body, got, want)
			}
		}
	}
}

// chargeCallWithHeader returns a call whose header carries the key, as callers send it.
func chargeCallWithHeader(key, body string) pond.Call {
	call := chargeCall(key, body)
	call.Header = http.Header{"Idempotency-Key": {key}}
	return call
}

// TestStoppedReplica guards against "run: no" for an idempotent call that ran, after net/http repeated it on a new
// connection and that connection was refused.
func TestStoppedReplica(t *testing.T) {
	r := newFakeReplica(t, false)
	r.stopAfterKill = true
	x, _ := startPair(t, manifestOf(t, 100, 0, r.address()))
	call := pond.Call{Account: testAccount, Service: "shop", Method: http.MethodGet, Path: "/status"}
	if _, err := x.Handle(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	call.Header = http.Header{"Idempotency-Key": {"second"}}
	call.Path += "?kill"
	_, err := x.Handle(t.Context(), call)
	wantRefusal(t, err, pond.ReasonBackendFailed, pond.RunUnknown)
	if got := r.runCount("second"); got != 1 {
		t.Errorf("the call ran %d times, want 1", got)
	}
}

// TestRefusedConnection guards against a call that is not tried on the next replica after a refused connection, which
// proves that it did not run.
func TestRefusedConnection(t *testing.T) {
	r := newFakeReplica(t, false)
	closed := listen(t)
	closed.Close()
	x, _ := startPair(t, manifestOf(t, 100, 0, closed.Addr().String(), r.address()))
	// The order of the replicas rotates, so that two of four calls try the closed one first.
	for _, suffix := range []string{"1", "2", "3", "4"} {
		call := chargeCallWithHeader(x.Issue(testAccount, time.Now())+":"+suffix, "")
		if _, err := x.Handle(t.Context(), call); err != nil {
			t.Errorf("error %v, want an answer from the other replica", err)
		}
		if got := r.runCount(call.Key); got != 1 {
			t.Errorf("the call ran %d times, want 1", got)
		}
	}
}

// TestCheckBeforeSend guards against bytes that are written before the check, and against an outcome other than
// OutcomeNotSent after a failed check.
func TestCheckBeforeSend(t *testing.T) {
	ln := listen(t)
	defer ln.Close()
	received := make(chan string, 1)
	go func() {
		conn, err := ln.Accept()
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
	call := chargeCall("key", "body")
	_, outcome, err := newUnpooledSender(nil, bound.NewBudget(0)).send(t.Context(), ln.Addr().String(), &call, func() error { return failed })
	if outcome != pond.OutcomeNotSent || !errors.Is(err, failed) {
		t.Errorf("outcome %s, error %v", outcome, err)
	}
	if got := <-received; got != "" {
		t.Errorf("the replica received %q before the check", got)
	}
}

// TestUnconfirmedBeforeSend guards against a call that is sent although the manifest has lost its confirmation since
// the call was recorded, and against a repeat that is not refused once the manifest is confirmed again.
func TestUnconfirmedBeforeSend(t *testing.T) {
	r := newFakeReplica(t, false)
	x, _ := startPair(t, manifestOf(t, 100, 0, r.address()))
	src := x.options.Source.(*fixedSource)
	checks := 0
	x.balancer.backends = pond.BackendViewFunc(func(string) bool { return true })
	x.options.Backends = pond.BackendViewFunc(func(string) bool {
		// The first use is the check directly before the send.
		checks++
		src.unconfirmed.Store(true)
		return true
	})
	call := chargeCallWithHeader(x.Issue(testAccount, time.Now())+":1", "")
	for range 2 {
		_, err := x.Handle(t.Context(), call)
		wantRefusal(t, err, pond.ReasonNotReady, pond.RunNo)
		src.unconfirmed.Store(false)
	}
	if got := r.runCount(call.Key); got != 0 || checks != 1 {
		t.Errorf("the call ran %d times after %d checks, want none after 1", got, checks)
	}
}

// TestTooLarge guards against an answer that exhausts memory, and against a refusal that does not report the run.
func TestTooLarge(t *testing.T) {
	address := serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("a", maxAnswerBodyBytes+1))
	})
	x, _ := startPair(t, manifestOf(t, 100, 0, address))
	_, err := x.Handle(t.Context(), chargeCallWithHeader(x.Issue(testAccount, time.Now())+":1", ""))
	wantRefusal(t, err, pond.ReasonTooLarge, pond.RunYes)
}

// TestAnswerBytes guards against stored answers that exhaust memory.
func TestAnswerBytes(t *testing.T) {
	r := newFakeReplica(t, false)
	x, _ := startPair(t, manifestOf(t, 100, 0, r.address()))
	x.machine.maxAnswerBytes = 1
	prefix := x.Issue(testAccount, time.Now())
	if _, err := x.Handle(t.Context(), chargeCallWithHeader(prefix+":1", "")); err != nil {
		t.Fatal(err)
	}
	_, err := x.Handle(t.Context(), chargeCallWithHeader(prefix+":2", ""))
	wantRefusal(t, err, pond.ReasonTableFull, pond.RunNo)
}

// TestNewRequest guards against credentials and hop-by-hop fields that reach a plain service, and against a path that
// changes the address.
func TestNewRequest(t *testing.T) {
	call := chargeCall("key", "body")
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

// serveRaw answers each connection with raw bytes once it has read a part of the request, and then resets it.
func serveRaw(t *testing.T, answer string) (address string) {
	ln := listen(t)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 16<<10))
				_, _ = io.WriteString(conn, answer)
				time.Sleep(50 * time.Millisecond) // The caller's writes fill the buffers.
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestAnswerOfReplicaInTrouble guards against bytes that are no answer, or a part of one, that count as the answer of a call, and against an answer
// with a length that is lost because its replica did not read the whole request.
func TestAnswerOfReplicaInTrouble(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct {
		name, answer string
		long         bool // the request
		want         pond.Outcome
	}{
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 38\r\n\r\n" + whole, false, pond.OutcomeMaybeSent},
		{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nhi", false, pond.OutcomeMaybeSent},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nhi", false, pond.OutcomeMaybeSent},
		{"blank before a name", "HTTP/1.1 200 OK\r\nX-First: 1\r\n Content-Length: 2\r\n\r\nhi", false, pond.OutcomeMaybeSent},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Field: 1\r\nContent-Length: 2\r\n\r\nhi", false, pond.OutcomeMaybeSent},
		{"whole", whole, false, pond.OutcomeAnswered},
		{"no length, during the upload", "HTTP/1.1 200 OK\r\n\r\nhi", true, pond.OutcomeMaybeSent},
		{"whole, during the upload", whole, true, pond.OutcomeAnswered},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, test.answer)
			call := chargeCall("key", "body")
			if test.long {
				call.Body = make([]byte, 12<<20)
			}
			answer, outcome, err := newUnpooledSender(nil, bound.NewBudget(1<<20)).send(t.Context(), address, &call, func() error { return nil })
			if outcome != test.want || (err == nil) != (test.want == pond.OutcomeAnswered) {
				t.Errorf("outcome %s, status %d, body %q, error %v, want outcome %s", outcome, answer.Status, answer.Body, err, test.want)
			}
		})
	}
}
