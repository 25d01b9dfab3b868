package load

import (
	"context"
	"net/http"
	"time"
)

// graceAfterDue is how long a caller waits for an answer after its deadline.
const graceAfterDue = 2 * time.Second

// Limits after which a caller gives up on a request.
const (
	maxRetries = 3
	maxResumes = 20
	// reconnectDelay is the pause before a caller connects again after a failed connection.
	reconnectDelay = 100 * time.Millisecond
)

// caller sends the requests of one run.
type caller struct {
	client      *http.Client
	target      Target
	entryCaches []*entryCache
	recorder    *recorder
	runStart    time.Time
}

func newCaller(client *http.Client, plan Plan, target Target, recorder *recorder, runStart time.Time) *caller {
	c := &caller{client: client, target: target, recorder: recorder, runStart: runStart}
	for account := range plan.Accounts {
		c.entryCaches = append(c.entryCaches, newEntryCache(c.client, account, target.Entries))
	}
	return c
}

func (c *caller) elapsed() time.Duration { return time.Since(c.runStart) }

// send sends one arrival, waits for its answer and records the outcome.
func (c *caller) send(ctx context.Context, arrival Arrival) {
	ctx, cancel := context.WithDeadline(ctx, c.runStart.Add(arrival.Due+graceAfterDue))
	defer cancel()
	o := &outcome{arrival: arrival, sent: c.elapsed()}
	switch arrival.Kind {
	case KindCharge:
		c.sendCharge(ctx, o)
	case KindLookup:
		c.sendLookup(ctx, o)
	default:
		c.sendGeneration(ctx, o)
	}
	o.ended = c.elapsed()
	c.recorder.add(o)
}

// newRequest returns a request with the headers that all requests of an arrival have.
func (c *caller) newRequest(ctx context.Context, o *outcome, method, address, path string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey(o.arrival.Account))
	req.Header.Set("X-Deadline", c.runStart.Add(o.arrival.Due).UTC().Format(time.RFC3339Nano))
	return req, nil
}

// waitToRetry waits for the Retry-After of a refusal. It reports false if no retry is advised, the retry would come
// after the deadline, or no retries are left.
func (c *caller) waitToRetry(ctx context.Context, o *outcome, p problem) bool {
	o.refusals = append(o.refusals, p.Reason)
	o.failure = p.Reason
	if p.retryAfter == 0 || o.retries >= maxRetries || c.elapsed()+p.retryAfter >= o.arrival.Due {
		return false
	}
	o.retries++
	return c.sleep(ctx, o, p.retryAfter)
}

// waitToReconnect waits for reconnectDelay after a failed connection. It reports false if the caller gives up.
func (c *caller) waitToReconnect(ctx context.Context, o *outcome) bool {
	o.failure = reasonConnection
	o.resumes++
	return o.resumes <= maxResumes && c.sleep(ctx, o, reconnectDelay)
}

func (c *caller) sleep(ctx context.Context, o *outcome, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		o.failure = reasonTimeout
		return false
	}
}
