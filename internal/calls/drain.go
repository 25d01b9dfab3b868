package calls

import (
	"context"

	"github.com/pkg/errors"
)

// Drain refuses new keyed calls with "run: no" and waits until all keyed calls in progress have ended and their answers
// have been returned. Repeats still get the stored answers. After Drain, no call is sent. It returns an error if ctx
// ends first.
func (e *Executor) Drain(ctx context.Context) error {
	idle := e.beginDrain()
	defer e.markClosed()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	// Both channels may be ready; the end of ctx is an error only if calls are in progress.
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
	if e.machine.phase == phaseServing {
		e.machine.phase = phaseDraining
	}
	if e.idle == nil {
		e.idle = make(chan struct{})
	}
	e.signalIdle()
	return e.idle
}

func (e *Executor) markClosed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.phase = phaseClosed
}

func (e *Executor) beginActive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active++
}

func (e *Executor) endActive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	e.signalIdle()
}

func (e *Executor) signalIdle() {
	if e.active > 0 || e.idle == nil || e.idleClosed {
		return
	}
	e.idleClosed = true
	close(e.idle)
}

// Counts returns the numbers of call records (without tombstones), tombstones and calls in progress.
func (e *Executor) Counts() (records, tombstones, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.machine.table
	return t.callCount(), t.tombstones, t.running
}
