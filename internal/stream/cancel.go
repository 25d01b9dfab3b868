package stream

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
)

// cancelAttempts bounds the retries of a cancel; the pool's home cancels what is left over.
const cancelAttempts = 3

// cancels sends cancels in the background.
type cancels struct {
	canceler engine.Canceler
	observer engine.Observer
	log      *logrus.Logger
	open     Gate
}

// send cancels a generation of which no cursor was given out, so that nobody else can read it.
func (c *cancels) send(address, generation string) {
	c.try(generation, func(ctx context.Context) error { return c.canceler.Cancel(ctx, address, generation) })
}

// sendUnread cancels a generation only if the engine reports that it has no reader. An instance that lost contact with
// this one may have taken the generation without a release, and its reader must not be cut off.
func (c *cancels) sendUnread(address, generation string) {
	if c.observer == nil {
		c.send(address, generation)
		return
	}
	c.try(generation, func(ctx context.Context) error {
		unread, err := c.observer.Unread(ctx, address, generation)
		if err != nil || !unread {
			return err
		}
		return c.canceler.Cancel(ctx, address, generation)
	})
}

func (c *cancels) try(generation string, cancelOnce func(context.Context) error) {
	ctx, leave := c.open.Enter(context.Background())
	go func() {
		defer leave()
		ctx, cancel := context.WithTimeout(ctx, cancelLimit)
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

// sleep waits and reports false if ctx ended first.
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
