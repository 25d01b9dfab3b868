package order

import "time"

const (
	// loadTimeout is the time that an engine may report "loading" for one state before the order is repeated. Loads over
	// the link between regions take many minutes.
	loadTimeout = 30 * time.Minute
	// maxRetry bounds the time until an engine is looked at again after a refused load slot.
	maxRetry = DefaultInterval
)

// memory is what the home of an engine remembers about it. A new home starts without; it then reads the state and at
// worst repeats an order.
type memory struct {
	// busy is true while the engine is looked at. It and dueAt are guarded by the reconciler's lock; the other fields are
	// reserved for the look.
	busy  bool
	dueAt time.Time
	// loading is the state that the engine was seen loading or ordered to load, loadBy the time until it should be done.
	loading State
	loadBy  time.Time
}

// dueNoLaterThan moves the next look to t if that is not zero and earlier.
func (m *memory) dueNoLaterThan(t time.Time) {
	if !t.IsZero() && t.Before(m.dueAt) {
		m.dueAt = t
	}
}

func (m *memory) expectLoad(state State, now time.Time) {
	if m.loading.Equal(state) && !m.loadBy.IsZero() {
		return
	}
	m.loading = state
	m.loadBy = now.Add(loadTimeout)
}

// verdict tells what to do with one engine.
type verdict int

const (
	// verdictKeep leaves the engine alone.
	verdictKeep verdict = iota
	// verdictStale means that the engine has seen a newer manifest than this instance.
	verdictStale
	// verdictOrder sends the desired state.
	verdictOrder
)

// judgment is the decision about one engine, with the weights that the order makes it load.
type judgment struct {
	verdict verdict
	loads   []string
}

// judge compares the reported with the desired state. checks tells whether the engine checks the fencing token; such an
// engine also gets an order if only its token is old, so that it refuses orders of older manifests from then on.
func judge(desired State, number uint64, checks bool, report Report, m *memory, now time.Time) judgment {
	switch {
	case report.Phase == phaseLeaving:
		return judgment{verdict: verdictKeep}
	case report.Fence > number:
		return judgment{verdict: verdictStale}
	case report.Phase == phaseLoading:
		return judgeLoading(desired, report, m, now)
	}
	m.loadBy = time.Time{}
	loads := desired.Loads(report.State)
	if report.State.Equal(desired) && (!checks || report.Fence == number) {
		return judgment{verdict: verdictKeep}
	}
	return judgment{verdict: verdictOrder, loads: loads}
}

// judgeLoading waits for an engine that loads the desired state, which it may report before or after the load. A load
// that takes too long is ordered again.
func judgeLoading(desired State, report Report, m *memory, now time.Time) judgment {
	if report.State.Equal(desired) {
		m.expectLoad(desired, now)
	}
	if m.loading.Equal(desired) && now.Before(m.loadBy) {
		return judgment{verdict: verdictKeep}
	}
	m.loadBy = time.Time{}
	loads := desired.Loads(report.State)
	if len(loads) == 0 {
		loads = desired.Loads(State{})
	}
	return judgment{verdict: verdictOrder, loads: loads}
}
