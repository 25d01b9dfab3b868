package relay

import (
	"errors"
	"io"
	"sync"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

//go:generate go tool enumer -type=engineRunState -trimprefix=state -transform=title-lower -output=enginerunstate_enumer.go

// engineRunState is what is known about the run on one engine. It only advances, unless the only order to stop the run was refused or not sent: an engine
// that was told to stop a run may have done so, whatever is ordered later.
type engineRunState int

// States of a run, in their order.
const (
	// stateRunning is a run that the engine was not told to stop.
	stateRunning engineRunState = iota
	// stateStopping is a run that the engine was told to stop, with an outcome that is not known.
	stateStopping
	// stateStopped is a run that the engine has stopped.
	stateStopped
	// stateEnded is a run that had ended by itself when the engine was told to stop it.
	stateEnded
)

var errRunStopped = errors.New("the run was stopped for a move and could not go on elsewhere")

// engineRun is the run of a stream on one engine. It is safe for concurrent use.
type engineRun struct {
	backend route.Backend
	attempt attempt

	mu    sync.Mutex
	state engineRunState
	// stopOrders counts the orders to stop the run that may have been sent and were not refused, and unansweredStops those of them without an answer.
	stopOrders, unansweredStops int
}

func newEngineRun(backend route.Backend, a attempt) *engineRun {
	return &engineRun{backend: backend, attempt: a}
}

func (r *engineRun) body() io.ReadCloser { return r.attempt.rest }

// currentState returns what is known about the run.
func (r *engineRun) currentState() engineRunState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// mayBeStopped reports whether the engine has stopped the run or may have done so.
func (r *engineRun) mayBeStopped() bool {
	state := r.currentState()
	return state == stateStopping || state == stateStopped
}

// orderStop records that the engine is about to be told to stop the run. It returns false if it must not be, because the run is over.
func (r *engineRun) orderStop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state > stateStopping {
		return false
	}
	r.state = stateStopping
	r.stopOrders++
	r.unansweredStops++
	return true
}

// stopAnswered records what became of the order to stop the run. That the engine has no such run means that the run had ended by itself
// only if no earlier order can have stopped it.
func (r *engineRun) stopAnswered(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refusal *CopyError
	var failure *engine.Error
	notSent := errors.As(err, &failure) && failure.Outcome() == pond.OutcomeNotSent
	if err == nil || notSent || errors.As(err, &refusal) {
		r.unansweredStops--
	}
	switch {
	case r.state > stateStopping:
	case err == nil, refusal != nil && refusal.Handle != "":
		r.state = stateStopped
	case refusal != nil && refusal.NoRun && r.stopOrders == 1:
		r.state = stateEnded
	case notSent, refusal != nil && refusal.Busy:
		if r.stopOrders--; r.stopOrders == 0 {
			r.state = stateRunning
		}
	}
}

// inherit counts the unanswered orders to stop an earlier run of the request on the same engine: they may still stop this one.
func (r *engineRun) inherit(earlier *engineRun) {
	earlier.mu.Lock()
	unanswered := earlier.unansweredStops
	earlier.mu.Unlock()
	if unanswered == 0 || earlier.backend.ID != r.backend.ID {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = stateStopping
	r.stopOrders += unanswered
	r.unansweredStops += unanswered
}

// checkNotStopped returns an error if the run was stopped, so that the orderly end of its stream is not that of the answer. While the outcome of an order to
// stop it is not known, a length or chunks show that an answer is whole.
func (r *engineRun) checkNotStopped() error {
	state := r.currentState()
	if state == stateStopped || state == stateStopping && r.attempt.closeDelimited {
		return errRunStopped
	}
	return nil
}
