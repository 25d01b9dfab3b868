package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

const (
	// agingInterval bounds how late aging and the end of a pause take effect without any other event.
	agingInterval = 100 * time.Millisecond

	// maxMisses bounds the accounts that are tried in one pass after one whose first request fits nowhere.
	maxMisses = 8

	// maxRegrowTokens bounds by how much an output may grow before its prediction is made again.
	maxRegrowTokens = 128
)

// dispatch serves waiting requests: aged long work first, then short, then long.
func (s *Scheduler) dispatch(now time.Time) {
	if !s.dispatchDue && now.Before(s.agingAt) || now.Before(s.pausedUntil) {
		return
	}
	s.dispatchDue = false
	s.agingAt = now.Add(agingInterval)
	s.pass++
	s.dispatchQueue(queueLong, true, now)
	s.dispatchQueue(queueShort, false, now)
	s.dispatchQueue(queueLong, false, now)
	if !now.Before(s.forgetAt) {
		s.forgetAt = now.Add(forgetInterval)
		s.forgetIdle(now)
		s.dropRetired()
	}
}

func (s *Scheduler) dispatchQueue(kind queueKind, onlyAged bool, now time.Time) {
	missed := table.None
	for misses := 0; misses < maxMisses; {
		slot, ok := s.next(kind, onlyAged, now)
		if !ok {
			return
		}
		r := s.requests.At(slot)
		engine, ok := table.None, false
		if missed == table.None || !s.harder(slot, missed) {
			engine, ok = s.choose(r, now)
		}
		if !ok {
			if r.version == "" && r.adapter == "" && len(r.avoid) == 0 {
				missed = slot
			}
			s.accounts.At(r.account).flows[kind].blocked = s.pass
			misses++
			if onlyAged {
				s.holdEngine(slot)
			}
			continue
		}
		s.decisions = append(s.decisions, s.serve(slot, engine, now))
	}
}

// harder reports whether a request certainly fits nowhere because another one of its queue, which may run on any engine
// and needs no more, does not fit. It saves a search over all engines for each account of a full pool.
func (s *Scheduler) harder(slot, missed table.Slot) bool {
	r, other := s.requests.At(slot), s.requests.At(missed)
	return slot != s.hold.request && r.prompt >= other.prompt &&
		r.want.tokens >= other.want.tokens && r.want.variance >= other.want.variance
}

// grow predicts again for running requests that have shown more than half of what was predicted to remain.
func (s *Scheduler) grow(now time.Time) {
	for _, slot := range s.grown {
		if s.requests.Used(slot) && s.requests.At(slot).growing {
			s.growRequest(s.requests.At(slot))
		}
	}
	s.grown = s.grown[:0]
}

func (s *Scheduler) growRequest(r *request) {
	r.growing = false
	e := s.engines.At(r.engine)
	if r.queue == queueShort && r.shown > s.policy.ShortMaxTokens {
		// From here on the output is long work and counts against the share of long work.
		r.queue = queueLong
		e.reservedLong += r.held.tokens
		e.runningLong++
	}
	s.estimate(r)
	e.hold(r, claim{tokens: -r.held.tokens, variance: -r.held.variance})
	r.held = claim{tokens: min(r.want.tokens, e.memory), variance: r.want.variance}
	e.hold(r, r.held)
	r.setRegrow()
}

func (r *request) setRegrow() {
	remaining := r.want.tokens - r.prompt - r.shown
	r.regrowAt = r.shown + min(max(remaining/2, minOutputTokens), maxRegrowTokens)
}

// expire refuses waiting requests whose deadline has passed. The first request of a flow has its earliest deadline.
func (s *Scheduler) expire(now time.Time) {
	for kind := range s.queues {
		for i := len(s.queues[kind].flows) - 1; i >= 0; i-- {
			s.refuseHeads(queueKind(kind), s.queues[kind].flows[i], now, s.expired)
		}
	}
}

// refuseHeads refuses the first requests of a flow as long as check returns a decision.
func (s *Scheduler) refuseHeads(kind queueKind, account table.Slot, now time.Time, check refuseCheck) {
	for {
		f := &s.accounts.At(account).flows[kind]
		if len(f.waiting) == 0 {
			return
		}
		slot := f.waiting[0]
		reason, retryAt, detail, ok := check(s.requests.At(slot), now)
		if !ok {
			return
		}
		s.decisions = append(s.decisions, s.refuse(slot, reason, retryAt, detail, now))
	}
}
