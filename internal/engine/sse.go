package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	eventBufferBytes = 2 << 10
	// maxEventBytes bounds the memory that an instance uses for an event of a faulty engine. An event holds some tokens.
	maxEventBytes = 64 << 10
)

var errEventTooLarge = errors.Errorf("event exceeds %d bytes", maxEventBytes)

// eventReader decodes server-sent events.
type eventReader struct {
	body     io.ReadCloser
	reader   *bufio.Reader
	longLine []byte
	data     []byte
}

func newEventReader(body io.ReadCloser) *eventReader {
	return &eventReader{body: body, reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// Next implements Events.
func (r *eventReader) Next() (Event, error) {
	var kind EventKind
	knownKind := true
	r.data = r.data[:0]
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if len(r.data) > 0 && knownKind {
				return decodeEvent(kind, r.data)
			}
			kind, knownKind, r.data = EventToken, true, r.data[:0]
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			kind, knownKind = parseEventKind(value)
		case "data":
			r.data = append(r.data, value...)
		}
		if len(r.data) > maxEventBytes {
			return Event{}, errEventTooLarge
		}
	}
}

// Close implements Events.
func (r *eventReader) Close() error { return r.body.Close() }

// readLine returns the next line without its line ending. The result is valid until the next call.
func (r *eventReader) readLine() ([]byte, error) {
	r.longLine = r.longLine[:0]
	for {
		part, err := r.reader.ReadSlice('\n')
		if err == nil && len(r.longLine) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		r.longLine = append(r.longLine, part...)
		if len(r.longLine) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err == nil {
			return bytes.TrimRight(r.longLine, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func parseEventKind(name []byte) (EventKind, bool) {
	switch string(name) {
	case "", "message", "token":
		return EventToken, true
	case "done":
		return EventDone, true
	case "superseded":
		return EventSuperseded, true
	case "error":
		return EventError, true
	default:
		return EventToken, false
	}
}

type eventPayload struct {
	Generation string `json:"generation"`
	Offset     int    `json:"offset"`
	Text       string `json:"text"`
	Tokens     int    `json:"tokens"`
	Reason     string `json:"reason"`
}

func decodeEvent(kind EventKind, data []byte) (Event, error) {
	var payload eventPayload
	if err := json.Unmarshal(data, &payload); err != nil {
		return Event{}, errors.Wrap(err, "decode event")
	}
	if kind == EventError && payload.Reason == EventSuperseded.String() {
		kind = EventSuperseded
	}
	return Event{Kind: kind, Generation: payload.Generation, Offset: payload.Offset, Text: payload.Text, Tokens: payload.Tokens}, nil
}
