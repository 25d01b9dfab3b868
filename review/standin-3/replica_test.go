package standin

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// replicaOptions describe a replica.
type replicaOptions struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	// closeEvery is the share of the rejections that bear Connection: close, as a divisor; 0 for none.
	closeEvery int64

	record *record
	store  *store
}

// replica is one replica of a plain service: it runs up to slots requests at once, lets some wait and rejects others.
type replica struct {
	replicaOptions
	address  string
	born     int64
	listener net.Listener
	rejected atomic.Int64
	ended    chan struct{}

	mu       sync.Mutex
	failPart float64 // the share of the requests that the replica runs and fails
	draining bool
	sequence int
	waiting  int
	free     chan struct{} // one value for each free slot
	running  int
	runs     []run
	conns    map[net.Conn]struct{}
}

// run is one request that the replica has begun to work on.
type run struct {
	id      string
	arrived time.Time
}

func newReplica(options replicaOptions) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		replicaOptions: options, listener: listener, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		free: make(chan struct{}, options.slots), ended: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	for range r.slots {
		r.free <- struct{}{}
	}
	go r.accept()
	go r.beat()
	return r, nil
}

// entry returns what the replica registers in the store.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "coldLeftMs": 0,
		"sequence": r.sequence, "born": r.born,
	}
}

// beat registers the replica until it has ended. The store's entry changes when more than the sequence does.
func (r *replica) beat() {
	r.store.register(r.id, r.entry())
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.ended:
			return
		case <-ticker.C:
			r.store.register(r.id, r.entry())
		}
	}
}

// drain reports that the replica is draining and returns the time of the acknowledgement.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	return r.store.register(r.id, r.entry())
}

// exit ends the replica at the end of its draining, with its connections, and returns the number of requests in progress.
func (r *replica) exit() (cut int) {
	close(r.ended)
	_ = r.listener.Close()
	r.mu.Lock()
	for conn := range r.conns {
		_ = conn.Close()
	}
	cut = r.running
	r.mu.Unlock()
	r.store.remove("servers/" + r.id)
	return cut
}

func (r *replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve answers the requests of one connection.
func (r *replica) serve(conn net.Conn) {
	defer conn.Close()
	r.mu.Lock()
	r.conns[conn] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !r.answer(conn, req) || req.Close {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (r *replica) answer(conn net.Conn, req *http.Request) bool {
	arrived, id := time.Now(), req.Header.Get("X-Attempt-Id")
	if req.URL.Path == "/health" {
		return respond(conn, "200 OK", "X-Replica-Id: "+r.id+"\r\n", "")
	}
	if expected := req.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		return respond(conn, "421 Misdirected Request", "X-Replica-Id: "+r.id+"\r\n", "")
	}
	if id == "" {
		return respond(conn, "400 Bad Request", "X-Not-Executed: 1\r\n", "")
	}
	deadline := 30 * time.Second
	if ms, err := strconv.ParseInt(req.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	if !r.takeSlot(deadline) {
		return r.reject(conn, id)
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, arrived: arrived})
	r.running++
	r.mu.Unlock()
	r.record.log("replica %s runs %s", r.id, id)
	time.Sleep(r.work)
	r.mu.Lock()
	r.running--
	fails := rand.Float64() < r.failPart
	r.mu.Unlock()
	r.free <- struct{}{}
	header := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Replica-Seal: %s.%s\r\n", id, r.id, id)
	if fails {
		r.record.log("replica %s has run %s and fails it", r.id, id)
		return respond(conn, "503 Service Unavailable", header, "failed "+id)
	}
	return respond(conn, "200 OK", header, "done "+id)
}

// fail makes the replica fail a share of the requests that it runs, as after an error behind it.
func (r *replica) fail(part float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failPart = part
}

// takeSlot waits for a slot. It returns false if the queue is full or the deadline passes.
func (r *replica) takeSlot(deadline time.Duration) bool {
	select {
	case <-r.free:
		return true
	default:
	}
	r.mu.Lock()
	full := r.waiting >= r.queue
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.waiting--
	}()
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	select {
	case <-r.free:
		return true
	case <-timer.C:
		return false
	}
}

// reject says that a request was not run.
func (r *replica) reject(conn net.Conn, id string) bool {
	header := "X-Not-Executed: 1\r\n"
	n := r.rejected.Add(1)
	closes := r.closeEvery > 0 && n%r.closeEvery == 0
	if closes {
		header += "Connection: close\r\n"
	}
	r.record.log("replica %s rejects %s, Connection: close %v", r.id, id, closes)
	return respond(conn, "503 Service Unavailable", header, "") && !closes
}

// requests returns the requests that the replica has run.
func (r *replica) requests() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

func respond(conn net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}
