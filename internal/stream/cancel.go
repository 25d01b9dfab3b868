package stream

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
)

// cancelAttempts bounds the attempts of a cancel. The home of the pool, the instance that schedules its generations,
// cancels those that remain.
const cancelAttempts = 3

// cancelSender cancels generations in the background.
type cancelSender struct {
	canceler engine.Canceler
	observer engine.ReaderChecker
	log      *logrus.Logger
	inFlight WorkTracker
}

// send cancels a generation that nobody else can read, because no cursor was issued for it.
func (c *cancelSender) send(address, generation string) {
	c.retryInBackground(generation, func(ctx context.Context) error { return c.canceler.Cancel(ctx, address, generation) })
}

// sendIfUnread cancels a generation only if the engine reports that it has no reader. An instance that lost contact
// with this one may have taken over the generation without a release, and its reader must not be interrupted.
func (c *cancelSender) sendIfUnread(address, generation string) {
	if c.observer == nil {
		c.send(address, generation)
		return
	}
	c.retryInBackground(generation, func(ctx context.Context) error {
		unread, err := c.observer.Unread(ctx, address, generation)
		if err != nil || !unread {
			return err
		}
		return c.canceler.Cancel(ctx, address, generation)
	})
}

func (c *cancelSender) retryInBackground(generation string, cancelOnce func(context.Context) error) {
	ctx, leave := c.inFlight.Enter(context.Background())
	go func() {
		defer leave()
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		var err error
		for attempt := range cancelAttempts {
			if err = cancelOnce(ctx); err == nil {
				return
			}
			if !sleep(ctx, backoff(attempt)) {
				break
			}
		}
		c.log.WithError(err).WithField("generation", generation).Info("generation could not be canceled")
	}()
}

// sleep waits and returns false if ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
