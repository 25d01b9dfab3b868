package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// readBufferBytes is the size of the read buffer. It holds a usual event; larger events are read in parts.
	readBufferBytes = 2 << 10

	// maxEventBytes bounds the size of one event. An event holds some tokens.
	maxEventBytes = 64 << 10
)

// errSecondResponse is the error of another response where an event is due. Without a length and chunks it passes for a part of the first.
var errSecondResponse = errors.New("another response follows the events")

var errEventTooLarge = errors.New("an event of the stream is too large")

// eventScanner splits a stream into events.
type eventScanner struct {
	reader *bufio.Reader
	event  []byte
}

func newEventScanner(stream io.Reader) *eventScanner {
	return &eventScanner{reader: bufio.NewReaderSize(stream, readBufferBytes)}
}

// reset goes on with another stream, at the beginning of an event.
func (s *eventScanner) reset(stream io.Reader) { s.reader.Reset(stream) }

// next returns the next event or comment with the blank line at its end. It is valid until the next call. The error is io.EOF at the end of the
// stream, io.ErrUnexpectedEOF at an end within an event, and errSecondResponse at the beginning of another response.
func (s *eventScanner) next() ([]byte, error) {
	s.event = s.event[:0]
	for {
		line, err := s.reader.ReadSlice('\n')
		if len(s.event)+len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		s.event = append(s.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(s.event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if bytes.HasPrefix(s.event, []byte("HTTP/")) {
			return nil, errSecondResponse
		}
		if bytes.HasSuffix(s.event, []byte("\n\n")) || bytes.HasSuffix(s.event, []byte("\r\n\r\n")) {
			return s.event, nil
		}
	}
}

// streamsEvents reports whether a response of a plain service is a stream of events. One that states no type and has no length of its own is taken for
// one on a streaming route, because its end would not show that it was cut.
func (x *exchange) streamsEvents(a attempt) bool {
	if x.route.Kind != route.KindStream || a.resp.StatusCode != http.StatusOK {
		return false
	}
	contentType := a.resp.Header.Get("Content-Type")
	if contentType == "" {
		return a.closeDelimited
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && mediaType == "text/event-stream"
}

// readFirstEvent reads the response body up to its first event. A body without one is read whole.
func (a *attempt) readFirstEvent() {
	a.events = newEventScanner(a.rest)
	for {
		event, err := a.events.next()
		switch {
		case errors.Is(err, io.EOF) && !a.closeDelimited:
			_ = a.rest.Close()
			a.rest, a.events = nil, nil
			return
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF // Nothing tells this end from that of the connection.
		case err == nil && len(a.buffered)+len(event) > maxEventBytes:
			err = errEventTooLarge
		}
		if err != nil {
			_ = a.rest.Close()
			a.rest, a.events, a.err = nil, nil, err
			return
		}
		a.buffered = append(a.buffered, event...)
		if !isComment(event) {
			return
		}
	}
}

// writeEvents forwards a stream of events as they come. One that ends within an event is broken off.
func (x *exchange) writeEvents(a attempt) {
	defer func() {
		_ = a.rest.Close()
		a.onEnd(a)
	}()
	header := x.w.Header()
	copyHeader(header, a.resp.Header)
	if a.resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	x.progress.advance(StageResponding)
	x.firstEventAt = time.Now()
	x.relay.options.Metrics.RecordFirstEvent(x.route.Name, x.firstEventAt.Sub(x.arrived))
	x.w.WriteHeader(a.resp.StatusCode)
	controller := http.NewResponseController(x.w)
	event := a.buffered
	for {
		_, err := x.w.Write(event)
		if err == nil {
			err = controller.Flush()
		}
		if err != nil || x.callerLeft() {
			x.abortDisconnected()
		}
		if event, a.err = a.events.next(); errors.Is(a.err, io.EOF) {
			if a.err = a.confirmComplete(); a.err == nil {
				break
			}
		}
		if a.err == nil {
			continue
		}
		if x.callerLeft() {
			a.err = nil
			x.abortDisconnected()
		}
		if !time.Now().Before(x.deadline) || errors.Is(a.err, errEndAtDeadline) {
			x.abort(pond.ReasonDeadline, "the answer was not complete in time")
		}
		a.onBroken()
		x.abort(pond.ReasonBackendFailed, a.err.Error())
	}
	x.recordEnd(a.resp.StatusCode, "answered", 0, "")
}
