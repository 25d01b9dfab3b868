package stream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Causes that stop a session from outside.
var (
	errReleased = errors.New("generation was released to another instance")
	errMoved    = errors.New("instance is leaving")
	errDeadline = errors.New("deadline has passed")
	errStalled  = errors.New("engine sent nothing for too long")
	errCaller   = errors.New("caller is gone")
)

// restartFailures is the number of consecutive failures without an event after which a generation that may be
// replaced is given up.
const restartFailures = 3

// endKind tells how a session ended.
type endKind int

const (
	// endDone is a complete generation.
	endDone endKind = iota
	// endLost is a generation that cannot go on at its engine.
	endLost
	// endCaller is a caller that is gone.
	endCaller
	// endReleased is a generation that another taker got.
	endReleased
	// endMoved is a stream cut short because the instance is leaving.
	endMoved
	// endDeadline is a request that was given up on.
	endDeadline
)

// ending is the result of a session.
type ending struct {
	kind endKind
	// notRun is true if the engine surely never ran the generation.
	notRun bool
	// leaving is true if the engine answered that it takes no new work.
	leaving bool
	cause   error
}

// session relays one generation to one caller.
type session struct {
	relay     *Relay
	ctx       context.Context
	stop      context.CancelCauseFunc
	start     engine.Generation
	account   string
	model     string
	format    string
	backend   string
	address   string
	epoch     uint64
	sequence  sequence
	placement pond.Placement
	deadline  time.Time
	// whole is true if the caller gets nothing before the end, so that the generation may be replaced at any time.
	whole  bool
	sink   Sink
	sealer *cursorSealer
	timing timing
	// guard stops the session at the deadline while no events arrive.
	guard   *time.Timer
	guarded bool
	// failures counts consecutive failures without an accepted event.
	failures int
	// silent is true if the last attempt ended without an event although the engine had answered. Such an engine has
	// the generation and is slow, so this is no failure: a replacement would wait at least as long and add load.
	silent bool
	// reattached is true once the session attached again after the engine ended its reader for a newer one.
	reattached bool
}

// timing observes the metrics of one answer.
type timing struct {
	work    *metric.Work
	arrived time.Time
	last    time.Time
}

func (t *timing) token(now time.Time) {
	if t.last.IsZero() {
		t.work.FirstToken.Observe(now.Sub(t.arrived).Seconds())
	} else {
		t.work.TokenGap.Observe(now.Sub(t.last).Seconds())
	}
	t.last = now
	t.work.Tokens.Inc()
}

// run relays until the session ends. resume is true if the generation already runs.
func (s *session) run(resume bool) ending {
	s.guard = time.AfterFunc(time.Until(s.deadline), func() { s.stop(errDeadline) })
	s.guarded = true
	defer s.guard.Stop()
	for {
		s.silent = false
		end, again := s.attempt(resume)
		if !again {
			return end
		}
		resume = true
		s.watchDeadline()
		s.relay.options.Metrics.Recovered("resume")
		if s.silent {
			s.failures = 0
			continue
		}
		if s.failures > 0 && !sleep(s.ctx, backoff(s.failures-1)) {
			return s.stopped()
		}
		s.failures++
	}
}

// watchDeadline arms the guard. It is armed only while the generation makes no progress: an answer that arrives late
// is worth more to its caller than one that is cut off.
func (s *session) watchDeadline() {
	if !s.guarded {
		s.guarded = true
		s.guard.Reset(time.Until(s.deadline))
	}
}

func (s *session) progressed() {
	s.failures = 0
	if s.guarded {
		s.guarded = false
		s.guard.Stop()
	}
}

