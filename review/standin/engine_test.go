package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	eventTokens = 4
	copyTime    = 30 * time.Millisecond
)

// engineConfig says how a model replica behaves.
type engineConfig struct {
	id, zone string
	// pace is the time between two events, and firstEvent that until the first one.
	pace, firstEvent time.Duration
	// unframed answers have neither a length nor chunks and end with their connection.
	unframed bool
	// early answers begin before a long body has been read; the replica reads on later.
	early bool
}

// engine is the stand-in of a model replica.
type engine struct {
	engineConfig
	fleet   *engines
	address string
	server  *http.Server
	started time.Time
	state   string
	// limit is the Server-Limit that the replica names in its answers, empty for none, and named that it has done so.
	limit string
	named bool
}

// engines are the replicas of a service. Its lock protects their runs and copies.
type engines struct {
	record *record
	mu     sync.Mutex
	runs   map[string]*run       // by X-Attempt-Id
	copies map[string]*kvCopy    // by IP:PORT/HANDLE
	byAddr map[string]*engine    // by IP:PORT
	bodies map[string]*bodyCheck // by X-Attempt-Id
	serial int
}

// run is one request that a replica has begun to work on.
type run struct {
	id     string
	total  int // events
	made   int // events
	on     *engine
	stop   chan struct{} // closed to stop the run on its engine
	ended  chan struct{} // closed when the engine works on it no more
	begins int           // from the beginning
}

// kvCopy is a copy of a run's memory.
type kvCopy struct {
	run     *run
	target  *engine
	source  *engine
	stopped bool // the run was stopped at its source
}

func newEngines(r *record) *engines {
	return &engines{record: r, runs: make(map[string]*run), copies: make(map[string]*kvCopy), byAddr: make(map[string]*engine), bodies: make(map[string]*bodyCheck)}
}

func (f *engines) start(config engineConfig, address string) (*engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &engine{engineConfig: config, fleet: f, address: listener.Addr().String(), started: time.Now(), state: "ready"}
	e.server = &http.Server{Handler: e}
	f.mu.Lock()
	f.byAddr[e.address] = e
	f.mu.Unlock()
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// entry returns what the replica writes to the store.
func (e *engine) entry() map[string]any {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return map[string]any{
		"service": serviceName, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": e.state,
		"coldLeftMs": 0, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": 1, "born": e.started.UnixMilli(),
	}
}

func (e *engine) setState(state string) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.state = state
}

// setLimit makes the replica name a limit in its answers.
func (e *engine) setLimit(limit string) {
	e.fleet.record.add("replica %s names Server-Limit %s in its answers from now on", e.id, limit)
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.limit = limit
}

// hasNamed reports whether an answer of the replica has named the limit.
func (e *engine) hasNamed() bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.named
}

