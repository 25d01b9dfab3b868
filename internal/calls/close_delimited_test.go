package calls

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	closeDelimitedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	cutAnswer          = closeDelimitedHead + "half of the "
	wholeAnswer        = closeDelimitedHead + "whole"
)

// ending is what becomes of a scriptedReplica with its first answer.
type ending int

const (
	stays     ending = iota // it goes on to listen
	stopped                 // it listens no more
	closing                 // its listener is open for a moment longer, but what connects is closed
	overtaken               // as closing, without a close in order
)

// scriptedReplica answers the first connection with raw bytes and ends it in order, as a handler does and as the kernel does for a process that is
// killed.
type scriptedReplica struct {
	listener net.Listener
	answer   string
	ending   ending
	runs     atomic.Int32
}

func newScriptedReplica(t *testing.T, answer string, end ending) *scriptedReplica {
	t.Helper()
	r := &scriptedReplica{listener: listen(t), answer: answer, ending: end}
	t.Cleanup(func() { _ = r.listener.Close() }) // It may be closed already.
	go r.serve()
	return r
}

func (r *scriptedReplica) address() string { return r.listener.Addr().String() }

func (r *scriptedReplica) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn.(*net.TCPConn))
	}
}

func (r *scriptedReplica) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	if r.runs.Load() > 0 && r.ending == closing {
		return
	}
	if r.runs.Load() > 0 && r.ending == overtaken {
		_ = conn.SetLinger(0)
		return
	}
	if n, _ := conn.Read(make([]byte, 16<<10)); n == 0 {
		return // Nothing was sent.
	}
	r.runs.Add(1)
	if r.ending == stopped {
		_ = r.listener.Close()
	}
	_, _ = io.WriteString(conn, r.answer) // An error shows in the answer.
}

// TestCutAnswerIsNotWhole guards against the first part of a close-delimited answer that counts as the whole one because the kernel ends the connections
// of a killed replica in order, and against further connections for answers whose end shows in them.
func TestCutAnswerIsNotWhole(t *testing.T) {
	tests := []struct {
		name, method, answer string
		ending               ending
		want                 pond.Outcome
		wantBody             string
		wantDials            int32
	}{
		{"cut, listens no more", "GET", cutAnswer, stopped, pond.OutcomeMaybeSent, "", 2},
		{"cut, about to end", "GET", cutAnswer, closing, pond.OutcomeMaybeSent, "", 2},
		{"cut, about to end, reset", "GET", cutAnswer, overtaken, pond.OutcomeMaybeSent, "", 2},
		{"cut before the body", "GET", closeDelimitedHead, stopped, pond.OutcomeMaybeSent, "", 2},
		{"cut, HTTP/1.0", "POST", strings.Replace(cutAnswer, "/1.1", "/1.0", 1), stopped, pond.OutcomeMaybeSent, "", 2},
		{"whole, lives", "POST", wholeAnswer, stays, pond.OutcomeAnswered, "whole", 2},
		{"length", "POST", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", stopped, pond.OutcomeAnswered, "whole", 1},
		{"chunks", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", stopped, pond.OutcomeAnswered, "whole", 1},
		{"no body allowed", "POST", "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", stopped, pond.OutcomeAnswered, "", 1},
		{"HEAD", "HEAD", closeDelimitedHead, stopped, pond.OutcomeAnswered, "", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			replica := newScriptedReplica(t, test.answer, test.ending)
			var dials atomic.Int32
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				dials.Add(1)
				return new(net.Dialer).DialContext(ctx, network, address)
			}
			answers := bound.NewBudget(1 << 20)
			call := &pond.Call{Method: test.method, Path: "/x"}
			answer, outcome, err := newUnpooledSender(dial, answers).send(t.Context(), replica.address(), call, func() error { return nil })
			if outcome != test.want || (err == nil) != (test.want == pond.OutcomeAnswered) || string(answer.Body) != test.wantBody {
				t.Errorf("outcome %s, body %q, error %v, want outcome %s, body %q", outcome, answer.Body, err, test.want, test.wantBody)
			}
			if got := dials.Load(); got != test.wantDials {
				t.Errorf("%d connections, want %d", got, test.wantDials)
			}
			answer.Release()
			if held, _ := answers.Usage(); held != 0 {
				t.Errorf("%d bytes are held after the answer", held)
			}
		})
	}
}

