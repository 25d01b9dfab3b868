package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/drain"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// copyTimeout bounds one copy of a run's KV cache. A run of 5,500 tokens has 0.9 GB, whose copy to another data centre
	// takes 0.6 s.
	copyTimeout = 1500 * time.Millisecond

	// closeDelay is how long the source may take after the last copy to close the run's stream; then the relay closes it.
	closeDelay = 150 * time.Millisecond

	// dropTimeout bounds the call that frees a copy.
	dropTimeout = time.Second
)

// moveResult tells where a run can continue.
type moveResult struct {
	move   pond.Move
	cause  string // why the run is moved, a constant of package metric
	handle string
	// created is the number of events that the run had made when it was copied last.
	created int
	holder  string // the address of the engine that made the copy
	// targets are the engines to resume on, in the order in which they are tried.
	targets  []route.Backend
	copyTime time.Duration
	// pause lasts from the stop of the run to its first event elsewhere.
	pause *drain.Send
	// placement is that of the rest of the run, if it is not moved by an order of its placer; nil otherwise.
	placement pond.Placement
}

// mover carries out the moves that the placer orders while the stream is being forwarded. What is known about the run itself is in its engineRun.
type mover struct {
	stream    *stream
	placement pond.MovablePlacement
	cancel    context.CancelFunc
	// cause tells why the last move was ordered, a constant of package metric.
	cause string
	// avoid names the engines that failed the generation or whose limits did not permit it.
	avoid []string
	// declined names the target of the latest detour if the run does not go on there; the next detour asks for another one. Set before the end of
	// the move, read between moves.
	declined string
	// resumed holds a value after a move has ended.
	resumed chan struct{}

	mu           sync.Mutex
	inProgress   chan struct{} // closed at the end of the move in progress; nil without one
	finishedMove *moveResult
	resuming     bool // the stream goes on with finishedMove
	streamEnded  bool // the stream of the source has ended, and nothing else of it is moved
	stopped      bool // no further move begins
}

func newMover(s *stream, ctx context.Context) *mover {
	m := &mover{stream: s, cancel: func() {}, cause: metric.MoveLeaving, avoid: slices.Concat(s.x.run.avoid, s.x.run.excluded), resumed: make(chan struct{}, 1)}
	placement, ok := s.placement.(pond.MovablePlacement)
	if !ok {
		return m
	}
	m.placement = placement
	ctx, m.cancel = context.WithCancel(ctx)
	go m.serve(ctx)
	return m
}

// stop ends the mover. When it returns, no further move begins and no run is told to stop any more.
func (m *mover) stop() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.cancel()
}

// serve carries out move orders until ctx ends.
func (m *mover) serve(ctx context.Context) {
	defer m.abandon()
	for {
		endsAt, changed, due := m.detourDue()
		select {
		case <-ctx.Done():
			return
		case <-m.resumed:
		case <-changed:
		case <-due:
			m.detour(ctx, endsAt)
		case move := <-m.orders():
			m.carryOut(ctx, move)
		}
	}
}

// orders returns the orders of the placer, nil while the run goes on elsewhere first.
func (m *mover) orders() <-chan pond.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.occupied() {
		return nil
	}
	return m.placement.Moves()
}

// occupied reports whether no move can begin: the stream has ended, or its run has been stopped and goes on from the copy of an earlier move. The lock
// must be held.
func (m *mover) occupied() bool {
	return m.streamEnded || m.finishedMove != nil && m.stream.current.Load().currentState() == stateStopped
}

// carryOut carries out an order of the placer.
func (m *mover) carryOut(ctx context.Context, move pond.Move) {
	if !m.begin() {
		// The run has been stopped, or its stream has ended, since the order was taken.
		m.placement.FinishMove(move, false, time.Now())
		m.count(metric.MoveNotNecessary)
		return
	}
	if current := m.stream.currentBackend(); current.ID != move.From && m.stream.x.relay.options.Fleet.Accepting(current.ID) {
		// The placer does not know yet that the run has already moved away from that engine.
		m.publish(nil)
		m.placement.FinishMove(pond.Move{Backend: current.ID}, true, time.Now())
		m.count(metric.MoveNotNecessary)
		return
	}
	m.recordOrder()
	if !m.publish(m.execute(ctx, move)) {
		m.placement.FinishMove(move, false, time.Now())
	}
}

// begin begins a move and reports whether it may. The result of an earlier move stays until there is another: the source may have stopped the run for it.
func (m *mover) begin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.occupied() {
		return false
	}
	m.inProgress = make(chan struct{})
	return true
}

// recordOrder records why the run is to move and, if its engine is leaving, how long after the notice the order came.
func (m *mover) recordOrder() {
	m.cause = metric.MoveSlow
	if since, leaving := m.stream.x.relay.options.Fleet.LeavingSince(m.stream.currentBackend().ID); leaving {
		m.cause = metric.MoveLeaving
		m.stream.x.relay.options.Metrics.RecordMoveDelay(m.stream.x.relay.options.Clock().Sub(since))
	}
}

