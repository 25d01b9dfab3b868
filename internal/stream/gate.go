package stream

import (
	"context"
	"sync"
)

// Gate tracks work in progress, so that a shutdown can wait for its end or cancel it. It refuses no work. The zero
// value is ready for use. A Gate is safe for concurrent use.
type Gate struct {
	lock    sync.Mutex
	open    map[*context.CancelCauseFunc]struct{}
	changed chan struct{}
}

// Enter registers one unit of work, which must use the returned context and call leave at its end.
func (g *Gate) Enter(ctx context.Context) (inner context.Context, leave func()) {
	inner, stop := context.WithCancelCause(ctx)
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.open == nil {
		g.open = make(map[*context.CancelCauseFunc]struct{})
		g.changed = make(chan struct{})
	}
	g.open[&stop] = struct{}{}
	return inner, func() {
		stop(nil)
		g.lock.Lock()
		defer g.lock.Unlock()
		delete(g.open, &stop)
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// Open returns the number of units of work in progress.
func (g *Gate) Open() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.open)
}

// Wait blocks until no work is in progress. It returns false if done was closed first. With a nil done it waits without
// limit.
func (g *Gate) Wait(done <-chan struct{}) bool {
	for {
		g.lock.Lock()
		open, changed := len(g.open), g.changed
		g.lock.Unlock()
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
func (g *Gate) Stop(cause error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for stop := range g.open {
		(*stop)(cause)
	}
}
