package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetryBudget guards against more retries in any window than the fleet's bound allows, whatever the arrival times.
func TestRetryBudget(t *testing.T) {
	const ratio, slack, window = 0.2, 60.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		budgets := make([]*RetryBudget, instances)
		for i := range budgets {
			budgets[i] = NewRetryBudget(ratio, slack, window)
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			b.RecordRequest("s", now)
			events = append(events, event{at: now})
			for range rapid.IntRange(0, 3).Draw(t, "repeats") {
				if b.TryRetry("s", instances, now) {
					events = append(events, event{at: now, retry: true})
				}
			}
		}
		for i, first := range events {
			requests, retries := 0, 0
			for _, e := range events[i:] {
				if e.at.Sub(first.at) >= window {
					break
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			before := 0
			for _, e := range events {
				if !e.retry && e.at.Before(first.at) && first.at.Sub(e.at) <= window {
					before++
				}
			}
			if allowed := ratio*float64(max(requests, before)) + slack; float64(retries) > allowed {
				t.Fatalf("%d retries in a window with %d requests, allowed %.1f", retries, requests, allowed)
			}
		}
	})
}
