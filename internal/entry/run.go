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
	confirmationPoll = 20 * time.Millisecond
	// noticeSpread is the time within which the notice of leaving reaches all instances, so that none names this one.
	noticeSpread = 3 * time.Second
	// handOverLimit bounds the time in which streams get their move events.
	handOverLimit = 5 * time.Second
	// closeLimit bounds the end of idle connections after everything in progress has ended.
	closeLimit = 2 * time.Second
)

// Shutdown begins a graceful shutdown. A second call hands streams over to other instances at once.
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

// Run serves until a shutdown has completed or ctx ends, which stops the instance without draining. The error is nil
// after a complete shutdown.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.members.Run(ctx) })
	group.Go(func() error { return e.watch.Run(ctx) })
	group.Go(func() error { return e.placer.Run(ctx) })
	group.Go(func() error { return e.reconciler.Run(ctx) })
	group.Go(func() error { return e.peerServer.Serve(ctx, e.listeners.peer) })
	group.Go(e.serveHTTP)
	group.Go(func() error {
		defer cancel()
		return e.live(ctx)
	})
	err := group.Wait()
	_ = e.network.Close()
	if e.Phase() == PhaseStopped && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (e *Entry) serveHTTP() error {
	if err := e.httpServer.Serve(e.listeners.http); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}

// live passes the phases of the instance's life.
func (e *Entry) live(ctx context.Context) error {
	defer func() { _ = e.httpServer.Close() }()
	e.logPhase(PhaseStarting)
	if e.confirmed(ctx) {
		e.enter(PhaseReady)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.shutdown:
	}
	e.leave(ctx)
	e.drain(ctx)
	e.enter(PhaseStopped)
	return ctx.Err()
}

// leave announces the end and waits until no caller holds a lookup answer that names this instance.
func (e *Entry) leave(ctx context.Context) {
	e.enter(PhaseLeaving)
	e.members.Leave()
	limit := min(front.EntriesValidity+noticeSpread, e.settings.DrainLimit())
	select {
	case <-ctx.Done():
	case <-e.handOver:
	case <-time.After(limit):
	}
}

// drain refuses new work and waits until everything in progress has ended, or hands streams over.
func (e *Entry) drain(ctx context.Context) {
	e.enter(PhaseDraining)
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
	if err := group.Wait(); err != nil {
		e.log.WithError(err).Warn("work was handed over before its end")
	}
	closeCtx, cancelClose := context.WithTimeout(ctx, handOverLimit)
	defer cancelClose()
	if err := e.placer.Drain(closeCtx); err != nil {
		e.log.WithError(err).Warn("placements remained at the end of the shutdown")
	}
	httpCtx, cancelHTTP := context.WithTimeout(ctx, closeLimit)
	defer cancelHTTP()
	_ = e.httpServer.Shutdown(httpCtx)
}
