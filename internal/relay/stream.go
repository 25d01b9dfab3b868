package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/drain"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// paceEvents is the number of events over which the pace of an engine is measured.
const paceEvents = 16

var errCallerLeft = errors.New("the caller's connection is closed")

// stream forwards the events of one generation, also after it has moved to another engine.
type stream struct {
	x         *exchange
	placement pond.Placement
	scanner   *eventScanner
	// current is the run on the current engine, which the mover reads too, and earlier holds those before.
	earlier  []*engineRun
	current  atomic.Pointer[engineRun]
	head     http.Header
	flusher  *http.ResponseController
	sequence sequence
	// events counts the forwarded events, and eventsBefore those forwarded before the current placement.
	events       int
	eventsBefore int
	// created is the number of events that the run is known to have made, 0 for none.
	created int
	// continued is true if the caller had events before the run began.
	continued bool
	// forwarded is events, for the mover.
	forwarded     atomic.Int64
	headerWritten bool
	// comments holds the comments that came before the first event.
	comments     []byte
	sent         *drain.Send // of the current run, until its first event
	pause        *drain.Send // of the latest move, until the first event after it
	firstEventAt time.Time
	lastEventAt  time.Time
	// paceSince is the time of the event from which the pace is measured next.
	paceSince time.Time
	maxGap    time.Duration
	// maxGapBackend is the engine at which maxGap ended.
	maxGapBackend string
	moves         int
	mover         *mover
	stall         *stallTimer
}

func newStream(x *exchange, run startedRun) *stream {
	s := &stream{
		x:         x,
		placement: run.placement,
		sent:      run.sent,
		head:      run.attempt.resp.Header,
		flusher:   http.NewResponseController(x.w),
		stall:     run.stall,
		sequence:  newSequence(x.run.position),
		continued: x.run.position != "",
	}
	x.stream = s
	s.scanner = newEventScanner(nil)
	s.switchSource(newEngineRun(run.backend, run.attempt))
	return s
}

// switchSource goes on with the events of another run.
func (s *stream) switchSource(run *engineRun) {
	if former := s.current.Load(); former != nil {
		s.earlier = append(s.earlier, former)
	}
	for _, former := range s.earlier {
		run.inherit(former)
	}
	s.current.Store(run)
	s.scanner.reset(run.body())
}

func (s *stream) currentBackend() route.Backend { return s.current.Load().backend }

// currentVia returns the connection through another instance that carries the current events, or nil.
func (s *stream) currentVia() tunnel { return s.current.Load().attempt.via }

// sameWay returns a context for connections that lead through another instance if the current events do.
func (s *stream) sameWay(ctx context.Context) context.Context {
	if s.currentVia() != nil {
		return reach.PreferHelper(ctx)
	}
	return ctx
}

// run forwards events until the response ends.
func (s *stream) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mover = newMover(s, ctx)
	end := pond.PlacementEnd{}
	defer func() {
		s.sent.GivenUp(time.Now())
		s.pause.GivenUp(time.Now())
		s.mover.stop()
		_ = s.current.Load().body().Close()
		if s.placement != nil {
			s.placement.Done(end, time.Now())
		}
	}()
	for {
		err := s.forwardEvents()
		if err == nil && s.endedEmpty() {
			err = io.ErrUnexpectedEOF
		}
		end.Tokens = s.tokens()
		if err == nil && s.current.Load().mayBeStopped() {
			if s.resumeFromCopy(ctx) {
				continue
			}
			err = s.current.Load().checkNotStopped()
		}
		if err == nil {
			err = s.current.Load().attempt.confirmComplete()
		}
		if err == nil && s.endedEarly() {
			err = errEventsMissing
		}
		if err == nil {
			end.Complete = true
			s.logEnd()
			s.finish()
			return
		}
		over := errors.Is(err, errCallerLeft) || errors.Is(err, errEndAtDeadline)
		if !over && ctx.Err() == nil && s.resumeFromCopy(ctx) {
			continue
		}
		broken := !over && ctx.Err() == nil
		end.BackendFailed = broken && !s.current.Load().mayBeStopped() && !errors.Is(err, errHelperEnds)
		if end.BackendFailed && s.hardlyBegun() && mayBeCrash(err) {
			s.x.recordBreak(ctx, s.currentBackend(), s.current.Load().attempt, true)
		}
		if broken && s.restart(ctx, err, end.BackendFailed) {
			continue
		}
		s.fail(ctx, err)
		return
	}
}