func (m *mover) count(outcome string) { m.stream.x.relay.options.Metrics.CountMove(m.cause, outcome) }

// publish ends the move in progress, makes its result available, nil for none, and reports whether there is one. It replaces that of an earlier move.
func (m *mover) publish(result *moveResult) bool {
	m.mu.Lock()
	var replaced *moveResult
	if result != nil {
		replaced = m.finishedMove
		m.dropResult()
		m.finishedMove = result
	}
	close(m.inProgress)
	m.inProgress = nil
	m.mu.Unlock()
	if replaced != nil && replaced.placement == nil {
		m.placement.FinishMove(replaced.move, false, time.Now())
	}
	return result != nil
}

// result ends the moves of the source, whose stream has ended. It waits for the one in progress and returns where the run can continue.
func (m *mover) result(ctx context.Context) (moveResult, bool) {
	m.mu.Lock()
	m.streamEnded = true
	inProgress := m.inProgress
	m.mu.Unlock()
	if inProgress != nil {
		select {
		case <-inProgress:
		case <-ctx.Done():
			return moveResult{}, false
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.finishedMove == nil {
		return moveResult{}, false
	}
	m.resuming = true
	return *m.finishedMove, true
}

// abandon drops the result of a move that the stream does not take any more.
func (m *mover) abandon() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropResult()
	m.finishedMove = nil
}

// dropResult ends what belongs to a result that the stream has not taken. The lock must be held.
func (m *mover) dropResult() {
	if m.finishedMove == nil || m.resuming {
		return
	}
	m.stream.x.log.WithFields(logrus.Fields{logs.Event: "moveDropped", logs.Target: m.finishedMove.move.Backend, "handle": m.finishedMove.handle}).
		Info("the result of a move is not used")
	m.finishedMove.pause.GivenUp(time.Now())
	if m.finishedMove.placement != nil {
		m.finishedMove.placement.Done(pond.PlacementEnd{}, time.Now())
	}
}

// finish ends a move. The run was resumed at the given engine, which may be its source, or nowhere; then the ID is empty.
func (m *mover) finish(result moveResult, resumedAt string) {
	resumed, moved := resumedAt != "", resumedAt == result.move.Backend
	m.mu.Lock()
	m.finishedMove, m.resuming, m.streamEnded = nil, false, !resumed
	if result.placement != nil && !moved {
		m.declined = result.move.Backend
	}
	m.mu.Unlock()
	select {
	case m.resumed <- struct{}{}:
	default:
	}
	outcome := metric.MoveNotResumed
	if moved {
		outcome = metric.MoveResumed
	}
	if !resumed {
		result.pause.GivenUp(time.Now())
	}
	m.stream.x.relay.options.Metrics.CountMove(result.cause, outcome)
	switch {
	case result.placement == nil:
		m.placement.FinishMove(result.move, moved, time.Now())
	case !moved:
		result.placement.Done(pond.PlacementEnd{}, time.Now())
	}
}

// execute copies the run while it continues, then stops it and copies the rest. It returns nil if no move is needed or
// nothing was copied.
func (m *mover) execute(ctx context.Context, move pond.Move) *moveResult {
	x := m.stream.x
	fleet := x.relay.options.Fleet
	run := m.stream.current.Load()
	source := run.backend
	log := x.log.WithFields(logrus.Fields{logs.Source: source.ID, logs.Target: move.Backend})
	if !x.body.Replayable() {
		// The target would get the request with a part of its body.
		m.count(metric.MoveNotCopied)
		log.WithField(logs.Event, "moveFailed").Info("the body of the request is not kept, so that its run cannot go on elsewhere")
		return nil
	}
	target, ok := fleet.Backend(move.Backend)
	if !ok || target.ID == source.ID {
		m.count(metric.MoveNotCopied)
		log.WithField(logs.Event, "moveFailed").Warn("the target of a move is unknown")
		return nil
	}
	if _, backingOff := fleet.BackoffUntil(target.ID); backingOff {
		m.count(metric.MoveNotCopied)
		log.WithField(logs.Event, "moveFailed").Info("the target wants no requests at present")
		return nil
	}
	if err := x.forbids(target); err != nil {
		m.count(metric.MoveNotCopied)
		log.WithError(err).WithField(logs.Event, "moveFailed").Info("a run must not move to the target")
		return nil
	}
	if fleet.SaysLeaving(target.ID) {
		m.count(metric.MoveNotCopied)
		log.WithField(logs.Event, "moveFailed").Info("the target says that it leaves")
		return nil
	}
	if x.relay.options.Limits.Exhausted(target.ID) {
		m.count(metric.MoveNotCopied)
		log.WithField(logs.Event, "moveFailed").Info("the limit of the target is used up")
		return nil
	}
	history, service := x.relay.history, x.service.Name
	if m.tooLate(source, history.Move(service, time.Now())) {
		m.count(metric.MoveNotCopied)
		log.WithField(logs.Event, "moveFailed").Info("the move would not end before this instance does")
		return nil
	}
	began := time.Now()
	copying := history.BeginCopy(service, began)
	// The copy is not canceled if the run ends meanwhile: the target would keep what it has got for several seconds.
	first, err := m.copy(context.WithoutCancel(ctx), source, target, false)
	if err != nil {
		copying.GivenUp(time.Now())
		m.count(metric.MoveNotCopied)
		log.WithError(err).WithField(logs.Event, "moveFailed").Info("a run could not be copied")
		return nil
	}
	copying.Answered(time.Now())
	if ctx.Err() != nil {
		m.count(metric.MoveNotNecessary)
		m.dropCopy(source, first.Handle)
		return nil
	}
	if err := x.forbids(target); err != nil {
		// The last copy stops the run, which could not go on there.
		m.count(metric.MoveNotCopied)
		log.WithError(err).WithField(logs.Event, "moveFailed").Info("a run must not move to the target any more")
		m.dropCopy(source, first.Handle)
		return nil
	}
	if m.tooLate(source, history.Pause(service, time.Now())) {
		// The shutdown has begun, or its end has become earlier, or the copy took long.
		m.count(metric.MoveNotCopied)
		log.WithField(logs.Event, "moveFailed").Info("the run would not go on elsewhere before this instance ends")
		m.dropCopy(source, first.Handle)
		return nil
	}
	if !m.orderStop(run) {
		m.count(metric.MoveNotNecessary)
		m.dropCopy(source, first.Handle)
		return nil
	}
	result := &moveResult{move: move, cause: m.cause, handle: first.Handle, created: first.Events, holder: source.Address, targets: []route.Backend{target}}
	result.pause = history.BeginPause(service, time.Now())
	log.WithField(logs.Event, "runStopping").Info("an engine is told to stop a run")
	final, err := m.copy(ctx, source, target, true)
	result.copyTime = time.Since(began)
	log.WithError(err).WithFields(logrus.Fields{
		logs.Event: "runStopAnswered", "handle": final.Handle, "created": final.Events, "copyMillis": result.copyTime.Milliseconds(),
	}).Info("an engine has answered the order to stop a run, or has not")
	run.stopAnswered(err)
	if run.currentState() == stateStopped {
		time.AfterFunc(closeDelay, func() { _ = run.body().Close() })
	}
	var copyErr *CopyError
	switch {
	case err == nil:
		result.handle, result.created = final.Handle, max(final.Events, first.Events)
		result.targets = []route.Backend{target, source}
	case errors.As(err, &copyErr) && copyErr.NoRun:
		// The run has ended, and its stream delivers the rest, or an earlier order has stopped it.
		result.pause.NotRun()
		m.count(metric.MoveNotNecessary)
		m.dropCopy(source, first.Handle)
		return nil
	case errors.As(err, &copyErr) && copyErr.Handle != "":
		result.handle, result.targets = copyErr.Handle, []route.Backend{source, target}
	}
	if err != nil {
		log.WithError(err).WithField(logs.Event, "moveIncomplete").Info("the last part of a run could not be copied")
	}
	return result
}

// orderStop records that the engine is about to be told to stop the run. It returns false if it must not be.
func (m *mover) orderStop(run *engineRun) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stopped && run.orderStop()
}

