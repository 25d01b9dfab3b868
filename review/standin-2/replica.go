package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica of a plain service. It serves one request on a connection, as the instances ask for.
type replica struct {
	record  *record
	id      string
	service string
	zone    string
	address string
	work    time.Duration
	places  chan struct{} // requests that are run
	queue   chan struct{} // requests that are run or wait
	// closeShare is the share of the answers with "Connection: close".
	closeShare float64

	arrivals, rejected, closing atomic.Int64

	// poison is the path whose requests crash the replica; empty for none.
	poison string
	// onCrash is called when the replica has crashed.
	onCrash  func(r *replica, attempt string)
	listener net.Listener
	// streams is true for a replica whose answers are streams, and crashed is closed when it crashes.
	streams, long bool
	crashed       chan struct{}

	mu     sync.Mutex
	conns  map[net.Conn]bool
	ended  bool
	runs   map[string]int // by X-Attempt-Id
	uris   map[string]string
	hashes map[string]string
}

func startReplica(c *cluster, id, service, zone string, slots, queued int, work time.Duration, closeShare float64) (*replica, error) {
	r := &replica{
		record: c.record, id: id, service: service, zone: zone, address: c.newAddress() + ":18080", work: work,
		places: make(chan struct{}, slots), queue: make(chan struct{}, slots+queued), closeShare: closeShare, runs: make(map[string]int),
		conns: make(map[net.Conn]bool), crashed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, err
	}
	r.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	c.store.put("servers/"+id, entry)
	return r, nil
}

// crash ends the replica: its connections are reset, and nothing listens on its address.
func (r *replica) crash(attempt string) {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return
	}
	r.ended = true
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	r.mu.Unlock()
	if r.onCrash != nil {
		r.onCrash(r, attempt)
	}
}

func (r *replica) serve(conn net.Conn) {
	r.mu.Lock()
	r.conns[conn] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	in, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, in.Body); err != nil {
		return
	}
	id := in.Header.Get("X-Attempt-Id")
	if expected := in.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		r.answer(conn, id, http.StatusMisdirectedRequest, "X-Replica-Id: "+r.id+"\r\n", "")
		return
	}
	r.arrivals.Add(1)
	select {
	case r.queue <- struct{}{}:
	default:
		r.rejected.Add(1)
		r.answer(conn, id, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
		return
	}
	defer func() { <-r.queue }()
	r.places <- struct{}{}
	defer func() { <-r.places }()
	r.mu.Lock()
	r.runs[id]++
	if r.hashes != nil {
		r.hashes[id] = hex.EncodeToString(sum.Sum(nil))
	}
	if r.uris != nil {
		r.uris[id] = in.RequestURI
	}
	r.mu.Unlock()
	r.record.printf("%s (%s) runs %s %s", r.id, r.service, id, in.URL.Path)
	if r.long {
		r.serveLong(conn, id, in.Header.Get("Last-Event-Id"))
		return
	}
	if r.streams {
		r.serveStream(conn, id)
		return
	}
	if r.poison != "" && in.URL.Path == r.poison {
		r.crash(id)
		return
	}
	time.Sleep(r.work)
	r.answer(conn, id, http.StatusOK, "X-Replica-Seal: "+r.id+"."+id+"\r\n", "done by "+r.id+"\n")
}

func (r *replica) answer(conn net.Conn, id string, status int, head, body string) {
	if rand.Float64() < r.closeShare {
		head += "Connection: close\r\n"
		if status == http.StatusServiceUnavailable {
			r.closing.Add(1)
		}
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, http.StatusText(status), id, len(body), head, body)
}
