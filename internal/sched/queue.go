package sched

import (
	"cmp"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// flow holds one account's waiting requests in a queue, as a heap by deadline, then by arrival.
type flow struct {
	waiting []table.Slot
	tokens  float64 // total cost of the waiting requests
	// virtualStart and virtualFinish are the tags of start-time fair queueing, in tokens divided by weight.
	virtualStart  float64
	virtualFinish float64
	queueIndex    int       // index in the queue's list of flows, or -1
	blockedPass   uint64    // the last dispatch pass in which the first request fit nowhere
	servedAt      time.Time // when a request of the flow was last dispatched
}

// queue holds the accounts that have waiting requests of one kind.
type queue struct {
	flows       []table.Slot
	virtualTime float64
	maxFinish   float64 // greatest virtualFinish assigned
	waiting     int
}

// cost returns the tokens for which a request counts in queue lengths, fair shares and the drain rate.
func (s *Scheduler) cost(r *request) float64 {
	if r.demand.tokens > 0 {
		return float64(r.demand.tokens)
	}
	return float64(r.promptTokens + r.predictedOutput)
}

// enqueue adds a waiting request to its account's flow.
func (s *Scheduler) enqueue(slot table.Slot) {
	r := s.requests.At(slot)
	q := &s.queues[r.queue]
	f := &s.accounts.At(r.account).flows[r.queue]
	if len(f.waiting) == 0 {
		f.virtualStart = max(q.virtualTime, f.virtualFinish)
		f.queueIndex = len(q.flows)
		q.flows = append(q.flows, r.account)
	}
	f.tokens += s.cost(r)
	q.waiting++
	r.heapIndex = len(f.waiting)
	f.waiting = append(f.waiting, slot)
	s.siftUp(f, r.heapIndex)
}

// dequeue removes a waiting request from its account's flow.
func (s *Scheduler) dequeue(slot table.Slot) {
	r := s.requests.At(slot)
	q := &s.queues[r.queue]
	f := &s.accounts.At(r.account).flows[r.queue]
	f.tokens -= s.cost(r)
	q.waiting--
	last := len(f.waiting) - 1
	hole := r.heapIndex
	s.swap(f, hole, last)
	f.waiting = f.waiting[:last]
	r.heapIndex = notQueued
	s.dispatchDue = true // The next request of the flow may fit although this one did not.
	if hole < last {
		s.siftUp(f, hole)
		s.siftDown(f, hole)
	}
	if last == 0 {
		f.tokens = 0
		s.removeFlow(q, f, r.queue)
	}
}

func (s *Scheduler) removeFlow(q *queue, f *flow, kind queueKind) {
	last := len(q.flows) - 1
	moved := q.flows[last]
	q.flows[f.queueIndex] = moved
	s.accounts.At(moved).flows[kind].queueIndex = f.queueIndex
	q.flows = q.flows[:last]
	f.queueIndex = -1
	if last == 0 {
		// At the end of a busy period no account keeps a credit or a debt.
		q.virtualTime = q.maxFinish
	}
}

// charge advances the virtual times for a request that is dispatched now.
func (s *Scheduler) charge(r *request, now time.Time) {
	q := &s.queues[r.queue]
	a := s.accounts.At(r.account)
	f := &a.flows[r.queue]
	if len(f.waiting) == 0 {
		f.virtualStart = max(q.virtualTime, f.virtualFinish)
	}
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.virtualFinish = f.virtualStart + s.cost(r)/a.weight
	f.virtualStart, f.servedAt = f.virtualFinish, now
	q.maxFinish = max(q.maxFinish, f.virtualFinish)
	if q.waiting == 0 {
		q.virtualTime = q.maxFinish
	}
}

func (s *Scheduler) swap(f *flow, i, j int) {
	f.waiting[i], f.waiting[j] = f.waiting[j], f.waiting[i]
	s.requests.At(f.waiting[i]).heapIndex = i
	s.requests.At(f.waiting[j]).heapIndex = j
}

func (s *Scheduler) dueBefore(a, b table.Slot) bool {
	ra, rb := s.requests.At(a), s.requests.At(b)
	return cmp.Or(ra.deadline.Compare(rb.deadline), cmp.Compare(ra.serial, rb.serial)) < 0
}

func (s *Scheduler) siftUp(f *flow, i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !s.dueBefore(f.waiting[i], f.waiting[parent]) {
			return
		}
		s.swap(f, i, parent)
		i = parent
	}
}

func (s *Scheduler) siftDown(f *flow, i int) {
	for {
		child := 2*i + 1
		if child >= len(f.waiting) {
			return
		}
		if child+1 < len(f.waiting) && s.dueBefore(f.waiting[child+1], f.waiting[child]) {
			child++
		}
		if !s.dueBefore(f.waiting[child], f.waiting[i]) {
			return
		}
		s.swap(f, i, child)
		i = child
	}
}

// starvedFor returns how long a request has waited since its flow was last served.
//
// The wait of the request alone is not enough: if one account sends twice what the engines can serve, its requests wait
// longer than the aging limit and would go before new requests of all other accounts, which would then wait as long. An
// account that is being served is not starved, whatever its backlog.
func (s *Scheduler) starvedFor(r *request, now time.Time) time.Duration {
	since := r.offeredAt
	if served := s.accounts.At(r.account).flows[r.queue].servedAt; served.After(since) {
		since = served
	}
	return now.Sub(since)
}

// effectivePriority is the request's priority, raised by one for each LongAgingLimit for which its flow is starved.
func (s *Scheduler) effectivePriority(r *request, now time.Time) int {
	if s.off(pond.MechanismAging) {
		return r.priority
	}
	return r.priority + int(s.starvedFor(r, now)/s.policy.LongAgingLimit)
}

// aged reports whether a long request is starved for so long that it goes before short ones.
func (s *Scheduler) aged(r *request, now time.Time) bool {
	return !s.off(pond.MechanismAging) && r.queue == queueLong && s.starvedFor(r, now) >= s.policy.LongAgingLimit
}

// nextHead returns the head of the flow that goes first in a queue, skipping flows blocked in this dispatch pass. With
// onlyAged only heads past the aging limit count.
func (s *Scheduler) nextHead(kind queueKind, onlyAged bool, now time.Time) (table.Slot, bool) {
	best, bestPriority, bestStart := table.None, 0, 0.0
	byAccount := !s.off(pond.MechanismAccountShares)
	for _, account := range s.queues[kind].flows {
		f := &s.accounts.At(account).flows[kind]
		if f.blockedPass == s.dispatchPass {
			continue
		}
		head := f.waiting[0]
		r := s.requests.At(head)
		if onlyAged && !s.aged(r, now) {
			continue
		}
		priority := s.effectivePriority(r, now)
		start := 0.0
		if byAccount {
			start = f.virtualStart
		}
		first := best == table.None || priority > bestPriority ||
			priority == bestPriority &&
				(start < bestStart || start == bestStart && s.dueBefore(head, best))
		if first {
			best, bestPriority, bestStart = head, priority, start
		}
	}
	return best, best != table.None
}
