package relay

import (
	"sync"
	"time"
)

// budgetSlots is the number of parts of the window; the sum covers between one window and one part more.
const budgetSlots = 10

// budgetShare is the part of the fleet's retry budget that is used. Instances count requests and repeats for themselves
// and their windows differ from the observer's, so the rest is kept free.
const budgetShare = 0.7

// RetryBudget bounds how often requests to one service are sent again. All instances together may send ratio times the
// requests plus slack within a window, so each one takes its own requests and an equal part of the slack.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	services map[string]*budgetWindow
}

type budgetWindow struct {
	period   int64
	requests [budgetSlots]int
	repeats  [budgetSlots]int
}

// NewRetryBudget returns a budget for the given bounds of the whole fleet.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, services: make(map[string]*budgetWindow)}
}

// Request counts a caller's request to a service.
func (b *RetryBudget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	w.requests[w.period%budgetSlots]++
}

// Take counts a repeat if the budget allows one, with the given number of instances in the fleet.
func (b *RetryBudget) Take(service string, instances int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	requests, repeats := 0, 0
	for i := range budgetSlots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := budgetShare * (b.ratio*float64(requests) + b.slack/float64(max(instances, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.period%budgetSlots]++
	return true
}

// at returns the window of a service with the parts that have passed cleared.
func (b *RetryBudget) at(service string, now time.Time) *budgetWindow {
	w, ok := b.services[service]
	if !ok {
		w = new(budgetWindow)
		b.services[service] = w
	}
	width := max(b.window/budgetSlots, time.Millisecond)
	period := now.UnixNano() / int64(width)
	for i := max(w.period+1, period-budgetSlots+1); i <= period; i++ {
		w.requests[i%budgetSlots], w.repeats[i%budgetSlots] = 0, 0
	}
	w.period = max(w.period, period)
	return w
}
