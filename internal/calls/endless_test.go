package calls

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestEndlessAnswers guards against an answer without an end of which a call keeps more than its limit, which holds its caller beyond the
// deadline, passes for a whole one, or leaves its connection open.
func TestEndlessAnswers(t *testing.T) {
	const deadline, slack = 4 * time.Second, time.Second
	bursts := []struct {
		name  string
		bytes int
	}{{"fast", 4 << 20}, {"slow", 0}}
	for i, form := range append(fakes.EndlessHeads(), fakes.EndlessBodies()...) {
		isHead := i < len(fakes.EndlessHeads())
		for _, burst := range bursts {
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				t.Run(form.Name+"/"+burst.name+"/"+method, func(t *testing.T) {
					t.Parallel()
					server := fakes.NewEndless(form, burst.bytes)
					x, _ := startPair(t, manifestOf(t, 100, 0, serveHTTP(t, server.ServeHTTP)))
					call := chargeCall(x.Issue(testAccount, time.Now())+":1", "")
					if method == http.MethodGet {
						call = pond.Call{Account: testAccount, Service: "shop", Method: method, Path: "/status"}
					}
					ctx, cancel := context.WithTimeout(t.Context(), deadline)
					defer cancel()
					begun := time.Now()
					_, err := x.Handle(ctx, call)
					elapsed := time.Since(begun)
					if elapsed > deadline+slack {
						t.Errorf("the call took %v", elapsed)
					}
					var refusal *pond.Refusal
					switch {
					case !errors.As(err, &refusal) || refusal.Run() == pond.RunNo:
						t.Errorf("error %v, want a refusal that does not say that the call did not run", err)
					case isHead && (refusal.Reason() != pond.ReasonBackendFailed || elapsed >= deadline):
						t.Errorf("the call ends after %v with %v: the head is not limited", elapsed, err)
					}
					for end := time.Now().Add(slack); server.Open() > 0; time.Sleep(time.Millisecond) {
						if time.Now().After(end) {
							t.Fatal("the connection to the replica stays open")
						}
					}
				})
			}
		}
	}
}
