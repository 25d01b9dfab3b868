package sched

import (
	"math"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

// engineHold reserves room on one engine for the first aged long request that fits nowhere, because smaller requests
// would otherwise fill the released memory first.
type engineHold struct {
	engine  table.Slot
	request table.Slot
}

// chooseEngine returns the least loaded engine that may start the request now, or the engine that cached its prefix if
// the load of that one is within PrefixLoadBound.
func (s *Scheduler) chooseEngine(r *request, now time.Time) (table.Slot, bool) {
	best, load, ok := s.leastLoadedByBound(r, now)
	if !ok {
		best, load = s.leastLoaded(r, now)
	}
	if best == table.None || s.engines.At(best).straggler == stragglerProbing {
		return best, best != table.None
	}
	if cached := s.prefixes.get(r.prefixHash); cached != table.None && cached != best && s.engines.Used(cached) {
		cachedLoad, fits := s.candidateLoad(cached, s.engines.At(cached), r, now)
		if fits && cachedLoad <= load*s.policy.PrefixLoadBound {
			return cached, true
		}
	}
	return best, true
}

// withinMaxLoad reports whether the engine may get a request with a load limit.
func (s *Scheduler) withinMaxLoad(engine table.Slot, r *request, now time.Time) bool {
	if r.maxLoad == 0 {
		return true
	}
	load, ok := s.candidateLoad(engine, s.engines.At(engine), r, now)
	return ok && load <= r.maxLoad
}

// leastLoadedByBound searches by a lower bound of the load, which is cheap, and computes the load only of the engine
// that it finds. It returns false if that load exceeds the bound of another engine, or if an engine is to be probed.
func (s *Scheduler) leastLoadedByBound(r *request, now time.Time) (best table.Slot, load float64, ok bool) {
	long, minTokens := r.queue == queueLong, min(r.demand.tokens, s.minLongLimit)
	best = table.None
	first, second := math.MaxFloat64, math.MaxFloat64
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		if e.straggler == stragglerProbing {
			return table.None, 0, false
		}
		if !e.accepting || e.retired || e.straggler == stragglerAvoided || e.full(long, minTokens) {
			continue
		}
		if bound := e.minLoad(minTokens); bound < first {
			best, first, second = slot, bound, first
		} else if bound < second {
			second = bound
		}
	}
	if best == table.None {
		return best, 0, true
	}
	load, ok = s.candidateLoad(best, s.engines.At(best), r, now)
	return best, load, ok && load <= second
}

// leastLoaded searches by the exact load. An engine that may get a probing request goes first.
func (s *Scheduler) leastLoaded(r *request, now time.Time) (best table.Slot, bestLoad float64) {
	best = table.None
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		load, ok := s.candidateLoad(slot, e, r, now)
		if !ok {
			continue
		}
		if e.straggler == stragglerProbing {
			return slot, load
		}
		if best == table.None || load < bestLoad {
			best, bestLoad = slot, load
		}
	}
	return best, bestLoad
}

// candidateLoad returns the load that the engine would have with the request, and false if it must not get it now.
func (s *Scheduler) candidateLoad(slot table.Slot, e *engine, r *request, now time.Time) (float64, bool) {
	load, obstacle := s.assess(slot, e, r, now)
	return load, obstacle == ObstacleNone
}

// assess returns the load that the engine would have with the request, and the first reason for which it must not get it now.
func (s *Scheduler) assess(slot table.Slot, e *engine, r *request, now time.Time) (float64, Obstacle) {
	switch {
	case !e.serves(s.engines.Key(slot), r):
		return 0, ObstacleNotServing
	case !e.allowedByState(r, now):
		return 0, ObstacleStraggler
	case e.underPressure && e.running > 0 && now.Before(e.pressureUntil):
		return 0, ObstaclePressure
	case e.warming && !e.coldness.takes(now):
		return 0, ObstacleCold
	}
	need, ok := e.reservationFor(r, s.policy.Admission, now)
	if !ok {
		return 0, ObstacleNoRoom
	}
	if s.heldForOther(slot, e, r, need.tokens) {
		return 0, ObstacleHeld
	}
	load := e.load(need.tokens, now)
	if e.gapRatio > 1 {
		load *= e.gapRatio
	}
	if e.warming {
		load *= e.coldness.loadFactor(now)
	}
	return load + e.slowEngineLoad(r), ObstacleNone
}

// allowedByState reports whether the engine is no straggler or may get its one probing request. A long request is used
// as a probe only if no short one came within probeTimeout, because it would run longer on an engine that is still
// slow.
func (e *engine) allowedByState(r *request, now time.Time) bool {
	switch e.straggler {
	case stragglerNone:
		return true
	case stragglerProbing:
		return e.latency.probe == table.None &&
			(r.queue == queueShort || now.Sub(e.latency.probingSince) > probeTimeout)
	default:
		return false
	}
}

// heldForOther reports whether the engine is held for another request. Short requests may still use their share of it.
func (s *Scheduler) heldForOther(slot table.Slot, e *engine, r *request, need int) bool {
	if s.hold.engine != slot || s.requests.Key(s.hold.request) == r.id {
		return false
	}
	if r.queue == queueLong || s.requests.At(s.hold.request).promptTokens+minOutputTokens > e.longLimit {
		return true
	}
	return e.reserved-e.reservedLong+need > e.usable-e.longLimit
}

// holdEngine holds the least reserved engine that can run the request, unless an accepting engine is held already.
func (s *Scheduler) holdEngine(slot table.Slot) {
	if s.hold.request != table.None && s.engines.Used(s.hold.engine) {
		if held := s.engines.At(s.hold.engine); held.accepting && !held.retired {
			return
		}
	}
	r := s.requests.At(slot)
	best, bestShare := table.None, 0.0
	for candidate := table.Slot(0); candidate < s.engines.Cap(); candidate++ {
		if !s.engines.Used(candidate) {
			continue
		}
		e := s.engines.At(candidate)
		if !e.serves(s.engines.Key(candidate), r) || r.promptTokens >= e.memory || e.straggler != stragglerNone {
			continue
		}
		share := float64(e.reserved) / float64(max(e.usable, 1))
		if best == table.None || share < bestShare {
			best, bestShare = candidate, share
		}
	}
	if best != table.None {
		s.hold = engineHold{engine: best, request: slot}
	}
}

// servable reports whether any engine could run the request if it had room.
func (s *Scheduler) servable(r *request) bool {
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		if e := s.engines.At(slot); e.serves(s.engines.Key(slot), r) && r.promptTokens < e.memory && e.maxRunning > 0 {
			return true
		}
	}
	return false
}
