package sched

import "time"

const (
	// unburdenInterval is the time between two looks at the long runs on slow engines.
	unburdenInterval = 100 * time.Millisecond

	// unburdenRest is the least expected rest of an output, in tokens, for which a move is worth while: one of 100 tokens
	// ends within a second, in which a slow engine reads about one more prompt.
	unburdenRest = 100

	// relievingLoad is the greatest load with the run up to which an engine takes one from a slow engine. With 0.85 more
	// runs were preempted, and with 0.4 more stayed on slow engines.
	relievingLoad = 0.6
)

// overburdened reports whether long runs should leave the engine although it stays.
//
// The load pattern: long work avoids slow engines, see paceLoad, but the pace of a new engine is known only after its
// first runs have shown some tokens, and an output that was expected to be short may turn out long. Of 104 answers of a
// calm day that had too long a gap, 98 ran on slow engines, half of them since before their pace was known. A move costs
// a pause of 10 to 80 ms and a copy.
func (e *engine) overburdened() bool { return e.slowPace }

// burdens reports whether a run should leave a slow engine.
func (s *Scheduler) burdens(r *request) bool {
	return r.shown > 0 && min(r.predicted, r.maxOut)-r.shown >= unburdenRest
}

// relieves reports whether the engine may take a run from a slow one.
func (e *engine) relieves(r *request, now time.Time) bool {
	_, known := e.speed.pace.best()
	return known && !e.slowPace && e.trust == trustNormal && e.incoming == 0 && e.load(r.held.tokens, now) <= relievingLoad
}
