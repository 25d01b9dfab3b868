package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on and disturbs them.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	silent bool
	muted  bool // the target's bytes alone are held back
	delay  time.Duration
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(map[net.Conn]struct{})}
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

func (p *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		p.reset(near)
		return
	}
	p.mu.Lock()
	p.open[near], p.open[far] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(far, near, false, done)
	go p.copy(near, far, true, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.open, near)
	delete(p.open, far)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// copy passes bytes on, late or not at all while the proxy disturbs. A failed read or write ends both directions, as on a
// real connection.
func (p *proxy) copy(to, from net.Conn, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.waits(answers) {
			time.Sleep(5 * time.Millisecond)
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			_ = from.Close()
			return
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			p.reset(to)
			return
		}
	}
}

func (p *proxy) waits(answers bool) bool {
	p.mu.Lock()
	silent, delay := p.silent || p.muted && answers, p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	return silent
}

func (p *proxy) reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// disturb silences or delays all connections until calm is called.
func (p *proxy) disturb(silent bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent, p.delay = silent, delay
}

// mute cuts all connections one way: what the target sends is held back until it is called again.
func (p *proxy) mute(muted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted = muted
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		p.reset(conn)
	}
}
