package driver

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
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
	eventGap = 40 * time.Millisecond
	copyTime = 60 * time.Millisecond
)

// engineFleet holds the engines of one service and the copies that they made.
type engineFleet struct {
	cluster *cluster
	events  int // of each stream

	mu      sync.Mutex
	engines map[string]*modelEngine // by address
	copies  map[string]copyOfRun    // by handle
	ran     []ranRequest
}

// copyOfRun is the memory of a run at another engine.
type copyOfRun struct {
	attempt string
	holder  string // address
	usedUp  bool
}

// ranRequest is a request that an engine began to run, or that a run went on with.
type ranRequest struct {
	attempt, engine, kvFrom, position string
	bytes                             int
	hash                              string
}

// modelEngine is a stand-in for a replica of a service with an engine.
type modelEngine struct {
	fleet            *engineFleet
	id, zone         string
	address, service string
	born             int64

	mu   sync.Mutex
	runs map[string]*engineRun // by X-Attempt-Id
	// leaving is true from the report of draining.
	leaving bool
}

// engineRun is a run in progress.
type engineRun struct {
	events  int
	stop    chan struct{}
	stopped chan struct{}
}

func (f *engineFleet) start(id, service, zone string) (*modelEngine, error) {
	e := &modelEngine{
		fleet: f, id: id, service: service, zone: zone, address: f.cluster.newAddress() + ":18080", born: time.Now().UnixMilli(),
		runs: make(map[string]*engineRun),
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.engines[e.address] = e
	f.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, e.report("ready")
}

// report writes the entry of the engine to the store.
func (e *modelEngine) report(state string) error {
	entry, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 24, "state": state, "coldLeftMs": 0, "stage": "unified",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": 1, "born": e.born,
	})
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.leaving = state != "ready"
	e.mu.Unlock()
	e.fleet.cluster.store.put("servers/"+e.id, entry)
	e.fleet.cluster.record.say("%s reports %s", e.id, state)
	return nil
}

func (e *modelEngine) serve(conn net.Conn) {
	defer conn.Close()
	in, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		e.fleet.cluster.record.printf("%s: the body of %s %s ended early: %v", e.id, in.Header.Get("X-Attempt-Id"), in.URL.Path, err)
		return
	}
	switch {
	case in.Method == http.MethodGet && in.URL.Path == "/report":
		e.answer(conn, "", http.StatusOK, "Content-Type: application/json\r\n", `{"stage":"unified","state":"ready","busy":false,"sequence":1,"queued":0,"active":0,"kvUsed":0,"kvTotal":34338,"handles":0}`)
	case in.URL.Path == "/kv-move":
		e.move(conn, body)
	case strings.HasPrefix(in.URL.Path, "/kv-handle/"):
		e.answer(conn, "", http.StatusOK, "", "")
	default:
		e.run(conn, in, body)
	}
}

func (e *modelEngine) answer(conn net.Conn, id string, status int, head, body string) {
	if id != "" {
		head += "X-Attempt-Id: " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s", status, http.StatusText(status), len(body), e.signals(), head, body)
}

// signals returns the header fields of a replica that leaves.
func (e *modelEngine) signals() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

// run runs a request, or goes on with a run from a copy.
func (e *modelEngine) run(conn net.Conn, in *http.Request, body []byte) {
	f, id, from, position := e.fleet, in.Header.Get("X-Attempt-Id"), in.Header.Get("Kv-From"), in.Header.Get("Last-Event-Id")
	if expected := in.Header.Get("X-Expect-Replica"); expected != "" && expected != e.id {
		e.answer(conn, id, http.StatusMisdirectedRequest, "X-Replica-Id: "+e.id+"\r\n", "")
		return
	}
	first := 0
	if from != "" {
		_, handle, _ := strings.Cut(from, "/")
		f.mu.Lock()
		made, ok := f.copies[handle]
		ok = ok && made.attempt == id && made.holder == e.address && !made.usedUp
		if ok {
			made.usedUp = true
			f.copies[handle] = made
		}
		f.mu.Unlock()
		if !ok {
			e.answer(conn, id, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
			return
		}
	}
	if last, err := strconv.Atoi(position); err == nil {
		first = last + 1
	}
	sum := sha256.Sum256(body)
	ran := ranRequest{attempt: id, engine: e.id, kvFrom: from, position: position, bytes: len(body), hash: hex.EncodeToString(sum[:8])}
	r := &engineRun{events: first, stop: make(chan struct{}), stopped: make(chan struct{})}
	defer close(r.stopped)
	f.mu.Lock()
	f.ran = append(f.ran, ran)
	f.mu.Unlock()
	f.cluster.record.printf("%s runs %s from piece %d, body of %d bytes with hash %s, Kv-From %q, Last-Event-Id %q", e.id, id, first, ran.bytes, ran.hash, from, position)
	e.mu.Lock()
	e.runs[id] = r
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.runs[id] == r {
			delete(e.runs, id)
		}
		e.mu.Unlock()
	}()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s.%s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, e.id, id, e.signals())
	for n := first; n < f.events; n++ {
		select {
		case <-r.stop:
			return // Its stream is closed without its end.
		case <-time.After(eventGap):
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d from %s\n\n", n, n, e.id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		e.mu.Lock()
		r.events = n + 1
		e.mu.Unlock()
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// move copies the memory of a run to another engine.
func (e *modelEngine) move(conn net.Conn, body []byte) {
	f := e.fleet
	var order struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.Unmarshal(body, &order) != nil {
		e.answer(conn, "", http.StatusBadRequest, "", "")
		return
	}
	e.mu.Lock()
	r := e.runs[order.ID]
	e.mu.Unlock()
	if r == nil {
		e.answer(conn, "", http.StatusNotFound, "", "")
		return
	}
	time.Sleep(copyTime)
	if order.Last {
		close(r.stop)
		<-r.stopped
	}
	e.mu.Lock()
	events := r.events
	e.mu.Unlock()
	handle := "h-" + order.ID
	f.mu.Lock()
	f.copies[handle] = copyOfRun{attempt: order.ID, holder: order.To}
	f.mu.Unlock()
	f.cluster.record.printf("%s has copied %s to %s, last: %t, %d events", e.id, order.ID, order.To, order.Last, events)
	text, _ := json.Marshal(map[string]any{"handle": handle, "created": events})
	e.answer(conn, "", http.StatusOK, "Content-Type: application/json\r\n", string(text))
}