// TestUnconfirmedEnd guards against whole answers that are lost because the replica could not be asked, and against one that counts as whole although the
// time for its call was over, or the dial showed that the replica had ended, before that was known.
func TestUnconfirmedEnd(t *testing.T) {
	tests := []struct {
		name string
		err  error // of the dial that asks
		ends bool  // the context, while the replica is asked
		want pond.Outcome
	}{
		{"no connection", errors.New("no way to the replica"), false, pond.OutcomeAnswered},
		{"context ends", errors.New("no way to the replica"), true, pond.OutcomeMaybeSent},
		{"no time to connect", syscall.ETIMEDOUT, false, pond.OutcomeAnswered},
		{"refused", syscall.ECONNREFUSED, false, pond.OutcomeMaybeSent},
		{"reset before the dial returns", syscall.ECONNRESET, false, pond.OutcomeMaybeSent},
		{"closed and reset before the dial returns", syscall.EPIPE, false, pond.OutcomeMaybeSent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			replica := newScriptedReplica(t, wholeAnswer, stays)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			dials := 0
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				if dials++; dials == 1 {
					return new(net.Dialer).DialContext(ctx, network, address)
				}
				if test.ends {
					cancel()
				}
				return nil, &net.OpError{Op: "dial", Net: network, Err: test.err}
			}
			call := &pond.Call{Method: "GET", Path: "/x"}
			answer, outcome, err := newUnpooledSender(dial, bound.NewBudget(1<<20)).send(ctx, replica.address(), call, func() error { return nil })
			if outcome != test.want || (err == nil) != (test.want == pond.OutcomeAnswered) || dials != 2 {
				t.Errorf("outcome %s, body %q, error %v, %d connections, want outcome %s and 2", outcome, answer.Body, err, dials, test.want)
			}
		})
	}
}

// TestCutAnswerIsNotRunAgain guards against a second run of a call that may have run, and against a part of an answer that the caller of an idempotent
// call gets although another replica has the whole one.
func TestCutAnswerIsNotRunAgain(t *testing.T) {
	t.Run("at most once", func(t *testing.T) {
		cut := []*scriptedReplica{newScriptedReplica(t, cutAnswer, stopped), newScriptedReplica(t, cutAnswer, stopped)}
		x, _ := startPair(t, manifestOf(t, 100, 0, cut[0].address(), cut[1].address()))
		call := chargeCallWithHeader(x.Issue(testAccount, time.Now())+":1", "body")
		for range 2 {
			_, err := x.Handle(t.Context(), call)
			wantRefusal(t, err, pond.ReasonBackendFailed, pond.RunUnknown)
		}
		if got := cut[0].runs.Load() + cut[1].runs.Load(); got != 1 {
			t.Errorf("the call ran %d times, want once", got)
		}
	})
	t.Run("idempotent", func(t *testing.T) {
		cut, lives := newScriptedReplica(t, cutAnswer, stopped), newScriptedReplica(t, wholeAnswer, stays)
		x, _ := startPair(t, manifestOf(t, 100, 0, cut.address(), lives.address()))
		for range 2 { // Each replica is the first in turn.
			answer, err := x.Handle(t.Context(), pond.Call{Account: testAccount, Service: "shop", Method: http.MethodGet, Path: "/status"})
			if err != nil || string(answer.Body) != "whole" {
				t.Errorf("answer %q, error %v, want the answer of the replica that lives", answer.Body, err)
			}
		}
		if cut.runs.Load() == 0 {
			t.Error("the replica that is killed was not asked")
		}
	})
}
