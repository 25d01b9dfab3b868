package relay

import (
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

const (
	// suspectDuration is how long a replica that failed a request is used only as a last resort.
	suspectDuration = 2 * time.Second

	// otherDataCentreCost and otherRegionCost are added to the cost of a replica in another data centre or region of
	// the fleet. A request to another region takes 60 ms longer, as long as a typical request takes, and its traffic is
	// billed.
	otherDataCentreCost = 0.25
	otherRegionCost     = 2.0

	// limitedCost is added to the cost of a replica with a limit, because a permit has to be asked for.
	limitedCost = 0.1

	// suspectCost ranks every suspect replica behind all others.
	suspectCost = 1000.0
)

// replicaTable tracks this instance's requests to the replicas of services without engines.
type replicaTable struct {
	mu     sync.Mutex
	states map[string]*replicaState
}

type replicaState struct {
	open         int
	suspectUntil time.Time
	// recovering is true from a back-off of the replica until it has answered again. One request at a time shows whether it
	// does.
	recovering bool
}

func newReplicaTable() *replicaTable { return &replicaTable{states: make(map[string]*replicaState)} }

// candidate is a replica with its distance from this instance.
type candidate struct {
	backend        route.Backend
	sameDataCentre bool
	sameRegion     bool
	limited        bool
}

// cost ranks a replica; the lowest cost is chosen. Only this instance's open requests are counted, relative to the
// replica's slots, because the number that other instances send there is unknown.
func (c candidate) cost(state replicaState, now time.Time) float64 {
	cost := float64(state.open) / float64(max(c.backend.Slots, 1))
	switch {
	case c.sameDataCentre:
	case c.sameRegion:
		cost += otherDataCentreCost
	default:
		cost += otherRegionCost
	}
	if c.limited {
		cost += limitedCost
	}
	if now.Before(state.suspectUntil) || state.recovering && state.open > 0 {
		cost += suspectCost
	}
	return cost
}

// acquire chooses the replica with the lowest cost and counts a request to it. It returns false if there is none.
func (t *replicaTable) acquire(candidates []candidate, now time.Time) (route.Backend, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, _ := t.cheapest(candidates, now)
	if best < 0 {
		return route.Backend{}, false
	}
	backend := candidates[best].backend
	t.state(backend.ID).open++
	return backend, true
}

// cheapest returns the index and the cost of the candidate with the lowest cost, or -1 if there is none. The lock must be held.
func (t *replicaTable) cheapest(candidates []candidate, now time.Time) (best int, bestCost float64) {
	best = -1
	for i, c := range candidates {
		var state replicaState
		if known, ok := t.states[c.backend.ID]; ok {
			state = *known
		}
		if cost := c.cost(state, now); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// peekCheapest returns what cheapest does.
func (t *replicaTable) peekCheapest(candidates []candidate, now time.Time) (best int, cost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cheapest(candidates, now)
}

// release ends a request to a replica. A failed request makes the replica suspect.
func (t *replicaTable) release(id string, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(id)
	state.open--
	if failed {
		state.suspectUntil = now.Add(suspectDuration)
	} else {
		state.recovering = false
	}
	if state.open <= 0 && !now.Before(state.suspectUntil) && !state.recovering {
		delete(t.states, id)
	}
}

// suspect makes a replica suspect whose response failed after its request had been released.
func (t *replicaTable) suspect(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).suspectUntil = now.Add(suspectDuration)
}

func (t *replicaTable) isSuspect(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.states[id]
	return ok && now.Before(state.suspectUntil)
}

// backOff records that a replica has asked for a back-off.
func (t *replicaTable) backOff(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).recovering = true
}

func (t *replicaTable) state(id string) *replicaState {
	state, ok := t.states[id]
	if !ok {
		state = new(replicaState)
		t.states[id] = state
	}
	return state
}
