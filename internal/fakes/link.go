package fakes

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	linkBufferBytes = 32 << 10
	// linkFreezePollInterval is how often a frozen link checks whether the fault has ended.
	linkFreezePollInterval = 10 * time.Millisecond
)

// Link forwards TCP connections to a target and can be interrupted by faults. FaultFreeze stops forwarding and keeps
// connections open. FaultDown closes all connections and each new one, FaultCut those of one client. The HTTP handler serves
// POST /faults.
type Link struct {
	faultSet
	listener net.Listener
	target   string

	lock  sync.Mutex
	conns map[net.Conn]struct{}
}

// NewLink listens on address and forwards connections to target, both of the form IP:PORT, until Close.
func NewLink(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	l := &Link{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	l.onChange = func(fault Fault) {
		switch fault.Kind {
		case FaultDown:
			l.closeConns("")
		case FaultCut:
			l.closeConns(fault.Source)
		}
	}
	go l.acceptLoop()
	return l, nil
}

// Address returns the IP:PORT on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close closes the listener and all connections of the link.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.closeConns("")
}

// ServeHTTP implements http.Handler.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/faults" {
		http.NotFound(w, r)
		return
	}
	l.serveFaults(w, r)
}

func (l *Link) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serveConn(conn)
	}
}

func (l *Link) serveConn(client net.Conn) {
	defer func() { _ = client.Close() }()
	if l.has(FaultDown, time.Now()) {
		return
	}
	if fault, ok := l.get(FaultCut, time.Now()); ok && comesFrom(client, fault.Source) {
		reset(client)
		return
	}
	upstream, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	l.track(client, upstream)
	defer l.untrack(client, upstream)
	done := make(chan struct{}, 2)
	forward := func(dst, src net.Conn) {
		l.forward(dst, src)
		done <- struct{}{}
	}
	go forward(upstream, client)
	go forward(client, upstream)
	<-done
}

// forward copies bytes in one direction until the connection ends. It waits while the link is frozen.
func (l *Link) forward(dst, src net.Conn) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		for l.has(FaultFreeze, time.Now()) {
			time.Sleep(linkFreezePollInterval)
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
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

func (l *Link) untrack(conns ...net.Conn) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, conn := range conns {
		delete(l.conns, conn)
	}
}

// closeConns closes the connections of the clients with an IP address, or all if it is empty.
func (l *Link) closeConns(source string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for conn := range l.conns {
		switch {
		case source == "":
			_ = conn.Close()
		case comesFrom(conn, source):
			reset(conn)
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func comesFrom(conn net.Conn, source string) bool {
	address, ok := conn.RemoteAddr().(*net.TCPAddr)
	return ok && address.IP.Equal(net.ParseIP(source))
}
