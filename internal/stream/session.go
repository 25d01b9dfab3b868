package stream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Causes of the cancellation of a session's context, and of its connection to the engine.
var (
	errReleased        = errors.New("generation was released to another instance")
	errInstanceLeaving = errors.New("instance is leaving")
	errDeadline        = errors.New("deadline has passed")
	errStalled         = errors.New("engine sent nothing for too long")
	errCallerGone      = errors.New("caller is gone")
)

// replaceAfterFailures is the number of consecutive failures without an event after which a replaceable generation is
// given up.
const replaceAfterFailures = 3

// endKind tells how a session ended.
type endKind int

const (
	// endDone is a complete generation.
	endDone endKind = iota
	// endLost is a generation that cannot continue on its engine.
	endLost
	// endCallerGone is a caller that is gone.
	endCallerGone
	// endReleased is a generation that was released to another taker.
	endReleased
	// endInstanceLeaving is a stream that ended early because the instance is leaving.
	endInstanceLeaving
	// endDeadline is a request whose deadline passed.
	endDeadline
)

// sessionEnd is the result of a session.
type sessionEnd struct {
	kind endKind
	// notRun is true if it is certain that the engine never ran the generation.
	notRun bool
	// engineLeaving is true if the engine responded that it takes no new work.
	engineLeaving bool
	cause         error
}

// session relays one generation to one caller.
type session struct {
	relay        *Relay
	ctx          context.Context
	stop         context.CancelCauseFunc
	startRequest engine.Generation
	account      string
	model        string
	format       string
	backend      string
	address      string
	epoch        uint64
	sequence     sequence
	placement    pond.Placement
	deadline     time.Time
	// nonStreaming is true if the caller receives nothing before the end, so that the generation can always be replaced.
	nonStreaming bool
	sink         Sink
	signer       *cursorSigner
	timing       timing
	// deadlineTimer stops the session at the deadline. It is armed only while no events arrive.
	deadlineTimer *time.Timer
	deadlineArmed bool
	// failures counts consecutive failures without an accepted event.
	failures int
	// stalled is true if the last attempt ended because the engine had accepted the connection but sent nothing for too
	// long. Such an engine has the generation and is slow, so this does not count as a failure: a replacement would
	// take at least as long and add load.
	stalled bool
	// reattached is true once the session has attached again after the engine had ended its reader for a newer one.
	reattached bool
}

// timing records the latency metrics of one response.
type timing struct {
	metrics   *metric.ClassMetrics
	arrived   time.Time
	lastToken time.Time
}

func (t *timing) recordToken(now time.Time) {
	if t.lastToken.IsZero() {
		t.metrics.FirstToken.Observe(now.Sub(t.arrived).Seconds())
	} else {
		t.metrics.TokenGap.Observe(now.Sub(t.lastToken).Seconds())
	}
	t.lastToken = now
	t.metrics.Tokens.Inc()
}

// run relays until the session ends. resume is true if the generation was started before.
func (s *session) run(resume bool) sessionEnd {
	s.deadlineTimer = time.AfterFunc(time.Until(s.deadline), func() { s.stop(errDeadline) })
	s.deadlineArmed = true
	defer s.deadlineTimer.Stop()
	for {
		s.stalled = false
		end, again := s.attempt(resume)
		if !again {
			return end
		}
		resume = true
		s.armDeadline()
		s.relay.options.Metrics.CountRecovery("resume")
		if s.stalled {
			s.failures = 0
			continue
		}
		if s.failures > 0 && !sleep(s.ctx, backoff(s.failures-1)) {
			return s.endFromContext()
		}
		s.failures++
	}
}

// armDeadline arms the deadline timer. It is armed only while the generation makes no progress, because a late response
// is worth more to its caller than a truncated one.
func (s *session) armDeadline() {
	if !s.deadlineArmed {
		s.deadlineArmed = true
		s.deadlineTimer.Reset(time.Until(s.deadline))
	}
}

func (s *session) recordProgress() {
	s.failures = 0
	if s.deadlineArmed {
		s.deadlineArmed = false
		s.deadlineTimer.Stop()
	}
}

// attempt relays over one connection to the engine. again is true if the session should resume.
func (s *session) attempt(resume bool) (end sessionEnd, again bool) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	limit := s.relay.options.StallLimit
	watchdog := time.AfterFunc(limit, func() { cancel(errStalled) })
	defer watchdog.Stop()
	events, err := s.open(ctx, resume)
	if err != nil {
		return s.handleOpenError(ctx, resume, err)
	}
	defer events.Close()
	if resume && s.timing.lastToken.IsZero() && s.sequence.next > 0 {
		if err := s.deliver(Item{Kind: ItemAttached, Offset: s.sequence.next - 1}); err != nil {
			return sessionEnd{kind: endCallerGone, cause: err}, false
		}
	}
	for {
		event, err := events.Next()
		if err != nil {
			return s.handleReadError(ctx, err)
		}
		switch s.sequence.check(event) {
		case verdictAccept:
			watchdog.Reset(limit)
			if err := s.deliverToken(event); err != nil {
				return sessionEnd{kind: endCallerGone, cause: err}, false
			}
		case verdictDone:
			return sessionEnd{kind: endDone}, false
		case verdictGap:
			return sessionEnd{}, true
		case verdictSuperseded:
			return s.handleSuperseded()
		case verdictLost:
			return sessionEnd{kind: endLost, cause: errors.New("engine gave up the generation")}, false
		}
	}
}

