package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	eventInterval = 8 * time.Millisecond
	plainWork     = 15 * time.Millisecond
	copyPause     = 20 * time.Millisecond
	slots         = 16
)

// ledger is what all backend servers together know of the requests that reached them.
type ledger struct {
	mu     sync.Mutex
	runs   map[string]*run
	faults []string
}

// run is one request at the backend servers.
type run struct {
	id      string
	account string
	began   time.Time
	starts  int // how often a backend server began to work on it anew
	events  int // events made so far
	total   int
	at      *backend // the engine that works on it now; nil for none
	handles map[string]bool
}

func newLedger() *ledger { return &ledger{runs: make(map[string]*run)} }

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// backend is the stand-in for an engine or a replica of a plain service.
type backend struct {
	id        string
	ledger    *ledger
	server    *http.Server
	listener  net.Listener
	front     *proxy
	engine    bool
	leavingAt time.Time // protected by the ledger
	byAddress func(address string) *backend
}

func newBackend(id string, l *ledger, engine bool) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, ledger: l, listener: listener, engine: engine}
	if b.front, err = newProxy("127.0.0.1:0", listener.Addr().String()); err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

func (b *backend) entry(state string) map[string]any {
	service := "plain"
	if b.engine {
		service = "llm"
	}
	return map[string]any{
		"service": service, "address": b.front.address(), "zone": "north-a", "slots": slots, "state": state, "sequence": 1,
	}
}

// stop ends the process of the backend server: its connections break.
func (b *backend) stop() {
	_ = b.front.listener.Close()
	_ = b.server.Close()
	b.front.resetAll()
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/kv-move":
		b.move(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
	case r.Header.Get("X-Expect-Replica") != b.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		b.work(w, r)
	}
}

func (b *backend) work(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	b.ledger.mu.Lock()
	late := !b.leavingAt.IsZero() && time.Since(b.leavingAt) > drainLimit && r.Header.Get("Kv-From") == ""
	b.ledger.mu.Unlock()
	if late {
		b.ledger.fault("request %s reaches %s later than %v after its notice", id, b.id, drainLimit)
	}
	if r.Header.Get("X-Credential") != "" {
		b.ledger.fault("request %s: the key reaches backend server %s", id, b.id)
	}
	current, ok := b.begin(id, r)
	if !ok {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Replica-Seal", "seal-"+b.id)
	if !b.engine {
		time.Sleep(plainWork)
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	b.generate(w, r, current)
}

// begin starts a run or goes on with one. It returns false if the run's copy is not here.
func (b *backend) begin(id string, r *http.Request) (*run, bool) {
	b.ledger.mu.Lock()
	defer b.ledger.mu.Unlock()
	current := b.ledger.runs[id]
	if from := r.Header.Get("Kv-From"); from != "" {
		_, handle, _ := strings.Cut(from, "/")
		if current == nil || !current.handles[handle] || current.at != nil && current.at != b {
			return nil, false
		}
		delete(current.handles, handle)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		current.events, current.at = after, b
		return current, true
	}
	if current == nil {
		current = &run{id: id, handles: make(map[string]bool), began: time.Now(), account: r.Header.Get("X-Tenant")}
		_, out, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
		current.total, _ = strconv.Atoi(out)
		b.ledger.runs[id] = current
	}
	current.starts++
	current.at = b
	return current, true
}

func (b *backend) generate(w http.ResponseWriter, r *http.Request, current *run) {
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.Context().Done():
			b.end(current)
			return
		case <-ticker.C:
		}
		b.ledger.mu.Lock()
		mine, next, total := current.at == b, current.events+1, current.total
		if mine && next <= total {
			current.events = next
		}
		b.ledger.mu.Unlock()
		if !mine {
			panic(http.ErrAbortHandler) // The run was stopped by its last copy.
		}
		if next > total {
			b.end(current)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", next, current.id, next)
		if err := http.NewResponseController(w).Flush(); err != nil {
			b.end(current)
			return
		}
	}
}

func (b *backend) end(current *run) {
	b.ledger.mu.Lock()
	defer b.ledger.mu.Unlock()
	if current.at == b {
		current.at = nil
	}
}

func (b *backend) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID, To string
		Last   bool
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(copyPause)
	b.ledger.mu.Lock()
	defer b.ledger.mu.Unlock()
	current := b.ledger.runs[order.ID]
	switch {
	case current == nil || current.at != b:
		w.WriteHeader(http.StatusNotFound)
		return
	case b.byAddress(order.To) == nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	handle := fmt.Sprint("h", len(current.handles), "-", current.events, order.Last)
	current.handles[handle] = true
	if order.Last {
		current.at = nil
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": current.events})
}