// logEnd logs what tells whether the end of the engine's stream is that of the answer.
func (s *stream) logEnd() {
	run := s.current.Load()
	s.x.log.WithFields(logrus.Fields{
		logs.Event: "streamEnded", logs.Backend: run.backend.ID, logs.Position: s.x.run.position, "closeDelimited": run.attempt.closeDelimited,
		"run": run.currentState().String(), "tunneled": run.attempt.via != nil, logs.Moves: s.moves,
		logs.RemainingMillis: time.Until(s.x.deadline).Milliseconds(),
	}).Info("the stream of an engine has ended")
}

// forwardEvents forwards events until the stream of the current engine ends.
func (s *stream) forwardEvents() error {
	for {
		event, err := s.scanner.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.deliverEvent(event); err != nil {
			return err
		}
	}
}

// deliverEvent forwards one complete event, unless the caller has already received it.
func (s *stream) deliverEvent(event []byte) error {
	if isComment(event) {
		return s.deliverComment(event)
	}
	id := eventID(event)
	isNew, err := s.sequence.accept(id, event)
	if !isNew {
		return err
	}
	if id != "" {
		s.x.run.position = id
	}
	s.writeHeader()
	if err := s.write(event); err != nil {
		return err
	}
	s.recordEvent(time.Now())
	s.stall.reset(s.x.deadline)
	s.placement.Progress(s.tokens(), time.Now())
	return s.flush()
}

// deliverComment forwards lines that are no event. They are no progress of the run. Before the first event they are held back, because another
// engine may still have to run the request.
func (s *stream) deliverComment(comment []byte) error {
	if !s.headerWritten {
		if len(s.comments)+len(comment) > maxEventBytes {
			return errEventTooLarge
		}
		s.comments = append(s.comments, comment...)
		return nil
	}
	if err := s.write(comment); err != nil {
		return err
	}
	return s.flush()
}

func (s *stream) write(p []byte) error {
	if _, err := s.x.w.Write(p); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	return nil
}

func (s *stream) flush() error {
	if err := s.flusher.Flush(); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	return nil
}

// recordEvent counts a forwarded event and measures the gap since the previous one.
func (s *stream) recordEvent(now time.Time) {
	s.events++
	s.forwarded.Add(1)
	if s.sent != nil {
		s.sent.Answered(now)
		s.sent = nil
	}
	if s.pause != nil {
		s.pause.Answered(now)
		s.pause = nil
	}
	if s.firstEventAt.IsZero() {
		s.firstEventAt, s.paceSince = now, now
	} else {
		if gap := now.Sub(s.lastEventAt); gap > s.maxGap {
			s.maxGap, s.maxGapBackend = gap, s.currentBackend().ID
		}
	}
	s.lastEventAt = now
	if s.events%paceEvents == 1 && s.events > 1 {
		s.x.relay.history.RecordPace(s.x.service.Name, now.Sub(s.paceSince)/time.Duration(paceEvents*s.eventTokens()))
		s.paceSince = now
	}
	if s.events-s.eventsBefore == begunEvents {
		s.recordBegun()
	}
}

// addLogFields adds the fields that describe the stream.
func (s *stream) addLogFields(fields logrus.Fields) {
	fields[logs.Backend] = s.currentBackend().ID
	fields[logs.Position] = s.x.run.position
	fields[logs.Moves] = s.moves
	fields[logs.MaxGapMillis] = s.maxGap.Milliseconds()
	fields[logs.GapBackend] = s.maxGapBackend
	if !s.firstEventAt.IsZero() {
		fields[logs.FirstEventMillis] = s.firstEventAt.Sub(s.x.arrived).Milliseconds()
	}
}

