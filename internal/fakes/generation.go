package fakes

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// generation is one generation of an Engine with its current reader, protected by the lock of the engine.
type generation struct {
	job       *Job
	tokenText func(offset int) string
	// visible is the number of tokens that readers may see.
	visible   int
	done      bool
	expiresAt time.Time
	reader    *reader
}

// reader is one open stream of a generation.
type reader struct {
	updated chan struct{}
	// endEvent is the name of the event that ends the stream early, or empty.
	endEvent string
	// dropCount is Engine.dropCount at the start of the stream. If they differ, the stream was dropped.
	dropCount int
}

// Events that end a stream before the generation finishes.
const (
	endSuperseded = "superseded"
	endCanceled   = "error"
)

// notifyReader wakes the current reader, if there is one.
func (g *generation) notifyReader() {
	if g.reader == nil {
		return
	}
	select {
	case g.reader.updated <- struct{}{}:
	default:
	}
}

// endReader ends the current reader with the given event.
func (g *generation) endReader(event string) {
	if g.reader != nil {
		g.reader.endEvent = event
		g.notifyReader()
		g.reader = nil
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset must be a number of at least 0", http.StatusBadRequest)
		return
	}
	e.lock.Lock()
	g, ok := e.generations[mux.Vars(r)["id"]]
	outOfRange := ok && offset > g.visible
	e.lock.Unlock()
	if !ok {
		http.Error(w, "unknown generation", http.StatusNotFound)
		return
	}
	if outOfRange {
		http.Error(w, "offset is beyond the tokens generated so far", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	e.serveStream(w, r, g, offset)
}

// serveStream sends the events of a generation from offset to its end. It ends the stream of a previous reader.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	reader := e.attach(g)
	defer e.detach(g, reader)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	writer := eventWriter{generation: g.job.ID(), tokenText: g.tokenText}
	for {
		visible, done, endEvent := e.progress(g, reader)
		if endEvent != "" {
			writer.encodeEnd(endEvent)
			_, _ = w.Write(writer.buffer)
			return
		}
		if visible > offset || done {
			if !e.send(w, control, &writer, offset, visible, done) {
				abortConnection()
			}
			offset = visible
		}
		if done {
			return
		}
		select {
		case <-reader.updated:
		case <-r.Context().Done():
			return
		case <-e.closed:
			abortConnection()
		}
	}
}

func (e *Engine) attach(g *generation) *reader {
	e.lock.Lock()
	defer e.lock.Unlock()
	g.endReader(endSuperseded)
	g.reader = &reader{updated: make(chan struct{}, 1), dropCount: e.dropCount}
	return g.reader
}

func (e *Engine) detach(g *generation, reader *reader) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if g.reader == reader {
		g.reader = nil
	}
}

// progress returns the number of visible tokens, whether the generation is done, and the event that ends the stream
// early. It closes the connection of a reader whose stream was dropped by a fault.
func (e *Engine) progress(g *generation, reader *reader) (visible int, done bool, endEvent string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if reader.dropCount != e.dropCount {
		abortConnection()
	}
	return g.visible, g.done, reader.endEvent
}

// send writes the events from offset to visible, subject to FaultDrop and FaultDuplicate. It reports false if the
// connection must be closed.
func (e *Engine) send(w http.ResponseWriter, control *http.ResponseController, writer *eventWriter, offset, visible int, done bool) bool {
	now := time.Now()
	drop, dropping := e.get(FaultDrop, now)
	duplicate, duplicating := e.get(FaultDuplicate, now)
	writer.buffer = writer.buffer[:0]
	for ; offset < visible; offset++ {
		if dropping && drop.Share > 0 && e.chance(drop.Share) {
			return false
		}
		writer.encodeToken(offset)
		if duplicating && (duplicate.Share == 0 || e.chance(duplicate.Share)) {
			writer.encodeToken(offset)
		}
	}
	if done {
		writer.encodeDone(visible)
	}
	if _, err := w.Write(writer.buffer); err != nil {
		return false
	}
	return control.Flush() == nil
}

// chance reports true with the given probability.
func (e *Engine) chance(probability float64) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.random.Float64() < probability
}

// eventWriter encodes server-sent events into buffer. It writes the JSON by hand because json.Marshal would be the
// largest cost of a token. strconv quotes the strings; the field names need no escapes.
type eventWriter struct {
	generation string
	tokenText  func(offset int) string
	buffer     []byte
}

func (w *eventWriter) encodeToken(offset int) {
	w.buffer = append(w.buffer, "id: "...)
	w.buffer = strconv.AppendInt(w.buffer, int64(offset), 10)
	w.buffer = append(w.buffer, "\ndata: {\"generation\":"...)
	w.buffer = strconv.AppendQuote(w.buffer, w.generation)
	w.buffer = append(w.buffer, ",\"offset\":"...)
	w.buffer = strconv.AppendInt(w.buffer, int64(offset), 10)
	w.buffer = append(w.buffer, ",\"text\":"...)
	w.buffer = strconv.AppendQuote(w.buffer, w.tokenText(offset))
	w.buffer = append(w.buffer, "}\n\n"...)
}

func (w *eventWriter) encodeDone(tokens int) {
	w.buffer = append(w.buffer, "event: done\ndata: {\"generation\":"...)
	w.buffer = strconv.AppendQuote(w.buffer, w.generation)
	w.buffer = append(w.buffer, ",\"tokens\":"...)
	w.buffer = strconv.AppendInt(w.buffer, int64(tokens), 10)
	w.buffer = append(w.buffer, "}\n\n"...)
}

// encodeEnd replaces the buffer with the event that ends a stream early. Without this event, a superseded reader would
// take the end for a lost connection, resume, and so end the stream of the reader that replaced it.
func (w *eventWriter) encodeEnd(event string) {
	w.buffer = append(w.buffer[:0], "event: "...)
	w.buffer = append(w.buffer, event...)
	w.buffer = append(w.buffer, "\ndata: {\"generation\":"...)
	w.buffer = strconv.AppendQuote(w.buffer, w.generation)
	w.buffer = append(w.buffer, "}\n\n"...)
}