func (s *session) open(ctx context.Context, resume bool) (engine.Events, error) {
	ctx = reach.WithRegions(ctx, s.relay.regions(s.model, s.account))
	if resume {
		return s.relay.options.Runner.Resume(ctx, s.address, s.sequence.generation, s.sequence.next)
	}
	return s.relay.options.Runner.Start(ctx, s.address, s.startRequest)
}

// deliverToken delivers an accepted token.
func (s *session) deliverToken(event engine.Event) error {
	s.recordProgress()
	now := time.Now()
	s.timing.recordToken(now)
	if s.placement != nil {
		s.placement.Progress(s.sequence.next, now)
	}
	return s.deliver(Item{Kind: ItemToken, Offset: event.Offset, Text: event.Text})
}

// deliver completes an item and passes it to the sink. Errors, items before the first token and items of
// non-streaming responses have no cursor.
func (s *session) deliver(item Item) error {
	item.Generation = s.sequence.generation
	item.Tokens = s.sequence.next
	if !s.nonStreaming && item.Kind != ItemError && s.sequence.next > 0 {
		cursor, err := s.signer.sign(Cursor{
			Backend:    s.backend,
			Generation: s.sequence.generation,
			Offset:     s.sequence.next - 1,
			Relay:      s.relay.self,
			Epoch:      s.epoch,
			Account:    s.account,
			Model:      s.model,
			Format:     s.format,
		})
		if err != nil {
			return err
		}
		item.Cursor = cursor
	}
	return s.sink.Deliver(item)
}

// handleSuperseded handles a reader that the engine ended for a newer one. The newer reader may be a request of this
// session that was presumed lost and arrived late, so the session attaches again. It does so only once, so that two
// instances that cannot reach each other do not take the generation from each other endlessly; the one that attached
// last keeps it.
func (s *session) handleSuperseded() (sessionEnd, bool) {
	if s.reattached {
		return sessionEnd{kind: endReleased}, false
	}
	s.reattached = true
	return sessionEnd{}, true
}

// handleOpenError handles a failed start or resume.
func (s *session) handleOpenError(ctx context.Context, resume bool, err error) (sessionEnd, bool) {
	if s.ctx.Err() != nil {
		return s.endFromContext(), false
	}
	failure, _ := errors.Cause(err).(*engine.Error)
	lost := sessionEnd{kind: endLost, cause: err}
	stalled := errors.Is(context.Cause(ctx), errStalled)
	switch {
	case !resume && !stalled:
		// Only the start can prove that the engine never ran the generation: a refused resume says nothing about the
		// start before it.
		lost.notRun = failure != nil && failure.NotRun()
		lost.engineLeaving = failure != nil && failure.Leaving()
		return lost, false
	case resume && failure != nil && failure.Gone():
		return lost, false
	case s.replaceable() && s.failures+1 >= replaceAfterFailures:
		return lost, false
	default:
		return sessionEnd{}, true
	}
}

// handleReadError handles a connection that ended before the generation.
func (s *session) handleReadError(ctx context.Context, err error) (sessionEnd, bool) {
	if s.ctx.Err() != nil {
		return s.endFromContext(), false
	}
	lost := sessionEnd{kind: endLost, cause: err}
	stalled := errors.Is(context.Cause(ctx), errStalled)
	switch {
	case stalled:
		s.stalled = true
		return sessionEnd{}, true
	case s.sequence.next == 0:
		return lost, false
	case s.replaceable() && s.failures+1 >= replaceAfterFailures:
		return lost, false
	default:
		return sessionEnd{}, true
	}
}

// replaceable reports whether the caller has received nothing of this generation, so that another one can replace it.
func (s *session) replaceable() bool { return s.nonStreaming || s.sequence.next == 0 }

// endFromContext maps the cause that ended the session's context.
func (s *session) endFromContext() sessionEnd {
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, errReleased):
		return sessionEnd{kind: endReleased, cause: cause}
	case errors.Is(cause, errInstanceLeaving):
		return sessionEnd{kind: endInstanceLeaving, cause: cause}
	case errors.Is(cause, errDeadline):
		return sessionEnd{kind: endDeadline, cause: cause}
	default:
		return sessionEnd{kind: endCallerGone, cause: errCallerGone}
	}
}
