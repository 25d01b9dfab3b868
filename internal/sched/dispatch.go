package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

const (
	// agingInterval bounds the delay until aging and the end of a pause take effect without any other event.
	agingInterval = 100 * time.Millisecond

	// maxMissesPerPass bounds the accounts per pass and queue whose first request turns out to fit nowhere.
	maxMissesPerPass = 8

	// maxRepredictTokens bounds how much an output may grow before its prediction is updated.
	maxRepredictTokens = 128
)

// dispatch starts waiting requests: aged long ones first, then short ones, then other long ones.
func (s *Scheduler) dispatch(now time.Time) {
	if !s.dispatchDue && now.Before(s.agingAt) || now.Before(s.pausedUntil) {
		return
	}
	s.dispatchDue = false
	s.agingAt = now.Add(agingInterval)
	s.dispatchPass++
	s.dispatchQueue(queueLong, true, now)
	s.dispatchQueue(queueShort, false, now)
	s.dispatchQueue(queueLong, false, now)
	if !now.Before(s.evictAt) {
		s.evictAt = now.Add(evictInterval)
		s.evictIdleAccounts(now)
		s.removeRetired()
	}
}

func (s *Scheduler) dispatchQueue(kind queueKind, onlyAged bool, now time.Time) {
	missed := table.None
	for misses := 0; misses < maxMissesPerPass; {
		slot, ok := s.nextHead(kind, onlyAged, now)
		if !ok {
			return
		}
		r := s.requests.At(slot)
		engine, ok := table.None, false
		if missed == table.None || !s.needsAtLeast(slot, missed) {
			engine, ok = s.chooseEngine(r, now)
		}
		if !ok {
			if r.version == "" && r.adapter == "" && len(r.avoid) == 0 {
				missed = slot
			}
			s.accounts.At(r.account).flows[kind].blockedPass = s.dispatchPass
			misses++
			if onlyAged {
				s.holdEngine(slot)
			}
			continue
		}
		s.decisions = append(s.decisions, s.serve(slot, engine, now))
	}
}

// needsAtLeast reports whether a request certainly fits nowhere because another one of its queue, which may run on any
// engine and needs no more, does not fit. It saves a search over all engines for each account when the pool is full.
func (s *Scheduler) needsAtLeast(slot, missed table.Slot) bool {
	r, other := s.requests.At(slot), s.requests.At(missed)
	return slot != s.hold.request && r.promptTokens >= other.promptTokens &&
		r.demand.tokens >= other.demand.tokens && r.demand.variance >= other.demand.variance
}

// repredict updates the predictions of running requests that have emitted half of the remainder predicted before, or
// maxRepredictTokens.
func (s *Scheduler) repredict(now time.Time) {
	for _, slot := range s.repredictSlots {
		if s.requests.Used(slot) && s.requests.At(slot).repredictDue {
			s.repredictRequest(s.requests.At(slot))
		}
	}
	s.repredictSlots = s.repredictSlots[:0]
}

func (s *Scheduler) repredictRequest(r *request) {
	r.repredictDue = false
	e := s.engines.At(r.engine)
	if r.queue == queueShort && r.emitted > s.policy.ShortMaxTokens {
		// From here on the request counts against the limits of long requests.
		r.queue = queueLong
		e.reservedLong += r.reserved.tokens
		e.runningLong++
	}
	s.estimate(r)
	e.reserve(r, reservation{tokens: -r.reserved.tokens, variance: -r.reserved.variance})
	r.reserved = reservation{tokens: min(r.demand.tokens, e.memory), variance: r.demand.variance}
	e.reserve(r, r.reserved)
	r.setRepredictAt()
}

func (r *request) setRepredictAt() {
	remaining := r.demand.tokens - r.promptTokens - r.emitted
	r.repredictAt = r.emitted + min(max(remaining/2, minOutputTokens), maxRepredictTokens)
}

// expire refuses waiting requests whose deadline has passed. The head of a flow has its earliest deadline.
func (s *Scheduler) expire(now time.Time) {
	for kind := range s.queues {
		for i := len(s.queues[kind].flows) - 1; i >= 0; i-- {
			s.refuseHeads(queueKind(kind), s.queues[kind].flows[i], now, s.expired)
		}
	}
}

// refuseHeads refuses the head of a flow for as long as check refuses it.
func (s *Scheduler) refuseHeads(kind queueKind, account table.Slot, now time.Time, check refuseCheck) {
	for {
		f := &s.accounts.At(account).flows[kind]
		if len(f.waiting) == 0 {
			return
		}
		slot := f.waiting[0]
		reason, retryAt, detail, refused := check(s.requests.At(slot), now)
		if !refused {
			return
		}
		s.decisions = append(s.decisions, s.refuse(slot, reason, retryAt, detail, now))
	}
}