// late returns what came later than the route's targets, or "".
func (s *stream) late() string {
	r := s.x.route
	switch {
	case r.LatencyTarget > 0 && s.firstEventAt.Sub(s.x.arrived) > r.LatencyTarget:
		return logs.LateFirst
	case r.GapTarget > 0 && s.maxGap > r.GapTarget:
		return logs.LateGap
	default:
		return ""
	}
}

// writeHeader sends the header of the response before the first event.
func (s *stream) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	s.x.progress.advance(StageResponding)
	copyHeader(s.x.w.Header(), s.head)
	s.x.w.WriteHeader(http.StatusOK)
	_, _ = s.x.w.Write(s.comments) // The write of the event that follows reports an error.
	s.comments = nil
	s.x.relay.options.Metrics.RecordFirstEvent(s.x.route.Name, time.Since(s.x.arrived))
}

// tokens returns the tokens of the current placement.
func (s *stream) tokens() int {
	return (s.events - s.eventsBefore) * s.eventTokens()
}

// eventTokens returns the tokens of one event.
func (s *stream) eventTokens() int { return max(s.x.service.Engine.EventTokens, 1) }

// recordShortPace records the pace of a stream with too few events for recordEvent.
func (s *stream) recordShortPace() {
	if tokens := (s.events - 1) * s.eventTokens(); s.events > 1 && s.events <= paceEvents {
		s.x.relay.history.RecordPace(s.x.service.Name, s.lastEventAt.Sub(s.firstEventAt)/time.Duration(tokens))
	}
}

func (s *stream) finish() {
	s.recordShortPace()
	if s.hardlyBegun() {
		s.recordBegun()
	}
	s.writeHeader()
	s.x.recordEnd(http.StatusOK, "answered", 0, "")
}

// fail ends a response that cannot be continued.
func (s *stream) fail(ctx context.Context, err error) {
	x, run := s.x, s.current.Load()
	fields := logrus.Fields{
		logs.Event: "streamBroken", logs.Backend: run.backend.ID, logs.Position: x.run.position, "events": s.events,
		"accepting": x.relay.options.Fleet.Accepting(run.backend.ID), "run": run.currentState().String(),
	}
	x.addPromptFields(fields, run.attempt.weightsVersion)
	x.log.WithError(err).WithFields(fields).Info("the stream of an engine broke off")
	switch {
	case x.callerLeft() || errors.Is(err, errCallerLeft):
		x.abortDisconnected()
	case (ctx.Err() != nil || errors.Is(err, errEndAtDeadline)) && !s.headerWritten:
		x.failUnanswered("no event arrived in time")
	case ctx.Err() != nil || errors.Is(err, errEndAtDeadline):
		x.abort(pond.ReasonDeadline, "the answer was not complete in time")
	case !s.headerWritten:
		x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, err.Error())
	default:
		x.abort(pond.ReasonGenerationLost, err.Error())
	}
}

// resumeFromCopy continues the run on an engine that has a copy of its KV cache, if there is one. Its first round waits for a moment only, so that an engine which
// is busy doesn't hold up the other one; the second round waits longer for those that were busy.
func (s *stream) resumeFromCopy(ctx context.Context) bool {
	result, ok := s.mover.result(ctx)
	if !ok {
		return false
	}
	began := time.Now()
	_ = s.current.Load().body().Close()
	clock := s.x.relay.options.Clock
	lastGiveUp := clock().Add(maxPermitWait)
	busy := result.targets
	for _, last := range []bool{false, true} {
		targets := busy
		busy = nil
		for _, target := range targets {
			if s.x.forbids(target) != nil {
				continue
			}
			giveUpAt := clock().Add(firstPermitWait)
			if last {
				giveUpAt = lastGiveUp
			}
			if !s.x.awaitPermit(ctx, target.ID, giveUpAt) {
				busy = append(busy, target)
				continue
			}
			resumed, notRun := s.resumeAt(ctx, target, result, began)
			if resumed {
				return true
			}
			if !notRun {
				s.mover.finish(result, "")
				return false
			}
			if later := clock().Add(firstPermitWait); later.After(lastGiveUp) {
				lastGiveUp = later // It took its time to decline.
			}
		}
	}
	s.mover.finish(result, "")
	return false
}