// tooLate reports whether what is left of a move from an engine, which takes the given time, is not expected to end before this instance does.
func (m *mover) tooLate(source route.Backend, need time.Duration) bool {
	fleet := m.stream.x.relay.options.Fleet
	_, leaving := fleet.LeavingSince(source.ID)
	return m.stream.x.relay.endsMoveTooLate(need, leaving || fleet.SaysLeaving(source.ID))
}

func (m *mover) copy(ctx context.Context, source, target route.Backend, last bool) (Copy, error) {
	ctx = reach.WithRegions(m.stream.sameWay(ctx), m.stream.x.regions())
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return m.stream.x.relay.options.Copier.Copy(ctx, source, m.stream.x.call.ID, target, last)
}

// dropCopy frees a copy that is not needed, unless the result of an earlier move has the same handle. If the call fails, the engine frees it after some
// seconds.
func (m *mover) dropCopy(source route.Backend, handle string) {
	m.mu.Lock()
	needed := m.finishedMove != nil && m.finishedMove.handle == handle
	m.mu.Unlock()
	if needed {
		return
	}
	ctx, cancel := context.WithTimeout(reach.WithRegions(context.Background(), m.stream.x.regions()), dropTimeout)
	defer cancel()
	if err := m.stream.x.relay.options.Copier.Drop(ctx, source, handle); err != nil {
		m.stream.x.log.WithError(err).WithFields(logrus.Fields{logs.Event: "dropFailed", logs.Source: source.ID}).
			Info("a copy of a run could not be freed")
	}
}
