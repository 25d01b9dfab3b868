package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The engines of the small deployment.
const (
	engineSlots    = 24
	engineTokens   = 34338
	tokenBytes     = 163840
	linkMbps       = 24000
	tokensPerEvent = 4
	eventPause     = 40 * time.Millisecond
	readPerMs      = 14 // prompt tokens
	handleTime     = 5 * time.Second
)

// eventsOf returns the number of events of the answer to a request.
func eventsOf(id string) int {
	const fewest, spread = 120, 120
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return fewest + int(hash.Sum32()%spread)
}

// engineSet finds engines by their addresses, and holds all that have run.
type engineSet struct {
	mu        sync.Mutex
	byAddress map[string]*engine
}

func (s *engineSet) find(address string) *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAddress[address]
}

// engine is one model replica. Its streams have neither a length nor chunks and end with their connections.
type engine struct {
	id, service, zone, address string
	record                     *record
	store                      *store
	set                        *engineSet
	born                       int64
	listener                   net.Listener
	ended                      chan struct{}
	link                       sync.Mutex // one copy at a time uses the link

	mu       sync.Mutex
	draining bool
	sequence int
	active   map[string]*generation
	copies   map[string]*kvCopy // by source address and handle
	conns    map[net.Conn]struct{}
}

// generation is one run on one engine.
type generation struct {
	id      string
	prompt  int
	created int // events that are made
	copied  int // tokens that were copied to copiedTo
	handle  string
	stop    chan struct{}
	stopped chan struct{} // closed once the run makes no further event
	moving  bool
}

// kvCopy is the memory of a run that was copied to an engine.
type kvCopy struct {
	run     string
	created int
	until   time.Time
}

func newEngine(id, service, zone string, record *record, store *store, set *engineSet) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, zone: zone, address: listener.Addr().String(), record: record, store: store, set: set, born: time.Now().UnixMilli(),
		listener: listener, ended: make(chan struct{}), active: make(map[string]*generation), copies: make(map[string]*kvCopy),
		conns: make(map[net.Conn]struct{}),
	}
	set.mu.Lock()
	set.byAddress[e.address] = e
	set.mu.Unlock()
	go e.accept()
	go e.beat()
	return e, nil
}

func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": state, "coldLeftMs": 0,
		"stage": "unified", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.sequence, "born": e.born,
	}
}

func (e *engine) beat() {
	e.store.register(e.id, e.entry())
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.ended:
			return
		case <-ticker.C:
			e.store.register(e.id, e.entry())
		}
	}
}

// drain reports that the engine is draining.
func (e *engine) drain() {
	e.mu.Lock()
	e.draining = true
	runs := len(e.active)
	e.mu.Unlock()
	e.store.register(e.id, e.entry())
	e.record.log("engine %s is draining with %d runs", e.id, runs)
}

// exit ends the engine.
func (e *engine) exit() {
	close(e.ended)
	_ = e.listener.Close()
	e.mu.Lock()
	e.record.log("engine %s exits with %d runs", e.id, len(e.active))
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // What is left is reset.
		}
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.set.mu.Lock()
	delete(e.set.byAddress, e.address)
	e.set.mu.Unlock()
	e.store.remove("servers/" + e.id)
}

func (e *engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	e.mu.Lock()
	e.conns[conn] = struct{}{}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	switch {
	case req.URL.Path == "/health":
		respond(conn, "200 OK", "X-Replica-Id: "+e.id+"\r\n", "")
	case req.URL.Path == "/report":
		e.report(conn)
	case req.URL.Path == "/kv-move" && req.Method == http.MethodPost:
		e.move(conn, body)
	case strings.HasPrefix(req.URL.Path, "/kv-handle/"):
		respond(conn, "200 OK", e.leaving(), "")
	default:
		e.generate(conn, reader, req)
	}
}

// leaving returns the header of an engine that leaves.
func (e *engine) leaving() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

func (e *engine) report(conn net.Conn) {
	e.mu.Lock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	used := 0
	for _, g := range e.active {
		used += g.prompt + g.created*tokensPerEvent
	}
	content, err := json.Marshal(map[string]any{
		"stage": "unified", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": e.sequence,
		"queued": 0, "active": len(e.active), "kvUsed": used, "kvTotal": engineTokens, "handles": len(e.copies), "state": state,
	})
	e.mu.Unlock()
	if err != nil {
		panic(err)
	}
	respond(conn, "200 OK", "Content-Type: application/json\r\n"+e.leaving(), string(content))
}

