package sched

import (
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
	best, bestLoad := table.None, 0.0
	holder := s.prefixes.get(r.prefix)
	holderLoad, holderFits := 0.0, false
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		if best != table.None && slot != holder && e.trust == trustNormal && e.leastLoad() >= bestLoad {
			continue
		}
		load, ok := s.candidate(slot, e, r, now)
		if !ok {
			continue
		}
		if e.trust == trustProbing {
			return slot, true
		}
		if slot == holder {
			holderLoad, holderFits = load, true
		}
		if best == table.None || load < bestLoad {
			best, bestLoad = slot, load
		}
	}
	if holderFits && holderLoad <= bestLoad*s.policy.PrefixLoadBound {
		return holder, true
	}
	return best, best != table.None
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
	if !ok || s.heldFromOthers(slot, e, r, need) {
		return 0, false
	}
	load := e.load(need, now)
	if e.factor > 1 {
		load *= e.factor
	}
	return load, true
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
