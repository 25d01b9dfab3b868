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
	// writeTimeout is how long a write may block before the connection to the caller counts as lost.
	writeTimeout = 30 * time.Second
	// writeDeadlineInterval is the shortest time between extensions of the write deadline, each of which costs a timer
	// update.
	writeDeadlineInterval = 5 * time.Second
)

// eventSink writes an answer as server-sent events.
type eventSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	front   *Front
	format  answerFormat
	model   string
	created int64
	buffer  bytes.Buffer
	encoder *json.Encoder
	// deadlineSetAt is the time of the last extension of the write deadline.
	deadlineSetAt time.Time
	started       bool
}

func (f *Front) newEventSink(w http.ResponseWriter, format answerFormat, model string, now time.Time) *eventSink {
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
	s.prepareWrite()
	s.buffer.Reset()
	if err := s.encode(item); err != nil {
		return err
	}
	if _, err := s.writer.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// prepareWrite extends the write deadline and sends the header before the first event.
func (s *eventSink) prepareWrite() {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) >= writeDeadlineInterval {
		s.deadlineSetAt = now
		_ = s.control.SetWriteDeadline(now.Add(writeTimeout))
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
		return s.writeData(s.format.tokenChunk(s.head(item), item))
	case stream.ItemDone:
		if err := s.writeData(s.format.finalChunk(s.head(item), item)); err != nil {
			return err
		}
		s.buffer.WriteString("event: done\ndata: [DONE]\n\n")
	case stream.ItemError:
		s.front.options.Metrics.CountRefusal(item.Reason)
		s.buffer.WriteString("event: error\n")
		return s.writeData(errorPayload{
			Generation: item.Generation,
			Reason:     item.Reason.String(),
			Detail:     item.Detail,
			Tokens:     item.Tokens,
			Run:        pond.RunUnknown.String(),
		})
	case stream.ItemMove:
		s.buffer.WriteString("event: move\n")
		return s.writeData(movePayload{Generation: item.Generation, Cursor: item.Cursor, Tokens: item.Tokens})
	default:
		// Clients take the last event ID from an event without data but do not dispatch the event.
		s.buffer.WriteByte('\n')
	}
	return nil
}

// writeData writes a data field and the blank line that ends the event. The encoder ends the line of the field.
func (s *eventSink) writeData(value any) error {
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

// errorPayload is the data of an error event.
type errorPayload struct {
	Generation string `json:"generation"`
	Reason     string `json:"reason"`
	Detail     string `json:"detail"`
	// Tokens is the number of tokens delivered.
	Tokens int    `json:"tokens"`
	Run    string `json:"run"`
}

// movePayload is the data of a move event.
type movePayload struct {
	Generation string `json:"generation"`
	Cursor     string `json:"cursor"`
	Tokens     int    `json:"tokens"`
}
