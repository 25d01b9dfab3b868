package front

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestDrainAnswersCalls guards against a call whose connection is closed without an answer, because its service is silent when the drain limit
// of its instance ends.
func TestDrainAnswersCalls(t *testing.T) {
	options := testOptions(t, 1)
	entered := make(chan struct{})
	options.Executor = pond.HandlerFunc[pond.Call, pond.Answer](func(ctx context.Context, _ pond.Call) (pond.Answer, error) {
		close(entered)
		<-ctx.Done()
		return pond.Answer{}, pond.NewRefusal(pond.ReasonCanceled, pond.RunUnknown, time.Time{}, "the caller gave up")
	})
	f := New(options)
	server := httptest.NewServer(f)
	defer server.Close()
	type outcome struct {
		status int
		run    string
		err    error
	}
	answered := make(chan outcome, 1)
	go func() {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/services/portal/confirm", strings.NewReader("{}"))
		if err != nil {
			answered <- outcome{err: err}
			return
		}
		req.Header.Set("Authorization", "Bearer "+testAPIKey)
		req.Header.Set("Idempotency-Key", "p:1")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			answered <- outcome{err: err}
			return
		}
		defer resp.Body.Close()
		var body problem
		err = json.NewDecoder(resp.Body).Decode(&body)
		answered <- outcome{resp.StatusCode, body.Run, err}
	}()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := f.Drain(ctx); err == nil {
		t.Error("Drain returned no error although a call was in progress at its end")
	}
	// The instance closes all connections after the drain.
	shutdownCtx, cancelShutdown := context.WithTimeout(t.Context(), time.Second)
	defer cancelShutdown()
	_ = server.Config.Shutdown(shutdownCtx)
	_ = server.Config.Close()
	if got := <-answered; got.err != nil || got.status != http.StatusBadGateway || got.run != pond.RunUnknown.String() {
		t.Errorf("status %d, run %q, error %v; want status %d, run %q", got.status, got.run, got.err, http.StatusBadGateway, pond.RunUnknown)
	}
}

// TestBodyArrivesDuringDrain guards against a request that is accepted because it began before the drain, is sent on after it and is cut when the
// connections are closed.
func TestBodyArrivesDuringDrain(t *testing.T) {
	tests := []struct{ name, head, body string }{
		{"call", "GET /services/portal/schedule/1", "{}"},
		{"call that may run once", "POST /services/portal/confirm", "{}"},
		{"generation", "POST /v1/completions", `{"model":"letters","prompt":"hello","stream":true}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			options := testOptions(t, 1)
			var sent atomic.Int32
			options.Executor = pond.HandlerFunc[pond.Call, pond.Answer](func(context.Context, pond.Call) (pond.Answer, error) {
				sent.Add(1)
				return pond.Answer{Status: http.StatusOK}, nil
			})
			place := options.Placer
			options.Placer = pond.PlacerFunc(func(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
				sent.Add(1)
				return place.Place(ctx, req)
			})
			var draining atomic.Bool
			asked := make(chan struct{}, 10)
			options.Accepting = func() bool {
				defer func() { asked <- struct{}{} }()
				return !draining.Load()
			}
			f := New(options)
			server := httptest.NewServer(f)
			defer server.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			half := len(test.body) / 2
			if _, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nIdempotency-Key: p:1\r\nContent-Length: %d\r\n\r\n%s",
				test.head, testAPIKey, len(test.body), test.body[:half]); err != nil {
				t.Fatal(err)
			}
			<-asked
			draining.Store(true)
			if err := f.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprint(conn, test.body[half:]); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable || sent.Load() > 0 {
				t.Errorf("status %d, sent on %d times", resp.StatusCode, sent.Load())
			}
		})
	}
}
