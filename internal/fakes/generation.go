package fakes

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// generation is one generation of an Engine with its current reader. The engine's lock guards it.
type generation struct {
	job  *Job
	text func(offset int) string
	// visible is the number of tokens that readers may see.
	visible  int
	done     bool
	forgetAt time.Time
	reader   *reader
}

// reader is one open stream of a generation.
type reader struct {
	changed chan struct{}
	// end is the name of the event that ends the stream early, or empty.
	end   string
	drops int
}

// Events that end a stream before its generation is done.
const (
	endSuperseded = "superseded"
	endCanceled   = "error"
)

func (g *generation) notify() {
	if g.reader == nil {
		return
	}
	select {
	case g.reader.changed <- struct{}{}:
	default:
	}
}

// endReader ends the current reader with the given event.
func (g *generation) endReader(event string) {
	if g.reader != nil {
		g.reader.end = event
		g.notify()
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
	beyond := ok && offset > g.visible
	e.lock.Unlock()
	if !ok {
		http.Error(w, "unknown generation", http.StatusNotFound)
		return
	}
	if beyond {
		http.Error(w, "offset is beyond the tokens generated so far", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	e.serveStream(w, r, g, offset)
}

// serveStream sends the events of a generation from offset to its end. A new reader ends an older one.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, g *generation, offset int) {
	reader := e.attach(g)
	defer e.detach(g, reader)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	writer := eventWriter{generation: g.job.ID(), text: g.text}
	for {
		visible, done, end := e.progress(g, reader)
		if end != "" {
			writer.end(end)
			_, _ = w.Write(writer.buffer)
			return
		}
		if visible > offset || done {
			if !e.send(w, control, &writer, offset, visible, done) {
				abort()
			}
			offset = visible
		}
		if done {
			return
		}
		select {
		case <-reader.changed:
		case <-r.Context().Done():
			return
		case <-e.closed:
			abort()
		}
	}
}

func (e *Engine) attach(g *generation) *reader {
	e.lock.Lock()
	defer e.lock.Unlock()
	g.endReader(endSuperseded)
	g.reader = &reader{changed: make(chan struct{}, 1), drops: e.drops}
	return g.reader
}

func (e *Engine) detach(g *generation, reader *reader) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if g.reader == reader {
		g.reader = nil
	}
}

// progress returns what the reader may see and the event that ends it early. It closes the connection of a reader that
// was dropped.
func (e *Engine) progress(g *generation, reader *reader) (visible int, done bool, end string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if reader.drops != e.drops {
		abort()
	}
	return g.visible, g.done, reader.end
}

// send writes the events from offset to visible with the faults that act on events. It reports false if the
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
		writer.token(offset)
		if duplicating && (duplicate.Share == 0 || e.chance(duplicate.Share)) {
			writer.token(offset)
		}
	}
	if done {
		writer.done(visible)
	}
	if _, err := w.Write(writer.buffer); err != nil {
		return false
	}
	return control.Flush() == nil
}

func (e *Engine) chance(share float64) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.random.Float64() < share
}

// eventWriter encodes server-sent events. It appends the JSON itself because json.Marshal would be the largest cost
// of a token; the names that it writes need no escapes except the generation ID, which strconv quotes.
type eventWriter struct {
	generation string
	text       func(offset int) string
	buffer     []byte
}

func (w *eventWriter) token(offset int) {
	w.buffer = append(w.buffer, "id: "...)
	w.buffer = strconv.AppendInt(w.buffer, int64(offset), 10)
	w.buffer = append(w.buffer, "\ndata: {\"generation\":"...)
	w.buffer = strconv.AppendQuote(w.buffer, w.generation)
	w.buffer = append(w.buffer, ",\"offset\":"...)
	w.buffer = strconv.AppendInt(w.buffer, int64(offset), 10)
	w.buffer = append(w.buffer, ",\"text\":"...)
	w.buffer = strconv.AppendQuote(w.buffer, w.text(offset))
	w.buffer = append(w.buffer, "}\n\n"...)
}

func (w *eventWriter) done(tokens int) {
	w.buffer = append(w.buffer, "event: done\ndata: {\"generation\":"...)
	w.buffer = strconv.AppendQuote(w.buffer, w.generation)
	w.buffer = append(w.buffer, ",\"tokens\":"...)
	w.buffer = strconv.AppendInt(w.buffer, int64(tokens), 10)
	w.buffer = append(w.buffer, "}\n\n"...)
}

// end encodes the event that ends a stream early. A reader that only lost its connection would resume and so end the
// reader that replaced it.
func (w *eventWriter) end(event string) {
	w.buffer = append(w.buffer[:0], "event: "...)
	w.buffer = append(w.buffer, event...)
	w.buffer = append(w.buffer, "\ndata: {\"generation\":"...)
	w.buffer = strconv.AppendQuote(w.buffer, w.generation)
	w.buffer = append(w.buffer, "}\n\n"...)
}
