package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// startScriptedServer accepts one connection and sends the next of the given raw responses to each request on it. At an
// empty one it closes the listener and the connection without a response.
func startScriptedServer(t *testing.T, responses ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		serveResponses(listener, responses)
	}()
	t.Cleanup(func() { _ = listener.Close(); <-done })
	return listener.Addr().String()
}

func serveResponses(listener net.Listener, responses []string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		if !answerNext(conn, reader, response) {
			return
		}
		if response == "" {
			_ = listener.Close()
			return
		}
	}
}

func asEngineError(t *testing.T, err error) *Error {
	t.Helper()
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("got error %v, want *Error", err)
	}
	return failure
}

const (
	response200    = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	notFound404    = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	conflict409    = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	leaving503     = "HTTP/1.1 503 Service Unavailable\r\nX-Leaving: true\r\nContent-Length: 0\r\n\r\n"
	unavailable503 = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// emptyResponse returns a raw response with a status and no body.
func emptyResponse(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// TestStartOutcome guards against reporting a start as not sent or not run although it may have reached the engine, and
// against the opposite error, which would prevent a safe retry.
func TestStartOutcome(t *testing.T) {
	tests := []struct {
		name     string
		response string
		outcome  pond.Outcome
		notRun   bool
		gone     bool
		leaving  bool
	}{
		{name: "connection closed without a response", response: "", outcome: pond.OutcomeMaybeSent},
		{name: "response cut short", response: "HTTP/1.1 200", outcome: pond.OutcomeMaybeSent},
		{name: "leaving", response: leaving503, outcome: pond.OutcomeAnswered, notRun: true, leaving: true},
		{name: "unavailable", response: unavailable503, outcome: pond.OutcomeAnswered},
		{name: "exists", response: conflict409, outcome: pond.OutcomeAnswered},
		{name: "unknown", response: notFound404, outcome: pond.OutcomeAnswered, notRun: true, gone: true},
		{name: "invalid", response: emptyResponse(http.StatusBadRequest), outcome: pond.OutcomeAnswered, notRun: true},
		{name: "too large", response: emptyResponse(http.StatusRequestEntityTooLarge), outcome: pond.OutcomeAnswered, notRun: true},
		{name: "too many", response: emptyResponse(http.StatusTooManyRequests), outcome: pond.OutcomeAnswered, notRun: true},
		{name: "timeout", response: emptyResponse(http.StatusRequestTimeout), outcome: pond.OutcomeAnswered},
		{name: "misdirected", response: emptyResponse(http.StatusMisdirectedRequest), outcome: pond.OutcomeAnswered},
		{name: "failed", response: emptyResponse(http.StatusInternalServerError), outcome: pond.OutcomeAnswered},
		{name: "bad gateway", response: emptyResponse(http.StatusBadGateway), outcome: pond.OutcomeAnswered},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := NewClient(nil)
			_, err := client.Start(t.Context(), startScriptedServer(t, test.response), Generation{Generation: "g"})
			failure := asEngineError(t, err)
			if failure.Outcome() != test.outcome || failure.NotRun() != test.notRun || failure.Gone() != test.gone || failure.Leaving() != test.leaving {
				t.Errorf("failure %v: outcome %v, not run %t, gone %t, leaving %t", failure, failure.Outcome(), failure.NotRun(), failure.Gone(), failure.Leaving())
			}
		})
	}
}

// TestRefusalOfEarlierGeneration guards against a generation that is taken for refused, and so started elsewhere too, because the engine wrote
// the refusal of an earlier one once more on a connection in use again.
func TestRefusalOfEarlierGeneration(t *testing.T) {
	for _, refusal := range []string{leaving503, notFound404} {
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
				go answerInTurn(conn, response200, refusal)
			}
		}()
		client := NewClient(nil)
		for i := range 3 {
			events, err := client.Start(t.Context(), listener.Addr().String(), Generation{Generation: "g"})
			if err != nil {
				t.Fatalf("generation %d, which ran: %v", i, err)
			}
			if _, err := events.Next(); !errors.Is(err, io.EOF) {
				t.Fatal(err)
			}
			_ = events.Close()
		}
	}
}

// answerInTurn sends the next of the raw responses to each request on a connection.
func answerInTurn(conn net.Conn, responses ...string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		if !answerNext(conn, reader, response) {
			return
		}
	}
}

// answerNext reads a request and writes a raw response. It returns false at the end of the connection.
func answerNext(conn net.Conn, reader *bufio.Reader, response string) bool {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, response)
	return true
}

// TestDialRefused guards against a refused connection that is not taken as proof that nothing was sent.
func TestDialRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = NewClient(nil).Start(t.Context(), address, Generation{Generation: "g"})
	if failure := asEngineError(t, err); failure.Outcome() != pond.OutcomeNotSent || !failure.NotRun() || !failure.Gone() {
		t.Errorf("failure %v, want not sent", failure)
	}
}

