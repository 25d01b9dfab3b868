package order

import "time"

const (
	// loadTimeout is how long an engine may report "loading" for one state before the order is repeated. Loads over the
	// link between regions take many minutes.
	loadTimeout = 30 * time.Minute
	// slotRetryDelay is the delay before another slot request to an instance that may not grant slots.
	slotRetryDelay = DefaultInterval
)

// engineRecord is what the home of an engine remembers about it. A new home starts with an empty record; in the worst
// case it repeats an order after reading the state.
type engineRecord struct {
	// reserved is true while the engine is being reconciled. It and dueAt are guarded by the reconciler's lock; the
	// other fields belong to the goroutine that holds the reservation.
	reserved bool
	dueAt    time.Time
	// loadingState is the state that the engine was ordered to load or reported to be loading. loadDeadline is the time
	// by which the load should be complete.
	loadingState State
	loadDeadline time.Time
}

// advanceDue makes the engine due at t if that is not zero and earlier.
func (rec *engineRecord) advanceDue(t time.Time) {
	if !t.IsZero() && t.Before(rec.dueAt) {
		rec.dueAt = t
	}
}

func (rec *engineRecord) expectLoad(state State, now time.Time) {
	if rec.loadingState.Equal(state) && !rec.loadDeadline.IsZero() {
		return
	}
	rec.loadingState = state
	rec.loadDeadline = now.Add(loadTimeout)
}

// action is what to do with one engine.
type action int

const (
	// actionNone sends no order.
	actionNone action = iota
	// actionStale sends no order, because the engine has seen a newer manifest than this instance.
	actionStale
	// actionOrder sends the desired state.
	actionOrder
)

// decision is the action for one engine, with the weights that an order makes it load.
type decision struct {
	action action
	loads  []string
}

// decide compares the reported state with the desired one. fencing is true if the engine checks the fencing token; such
// an engine also gets an order if only its token is old, so that it refuses orders of older manifests from then on.
func decide(desired State, number uint64, fencing bool, report Report, rec *engineRecord, now time.Time) decision {
	switch {
	case report.Phase == phaseLeaving:
		return decision{action: actionNone}
	case report.Fence > number:
		return decision{action: actionStale}
	case report.Phase == phaseLoading:
		return decideLoading(desired, report, rec, now)
	}
	rec.loadDeadline = time.Time{}
	loads := desired.Loads(report.State)
	if report.State.Equal(desired) && (!fencing || report.Fence == number) {
		return decision{action: actionNone}
	}
	return decision{action: actionOrder, loads: loads}
}

// decideLoading waits for an engine that is loading the desired state. Such an engine may report either its old or the
// desired state. If the load takes too long, the order is sent again.
func decideLoading(desired State, report Report, rec *engineRecord, now time.Time) decision {
	if report.State.Equal(desired) {
		rec.expectLoad(desired, now)
	}
	if rec.loadingState.Equal(desired) && now.Before(rec.loadDeadline) {
		return decision{action: actionNone}
	}
	rec.loadDeadline = time.Time{}
	loads := desired.Loads(report.State)
	if len(loads) == 0 {
		loads = desired.Loads(State{})
	}
	return decision{action: actionOrder, loads: loads}
}
