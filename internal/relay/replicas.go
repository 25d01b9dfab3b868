package relay

import (
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

const (
	// suspectTime is the time for which a replica that failed a request is used only if no other one is left.
	suspectTime = 2 * time.Second

	// otherPlaceLoad and otherRegionLoad are added to the load of a replica in another data centre or region of the
	// fleet. A request to another region takes 60 ms longer, as long as a typical request takes, and its bytes are billed.
	otherPlaceLoad  = 0.25
	otherRegionLoad = 2.0

	// suspectLoad ranks every suspect replica behind all others.
	suspectLoad = 1000.0
)

// replicaTable holds what this instance sees of the replicas of plain services.
type replicaTable struct {
	mu   sync.Mutex
	rows map[string]*replicaRow
}

type replicaRow struct {
	open         int
	suspectUntil time.Time
}

func newReplicaTable() *replicaTable { return &replicaTable{rows: make(map[string]*replicaRow)} }

// candidate is a replica with its distance from this instance.
type candidate struct {
	backend    route.Backend
	samePlace  bool
	sameRegion bool
}

// load is the rank of a replica; the least is chosen. Open requests of this instance count per place, because others
// send there too and their number is not known.
func (c candidate) load(row replicaRow, now time.Time) float64 {
	load := float64(row.open) / float64(max(c.backend.Slots, 1))
	switch {
	case c.samePlace:
	case c.sameRegion:
		load += otherPlaceLoad
	default:
		load += otherRegionLoad
	}
	if now.Before(row.suspectUntil) {
		load += suspectLoad
	}
	return load
}

// take chooses the replica with the least load and counts a request to it. It returns false if there is none.
func (t *replicaTable) take(candidates []candidate, now time.Time) (route.Backend, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestLoad := -1, 0.0
	for i, c := range candidates {
		load := c.load(*t.row(c.backend.ID), now)
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return route.Backend{}, false
	}
	backend := candidates[best].backend
	t.row(backend.ID).open++
	return backend, true
}

// release ends a request. A failed one makes the replica suspect.
func (t *replicaTable) release(id string, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(id)
	row.open--
	if failed {
		row.suspectUntil = now.Add(suspectTime)
	}
	if row.open <= 0 && !now.Before(row.suspectUntil) {
		delete(t.rows, id)
	}
}

func (t *replicaTable) row(id string) *replicaRow {
	row, ok := t.rows[id]
	if !ok {
		row = new(replicaRow)
		t.rows[id] = row
	}
	return row
}
