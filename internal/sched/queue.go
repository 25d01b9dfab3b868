package sched

import (
	"cmp"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

// flow is one account's part of a queue. Waiting requests form a heap by deadline, then by arrival.
type flow struct {
	waiting []table.Slot
	tokens  float64 // predicted tokens of the waiting requests
	// start and finish are the virtual times of start-time fair queueing, in tokens divided by weight.
	start    float64
	finish   float64
	position int // index in the queue's list of flows, or -1
	blocked  uint64
	servedAt time.Time // when a request of the flow was served last
}

// queue holds the accounts that have waiting requests of one kind.
type queue struct {
	flows   []table.Slot
	virtual float64
	latest  float64 // greatest finish time given out
	waiting int
}

// cost is what a request takes up in the units in which free room is counted.
func (s *Scheduler) cost(r *request) float64 {
	if r.want.tokens > 0 {
		return float64(r.want.tokens)
	}
	return float64(r.prompt + r.predicted)
}

// enqueue adds a waiting request to its account's flow.
func (s *Scheduler) enqueue(slot table.Slot) {
	r := s.requests.At(slot)
	q := &s.queues[r.queue]
	f := &s.accounts.At(r.account).flows[r.queue]
	if len(f.waiting) == 0 {
		f.start = max(q.virtual, f.finish)
		f.position = len(q.flows)
		q.flows = append(q.flows, r.account)
	}
	f.tokens += s.cost(r)
	q.waiting++
	r.position = len(f.waiting)
	f.waiting = append(f.waiting, slot)
	s.up(f, r.position)
}

// dequeue removes a waiting request from its account's flow.
func (s *Scheduler) dequeue(slot table.Slot) {
	r := s.requests.At(slot)
	q := &s.queues[r.queue]
	f := &s.accounts.At(r.account).flows[r.queue]
	f.tokens -= s.cost(r)
	q.waiting--
	last := len(f.waiting) - 1
	hole := r.position
	s.swap(f, hole, last)
	f.waiting = f.waiting[:last]
	r.position = notQueued
	s.dispatchDue = true // The next request of the flow may fit where this one did not.
	if hole < last {
		s.up(f, hole)
		s.down(f, hole)
	}
	if last == 0 {
		f.tokens = 0
		s.removeFlow(q, f, r.queue)
	}
}

func (s *Scheduler) removeFlow(q *queue, f *flow, kind queueKind) {
	last := len(q.flows) - 1
	moved := q.flows[last]
	q.flows[f.position] = moved
	s.accounts.At(moved).flows[kind].position = f.position
	q.flows = q.flows[:last]
	f.position = -1
	if last == 0 {
		// The end of a busy period: no account keeps an advantage or a debt from it.
		q.virtual = q.latest
	}
}

// charge advances the virtual times for a request that is served now.
func (s *Scheduler) charge(r *request, now time.Time) {
	q := &s.queues[r.queue]
	a := s.accounts.At(r.account)
	f := &a.flows[r.queue]
	if len(f.waiting) == 0 {
		f.start = max(q.virtual, f.finish)
	}
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + s.cost(r)/a.weight
	f.start, f.servedAt = f.finish, now
	q.latest = max(q.latest, f.finish)
	if q.waiting == 0 {
		q.virtual = q.latest
	}
}

func (s *Scheduler) swap(f *flow, i, j int) {
	f.waiting[i], f.waiting[j] = f.waiting[j], f.waiting[i]
	s.requests.At(f.waiting[i]).position = i
	s.requests.At(f.waiting[j]).position = j
}

func (s *Scheduler) earlier(a, b table.Slot) bool {
	ra, rb := s.requests.At(a), s.requests.At(b)
	return cmp.Or(ra.deadline.Compare(rb.deadline), cmp.Compare(ra.serial, rb.serial)) < 0
}

func (s *Scheduler) up(f *flow, i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !s.earlier(f.waiting[i], f.waiting[parent]) {
			return
		}
		s.swap(f, i, parent)
		i = parent
	}
}

func (s *Scheduler) down(f *flow, i int) {
	for {
		child := 2*i + 1
		if child >= len(f.waiting) {
			return
		}
		if child+1 < len(f.waiting) && s.earlier(f.waiting[child+1], f.waiting[child]) {
			child++
		}
		if !s.earlier(f.waiting[child], f.waiting[i]) {
			return
		}
		s.swap(f, i, child)
		i = child
	}
}

// starved returns the time for which the first request of a flow has waited while the flow got nothing.
//
// The load pattern: one account asks for twice what the engines can serve, so that its requests wait for longer than the
// aging limit. By their own wait they would go before the fresh requests of all other accounts, which then wait as long.
// But an account that is served all the while is not starved, whatever its backlog.
func (s *Scheduler) starved(r *request, now time.Time) time.Duration {
	since := r.offeredAt
	if served := s.accounts.At(r.account).flows[r.queue].servedAt; served.After(since) {
		since = served
	}
	return now.Sub(since)
}

// urgency is the account's priority, raised by one for each aging limit for which the account is starved.
func (s *Scheduler) urgency(r *request, now time.Time) int {
	return r.priority + int(s.starved(r, now)/s.policy.LongAgingLimit)
}

// aged reports whether long work is starved for so long that it goes before short work.
func (s *Scheduler) aged(r *request, now time.Time) bool {
	return r.queue == queueLong && s.starved(r, now) >= s.policy.LongAgingLimit
}

// next returns the head of the flow that goes first in a queue, leaving out flows blocked in this pass. With onlyAged
// only heads past the aging limit count.
func (s *Scheduler) next(kind queueKind, onlyAged bool, now time.Time) (table.Slot, bool) {
	best, bestUrgency, bestStart := table.None, 0, 0.0
	for _, account := range s.queues[kind].flows {
		f := &s.accounts.At(account).flows[kind]
		if f.blocked == s.pass {
			continue
		}
		head := f.waiting[0]
		r := s.requests.At(head)
		if onlyAged && !s.aged(r, now) {
			continue
		}
		urgency := s.urgency(r, now)
		first := best == table.None || urgency > bestUrgency ||
			urgency == bestUrgency && (f.start < bestStart || f.start == bestStart && s.earlier(head, best))
		if first {
			best, bestUrgency, bestStart = head, urgency, f.start
		}
	}
	return best, best != table.None
}
