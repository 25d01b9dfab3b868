package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	eventBuffer = 2 << 10
	// maxEventBytes bounds the memory that a faulty engine can make an instance use.
	maxEventBytes = 1 << 20
)

var errEventTooLarge = errors.Errorf("event exceeds %d bytes", maxEventBytes)

// eventReader decodes server-sent events.
type eventReader struct {
	body   io.ReadCloser
	reader *bufio.Reader
	long   []byte
	data   []byte
}

func newEventReader(body io.ReadCloser) *eventReader {
	return &eventReader{body: body, reader: bufio.NewReaderSize(body, eventBuffer)}
}

// Next implements Events.
func (r *eventReader) Next() (Event, error) {
	var kind EventKind
	known := true
	r.data = r.data[:0]
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if len(r.data) > 0 && known {
				return decodeEvent(kind, r.data)
			}
			kind, known, r.data = EventToken, true, r.data[:0]
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			kind, known = eventKind(value)
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

// line returns the next line without its end. It is valid until the next call.
func (r *eventReader) line() ([]byte, error) {
	r.long = r.long[:0]
	for {
		part, err := r.reader.ReadSlice('\n')
		if err == nil && len(r.long) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		r.long = append(r.long, part...)
		if len(r.long) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err == nil {
			return bytes.TrimRight(r.long, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func eventKind(name []byte) (EventKind, bool) {
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

type eventDoc struct {
	Generation string `json:"generation"`
	Offset     int    `json:"offset"`
	Text       string `json:"text"`
	Tokens     int    `json:"tokens"`
	Reason     string `json:"reason"`
}

func decodeEvent(kind EventKind, data []byte) (Event, error) {
	var doc eventDoc
	if err := json.Unmarshal(data, &doc); err != nil {
		return Event{}, errors.Wrap(err, "decode event")
	}
	if kind == EventError && doc.Reason == EventSuperseded.String() {
		kind = EventSuperseded
	}
	return Event{Kind: kind, Generation: doc.Generation, Offset: doc.Offset, Text: doc.Text, Tokens: doc.Tokens}, nil
}
