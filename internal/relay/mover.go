package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// copyTimeout bounds one copy of a run's memory. A run of 5,500 tokens has 0.9 GB and takes 0.6 s to another data centre.
	copyTimeout = 1500 * time.Millisecond

	// closeDelay is the time after the last copy within which the source closes the run's stream.
	closeDelay = 150 * time.Millisecond

	// dropTimeout bounds the call that frees a copy.
	dropTimeout = time.Second
)

// moveResult tells where a run can go on.
type moveResult struct {
	move   pond.Move
	cause  string // one of the causes of package metric
	handle string
	holder string // the address of the engine that made the copy
	// places are the engines to try in turn.
	places []route.Backend
	copied time.Duration
}

// mover carries out the moves that the placement asks for, beside the stream that is read.
type mover struct {
	s         *stream
	placement pond.MovablePlacement
	cancel    context.CancelFunc
	// cause is that of the last move, one of the causes of package metric.
	cause string

	mu       sync.Mutex
	busy     chan struct{} // closed at the end of the move in progress; nil without one
	finished *moveResult
	away     bool // the source stops or has stopped
}

func newMover(s *stream, ctx context.Context) *mover {
	m := &mover{s: s, cancel: func() {}, cause: metric.MoveLeaving}
	placement, ok := s.placement.(pond.MovablePlacement)
	if !ok {
		return m
	}
	m.placement = placement
	ctx, m.cancel = context.WithCancel(ctx)
	go m.serve(ctx)
	return m
}

func (m *mover) stop() { m.cancel() }

func (m *mover) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case move := <-m.placement.Moves():
			if current := m.s.current(); current.ID != move.From && m.s.x.relay.options.Fleet.Accepting(current.ID) {
				// The placer does not know yet that the run has left that engine.
				m.placement.Moved(pond.Move{Backend: current.ID}, true, time.Now())
				m.count(metric.MoveNotNecessary)
				continue
			}
			m.begin()
			m.noteOrder()
			result := m.move(ctx, move)
			if !m.end(result) {
				m.placement.Moved(move, false, time.Now())
			}
		}
	}
}

func (m *mover) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy, m.finished, m.away = make(chan struct{}), nil, false
}

// noteOrder records why the run is to move, and how long after the notice the order came.
func (m *mover) noteOrder() {
	m.cause = metric.MoveSlow
	if since, leaving := m.s.x.relay.options.Fleet.LeavingSince(m.s.current().ID); leaving {
		m.cause = metric.MoveLeaving
		m.s.x.relay.options.Metrics.MoveOrdered(m.s.x.relay.options.Clock().Sub(since))
	}
}

func (m *mover) count(outcome string) { m.s.x.relay.options.Metrics.MoveEnded(m.cause, outcome) }

// end publishes the result of a move and reports whether there is one.
func (m *mover) end(result *moveResult) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finished = result
	close(m.busy)
	m.busy = nil
	return result != nil
}

// movedAway reports whether the present engine was told to stop the run.
func (m *mover) movedAway() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away
}

// result waits for the move in progress and returns where the run can go on.
func (m *mover) result(ctx context.Context) (moveResult, bool) {
	m.mu.Lock()
	busy := m.busy
	m.mu.Unlock()
	if busy != nil {
		select {
		case <-busy:
		case <-ctx.Done():
			return moveResult{}, false
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.finished == nil {
		return moveResult{}, false
	}
	return *m.finished, true
}

// done ends a move after the run went on elsewhere or could not.
func (m *mover) done(result moveResult, ok bool) {
	m.mu.Lock()
	m.finished, m.away = nil, false
	m.mu.Unlock()
	outcome := metric.MoveResumed
	if !ok {
		outcome = metric.MoveNotResumed
	}
	m.s.x.relay.options.Metrics.MoveEnded(result.cause, outcome)
	m.placement.Moved(result.move, ok, time.Now())
}

// move copies the run while it goes on, then stops it and copies the rest. It returns nil if nothing was copied.
func (m *mover) move(ctx context.Context, move pond.Move) *moveResult {
	x := m.s.x
	fleet := x.relay.options.Fleet
	source := m.s.current()
	log := x.log.WithFields(logrus.Fields{logs.Source: source.ID, logs.Target: move.Backend})
	target, ok := fleet.Backend(move.Backend)
	if !ok || target.ID == source.ID {
		m.count(metric.MoveNotCopied)
		log.WithField(logs.Event, "moveFailed").Warn("the target of a move is not known")
		return nil
	}
	began := time.Now()
	first, err := m.copy(ctx, source, target, false)
	if err != nil {
		m.count(metric.MoveNotCopied)
		log.WithError(err).WithField(logs.Event, "moveFailed").Info("a run could not be copied")
		return nil
	}
	m.mu.Lock()
	m.away = true
	m.mu.Unlock()
	result := &moveResult{move: move, cause: m.cause, handle: first.Handle, holder: source.Address, places: []route.Backend{target}}
	second, err := m.copy(ctx, source, target, true)
	result.copied = time.Since(began)
	var refused *CopyError
	switch {
	case err == nil:
		result.handle = second.Handle
		body := m.s.currentBody()
		time.AfterFunc(closeDelay, func() { _ = body.Close() })
	case errors.As(err, &refused) && refused.NoRun:
		m.mu.Lock()
		m.away = false // The run has ended; its stream holds the rest.
		m.mu.Unlock()
		m.count(metric.MoveNotNecessary)
		m.drop(source, first.Handle)
		return nil
	case errors.As(err, &refused) && refused.Handle != "":
		result.handle, result.places = refused.Handle, []route.Backend{source, target}
	}
	if err != nil {
		log.WithError(err).WithField(logs.Event, "moveIncomplete").Info("the last part of a run could not be copied")
	}
	return result
}

func (m *mover) copy(ctx context.Context, source, target route.Backend, last bool) (Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return m.s.x.relay.options.Copier.Copy(ctx, source, m.s.x.call.ID, target, last)
}

// drop frees a copy that is not needed. The engine frees it by itself after some seconds if the call fails.
func (m *mover) drop(source route.Backend, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	if err := m.s.x.relay.options.Copier.Drop(ctx, source, handle); err != nil {
		m.s.x.log.WithError(err).WithFields(logrus.Fields{logs.Event: "dropFailed", logs.Source: source.ID}).
			Info("a copy of a run could not be freed")
	}
}
