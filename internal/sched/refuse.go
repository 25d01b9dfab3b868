package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	minRetry = 500 * time.Millisecond
	maxRetry = time.Minute

	// maxPrediction bounds a predicted wait, so that a drain rate near zero does not overflow a duration.
	maxPrediction = time.Hour

	// waitMargin is the factor by which a predicted wait has to fit into the time left. Of 225 requests that were refused in
	// a burst, 182 were refused within a second with 1, 195 with 1.25 and 210 with 1.5; as many were served.
	waitMargin = 1.5

	// retryJitter spreads retries over this share of the advised delay, so that they do not arrive together.
	retryJitter = 0.25
)

const (
	detailExpired    = "the deadline passed before an engine had room"
	detailHopeless   = "the answer cannot be finished before its deadline"
	detailTooLarge   = "the prompt exceeds the memory of every engine"
	detailRetries    = "the retry budget is used up"
	detailNoEngine   = "no engine that can serve the request accepts work"
	detailOverloaded = "the predicted wait exceeds the deadline"
)

type refuseCheck func(r *request, now time.Time) (reason pond.Reason, retryAt time.Time, detail string, refused bool)

func refusal(id string, origin uint64, reason pond.Reason, retryAt time.Time, detail string) Decision {
	return Decision{ID: id, Origin: origin, Verdict: VerdictRefuse, Reason: reason, RetryAt: retryAt, Detail: detail}
}

// refuse ends a request that does not run.
func (s *Scheduler) refuse(slot table.Slot, reason pond.Reason, retryAt time.Time, detail string, now time.Time) Decision {
	r := s.requests.At(slot)
	decision := refusal(r.id, r.origin, reason, retryAt, detail)
	if r.position != notQueued {
		s.dequeue(slot)
	}
	s.forget(slot, now)
	return decision
}

func (s *Scheduler) expired(r *request, now time.Time) (pond.Reason, time.Time, string, bool) {
	if now.Before(r.deadline) {
		return 0, time.Time{}, "", false
	}
	return pond.ReasonDeadline, s.retryAfterQueue(r, now), detailExpired, true
}

func (s *Scheduler) hopeless(r *request, now time.Time) (pond.Reason, time.Time, string, bool) {
	if !s.servable(r) {
		return pond.ReasonNoBackend, s.jitter(now, minRetry), detailNoEngine, true
	}
	if !now.Add(r.service).After(r.deadline) {
		return 0, time.Time{}, "", false
	}
	return pond.ReasonDeadline, s.retryAfterQueue(r, now), detailHopeless, true
}

// refuseHopeless refuses waiting requests that can no longer finish in time or that no engine can serve any more.
func (s *Scheduler) refuseHopeless(now time.Time) {
	if now.Before(s.refuseAt) {
		return
	}
	s.refuseAt = now.Add(refuseInterval)
	for kind := range s.queues {
		for i := len(s.queues[kind].flows) - 1; i >= 0; i-- {
			s.refuseHeads(queueKind(kind), s.queues[kind].flows[i], now, s.hopeless)
		}
	}
}

// lateness returns the time after which a request could start to wait with a predicted answer before its deadline; zero if
// it can now.
//
// The load pattern: callers ask for four times what the engines can serve. Requests are taken whenever the prediction is low
// for a moment, so that the queue is filled beyond what can be served, and the excess would wait until it is hopeless. The
// margin keeps them from waiting in vain; as many are served.
func (s *Scheduler) lateness(r *request, now time.Time) time.Duration {
	late := waitMargin*float64(s.predictedWait(r, now)) + float64(r.service-r.deadline.Sub(now))
	return max(time.Duration(late/waitMargin), 0) // Each second takes a second off the wait, and off the time left.
}

// retryAfterQueue returns the time when the work that waits now is predicted to be done.
func (s *Scheduler) retryAfterQueue(r *request, now time.Time) time.Time {
	return s.jitter(now, s.predictedWait(r, now))
}

func (s *Scheduler) jitter(now time.Time, delay time.Duration) time.Time {
	delay = min(max(delay, minRetry), maxRetry)
	return now.Add(delay + time.Duration(retryJitter*s.random.Float64()*float64(delay)))
}

// predictedWait is the work that goes before the request and does not fit now, divided by the drain rate.
func (s *Scheduler) predictedWait(r *request, now time.Time) time.Duration {
	gap := s.medians.gap
	if gap == 0 {
		gap = s.policy.TokenGap
	}
	free := s.free(r, now)
	rate := s.drain.rate(r.queue, free, gap)
	if rate <= 0 {
		return 0
	}
	seconds := min(max(s.workAhead(r, now)-free, 0)/rate, maxPrediction.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// free returns the tokens that the engines which may run the request have left for its kind of work. Without it, a
// scheduler that is paused while its engines are idle would refuse everything. A free place in a batch counts for no
// more than the mean cost of a running request.
func (s *Scheduler) free(r *request, now time.Time) float64 {
	mean := s.drain.meanCost(s.cost(r))
	sum := 0.0
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		if e.trust != trustNormal || !e.serves(s.engines.Key(slot), r) {
			continue
		}
		tokens, places := e.usable-e.reserved-e.margin, e.maxRunning-e.running
		if r.queue == queueLong {
			tokens, places = min(tokens, e.longLimit-e.reservedLong-e.margin), min(places, e.maxLong-e.runningLong)
		}
		sum += max(min(float64(tokens-e.externalAt(now)), float64(places)*mean), 0)
	}
	return sum
}

// workAhead returns the tokens served before the request under fair queueing, its own included: its account's whole
// flow, and of each other account as much as its weight allows in the meantime.
func (s *Scheduler) workAhead(r *request, now time.Time) float64 {
	a := s.accounts.At(r.account)
	own := a.flows[r.queue].tokens
	if r.position == notQueued {
		own += s.cost(r)
	}
	sum := own
	for _, slot := range s.queues[r.queue].flows {
		if slot == r.account {
			continue
		}
		other := s.accounts.At(slot)
		f := &other.flows[r.queue]
		switch head := s.requests.At(f.waiting[0]); {
		case s.urgency(head, now) > r.priority:
			sum += f.tokens
		case s.urgency(head, now) == r.priority:
			sum += min(f.tokens, own*other.weight/a.weight)
		}
	}
	if r.queue == queueLong {
		for _, slot := range s.queues[queueShort].flows {
			sum += s.accounts.At(slot).flows[queueShort].tokens
		}
	}
	return sum
}
