package load

import (
	"context"
	"net/http"
	"time"
)

// graceAfterDue is how long a caller waits for an answer that is already late.
const graceAfterDue = 2 * time.Second

// Limits of a caller's patience with one request.
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
	directories []*directory
	recorder    *recorder
	begin       time.Time
}

func newCaller(client *http.Client, plan Plan, target Target, recorder *recorder, begin time.Time) *caller {
	c := &caller{client: client, target: target, recorder: recorder, begin: begin}
	for account := range plan.Accounts {
		c.directories = append(c.directories, newDirectory(c.client, account, target.Entries))
	}
	return c
}

func (c *caller) since() time.Duration { return time.Since(c.begin) }

// serve sends one arrival and records what became of it.
func (c *caller) serve(ctx context.Context, arrival Arrival) {
	ctx, cancel := context.WithDeadline(ctx, c.begin.Add(arrival.Due+graceAfterDue))
	defer cancel()
	o := &outcome{arrival: arrival, sent: c.since()}
	switch arrival.Kind {
	case KindCharge:
		c.charge(ctx, o)
	case KindLookup:
		c.lookup(ctx, o)
	default:
		c.generate(ctx, o)
	}
	o.ended = c.since()
	c.recorder.add(o)
}

// request returns a request with the headers that all requests of an arrival have.
func (c *caller) request(ctx context.Context, o *outcome, method, address, path string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(o.arrival.Account))
	req.Header.Set("X-Deadline", c.begin.Add(o.arrival.Due).UTC().Format(time.RFC3339Nano))
	return req, nil
}

// retry waits as a refusal advises. It reports false if no retry is advised, useful or left.
func (c *caller) retry(ctx context.Context, o *outcome, p problem) bool {
	o.refusals = append(o.refusals, p.Reason)
	o.failure = p.Reason
	if p.retryAfter == 0 || o.retries >= maxRetries || c.since()+p.retryAfter >= o.arrival.Due {
		return false
	}
	o.retries++
	return c.wait(ctx, o, p.retryAfter)
}

// reconnect waits a moment after a failed connection. It reports false if the caller gives up.
func (c *caller) reconnect(ctx context.Context, o *outcome) bool {
	o.failure = gaveUpConnection
	o.resumes++
	return o.resumes <= maxResumes && c.wait(ctx, o, reconnectDelay)
}

func (c *caller) wait(ctx context.Context, o *outcome, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		o.failure = gaveUpTimeout
		return false
	}
}
