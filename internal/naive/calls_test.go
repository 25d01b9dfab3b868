package naive

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/fakes"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestEndlessAnswers guards against an answer without an end of which the naive executor keeps more than its limit.
func TestEndlessAnswers(t *testing.T) {
	for _, form := range append(fakes.EndlessHeads(), fakes.EndlessBodies()...) {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(fakes.NewEndless(form, 4<<20))
			defer server.Close()
			executor := NewExecutor(nil, nil, nil)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			call := pond.Call{Service: "shop", Method: http.MethodGet, Path: "/"}
			if _, err := executor.send(ctx, server.Listener.Addr().String(), call); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("error %v, want one about the size of the answer", err)
			}
		})
	}
}