// attempt relays over one connection to the engine. again is true if a resume may help.
func (s *session) attempt(resume bool) (end ending, again bool) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	limit := s.relay.options.StallLimit
	watchdog := time.AfterFunc(limit, func() { cancel(errStalled) })
	defer watchdog.Stop()
	events, err := s.open(ctx, resume)
	if err != nil {
		return s.openFailed(ctx, resume, err)
	}
	defer events.Close()
	if resume && s.timing.last.IsZero() && s.sequence.next > 0 {
		if err := s.deliver(Item{Kind: ItemAttached, Offset: s.sequence.next - 1}); err != nil {
			return ending{kind: endCaller, cause: err}, false
		}
	}
	for {
		event, err := events.Next()
		if err != nil {
			return s.broken(ctx, err)
		}
		watchdog.Reset(limit)
		switch s.sequence.judge(event) {
		case verdictAccept:
			if err := s.token(event); err != nil {
				return ending{kind: endCaller, cause: err}, false
			}
		case verdictDone:
			return ending{kind: endDone}, false
		case verdictGap:
			return ending{}, true
		case verdictSuperseded:
			return s.superseded()
		case verdictLost:
			return ending{kind: endLost, cause: errors.New("engine gave the generation up")}, false
		}
	}
}

func (s *session) open(ctx context.Context, resume bool) (engine.Events, error) {
	if resume {
		return s.relay.options.Runner.Resume(ctx, s.address, s.sequence.generation, s.sequence.next)
	}
	return s.relay.options.Runner.Start(ctx, s.address, s.start)
}

// token delivers an accepted token.
func (s *session) token(event engine.Event) error {
	s.progressed()
	now := time.Now()
	s.timing.token(now)
	if s.placement != nil {
		s.placement.Progress(s.sequence.next, now)
	}
	return s.deliver(Item{Kind: ItemToken, Offset: event.Offset, Text: event.Text})
}

// deliver completes an item and hands it to the sink. Only items that continue an answer have a cursor.
func (s *session) deliver(item Item) error {
	item.Generation = s.sequence.generation
	item.Tokens = s.sequence.next
	if !s.whole && item.Kind != ItemError && s.sequence.next > 0 {
		cursor, err := s.sealer.seal(Cursor{
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

// superseded decides about a reader that the engine ended for a newer one. The newer one may be a request of this session
// that was presumed lost and arrived late, so the session attaches once more. It does so only once, so that two
// instances that cannot reach each other do not take the generation from each other without end; the one that attached
// last keeps it.
func (s *session) superseded() (ending, bool) {
	if s.reattached {
		return ending{kind: endReleased}, false
	}
	s.reattached = true
	return ending{}, true
}

// openFailed decides about a failed start or resume.
func (s *session) openFailed(ctx context.Context, resume bool, err error) (ending, bool) {
	if s.ctx.Err() != nil {
		return s.stopped(), false
	}
	failure, _ := errors.Cause(err).(*engine.Error)
	lost := ending{kind: endLost, cause: err}
	stalled := errors.Is(context.Cause(ctx), errStalled)
	switch {
	case !resume && !stalled:
		// Only the first request can prove this: a refused resume tells nothing about the start before it.
		lost.notRun = failure != nil && failure.NotRun()
		lost.leaving = failure != nil && failure.Leaving()
		return lost, false
	case resume && failure != nil && failure.Gone():
		return lost, false
	case s.restartable() && s.failures+1 >= restartFailures:
		return lost, false
	default:
		return ending{}, true
	}
}

// broken decides about a connection that ended before the generation did.
func (s *session) broken(ctx context.Context, err error) (ending, bool) {
	if s.ctx.Err() != nil {
		return s.stopped(), false
	}
	lost := ending{kind: endLost, cause: err}
	stalled := errors.Is(context.Cause(ctx), errStalled)
	switch {
	case stalled:
		s.silent = true
		return ending{}, true
	case s.sequence.next == 0:
		return lost, false
	case s.restartable() && s.failures+1 >= restartFailures:
		return lost, false
	default:
		return ending{}, true
	}
}

// restartable reports whether the caller has received nothing of this generation.
func (s *session) restartable() bool { return s.whole || s.sequence.next == 0 }

// stopped translates the cause that ended the session's context.
func (s *session) stopped() ending {
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, errReleased):
		return ending{kind: endReleased, cause: cause}
	case errors.Is(cause, errMoved):
		return ending{kind: endMoved, cause: cause}
	case errors.Is(cause, errDeadline):
		return ending{kind: endDeadline, cause: cause}
	default:
		return ending{kind: endCaller, cause: errCaller}
	}
}
