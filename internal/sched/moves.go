package sched

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// moveTimeout is the time after which a move counts as failed, because the instance that carries it out may be
	// gone.
	moveTimeout = 3 * time.Second

	// moveRetryDelay is the time between a failed move and the next one of the same request.
	moveRetryDelay = 100 * time.Millisecond

	// otherDataCentreFactor is the load factor of a target in another data centre, to which copies take twice as long.
	otherDataCentreFactor = 1.5

	// scarceTimeFactor replaces otherDataCentreFactor if the notice is too short to copy all runs of the engine.
	scarceTimeFactor = 4

	// incomingCopyLoad is added to the load of a target for each copy in progress to it, because copies share its link.
	incomingCopyLoad = 0.3
)

// evacuation is the set of runs that should leave an engine.
type evacuation int8

const (
	evacuateNone evacuation = iota
	evacuateAll
	evacuateLong // only the runs that are worth rebalancing
)

// planMoves starts the next move of each engine that should lose runs. One pass over the requests selects the runs of
// all engines, and each engine has one outgoing move at a time.
func (s *Scheduler) planMoves(now time.Time) {
	if s.policy.TokenCopyTime == 0 {
		return
	}
	rebalance := !now.Before(s.rebalanceAt) && !s.off(pond.MechanismRebalancing)
	if rebalance {
		s.rebalanceAt = now.Add(rebalanceInterval)
	}
	found := false
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if s.engines.Used(slot) {
			e := s.engines.At(slot)
			e.evacuation, e.nextMove, e.tokensToCopy = e.planEvacuation(rebalance, now), table.None, 0
			found = found || e.evacuation != evacuateNone
		}
	}
	if found {
		s.selectMoves(now)
		s.startMoves(now)
	}
	s.expireMoves(now)
}

// planEvacuation returns which runs should leave the engine now, and updates leavingAt.
func (e *engine) planEvacuation(rebalance bool, now time.Time) evacuation {
	leaves := !e.accepting || e.retired
	switch {
	case !leaves:
		e.leavingAt = time.Time{}
	case e.leavingAt.IsZero():
		e.leavingAt = now
	}
	switch {
	case e.outgoing > 0 || e.running == 0:
		return evacuateNone
	case leaves:
		return evacuateAll
	case rebalance && e.needsRebalance():
		return evacuateLong
	default:
		return evacuateNone
	}
}

// selectMoves selects the run that each engine should lose next.
func (s *Scheduler) selectMoves(now time.Time) {
	for slot := table.Slot(0); slot < s.requests.Cap(); slot++ {
		if !s.requests.Used(slot) {
			continue
		}
		r := s.requests.At(slot)
		if r.waiting() || r.moving || now.Before(r.moveAfter) {
			continue
		}
		e := s.engines.At(r.engine)
		if e.evacuation == evacuateNone || e.evacuation == evacuateLong && !s.worthRebalancing(r) {
			continue
		}
		rank := s.moveRank(r, now)
		if rank.started && !rank.endsInTime {
			e.tokensToCopy += r.promptTokens + r.emitted
		}
		if e.nextMove == table.None || rank.before(e.nextMoveRank) {
			e.nextMove, e.nextMoveRank = slot, rank
		}
	}
}

func (s *Scheduler) startMoves(now time.Time) {
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) || s.engines.At(slot).nextMove == table.None {
			continue
		}
		e := s.engines.At(slot)
		if target, ok := s.chooseTarget(e.nextMove, slot, e.evacuation == evacuateLong, now); ok {
			s.startMove(e.nextMove, slot, target, now)
		}
	}
}

