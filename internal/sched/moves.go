package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

const (
	// moveLimit bounds one move; then it counts as failed, because the instance that carries it out may be gone.
	moveLimit = 3 * time.Second

	// moveRetry is the time after a failed move before the next one of the same request.
	moveRetry = 100 * time.Millisecond

	// otherPlaceFactor is the load factor of a target in another place: copies there take twice as long.
	otherPlaceFactor = 1.5

	// hurriedPlaceFactor is the load factor of a target in another place if a copy there would take the time that the other
	// runs of the engine need.
	hurriedPlaceFactor = 4

	// incomingLoad is added to the load of a target for each copy that it is getting, because they share its link.
	incomingLoad = 0.3
)

// shed tells which of its runs an engine is to lose.
type shed int8

const (
	shedNone shed = iota
	shedAll
	shedLong
)

// planMoves starts the next move of each engine that is to lose runs. One pass over the requests finds the candidates of
// all engines, and each engine has one move at a time.
func (s *Scheduler) planMoves(now time.Time) {
	if s.policy.CopyTime == 0 {
		return
	}
	unburden := !now.Before(s.unburdenAt)
	if unburden {
		s.unburdenAt = now.Add(unburdenInterval)
	}
	found := false
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if s.engines.Used(slot) {
			e := s.engines.At(slot)
			e.shed, e.next, e.toCopy = e.sheds(unburden, now), table.None, 0
			found = found || e.shed != shedNone
		}
	}
	if found {
		s.nominate(now)
		s.startMoves(now)
	}
	s.expireMoves(now)
}

// sheds returns which runs the engine is to lose now.
func (e *engine) sheds(unburden bool, now time.Time) shed {
	leaves := !e.accepting || e.retired
	switch {
	case !leaves:
		e.leavingAt = time.Time{}
	case e.leavingAt.IsZero():
		e.leavingAt = now
	}
	switch {
	case e.outgoing > 0 || e.running == 0:
		return shedNone
	case leaves:
		return shedAll
	case unburden && e.overburdened():
		return shedLong
	default:
		return shedNone
	}
}

// nominate finds the run that each engine loses next.
func (s *Scheduler) nominate(now time.Time) {
	for slot := table.Slot(0); slot < s.requests.Cap(); slot++ {
		if !s.requests.Used(slot) {
			continue
		}
		r := s.requests.At(slot)
		if r.waiting() || r.moving || now.Before(r.moveAfter) {
			continue
		}
		e := s.engines.At(r.engine)
		if e.shed == shedNone || e.shed == shedLong && !s.burdens(r) {
			continue
		}
		rank := s.evacuee(r, now)
		if rank.started && !rank.endsInTime {
			e.toCopy += r.prompt + r.shown
		}
		if e.next == table.None || rank.before(e.nextRank) {
			e.next, e.nextRank = slot, rank
		}
	}
}

func (s *Scheduler) startMoves(now time.Time) {
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) || s.engines.At(slot).next == table.None {
			continue
		}
		e := s.engines.At(slot)
		if target, ok := s.chooseTarget(e.next, slot, e.shed == shedLong, now); ok {
			s.startMove(e.next, slot, target, now)
		}
	}
}

// chooseTarget returns the least loaded engine that can take over a running request. Copies within a place are faster. A
// run that need not move goes only to an engine with much room that is known to be no slow one.
func (s *Scheduler) chooseTarget(slot, source table.Slot, optional bool, now time.Time) (table.Slot, bool) {
	r := s.requests.At(slot)
	place, placeFactor := s.engines.At(source).place, otherPlaceFactor
	if s.hurried(source, r, now) {
		placeFactor = hurriedPlaceFactor
	}
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
		if optional && !e.relieves(r, now) {
			continue
		}
		load := e.load(r.held.tokens, now) + incomingLoad*float64(e.incoming)
		if e.place != place {
			load *= placeFactor
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
	r.moving, r.afterMove, r.source, r.moveDeadline = true, true, s.engines.Key(source), now.Add(moveLimit)
	s.moves++
	s.engines.At(source).outgoing++
	s.engines.At(target).incoming++
	s.relocate(slot, target, now)
	s.decisions = append(s.decisions, Decision{
		ID: r.id, Origin: r.origin, Verdict: VerdictMove, Engine: s.engines.Key(target), Source: r.source,
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
