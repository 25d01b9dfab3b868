package calls

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/bound"
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

// TestAnswersTakeTheirBudget guards against answers that together take more memory than is set aside for them, against memory that is not
// given back after an answer, and against a dropped answer whose call is said not to have run.
func TestAnswersTakeTheirBudget(t *testing.T) {
	const budget, count = 1 << 20, 20
	form := fakes.EndlessBodies()[0]
	whole := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", budget/4)) }
	tests := []struct {
		name    string
		replica http.HandlerFunc
		dropped bool
	}{
		{"bodies without an end", fakes.NewEndless(form, maxAnswerBodyBytes/2).ServeHTTP, true},
		{"sound answers", whole, false},
	}
	for _, test := range tests {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(test.name+"/"+method, func(t *testing.T) {
				t.Parallel()
				manifest := manifestOf(t, 100, 0, serveHTTP(t, test.replica))
				x := newTestExecutor(t, &fixedDirectory{self: instance("x", 1, "")}, &fixedSource{manifest: manifest}, newNetwork(t))
				answers := bound.NewBudget(budget)
				x.options.Answers, x.sender = answers, newUnpooledSender(nil, answers)
				prefix := x.Issue(testAccount, time.Now())
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				stop := make(chan struct{})
				var watcher, group sync.WaitGroup
				watcher.Go(func() {
					for {
						if held, _ := answers.Usage(); held > budget {
							t.Errorf("%d bytes are held, the budget is %d", held, budget)
						}
						select {
						case <-stop:
							return
						case <-time.After(time.Millisecond):
						}
					}
				})
				handle := func(i int) {
					call := chargeCall(prefix+":"+string(rune('a'+i)), "")
					if method == http.MethodGet {
						call = pond.Call{Account: testAccount, Service: "shop", Method: method, Path: "/status"}
					}
					answer, err := x.Handle(ctx, call)
					answer.Release()
					var refusal *pond.Refusal
					if test.dropped && (!errors.As(err, &refusal) || refusal.Run() == pond.RunNo) || !test.dropped && err != nil {
						t.Errorf("error %v", err)
					}
				}
				for i := range count {
					if test.dropped {
						group.Go(func() { handle(i) })
					} else {
						handle(i)
					}
				}
				group.Wait()
				close(stop)
				watcher.Wait()
				for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
					held, dropped := answers.Usage()
					if held == 0 && (dropped > 0) == test.dropped {
						return
					}
					if time.Now().After(end) {
						t.Fatalf("%d bytes are held at the end; %d answers were dropped", held, dropped)
					}
				}
			})
		}
	}
}
