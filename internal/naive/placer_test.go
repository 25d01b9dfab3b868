package naive

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

type emptySource struct{}

func (emptySource) Current() *spec.Manifest  { return nil }
func (emptySource) Confirmed(time.Time) bool { return true }

// TestPlaceRefuses guards against a placer that fails without a *pond.Refusal, which callers would get as an internal
// error with an unknown run state.
func TestPlaceRefuses(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name string
		ctx  context.Context
		want pond.Reason
	}{
		{name: "no manifest", ctx: t.Context(), want: pond.ReasonNotReady},
		{name: "caller gone", ctx: ended, want: pond.ReasonCanceled},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			placer := NewPlacer(emptySource{}, pond.BackendViewFunc(func(string) bool { return true }))
			_, err := placer.Place(test.ctx, pond.PlaceRequest{Model: "letters"})
			var refusal *pond.Refusal
			if !errors.As(err, &refusal) || refusal.Reason() != test.want || refusal.Run() != pond.RunNo {
				t.Errorf("error %v, want a refusal with %v and not run", err, test.want)
			}
		})
	}
}
