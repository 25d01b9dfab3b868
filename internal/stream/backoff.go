package stream

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// backoff returns the delay before the retry with the given number, starting at 0. It is exponential with up to 50%
// jitter, so that streams that broke together do not resume together.
func backoff(retry int) time.Duration {
	limit := min(minBackoff<<min(retry, 10), maxBackoff)
	return limit/2 + rand.N(limit/2)
}