// chooseTarget returns the least loaded engine that can take over a running request. It prefers the same data centre,
// where copies are faster. With rebalance, the source is slow but not leaving, and the target must have much room and
// be known not to be slow.
func (s *Scheduler) chooseTarget(slot, source table.Slot, rebalance bool, now time.Time) (table.Slot, bool) {
	r := s.requests.At(slot)
	dataCentre, dataCentreFactor := s.engines.At(source).dataCentre, otherDataCentreFactor
	if s.copyDelaysOthers(source, r, now) {
		dataCentreFactor = scarceTimeFactor
	}
	best, bestLoad := table.None, 0.0
	for candidate := table.Slot(0); candidate < s.engines.Cap(); candidate++ {
		if candidate == source || !s.engines.Used(candidate) {
			continue
		}
		e := s.engines.At(candidate)
		name := s.engines.Key(candidate)
		if !e.serves(name, r) || name == r.moveFailed || e.running >= e.maxRunning || e.straggler == stragglerAvoided ||
			e.warming && !e.coldness.takes(now) {
			continue
		}
		runTokens := r.promptTokens + r.emitted
		if e.used+e.externalAt(now)+runTokens > e.memory {
			continue
		}
		if rebalance && !e.takesRebalanced(r, now) {
			continue
		}
		load := e.load(r.reserved.tokens, now) + incomingCopyLoad*float64(e.incoming)
		if e.dataCentre != dataCentre && !s.off(pond.MechanismNearTargets) {
			load *= dataCentreFactor
		}
		if e.gapRatio > 1 {
			load *= e.gapRatio
		}
		load += e.slowEngineLoad(r)
		if best == table.None || load < bestLoad {
			best, bestLoad = candidate, load
		}
	}
	return best, best != table.None
}

// startMove counts the request on its target, which reserves a batch slot and memory for the copy from now on.
func (s *Scheduler) startMove(slot, source, target table.Slot, now time.Time) {
	r := s.requests.At(slot)
	r.moving, r.afterMove, r.source, r.moveDeadline = true, true, s.engines.Key(source), now.Add(moveTimeout)
	s.movesInProgress++
	s.engines.At(source).outgoing++
	s.engines.At(target).incoming++
	s.relocate(slot, target, now)
	s.decisions = append(s.decisions, Decision{
		ID: r.id, Origin: r.origin, Verdict: VerdictMove, Engine: s.engines.Key(target), Source: r.source,
	})
}

// relocate moves the accounting of a running request to another engine.
func (s *Scheduler) relocate(slot, target table.Slot, now time.Time) {
	r := s.requests.At(slot)
	reserved, releasedCost := r.reserved, s.drain.queues[r.startQueue].releasedCost
	queue := r.startQueue
	s.stop(slot, now)
	s.drain.queues[queue].releasedCost = releasedCost // The request still runs, so nothing has drained.
	s.start(slot, target, reserved, now)
}

// endMove ends the accounting of a move, if there is one.
func (s *Scheduler) endMove(r *request) {
	if !r.moving {
		return
	}
	r.moving = false
	s.movesInProgress--
	if e, ok := s.engines.Get(r.source); ok {
		e.outgoing--
	}
	if !r.waiting() {
		s.engines.At(r.engine).incoming--
	}
}

// FinishMove records how a move ended. With ok the request runs on target, also if this scheduler did not know of the
// move.
func (s *Scheduler) FinishMove(id, target string, ok bool, now time.Time) {
	slot, known := s.requests.Slot(id)
	if !known || s.requests.At(slot).waiting() {
		return
	}
	r := s.requests.At(slot)
	if !ok && r.moving && s.engines.Key(r.engine) != target {
		return // Another move is in progress since.
	}
	wasMoving, source := r.moving, r.source
	s.endMove(r)
	r.moveFailed = ""
	if ok {
		if engine, listed := s.engines.Slot(target); listed && engine != r.engine {
			s.relocate(slot, engine, now)
		}
		return
	}
	r.moveAfter, r.moveFailed = now.Add(moveRetryDelay), target
	if engine, listed := s.engines.Slot(source); wasMoving && listed {
		s.relocate(slot, engine, now)
	}
}

// expireMoves fails the moves that exceed moveTimeout.
func (s *Scheduler) expireMoves(now time.Time) {
	if s.movesInProgress == 0 {
		return
	}
	for slot := table.Slot(0); slot < s.requests.Cap(); slot++ {
		if !s.requests.Used(slot) {
			continue
		}
		if r := s.requests.At(slot); r.moving && now.After(r.moveDeadline) {
			s.FinishMove(r.id, s.engines.Key(r.engine), false, now)
		}
	}
}
