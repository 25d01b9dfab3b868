package stream

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
)

// cancelAttempts bounds the retries of a cancel; the pool's home cancels what is left over.
const cancelAttempts = 3

// cancels sends cancels in the background.
type cancels struct {
	canceler engine.Canceler
	log      *logrus.Logger
	pending  sync.WaitGroup
}

func (c *cancels) send(address, generation string) {
	c.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
		defer cancel()
		var err error
		for attempt := range cancelAttempts {
			if err = c.canceler.Cancel(ctx, address, generation); err == nil {
				return
			}
			if !sleep(ctx, backoff(attempt)) {
				break
			}
		}
		c.log.WithError(err).WithField("generation", generation).Info("generation could not be canceled")
	})
}

func (c *cancels) wait() { c.pending.Wait() }

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
