package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// yieldInterval is the time between two checks of which waiting requests yield.
	yieldInterval = 50 * time.Millisecond

	// prefillAllowance is the time that is allowed for the prompt of a request that starts now, as a multiple of the time to read it: half of
	// the engines read another prompt first.
	prefillAllowance = 1.5

	// maxYield is the wait, as a multiple of the target, up to which a late request yields. Callers of streams leave after four times the target.
	maxYield = 3
)

// updateYielding finds out which waiting requests yield to others: those whose first event would come after their target even if they started
// now. They go on when no request of their priority waits that can still be on time, or when their callers are about to leave.
//
// It answers a burst beyond the capacity. In the order of arrival each request waits for the whole backlog, so that once the backlog has grown
// beyond the target all requests are late, until long after the burst. With late requests put back, the same number is served, and more of them
// on time.
func (s *Scheduler) updateYielding(now time.Time) {
	if s.off(pond.MechanismOnTimeFirst) || s.waiting() == 0 || now.Before(s.yieldAt) {
		return
	}
	s.yieldAt = now.Add(yieldInterval)
	perSecond := s.rates.prefillPerSecond()
	for slot := table.Slot(0); slot < s.requests.Cap(); slot++ {
		if !s.requests.Used(slot) {
			continue
		}
		r := s.requests.At(slot)
		if !r.waiting() || r.heapIndex == notQueued || r.target <= 0 {
			continue
		}
		if yields := r.yieldsAt(now, perSecond); yields != r.yields {
			s.setYields(slot, yields)
		}
		if !r.yields {
			continue
		}
		// The head of a flow is not the request with the earliest deadline if that one yields.
		for _, check := range [...]refuseCheck{s.expired, s.infeasible} {
			if reason, retryAt, detail, refused := check(r, now); refused {
				s.decisions = append(s.decisions, s.refuse(slot, reason, retryAt, detail, now))
				break
			}
		}
	}
}

// yieldsAt reports whether a waiting request is late for its target and its caller is not about to leave.
func (r *request) yieldsAt(now time.Time, prefillPerSecond float64) bool {
	prefill := time.Duration(prefillAllowance * float64(r.promptTokens) / prefillPerSecond * float64(time.Second))
	waited := now.Sub(r.offeredAt)
	return waited+prefill > r.target && waited < maxYield*r.target
}

// setYields changes whether a waiting request yields, and its place in its flow with it.
func (s *Scheduler) setYields(slot table.Slot, yields bool) {
	r := s.requests.At(slot)
	f := &s.accounts.At(r.account).flows[r.queue]
	r.yields, r.yielded = yields, r.yielded || yields
	s.siftUp(f, r.heapIndex)
	s.siftDown(f, r.heapIndex)
	s.dispatchDue = true
}

// compareYields orders requests that yield after the others.
func compareYields(a, b *request) int {
	switch {
	case a.yields == b.yields:
		return 0
	case a.yields:
		return 1
	default:
		return -1
	}
}
