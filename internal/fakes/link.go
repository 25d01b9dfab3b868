package fakes

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	linkBuffer = 32 << 10
	// linkPoll is the time between two looks at whether a frozen link passes bytes again.
	linkPoll = 10 * time.Millisecond
)

// Link passes TCP connections on to a target and can be cut. FaultFreeze passes no byte while connections stay open,
// FaultDown closes all connections and each new one. The handler serves POST /faults.
type Link struct {
	faultSet
	listener net.Listener
	target   string

	lock  sync.Mutex
	conns map[net.Conn]struct{}
}

// NewLink listens on address and passes connections on to target, both of the form IP:PORT, until Close.
func NewLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	l := &Link{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	l.changed = func(fault Fault) {
		if fault.Kind == FaultDown {
			l.closeConns()
		}
	}
	go l.accept()
	return l, nil
}

// Address returns IP:PORT.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close ends the link and all of its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.closeConns()
}

// ServeHTTP implements http.Handler.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/faults" {
		http.NotFound(w, r)
		return
	}
	l.serveFaults(w, r)
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(conn)
	}
}

func (l *Link) connect(near net.Conn) {
	defer func() { _ = near.Close() }()
	if l.has(FaultDown, time.Now()) {
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	l.track(near, far)
	defer l.forget(near, far)
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		l.pass(to, from)
		done <- struct{}{}
	}
	go pass(far, near)
	go pass(near, far)
	<-done
}

// pass copies bytes in one direction until the connection ends.
func (l *Link) pass(to, from net.Conn) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for l.has(FaultFreeze, time.Now()) {
			time.Sleep(linkPoll)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *Link) track(conns ...net.Conn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, conn := range conns {
		l.conns[conn] = struct{}{}
	}
}

func (l *Link) forget(conns ...net.Conn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
	}
}

func (l *Link) closeConns() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}
