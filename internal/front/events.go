package front

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/stream"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// writeLimit is how long a caller may take no bytes before its connection counts as lost.
	writeLimit = 30 * time.Second
	// writeLimitRenewal spaces the calls that extend the write deadline, which cost a timer update each.
	writeLimitRenewal = 5 * time.Second
)

// eventSink writes an answer as server-sent events.
type eventSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	front   *Front
	format  format
	model   string
	created int64
	buffer  bytes.Buffer
	encoder *json.Encoder
	// renewed is the time of the last extension of the write deadline.
	renewed time.Time
	started bool
}

func (f *Front) newEventSink(w http.ResponseWriter, format format, model string, now time.Time) *eventSink {
	s := &eventSink{
		writer:  w,
		control: http.NewResponseController(w),
		front:   f,
		format:  format,
		model:   model,
		created: now.Unix(),
	}
	s.encoder = json.NewEncoder(&s.buffer)
	s.encoder.SetEscapeHTML(false)
	return s
}

// Deliver implements stream.Sink.
func (s *eventSink) Deliver(item stream.Item) error {
	s.begin()
	s.buffer.Reset()
	if err := s.encode(item); err != nil {
		return err
	}
	if _, err := s.writer.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *eventSink) begin() {
	now := time.Now()
	if now.Sub(s.renewed) >= writeLimitRenewal {
		s.renewed = now
		_ = s.control.SetWriteDeadline(now.Add(writeLimit))
	}
	if s.started {
		return
	}
	s.started = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
}

func (s *eventSink) encode(item stream.Item) error {
	if item.Cursor != "" {
		s.buffer.WriteString("id: ")
		s.buffer.WriteString(item.Cursor)
		s.buffer.WriteByte('\n')
	}
	switch item.Kind {
	case stream.ItemToken:
		return s.data(s.format.token(s.head(item), item))
	case stream.ItemDone:
		if err := s.data(s.format.last(s.head(item), item)); err != nil {
			return err
		}
		s.buffer.WriteString("event: done\ndata: [DONE]\n\n")
	case stream.ItemError:
		s.front.options.Metrics.Refused(item.Reason)
		s.buffer.WriteString("event: error\n")
		return s.data(errorEvent{
			Generation: item.Generation,
			Reason:     item.Reason.String(),
			Detail:     item.Detail,
			Tokens:     item.Tokens,
			Run:        pond.RunUnknown.String(),
		})
	case stream.ItemMove:
		s.buffer.WriteString("event: move\n")
		return s.data(moveEvent{Generation: item.Generation, Cursor: item.Cursor, Tokens: item.Tokens})
	default:
		// An event without data sets the caller's last event ID and is not dispatched.
		s.buffer.WriteByte('\n')
	}
	return nil
}

// data writes a data field and the end of the event. The encoder ends the field's line.
func (s *eventSink) data(value any) error {
	s.buffer.WriteString("data: ")
	if err := s.encoder.Encode(value); err != nil {
		return err
	}
	s.buffer.WriteByte('\n')
	return nil
}

func (s *eventSink) head(item stream.Item) chunkHead {
	return chunkHead{ID: item.Generation, Created: s.created, Model: s.model}
}

// errorEvent is the data of an error event.
type errorEvent struct {
	Generation string `json:"generation"`
	Reason     string `json:"reason"`
	Detail     string `json:"detail"`
	// Tokens is the number of tokens delivered.
	Tokens int    `json:"tokens"`
	Run    string `json:"run"`
}

// moveEvent is the data of a move event.
type moveEvent struct {
	Generation string `json:"generation"`
	Cursor     string `json:"cursor"`
	Tokens     int    `json:"tokens"`
}
