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

	// copyTimeout bounds one copy of a run's memory. A long letter of 0.9 GB takes 0.6 s to another data centre.
	copyTimeout = 1500 * time.Millisecond

	// closeDelay is the time after the last copy within which the source closes the run's stream.
	closeDelay = 150 * time.Millisecond

	// dropTimeout bounds the call that frees a copy.
	dropTimeout = time.Second
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
		x.abort(pond.ReasonCanceled, "the caller left")
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

// moveResult tells where a run can go on.
type moveResult struct {
	move   pond.Move
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

	mu       sync.Mutex
	busy     chan struct{} // closed at the end of the move in progress; nil without one
	finished *moveResult
	away     bool // the source stops or has stopped
}

func newMover(s *stream, ctx context.Context) *mover {
	m := &mover{s: s, cancel: func() {}}
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
			if current := m.s.current(); m.s.x.relay.options.Fleet.Accepting(current.ID) {
				// The placer does not know yet that the run has left the engine that leaves.
				m.placement.Moved(pond.Move{Backend: current.ID}, true, time.Now())
				continue
			}
			m.begin()
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
		log.WithField(logs.Event, "moveFailed").Warn("the target of a move is not known")
		return nil
	}
	began := time.Now()
	first, err := m.copy(ctx, source, target, false)
	if err != nil {
		log.WithError(err).WithField(logs.Event, "moveFailed").Info("a run could not be copied")
		return nil
	}
	m.mu.Lock()
	m.away = true
	m.mu.Unlock()
	result := &moveResult{move: move, handle: first.Handle, holder: source.Address, places: []route.Backend{target}}
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