// limitNow returns the limit that the next answer names.
func (e *engine) limitNow() string {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.named = e.named || e.limit != ""
	return e.limit
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if limit := e.limitNow(); limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	switch {
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/kv-move":
		e.move(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.drop(strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
	case r.Header.Get("X-Expect-Replica") != "" && r.Header.Get("X-Expect-Replica") != e.id:
		w.Header().Set("X-Replica-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		e.serve(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.fleet.mu.Lock()
	state := e.state
	e.fleet.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "unified", "state": state, "busy": false, "sequence": 1, "runs": []any{}})
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body := newBodyCheck(e.fleet.record, id)
	if length := r.ContentLength; !e.early || length < earlyBytes {
		if _, err := io.Copy(body, r.Body); err != nil {
			return
		}
	} else if _, err := io.CopyN(body, r.Body, earlyBytes); err != nil {
		return
	}
	e.fleet.addBody(id, body)
	started, from, ok := e.begin(r, id)
	if !ok {
		e.reject(w, id, "no such copy")
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	e.stream(started, from, conn, body.rest(buffered, r.ContentLength))
}

// reject says that the replica has not run the request and never will.
func (e *engine) reject(w http.ResponseWriter, id, why string) {
	e.fleet.record.add("replica %s answers 503 to %s, not executed: %s", e.id, id, why)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// begin starts a run, or takes over one that goes on from a copy. from is the number of events that the caller has.
func (e *engine) begin(r *http.Request, id string) (started *run, from int, ok bool) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	kvFrom := r.Header.Get("Kv-From")
	if kvFrom == "" {
		_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
		tokens, _ := strconv.Atoi(output)
		started = f.runs[id]
		if started == nil {
			started = &run{id: id, total: tokens / eventTokens}
			f.runs[id] = started
		}
		started.begins++
		f.record.add("replica %s runs %s (%d events) from its beginning", e.id, id, started.total)
	} else {
		held := f.copies[kvFrom]
		if held == nil || held.run.id != id || e != held.target && !(e == held.source && held.stopped) {
			return nil, 0, false
		}
		delete(f.copies, kvFrom)
		started = held.run
		f.record.add("replica %s goes on with %s after event %d", e.id, id, from)
	}
	started.on, started.stop, started.ended = e, make(chan struct{}), make(chan struct{})
	return started, from, true
}

// stream sends the events of a run until its end, until it is stopped or until its connection is closed.
func (e *engine) stream(started *run, from int, conn net.Conn, rest func() error) {
	defer e.end(started)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = rest() // It returns when the connection is closed: the caller sends nothing after the body.
	}()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + started.id + "\r\nX-Replica-Seal: seal-" + e.id +
		"\r\nX-Weight-Versions: 1\r\n"
	if limit := e.limitNow(); limit != "" {
		head += "Server-Limit: " + limit + "\r\n"
	}
	if e.unframed {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return
	}
	delay := e.pace
	if from == 0 {
		delay = e.firstEvent
	}
	for number := from + 1; number <= started.total; number++ {
		select {
		case <-started.stop:
			e.fleet.record.add("replica %s stops %s after event %d and closes its stream without its end", e.id, started.id, number-1)
			return
		case <-closed:
			e.fleet.record.add("replica %s drops %s after event %d: its connection is closed", e.id, started.id, number-1)
			return
		case <-time.After(delay):
		}
		delay = e.pace
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, started.id, number)
		if !e.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return
		}
		e.fleet.mu.Lock()
		started.made = number
		e.fleet.mu.Unlock()
	}
	if !e.unframed {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	e.fleet.record.add("replica %s has completed %s with event %d", e.id, started.id, started.total)
}

func (e *engine) end(ended *run) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if ended.on == e {
		ended.on = nil
	}
	close(ended.ended)
}

type moveRequest struct {
	ID   string `json:"id"`
	To   string `json:"to"`
	Last bool   `json:"last"`
}

// move copies the memory of a run to another replica.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var request moveRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := e.fleet
	f.mu.Lock()
	moved, target := f.runs[request.ID], f.byAddr[request.To]
	if moved == nil || moved.on != e {
		f.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ended := moved.ended
	if request.Last {
		close(moved.stop)
	}
	f.mu.Unlock()
	if request.Last {
		<-ended
	}
	time.Sleep(copyTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if target == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	handle := ""
	for key, held := range f.copies {
		if held.run == moved && held.target == target && held.source == e {
			_, handle, _ = strings.Cut(key, "/")
			held.stopped = request.Last
		}
	}
	if handle == "" {
		f.serial++
		handle = "h" + strconv.Itoa(f.serial)
		f.copies[e.address+"/"+handle] = &kvCopy{run: moved, target: target, source: e, stopped: request.Last}
	}
	f.record.add("replica %s has copied %s to %s, last %v, events made %d", e.id, moved.id, target.id, request.Last, moved.made)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": moved.made})
}

// drop frees a copy.
func (e *engine) drop(handle string) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	delete(e.fleet.copies, e.address+"/"+handle)
}
