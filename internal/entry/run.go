package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflypond/dragonflypond/internal/front"
)

const (
	confirmationPollInterval = 20 * time.Millisecond
	// leavePropagationTime is the time within which all instances learn that this one is leaving and stop listing it.
	leavePropagationTime = 3 * time.Second
	// placerDrainTimeout bounds the wait for open placements after streams have ended or been moved.
	placerDrainTimeout = 5 * time.Second
	// closeTimeout bounds the wait for HTTP connections to close after all work has ended.
	closeTimeout = 2 * time.Second
)

// Shutdown begins a graceful shutdown. A second call moves streams to other instances at once.
func (e *Entry) Shutdown() {
	first := false
	e.shutdownOnce.Do(func() {
		first = true
		close(e.shutdown)
	})
	if !first {
		e.handOverOnce.Do(func() { close(e.handOver) })
	}
}

// Run serves until a shutdown has completed or ctx ends, which stops the instance without draining. It returns nil
// after a complete shutdown.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer e.dialer.Close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.members.Run(ctx) })
	group.Go(func() error { return e.watch.Run(ctx) })
	group.Go(func() error { return e.placer.Run(ctx) })
	group.Go(func() error { return e.reconciler.Run(ctx) })
	group.Go(func() error { return e.peerServer.Serve(ctx, e.listeners.peer) })
	group.Go(e.serveHTTP)
	group.Go(func() error {
		defer cancel()
		return e.runPhases(ctx)
	})
	err := group.Wait()
	_ = e.network.Close()
	if e.Phase() == PhaseStopped && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (e *Entry) serveHTTP() error {
	if err := e.httpServer.Serve(e.callers.Listener(e.listeners.http)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}

// runPhases takes the instance through its phases until it has stopped or ctx ends.
func (e *Entry) runPhases(ctx context.Context) error {
	defer func() { _ = e.httpServer.Close() }()
	e.logPhase(PhaseStarting)
	if e.waitConfirmed(ctx) {
		e.enterPhase(PhaseReady)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.shutdown:
	}
	e.leave(ctx)
	e.drain(ctx)
	e.enterPhase(PhaseStopped)
	return ctx.Err()
}

// leave announces that the instance is leaving, and waits until the entries that callers have looked up no longer list
// it. The wait ends early after the drain limit or when a hand-over is requested.
func (e *Entry) leave(ctx context.Context) {
	e.enterPhase(PhaseLeaving)
	e.members.Leave()
	duration := min(front.EntriesValidity+leavePropagationTime, e.settings.DrainLimit())
	select {
	case <-ctx.Done():
	case <-e.handOver:
	case <-time.After(duration):
	}
}

// drain refuses new work and waits until all work in progress has ended. After the drain limit, or when a hand-over is
// requested, streams are moved to other instances.
func (e *Entry) drain(ctx context.Context) {
	e.enterPhase(PhaseDraining)
	drainCtx, cancel := context.WithTimeout(ctx, e.settings.DrainLimit())
	defer cancel()
	go func() {
		select {
		case <-e.handOver:
			cancel()
		case <-drainCtx.Done():
		}
	}()
	var group errgroup.Group
	group.Go(func() error { return e.executor.Drain(drainCtx) })
	group.Go(func() error { return e.front.Drain(drainCtx) })
	group.Go(func() error { return e.tunnels.Drain(drainCtx) })
	if err := group.Wait(); err != nil {
		e.log.WithError(err).Warn("drain ended before all work in progress had ended")
	}
	placerCtx, cancelPlacer := context.WithTimeout(ctx, placerDrainTimeout)
	defer cancelPlacer()
	if err := e.placer.Drain(placerCtx); err != nil {
		e.log.WithError(err).Warn("placements still open at the end of the shutdown")
	}
	httpCtx, cancelHTTP := context.WithTimeout(ctx, closeTimeout)
	defer cancelHTTP()
	_ = e.httpServer.Shutdown(httpCtx)
}
