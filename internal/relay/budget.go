package relay

import (
	"sync"
	"time"
)

// budgetBuckets is the number of buckets of the sliding window. Their sum covers up to one window, the newest bucket
// being incomplete.
const budgetBuckets = 10

// budgetShare is the fraction of the fleet's retry budget that is used. The rest is a margin, because each instance
// counts its own requests and retries, in windows that start at other times than those over which the fleet's budget is
// checked.
const budgetShare = 0.7

// RetryBudget bounds the retries of requests to one service. All instances together may send ratio times the requests
// plus slack as retries within a window, so each instance counts its own requests and gets an equal part of the slack.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	services map[string]*budgetWindow
}

// budgetWindow counts the requests and retries of one service in a ring of buckets.
type budgetWindow struct {
	newest   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

// NewRetryBudget returns a budget for one instance from the bounds of the whole fleet.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, services: make(map[string]*budgetWindow)}
}

// RecordRequest counts a caller's request to a service.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOf(service, now)
	w.requests[w.newest%budgetBuckets]++
}

// TryRetry counts a retry and returns true if the budget allows one, given the number of instances in the fleet.
func (b *RetryBudget) TryRetry(service string, instances int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOf(service, now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := budgetShare * (b.ratio*float64(requests) + b.slack/float64(max(instances, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.newest%budgetBuckets]++
	return true
}

// windowOf returns the window of a service after clearing the buckets that have expired.
func (b *RetryBudget) windowOf(service string, now time.Time) *budgetWindow {
	w, ok := b.services[service]
	if !ok {
		w = new(budgetWindow)
		b.services[service] = w
	}
	width := max(b.window/budgetBuckets, time.Millisecond)
	bucket := now.UnixNano() / int64(width)
	for i := max(w.newest+1, bucket-budgetBuckets+1); i <= bucket; i++ {
		w.requests[i%budgetBuckets], w.retries[i%budgetBuckets] = 0, 0
	}
	w.newest = max(w.newest, bucket)
	return w
}
