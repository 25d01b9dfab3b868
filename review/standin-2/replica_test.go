package driver

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in for a replica of a plain service. It serves one request on a connection, as the instances ask for.
type replica struct {
	record   *record
	listener net.Listener
	id       string
	service  string
	work     time.Duration
	places   chan struct{} // requests that are run
	queue    chan struct{} // requests that are run or wait
	// streams is true for a replica whose answers are streams, and crashed is closed when it crashes.
	streams bool
	crashed chan struct{}

	mu   sync.Mutex
	runs map[string]int // by X-Attempt-Id
}

func startReplica(c *cluster, id, service, zone string, slots, queued int, work time.Duration) (*replica, error) {
	r := &replica{
		record: c.record, id: id, service: service, work: work, crashed: make(chan struct{}), runs: make(map[string]int),
		places: make(chan struct{}, slots), queue: make(chan struct{}, slots+queued),
	}
	var err error
	if r.listener, err = net.Listen("tcp", c.newAddress()+":18080"); err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": r.listener.Addr().String(), "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0,
		"sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	c.store.put("servers/"+id, entry)
	return r, nil
}

func (r *replica) serve(conn net.Conn) {
	defer conn.Close()
	in, err := http.ReadRequest(bufio.NewReader(conn))
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
	select {
	case r.queue <- struct{}{}:
	default:
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
	if r.streams {
		r.serveStream(conn, id)
		return
	}
	time.Sleep(r.work)
	r.answer(conn, id, http.StatusOK, "X-Replica-Seal: "+r.id+"."+id+"\r\n", "done by "+r.id+"\n")
}

func (r *replica) answer(conn net.Conn, id string, status int, head, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, http.StatusText(status), id, len(body), head, body)
}
