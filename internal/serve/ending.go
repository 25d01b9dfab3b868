package serve

import (
	"context"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/drain"
)

// lateAnswerTime is the time after the exit for final answers that are not out by then, as after a pause of the process. It is less than
// exitReserve.
const lateAnswerTime = 400 * time.Millisecond

// work is what an instance that stops still has to do.
type work struct {
	// exitAt returns when connections are closed. It may become earlier.
	exitAt func() time.Time
	// open returns the number of requests in progress and carried connections, and unanswered that of requests whose response has not begun.
	open, unanswered func() int
	// refuse makes the relay refuse all further requests.
	refuse func()
}

// end waits until nothing is open or the final answers are due. From then on all requests are refused and none is read, because a busy machine may
// have no time left to answer it. What is open may end until the exit, when cut is called and all connections are closed.
func (w work) end(ctx context.Context, front *frontServer, cut func()) error {
	pollUntil(ctx, func() (time.Time, bool) { return drain.NewPlan(w.exitAt()).AnswerBy(), w.open() > 0 })
	w.refuse()
	frontCtx, closeAll := context.WithCancelCause(ctx)
	defer closeAll(nil)
	go func() {
		pollUntil(frontCtx, func() (time.Time, bool) { return w.exitAt(), true })
		if w.unanswered() > 0 {
			pollUntil(frontCtx, func() (time.Time, bool) { return w.exitAt().Add(lateAnswerTime), w.unanswered() > 0 })
			sleepUntil(frontCtx, time.Now().Add(drainPollInterval)) // The last answers are written.
		}
		cut()
		closeAll(context.DeadlineExceeded)
	}()
	err := front.shutdown(frontCtx)
	pollUntil(ctx, func() (time.Time, bool) { return w.exitAt(), w.open() > 0 })
	return err
}

// pollUntil waits until next returns a time that has passed, or false.
func pollUntil(ctx context.Context, next func() (until time.Time, more bool)) {
	for ctx.Err() == nil {
		until, more := next()
		if !more || !time.Now().Before(until) {
			return
		}
		if poll := time.Now().Add(drainPollInterval); poll.Before(until) {
			until = poll
		}
		sleepUntil(ctx, until)
	}
}
