package sched

import "time"

const (
	// rebalanceInterval is the time between two checks for long runs on slow engines.
	rebalanceInterval = 100 * time.Millisecond

	// minRebalanceTokens is the smallest expected remainder of an output that justifies a move. One of 100 tokens
	// finishes within a second, in which a slow engine prefills about one more prompt.
	minRebalanceTokens = 100

	// maxRebalanceLoad is the greatest load, with the run, at which an engine may take a run from a slow one. With 0.85
	// more runs were preempted, and with 0.4 more stayed on slow engines.
	maxRebalanceLoad = 0.6
)

// needsRebalance reports whether the runs that are worth rebalancing should move although the engine is not leaving.
//
// Long requests avoid slow engines (see slowEngineLoad), but the baseline of a new engine is known only after its first
// runs have emitted some tokens, and an output that was expected to be short may turn out long. Of 104 outputs with too
// long a gap on a calm day, 98 ran on slow engines, half of them since before the baseline was known. A move costs a
// pause of 10 to 80 ms and a copy.
func (e *engine) needsRebalance() bool { return e.slowBaseline }

// worthRebalancing reports whether a run should leave a slow engine.
func (s *Scheduler) worthRebalancing(r *request) bool {
	return r.emitted > 0 && min(r.predictedOutput, r.maxOutput)-r.emitted >= minRebalanceTokens
}

// takesRebalanced reports whether the engine may take a run from a slow one.
func (e *engine) takesRebalanced(r *request, now time.Time) bool {
	_, known := e.latency.baseline.best()
	return known && !e.slowBaseline && e.straggler == stragglerNone &&
		e.incoming == 0 && e.load(r.reserved.tokens, now) <= maxRebalanceLoad
}
