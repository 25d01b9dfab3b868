package stream

import (
	"context"
	"sync"
)

// WorkTracker tracks work in progress, so that a shutdown can wait for its end or cancel it. It refuses no work. The
// zero value is ready for use. A WorkTracker is safe for concurrent use.
type WorkTracker struct {
	lock    sync.Mutex
	open    map[*context.CancelCauseFunc]struct{}
	changed chan struct{}
}

// Enter registers one unit of work, which must use the returned context and call leave at its end.
func (t *WorkTracker) Enter(ctx context.Context) (inner context.Context, leave func()) {
	inner, stop := context.WithCancelCause(ctx)
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.open == nil {
		t.open = make(map[*context.CancelCauseFunc]struct{})
		t.changed = make(chan struct{})
	}
	t.open[&stop] = struct{}{}
	return inner, func() {
		stop(nil)
		t.lock.Lock()
		defer t.lock.Unlock()
		delete(t.open, &stop)
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Open returns the number of units of work in progress.
func (t *WorkTracker) Open() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.open)
}

// Wait blocks until no work is in progress. It returns false if done was closed first. With a nil done it waits without
// limit.
func (t *WorkTracker) Wait(done <-chan struct{}) bool {
	for {
		t.lock.Lock()
		open, changed := len(t.open), t.changed
		t.lock.Unlock()
		if open == 0 {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Stop cancels the contexts of all work in progress with the given cause.
func (t *WorkTracker) Stop(cause error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for stop := range t.open {
		(*stop)(cause)
	}
}
