package once

import (
	"context"

	"github.com/pkg/errors"
)

// Drain refuses new keyed calls with "run: no" and waits until all keyed calls in progress have ended and their answers
// have been returned. Repeats get the kept answers meanwhile. After Drain no call is sent any more. It returns an error
// if ctx ends first.
func (e *Executor) Drain(ctx context.Context) error {
	idle := e.beginDrain()
	defer e.close()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	// Both may be ready; a limit that has passed matters only if calls are in progress.
	select {
	case <-idle:
		return nil
	default:
		return errors.Wrap(ctx.Err(), "drain calls to plain services")
	}
}

func (e *Executor) beginDrain() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.core.phase == phaseServing {
		e.core.phase = phaseDraining
	}
	if e.idle == nil {
		e.idle = make(chan struct{})
	}
	e.signalIdle()
	return e.idle
}

func (e *Executor) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.phase = phaseClosed
}

func (e *Executor) enter() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active++
}

func (e *Executor) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	e.signalIdle()
}

func (e *Executor) signalIdle() {
	if e.active > 0 || e.idle == nil || e.drained {
		return
	}
	e.drained = true
	close(e.idle)
}

// Counts returns the number of records without tombstones, of tombstones and of calls in progress.
func (e *Executor) Counts() (records, tombstones, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.core.table
	return t.calls(), t.tombstones, t.running
}
