package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target and impairs them.
type proxy struct {
	listener net.Listener
	target   string

	mu              sync.Mutex
	conns           map[net.Conn]struct{}
	paused          bool
	responsesPaused bool // only the bytes that the target sends are held back
	delay           time.Duration
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		p.reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(upstream, client, false, done)
	go p.copy(client, upstream, true, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mu.Unlock()
	_ = client.Close()
	_ = upstream.Close()
}

// copy forwards bytes in one direction, subject to the delay and pauses of the proxy. A failed read or write ends both
// directions, as on a real connection.
func (p *proxy) copy(dst, src net.Conn, isResponse bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		for p.delayAndCheckPaused(isResponse) {
			time.Sleep(5 * time.Millisecond)
		}
		if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
			_ = src.Close()
			return
		}
		if err == io.EOF {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			p.reset(dst)
			return
		}
	}
}

// delayAndCheckPaused waits for the delay of the proxy and reports whether the direction was paused when the wait
// began.
func (p *proxy) delayAndCheckPaused(isResponse bool) bool {
	p.mu.Lock()
	paused, delay := p.paused || p.responsesPaused && isResponse, p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	return paused
}

// reset closes a connection with a TCP reset.
func (p *proxy) reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// impair pauses or delays all connections until it is called again.
func (p *proxy) impair(paused bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused, p.delay = paused, delay
}

// pauseResponses holds back what the target sends, on all connections, until it is called again.
func (p *proxy) pauseResponses(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responsesPaused = paused
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		p.reset(conn)
	}
}