// TestOutcomeAfterRedial guards against a request that is reported as not sent although it was written to a pooled
// connection. After that connection fails, net/http dials again and returns the error of this dial.
func TestOutcomeAfterRedial(t *testing.T) {
	tests := []struct {
		name   string
		method string
		key    string
	}{
		{name: "GET", method: http.MethodGet},
		{name: "POST with a key", method: http.MethodPost, key: "k"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			transport := NewTransport(nil)
			defer transport.Close()
			address := startScriptedServer(t, response200, "")
			send := func() error {
				req, err := http.NewRequestWithContext(t.Context(), test.method, "http://"+address+"/", nil)
				if err != nil {
					t.Fatal(err)
				}
				if test.key != "" {
					req.Header.Set("Idempotency-Key", test.key)
				}
				resp, err := transport.Do(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				return err
			}
			if err := send(); err != nil {
				t.Fatal(err)
			}
			if failure := asEngineError(t, send()); failure.Outcome() != pond.OutcomeMaybeSent {
				t.Errorf("failure %v, want outcome maybeSent", failure)
			}
		})
	}
}

// TestCanceledDial guards against reporting a request on a pooled connection as not sent because its context ended.
func TestCanceledDial(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := NewClient(nil).Load(ctx, startScriptedServer(t, response200))
	if failure := asEngineError(t, err); failure.Outcome() != pond.OutcomeMaybeSent || failure.Gone() {
		t.Errorf("failure %v, want outcome maybeSent", failure)
	}
}

// TestRequestWithoutConnection guards against a request in doubt, which its caller may not repeat, although it was never
// sent: its time ended while the connection was being made.
func TestRequestWithoutConnection(t *testing.T) {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:1/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = NewUnpooledTransport(dial).Send(req)
	if failure := asEngineError(t, err); failure.Outcome() != pond.OutcomeNotSent {
		t.Errorf("failure %v, want outcome notSent", failure)
	}
}

// TestEvents guards against events that are split, merged or decoded wrongly.
func TestEvents(t *testing.T) {
	long := strings.Repeat("x", 3*eventBufferBytes)
	tests := []struct {
		name string
		body string
		want []Event
		err  bool
	}{
		{
			name: "tokens and end",
			body: "id: 0\ndata: {\"generation\":\"g\",\"offset\":0,\"text\":\"a\"}\n\nid: 1\ndata: {\"generation\":\"g\",\"offset\":1,\"text\":\"\\n\"}\n\nevent: done\ndata: {\"generation\":\"g\",\"tokens\":2}\n\n",
			want: []Event{{Generation: "g", Text: "a"}, {Generation: "g", Offset: 1, Text: "\n"}, {Kind: EventDone, Generation: "g", Tokens: 2}},
		},
		{
			name: "comments, unknown events and line ends",
			body: ": hello\r\n\r\nevent: ping\r\ndata: {}\r\n\r\ndata:{\"generation\":\"g\",\"offset\":7}\r\n\r\n",
			want: []Event{{Generation: "g", Offset: 7}},
		},
		{
			name: "longer than the buffer",
			body: "data: {\"generation\":\"g\",\"text\":\"" + long + "\"}\n\n",
			want: []Event{{Generation: "g", Text: long}},
		},
		{
			name: "superseded and error",
			body: "event: superseded\ndata: {\"generation\":\"g\"}\n\nevent: error\ndata: {\"generation\":\"g\"}\n\n",
			want: []Event{{Kind: EventSuperseded, Generation: "g"}, {Kind: EventError, Generation: "g"}},
		},
		{name: "stream ends inside an event", body: "data: {\"generation\":\"g\",\"offset\":0,\"text\":\"a\"}\n"},
		{name: "not JSON", body: "data: [\n\n", err: true},
		{name: "endless line", body: "data: " + strings.Repeat("x", 2*maxEventBytes), err: true},
		{name: "line above 64 KB", body: "data: {\"text\":\"" + strings.Repeat("x", 64<<10) + "\"}\n\n", err: true},
		{name: "lines above 64 KB", body: strings.Repeat("data: [0,\n", 32<<10), err: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := newEventReader(io.NopCloser(strings.NewReader(test.body)))
			for _, want := range test.want {
				if got, err := reader.Next(); err != nil || got != want {
					t.Fatalf("event %+v, error %v, want %+v", got, err, want)
				}
			}
			if _, err := reader.Next(); err == nil || test.err == errors.Is(err, io.EOF) {
				t.Errorf("error at the end: %v", err)
			}
		})
	}
}

// TestRedirectIsNoSuccess guards against an engine's answer that counts as a success although its status is not 2xx.
func TestRedirectIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "302 Found", "304 Not Modified"} {
		t.Run(status, func(t *testing.T) {
			address := startScriptedServer(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
			if err := NewClient(nil).Cancel(t.Context(), address, "g"); err == nil {
				t.Error("a generation counts as canceled")
			}
		})
	}
}
