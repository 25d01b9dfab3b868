package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
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
