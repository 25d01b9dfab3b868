package peerpb

import "time"

// RetryAfter returns the milliseconds from now until a retry is useful, at least 1, or 0 for the zero time. Instances
// send each other a duration instead of a time, because their clocks differ.
func RetryAfter(retryAt, now time.Time) int64 {
	if retryAt.IsZero() {
		return 0
	}
	return max(retryAt.Sub(now).Milliseconds(), 1)
}

// RetryAt is the inverse of RetryAfter at the receiver.
func RetryAt(milli int64, now time.Time) time.Time {
	if milli <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(milli) * time.Millisecond)
}