// resumeAt asks an engine to continue the run, which paused at a time. If it doesn't, notRun tells whether another one may be asked.
func (s *stream) resumeAt(ctx context.Context, target route.Backend, result moveResult, pausedAt time.Time) (resumed, notRun bool) {
	resume := &Resume{Holder: result.holder, Handle: result.handle}
	a := s.x.send(s.sameWay(ctx), s.x.dispatch(target, resume))
	if target.Address == result.holder && errors.As(a.err, new(*reach.EndsError)) {
		// No instance that lasts leads to the source, which keeps the run: it goes on there until it can move to another engine.
		resume.untilNextMove = true
		a = s.x.send(s.sameWay(ctx), s.x.dispatch(target, resume))
	}
	if a.err != nil || a.resp.StatusCode != http.StatusOK {
		if a.rest != nil {
			_ = a.rest.Close()
		}
		s.x.logAttempt(target.ID, 1, a)
		return false, a.notRun
	}
	s.logMove(target, result, time.Since(pausedAt))
	s.switchSource(newEngineRun(target, a))
	s.sequence.sourceChanged(changeContinued)
	s.created = max(s.created, result.created)
	s.pause.GivenUp(time.Now())
	s.stall, s.pause = nil, result.pause
	s.moves++
	replaced := result.placement != nil && target.ID == result.move.Backend
	if replaced {
		s.mover.stop() // Before the next move of this placement could begin.
	}
	s.mover.finish(result, target.ID)
	if replaced {
		s.changePlacement(ctx, result.placement)
	}
	return true, false
}

// changePlacement goes on under the placement of the rest of the run.
func (s *stream) changePlacement(ctx context.Context, placement pond.Placement) {
	s.placement.Done(pond.PlacementEnd{Tokens: s.tokens()}, time.Now())
	s.x.run.deliveredTokens += s.tokens()
	s.placement, s.eventsBefore = placement, s.events
	s.mover = newMover(s, ctx)
}

// restart runs a resumable stream again on another engine, from the last event that the caller has, which its ID tells. The response
// keeps the header of the first engine.
func (s *stream) restart(ctx context.Context, cause error, backendFailed bool) bool {
	x := s.x
	if !x.mayRunAgain(ctx) || s.events > 0 && x.run.position == "" {
		return false
	}
	failed := s.currentBackend()
	s.sent.GivenUp(time.Now())
	s.pause.GivenUp(time.Now())
	s.comments = nil
	s.mover.stop()
	_ = s.current.Load().body().Close()
	s.placement.Done(pond.PlacementEnd{Tokens: s.tokens(), BackendFailed: backendFailed}, time.Now())
	s.placement = nil
	x.run.deliveredTokens += s.tokens()
	x.run.avoid = append(x.run.avoid, failed.ID)
	s.eventsBefore = s.events
	x.log.WithError(cause).WithFields(logrus.Fields{
		logs.Event: "runRestarted", logs.Backend: failed.ID, logs.Position: x.run.position, logs.Attempt: x.run.sent,
	}).Info("a resumable run broke off and is placed again")
	run, respond := x.startRun(ctx)
	if respond != nil {
		return false
	}
	s.placement, s.stall, s.sent, s.pause = run.placement, run.stall, run.sent, nil
	s.switchSource(newEngineRun(run.backend, run.attempt))
	s.sequence.sourceChanged(changeRestarted)
	s.created, s.continued = 0, x.run.position != ""
	s.mover = newMover(s, ctx)
	return true
}

func (s *stream) logMove(target route.Backend, result moveResult, pause time.Duration) {
	source := s.currentBackend()
	s.x.relay.options.Metrics.RecordMoveTimes(result.copyTime, pause)
	s.x.log.WithFields(logrus.Fields{
		logs.Event: "runMoved", logs.Source: source.ID, logs.Target: target.ID, logs.Position: s.x.run.position,
		"copyMillis": result.copyTime.Milliseconds(), "pauseMillis": pause.Milliseconds(),
		"cause": result.cause, "sourceLeaves": !s.x.relay.options.Fleet.Accepting(source.ID),
	}).Info("a run goes on on another engine")
}

// isComment reports whether all lines of a block are comments or empty.
func isComment(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// eventID returns the id field of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
