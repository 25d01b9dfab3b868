package sched

import (
	"math"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

// hold keeps room on one engine for the first aged long request that fits nowhere, because small requests would
// otherwise take up every gap before it.
type hold struct {
	engine  table.Slot
	request table.Slot
}

// choose returns the least loaded engine that may start the request now, or the holder of its prefix if that one is
// not much more loaded.
func (s *Scheduler) choose(r *request, now time.Time) (table.Slot, bool) {
	best, load, ok := s.leastByBound(r, now)
	if !ok {
		best, load = s.leastByLoad(r, now)
	}
	if best == table.None || s.engines.At(best).trust == trustProbing {
		return best, best != table.None
	}
	if holder := s.prefixes.get(r.prefix); holder != table.None && holder != best && s.engines.Used(holder) {
		holderLoad, fits := s.candidate(holder, s.engines.At(holder), r, now)
		if fits && holderLoad <= load*s.policy.PrefixLoadBound {
			return holder, true
		}
	}
	return best, true
}

// leastByBound searches by a lower bound of the load, which is cheap, and checks only the engine that it finds. It gives
// up if that one turns out to be worse than the bound of another, or if an engine waits for a probing request.
func (s *Scheduler) leastByBound(r *request, now time.Time) (best table.Slot, load float64, ok bool) {
	long, least := r.queue == queueLong, min(r.want.tokens, s.leastLimit)
	best = table.None
	first, second := math.MaxFloat64, math.MaxFloat64
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		if e.trust == trustProbing {
			return table.None, 0, false
		}
		if !e.accepting || e.trust == trustAvoided || e.full(long, least) {
			continue
		}
		if bound := e.leastLoad(least); bound < first {
			best, first, second = slot, bound, first
		} else if bound < second {
			second = bound
		}
	}
	if best == table.None {
		return best, 0, true
	}
	load, ok = s.candidate(best, s.engines.At(best), r, now)
	return best, load, ok && load <= second
}

// leastByLoad searches by the load itself. An engine that may get a probing request goes first.
func (s *Scheduler) leastByLoad(r *request, now time.Time) (best table.Slot, bestLoad float64) {
	best = table.None
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		load, ok := s.candidate(slot, e, r, now)
		if !ok {
			continue
		}
		if e.trust == trustProbing {
			return slot, load
		}
		if best == table.None || load < bestLoad {
			best, bestLoad = slot, load
		}
	}
	return best, bestLoad
}

// candidate returns the load that the engine would have with the request, and false if it must not get it now.
func (s *Scheduler) candidate(slot table.Slot, e *engine, r *request, now time.Time) (float64, bool) {
	if !e.serves(s.engines.Key(slot), r) || !e.trusted(r, now) {
		return 0, false
	}
	if e.pressed && e.running > 0 && now.Before(e.pressureUntil) {
		return 0, false
	}
	need, ok := e.need(r, s.policy.Admission, now)
	if !ok || s.heldFromOthers(slot, e, r, need.tokens) {
		return 0, false
	}
	load := e.load(need.tokens, now)
	if e.factor > 1 {
		load *= e.factor
	}
	return load + e.paceLoad(r), true
}

// trusted reports whether the engine is no straggler or may get its one probing request. A long request serves as a
// probe only if no short one came, because it would suffer longer on an engine that is still slow.
func (e *engine) trusted(r *request, now time.Time) bool {
	switch e.trust {
	case trustNormal:
		return true
	case trustProbing:
		return e.speed.probe == table.None &&
			(r.queue == queueShort || now.Sub(e.speed.probeStart) > probeLimit)
	default:
		return false
	}
}

// heldFromOthers reports whether the engine is held for another request. Short work keeps its own share there.
func (s *Scheduler) heldFromOthers(slot table.Slot, e *engine, r *request, need int) bool {
	if s.hold.engine != slot || s.requests.Key(s.hold.request) == r.id {
		return false
	}
	if r.queue == queueLong || s.requests.At(s.hold.request).prompt+minOutputTokens > e.longLimit {
		return true
	}
	return e.reserved-e.reservedLong+need > e.usable-e.longLimit
}

// holdEngine holds the least reserved engine that can run the request.
func (s *Scheduler) holdEngine(slot table.Slot) {
	if s.hold.request != table.None && s.engines.Used(s.hold.engine) && s.engines.At(s.hold.engine).accepting {
		return
	}
	r := s.requests.At(slot)
	best, bestShare := table.None, 0.0
	for candidate := table.Slot(0); candidate < s.engines.Cap(); candidate++ {
		if !s.engines.Used(candidate) {
			continue
		}
		e := s.engines.At(candidate)
		if !e.serves(s.engines.Key(candidate), r) || r.prompt >= e.memory || e.trust != trustNormal {
			continue
		}
		share := float64(e.reserved) / float64(max(e.usable, 1))
		if best == table.None || share < bestShare {
			best, bestShare = candidate, share
		}
	}
	if best != table.None {
		s.hold = hold{engine: best, request: slot}
	}
}

// servable reports whether any engine can run the request once it has room.
func (s *Scheduler) servable(r *request) bool {
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		if e := s.engines.At(slot); e.serves(s.engines.Key(slot), r) && r.prompt < e.memory && e.maxRunning > 0 {
			return true
		}
	}
	return false
}
