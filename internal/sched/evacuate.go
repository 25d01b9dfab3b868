package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

const (
	// leaveNotice is the time from the notice that an engine leaves until its runs may be lost. Engines of the present
	// deployments are gone 1.5 to 2.1 s after the notice.
	leaveNotice = 1400 * time.Millisecond

	// moveLimit bounds one move; then it counts as failed, because the instance that carries it out may be gone.
	moveLimit = 3 * time.Second

	// moveRetry is the time after a failed move before the next one of the same request.
	moveRetry = 100 * time.Millisecond

	// otherPlaceFactor is the load factor of a target in another place: copies there take twice as long.
	otherPlaceFactor = 1.5

	// incomingLoad is added to the load of a target for each copy that it is getting, because they share its link.
	incomingLoad = 0.3

	// outputWeight is the cost of a generated token in tokens of a prompt. An engine reads 14 tokens of a prompt in the
	// time of a millisecond and makes one token in 7 ms for each of about 10 running requests.
	outputWeight = 10
)

// evacuate moves running requests away from engines that accept no more work.
//
// The load pattern: a sixth of the engines is taken away every few seconds at a notice of one and a half to two seconds,
// on calm days too, and each runs several long outputs of many seconds. The copies of one engine share its link, so one
// request moves at a time: the memory of the next one would delay the last part of the present one, which its caller
// waits for. Requests that end in time by themselves go last; among the others, those with the most work to lose for the
// time of their copy go first.
func (s *Scheduler) evacuate(now time.Time) {
	if s.policy.CopyTime == 0 {
		return
	}
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		if e.accepting && !e.retired {
			e.leavingAt = time.Time{}
			continue
		}
		if e.leavingAt.IsZero() {
			e.leavingAt = now
		}
		if e.running > 0 && e.outgoing == 0 {
			s.moveNext(slot, now)
		}
	}
	s.expireMoves(now)
}

// moveNext starts the move of the request that loses most on a leaving engine.
func (s *Scheduler) moveNext(source table.Slot, now time.Time) {
	best, bestRank := table.None, evacuee{}
	for slot := table.Slot(0); slot < s.requests.Cap(); slot++ {
		if !s.requests.Used(slot) {
			continue
		}
		r := s.requests.At(slot)
		if r.engine != source || r.moving || now.Before(r.moveAfter) {
			continue
		}
		if rank := s.evacuee(r, now); best == table.None || rank.before(bestRank) {
			best, bestRank = slot, rank
		}
	}
	if best == table.None {
		return
	}
	target, ok := s.chooseTarget(best, source, now)
	if !ok {
		return
	}
	s.startMove(best, source, target, now)
}

// evacuee ranks a request on a leaving engine.
type evacuee struct {
	// endsInTime is true if the output is expected to end before the engine is gone.
	endsInTime bool
	// started is false as long as no output was seen; an engine cannot copy a request that it has not started.
	started bool
	// gain is the work that is saved for each token that is copied.
	gain float64
}

func (a evacuee) before(b evacuee) bool {
	switch {
	case a.started != b.started:
		return a.started
	case a.endsInTime != b.endsInTime:
		return b.endsInTime
	default:
		return a.gain > b.gain
	}
}

func (s *Scheduler) evacuee(r *request, now time.Time) evacuee {
	e := s.engines.At(r.engine)
	gap := s.medians.gap
	if gap == 0 {
		gap = s.policy.TokenGap
	}
	rest := max(min(r.predicted, r.maxOut)-r.shown, 1)
	left := e.leavingAt.Add(leaveNotice).Sub(now)
	work := float64(r.prompt + outputWeight*(r.shown+rest))
	return evacuee{
		endsInTime: time.Duration(rest)*gap < left,
		started:    r.shown > 0,
		gain:       work / float64(max(r.prompt+r.shown, 1)),
	}
}

// chooseTarget returns the least loaded engine that can take over a running request. Copies within a place are faster.
func (s *Scheduler) chooseTarget(slot, source table.Slot, now time.Time) (table.Slot, bool) {
	r := s.requests.At(slot)
	place := s.engines.At(source).place
	best, bestLoad := table.None, 0.0
	for candidate := table.Slot(0); candidate < s.engines.Cap(); candidate++ {
		if candidate == source || !s.engines.Used(candidate) {
			continue
		}
		e := s.engines.At(candidate)
		name := s.engines.Key(candidate)
		if !e.serves(name, r) || name == r.moveFailed || e.running >= e.maxRunning || e.trust == trustAvoided {
			continue
		}
		held := r.prompt + r.shown
		if e.used+e.externalAt(now)+held > e.memory {
			continue
		}
		load := e.load(r.held.tokens, now) + incomingLoad*float64(e.incoming)
		if e.place != place {
			load *= otherPlaceFactor
		}
		if e.factor > 1 {
			load *= e.factor
		}
		load += e.paceLoad(r)
		if best == table.None || load < bestLoad {
			best, bestLoad = candidate, load
		}
	}
	return best, best != table.None
}

// startMove counts the request on its target, which keeps a place and memory for the copy from now on.
func (s *Scheduler) startMove(slot, source, target table.Slot, now time.Time) {
	r := s.requests.At(slot)
	r.moving, r.source, r.moveDeadline = true, s.engines.Key(source), now.Add(moveLimit)
	s.moves++
	s.engines.At(source).outgoing++
	s.engines.At(target).incoming++
	s.relocate(slot, target, now)
	s.decisions = append(s.decisions, Decision{
		ID: r.id, Origin: r.origin, Verdict: VerdictMove, Engine: s.engines.Key(target),
	})
}

// relocate counts a running request on another engine.
func (s *Scheduler) relocate(slot, target table.Slot, now time.Time) {
	r := s.requests.At(slot)
	held, freed := r.held, s.drain.parts[r.admitted].freed
	queue := r.admitted
	s.stop(slot, now)
	s.drain.parts[queue].freed = freed // The request goes on, so that nothing has drained.
	s.start(slot, target, held, now)
}

// endMove ends the accounting of a move, if there is one.
func (s *Scheduler) endMove(r *request) {
	if !r.moving {
		return
	}
	r.moving = false
	s.moves--
	if e, ok := s.engines.Get(r.source); ok {
		e.outgoing--
	}
	if !r.waiting() {
		s.engines.At(r.engine).incoming--
	}
}

// Moved tells how a move ended. With ok, the request runs on the engine of that name; this also corrects a scheduler that
// did not know of the move.
func (s *Scheduler) Moved(id, target string, ok bool, now time.Time) {
	slot, known := s.requests.Slot(id)
	if !known || s.requests.At(slot).waiting() {
		return
	}
	r := s.requests.At(slot)
	wasMoving, source := r.moving, r.source
	s.endMove(r)
	r.moveFailed = ""
	if ok {
		if engine, listed := s.engines.Slot(target); listed && engine != r.engine {
			s.relocate(slot, engine, now)
		}
		return
	}
	r.moveAfter, r.moveFailed = now.Add(moveRetry), target
	if engine, listed := s.engines.Slot(source); wasMoving && listed {
		s.relocate(slot, engine, now)
	}
}

// expireMoves fails the moves that take too long.
func (s *Scheduler) expireMoves(now time.Time) {
	if s.moves == 0 {
		return
	}
	for slot := table.Slot(0); slot < s.requests.Cap(); slot++ {
		if !s.requests.Used(slot) {
			continue
		}
		if r := s.requests.At(slot); r.moving && now.After(r.moveDeadline) {
			s.Moved(r.id, s.engines.Key(r.engine), false, now)
		}
	}
}
