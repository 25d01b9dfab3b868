package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target and impairs them.
type proxy struct {
	listener net.Listener
	target   string

	mu              sync.Mutex
	conns           map[net.Conn]struct{}
	clients         map[string]string // IP addresses of clients, by the address of the connection to the target
	paused          bool
	responsesPaused bool // only the bytes that the target sends are held back
	delay           time.Duration
	harms           []disturbance // all resets, pauses and delays so far
	// cut returns how the connections of a client's IP address are cut; nil for a proxy whose clients are never cut off.
	cut func(ip string) cutKind
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{}), clients: make(map[string]string)}
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

// cutOff sets the function that tells which clients are cut off.
func (p *proxy) cutOff(cut func(ip string) cutKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// cutOf returns how the connections of a client are cut.
func (p *proxy) cutOf(client net.Conn) cutKind {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	address, ok := client.RemoteAddr().(*net.TCPAddr)
	if cut == nil || !ok {
		return cutNone
	}
	return cut(address.IP.String())
}

func (p *proxy) serve(client net.Conn) {
	if p.cutOf(client) != cutNone {
		p.reset(client)
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		p.reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = struct{}{}, struct{}{}
	if address, ok := client.RemoteAddr().(*net.TCPAddr); ok {
		p.clients[upstream.LocalAddr().String()] = address.IP.String()
	}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	held := func() bool { return p.cutOf(client) == cutHangs }
	go p.copy(upstream, client, false, held, done)
	go p.copy(client, upstream, true, held, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	delete(p.clients, upstream.LocalAddr().String())
	p.mu.Unlock()
	_ = client.Close()
	_ = upstream.Close()
}

// copy forwards bytes in one direction, subject to the delay and pauses of the proxy, and not while held returns true. A
// failed read or write ends both directions, as on a real connection.
func (p *proxy) copy(dst, src net.Conn, isResponse bool, held func() bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		for p.delayAndCheckPaused(isResponse) || held() {
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

// clientOf returns the IP address of the client whose connection reaches the target from an address.
func (p *proxy) clientOf(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clients[address]
}

// impair pauses or delays all connections until it is called again.
func (p *proxy) impair(paused bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused, p.delay = paused, delay
	p.recordHarm()
}

// pauseResponses holds back what the target sends, on all connections, until it is called again.
func (p *proxy) pauseResponses(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responsesPaused = paused
	p.recordHarm()
}

// recordHarm records whether the connections are impaired from now on. The lock must be held.
func (p *proxy) recordHarm() {
	impaired, last := p.paused || p.responsesPaused || p.delay > 0, len(p.harms)-1
	lasts := last >= 0 && p.harms[last].until.IsZero()
	switch {
	case impaired && !lasts:
		p.harms = append(p.harms, disturbance{from: time.Now()})
	case !impaired && lasts:
		p.harms[last].until = time.Now()
	}
}

// harmedIn reports whether the connections have been impaired or reset in a span.
func (p *proxy) harmedIn(since, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.harms, func(d disturbance) bool { return d.touches(since, until) })
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.recordReset()
	p.resetFrom("")
}

// recordReset records that the connections are reset now.
func (p *proxy) recordReset() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harms = slices.Insert(p.harms, 0, disturbance{now, now}) // The last may go on.
}

// resetFrom resets the open connections of the clients with an IP address, or all if it is empty.
func (p *proxy) resetFrom(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if address, ok := conn.RemoteAddr().(*net.TCPAddr); ip == "" || ok && address.IP.String() == ip {
			p.reset(conn)
		}
	}
}
