package main

import (
	"bufio"
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

	mu   sync.Mutex
	runs map[string]int // by X-Attempt-Id
}

func startReplica(c *cluster, id, service, zone string, slots, queued int, work time.Duration, closeShare float64) (*replica, error) {
	r := &replica{
		record: c.record, id: id, service: service, zone: zone, address: c.newAddress() + ":18080", work: work,
		places: make(chan struct{}, slots), queue: make(chan struct{}, slots+queued), closeShare: closeShare, runs: make(map[string]int),
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, err
	}
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

func (r *replica) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	in, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, in.Body); err != nil {
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
	r.mu.Unlock()
	r.record.printf("%s (%s) runs %s %s", r.id, r.service, id, in.URL.Path)
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