// generate runs a request, from its beginning or from a copy.
func (e *engine) generate(conn net.Conn, reader *bufio.Reader, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	if expected := req.Header.Get("X-Expect-Replica"); expected != "" && expected != e.id {
		respond(conn, "421 Misdirected Request", "X-Replica-Id: "+e.id+"\r\n", "")
		return
	}
	prompt, _, _ := strings.Cut(req.Header.Get("X-Token-Count"), ",")
	tokens, err := strconv.Atoi(prompt)
	if err != nil || id == "" {
		respond(conn, "400 Bad Request", "X-Not-Executed: 1\r\n", "")
		return
	}
	g := &generation{id: id, prompt: tokens, stop: make(chan struct{}), stopped: make(chan struct{})}
	from := req.Header.Get("Kv-From")
	e.mu.Lock()
	full := len(e.active) >= engineSlots || e.active[id] != nil
	if from != "" && !full {
		held := e.copies[from]
		full = held == nil || held.run != id || time.Now().After(held.until)
		delete(e.copies, from)
	}
	if !full {
		e.active[id] = g
	}
	e.mu.Unlock()
	if full {
		e.record.log("engine %s rejects %s, from %q", e.id, id, from)
		respond(conn, "503 Service Unavailable", "X-Not-Executed: 1\r\n"+e.leaving(), "")
		return
	}
	defer func() {
		e.mu.Lock()
		if e.active[id] == g {
			delete(e.active, id)
		}
		e.mu.Unlock()
		close(g.stopped)
	}()
	if from == "" {
		time.Sleep(time.Duration(tokens) * time.Millisecond / readPerMs)
	}
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		g.created = last
	}
	e.record.log("engine %s runs %s from event %d, copy %q", e.id, id, g.created, from)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s.%s\r\n%sConnection: close\r\n\r\n"
	if _, err := fmt.Fprintf(conn, head, id, e.id, id, e.leaving()); err != nil {
		return
	}
	left := make(chan struct{})
	go func() { // The connection closes when the caller leaves.
		_, _ = reader.ReadByte()
		close(left)
	}()
	e.stream(conn, g, left)
}

// stream sends the events of a run until its last one, or until it is stopped.
func (e *engine) stream(conn net.Conn, g *generation, left <-chan struct{}) {
	ticker := time.NewTicker(eventPause)
	defer ticker.Stop()
	total := eventsOf(g.id)
	for g.created < total {
		select {
		case <-g.stop:
			e.record.log("engine %s stops %s after event %d of %d", e.id, g.id, g.created, total)
			return
		case <-left:
			e.record.log("engine %s: the caller of %s has left at event %d of %d", e.id, g.id, g.created, total)
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		g.created++
		created := g.created
		e.mu.Unlock()
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: part %d of %s\n\n", created, created, g.id); err != nil {
			return
		}
	}
	e.record.log("engine %s ends %s with event %d", e.id, g.id, total)
}

// move copies the memory of a run to another engine.
func (e *engine) move(conn net.Conn, body []byte) {
	var order struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal(body, &order); err != nil {
		respond(conn, "400 Bad Request", e.leaving(), "")
		return
	}
	target := e.set.find(order.To)
	e.mu.Lock()
	g := e.active[order.ID]
	status := ""
	switch {
	case g == nil:
		status = "404 Not Found"
	case g.moving:
		status = "409 Conflict"
	case target == nil || target == e:
		status = "503 Service Unavailable"
	default:
		g.moving = true
	}
	e.mu.Unlock()
	if status != "" {
		e.record.log("engine %s answers %s to the order to copy %s", e.id, status, order.ID)
		respond(conn, status, e.leaving(), "")
		return
	}
	if order.Last {
		close(g.stop)
		<-g.stopped
	}
	e.mu.Lock()
	if g.handle == "" {
		g.handle = fmt.Sprintf("h%x", rand.Uint64())
	}
	created := g.created
	fresh := g.prompt + created*tokensPerEvent - g.copied
	e.mu.Unlock()
	e.copyTokens(target, fresh)
	e.mu.Lock()
	g.copied += fresh
	g.moving = false
	e.mu.Unlock()
	target.mu.Lock()
	target.copies[e.address+"/"+g.handle] = &kvCopy{run: g.id, created: created, until: time.Now().Add(handleTime)}
	target.mu.Unlock()
	e.record.log("engine %s has copied %s to %s up to event %d, last %v", e.id, order.ID, target.id, created, order.Last)
	respond(conn, "200 OK", "Content-Type: application/json\r\n"+e.leaving(), fmt.Sprintf(`{"handle":%q,"created":%d}`, g.handle, created))
}

// copyTokens takes the time of a copy, behind others on the links. Between zones it takes twice as long.
func (e *engine) copyTokens(target *engine, tokens int) {
	first, second := e, target
	if first.address > second.address {
		first, second = second, first
	}
	first.link.Lock()
	defer first.link.Unlock()
	second.link.Lock()
	defer second.link.Unlock()
	took := time.Duration(float64(tokens) * tokenBytes * 8 / (linkMbps * 1e6) * float64(time.Second))
	if e.zone != target.zone {
		took *= 2
	}
	time.Sleep(took)
}
