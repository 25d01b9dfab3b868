package relay

import (
	"context"
	"time"
)

// stallTimer cancels an attempt whose engine sends nothing for half of the time that is left until the deadline, so that
// the other half remains for another engine, if the run may still be repeated. Its methods do nothing on nil.
type stallTimer struct {
	timer  *time.Timer
	cancel context.CancelFunc
}

// newStallTimer returns a running timer and the context of the attempt.
func newStallTimer(ctx context.Context, deadline time.Time, repeatable func() bool) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(time.Until(deadline)/2, func() {
		if repeatable() {
			cancel()
		}
	})
	return ctx, &stallTimer{timer: timer, cancel: cancel}
}

// reset restarts the timer after an event.
func (t *stallTimer) reset(deadline time.Time) {
	if t != nil {
		t.timer.Reset(time.Until(deadline) / 2)
	}
}

// stop ends the attempt.
func (t *stallTimer) stop() {
	if t != nil {
		t.timer.Stop()
		t.cancel()
	}
}
