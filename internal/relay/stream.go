package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// readerBuffer holds one event of a stream; larger events are read in parts.
	readerBuffer = 2 << 10

	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
)

var (
	errEventTooLarge = errors.New("an event of the stream is too large")
	errCallerLeft    = errors.New("the caller's connection is closed")
)

// stream passes the events of one generation on, from one engine after the other.
type stream struct {
	x         *exchange
	placement pond.Placement
	reader    *bufio.Reader
	head      http.Header
	flusher   *http.ResponseController
	// position is the ID of the last event that was passed on, and number its value; events counts them.
	position string
	number   int64
	events   int
	started  bool
	firstAt  time.Time
	lastAt   time.Time
	maxGap   time.Duration
	moves    int
	mover    *mover

	// mu protects what the mover reads too.
	mu      sync.Mutex
	backend route.Backend
	body    io.ReadCloser
}

func newStream(x *exchange, placement pond.Placement, backend route.Backend, a attempt) *stream {
	s := &stream{
		x:         x,
		placement: placement,
		head:      a.resp.Header,
		flusher:   http.NewResponseController(x.w),
		number:    -1,
	}
	x.stream = s
	s.reader = bufio.NewReaderSize(nil, readerBuffer)
	s.setCurrent(backend, a.rest)
	return s
}

// setCurrent makes an engine the one whose events are passed on.
func (s *stream) setCurrent(backend route.Backend, body io.ReadCloser) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backend, s.body = backend, body
	s.reader.Reset(body)
}

func (s *stream) current() route.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend
}

func (s *stream) currentBody() io.ReadCloser {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.body
}

// run passes events on until the end of the answer.
func (s *stream) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mover = newMover(s, ctx)
	defer s.mover.stop()
	end := pond.PlacementEnd{}
	defer func() { s.placement.Done(end, time.Now()) }()
	defer func() { _ = s.currentBody().Close() }()
	for {
		err := s.pass()
		end.Tokens = s.tokens()
		if err == nil {
			if s.mover.movedAway() && s.goOn(ctx) {
				continue
			}
			end.Complete = true
			s.finish()
			return
		}
		left := errors.Is(err, errCallerLeft)
		if ctx.Err() == nil && !left && s.goOn(ctx) {
			continue
		}
		end.BackendFailed = ctx.Err() == nil && !left
		s.broken(ctx, err)
		return
	}
}

// pass passes events on until the stream of the present engine ends.
func (s *stream) pass() error {
	var event []byte
	for {
		line, err := s.reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event) > maxEventBytes {
				return errEventTooLarge
			}
			continue
		case errors.Is(err, io.EOF) && len(event) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if !bytes.HasSuffix(event, []byte("\n\n")) && !bytes.HasSuffix(event, []byte("\r\n\r\n")) {
			continue
		}
		if err := s.deliver(event); err != nil {
			return err
		}
		event = event[:0]
	}
}

// deliver passes one whole event on, unless the caller has it already.
func (s *stream) deliver(event []byte) error {
	id := eventID(event)
	if number, err := strconv.ParseInt(id, 10, 64); err == nil {
		if number <= s.number {
			return nil
		}
		s.number = number
	}
	if id != "" {
		s.position = id
	}
	s.start()
	if _, err := s.x.w.Write(event); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	s.note(time.Now())
	s.placement.Progress(s.tokens(), time.Now())
	if err := s.flusher.Flush(); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	return nil
}

// note counts an event that was passed on.
func (s *stream) note(now time.Time) {
	s.events++
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// describe adds what the log tells about a stream.
func (s *stream) describe(fields logrus.Fields) {
	fields[logs.Backend] = s.current().ID
	fields[logs.Position] = s.position
	fields[logs.Moves] = s.moves
	fields[logs.MaxGapMillis] = s.maxGap.Milliseconds()
	if !s.firstAt.IsZero() {
		fields[logs.FirstEventMillis] = s.firstAt.Sub(s.x.arrived).Milliseconds()
	}
}

func (s *stream) start() {
	if s.started {
		return
	}
	s.started = true
	setHeader(s.x.w.Header(), s.head)
	s.x.w.WriteHeader(http.StatusOK)
	s.x.relay.options.Metrics.FirstEvent(s.x.route.Name, time.Since(s.x.arrived))
}

func (s *stream) tokens() int { return s.events * max(s.x.service.Engine.EventTokens, 1) }

func (s *stream) finish() {
	s.start()
	s.x.ended(http.StatusOK, "answered", 0, "")
}

// broken ends an answer that cannot go on.
func (s *stream) broken(ctx context.Context, err error) {
	x := s.x
	log := x.log.WithError(err).WithFields(logrus.Fields{
		logs.Event: "streamBroken", logs.Backend: s.backend.ID, logs.Position: s.position, "events": s.events,
		"accepting": x.relay.options.Fleet.Accepting(s.backend.ID),
	})
	log.Info("the stream of an engine broke off")
	switch {
	case x.in.Context().Err() != nil || errors.Is(err, errCallerLeft):
		x.abortClosed()
	case ctx.Err() != nil && !s.started:
		x.fail(http.StatusGatewayTimeout, pond.ReasonDeadline, "no event arrived in time")
	case ctx.Err() != nil:
		x.abort(pond.ReasonDeadline, "the answer was not complete in time")
	case !s.started:
		x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, err.Error())
	default:
		x.abort(pond.ReasonGenerationLost, err.Error())
	}
}

// goOn continues the run from a copy of its memory, if there is one.
func (s *stream) goOn(ctx context.Context) bool {
	result, ok := s.mover.result(ctx)
	if !ok {
		return false
	}
	brokeAt := time.Now()
	_ = s.body.Close()
	for _, place := range result.places {
		resume := &Resume{Holder: result.holder, Handle: result.handle, Position: s.position}
		a := s.x.send(ctx, s.x.dispatch(place, resume))
		if a.err == nil && a.resp.StatusCode == http.StatusOK {
			s.logMove(place, result, time.Since(brokeAt))
			s.setCurrent(place, a.rest)
			s.moves++
			s.mover.done(result, true)
			return true
		}
		if a.rest != nil {
			_ = a.rest.Close()
		}
		s.x.logAttempt(place.ID, 1, a)
		if !a.notRun {
			break
		}
	}
	s.mover.done(result, false)
	return false
}

func (s *stream) logMove(target route.Backend, result moveResult, pause time.Duration) {
	s.x.relay.options.Metrics.Moved(result.copied, pause)
	s.x.log.WithFields(logrus.Fields{
		logs.Event: "runMoved", logs.Source: s.backend.ID, logs.Target: target.ID, logs.Position: s.position,
		"copyMillis": result.copied.Milliseconds(), "pauseMillis": pause.Milliseconds(),
		"sourceLeaves": !s.x.relay.options.Fleet.Accepting(s.backend.ID),
	}).Info("a run goes on on another engine")
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
