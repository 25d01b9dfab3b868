package bound

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// readAheadBytes is the size of the buffer through which net/http reads a connection.
	readAheadBytes = 4 << 10
	// answerTimeout bounds the time to write a refusal, and lingerTime and lingerBytes what is read after it, so that a caller that is still
	// sending gets it: closing a connection with unread bytes discards what was written.
	answerTimeout = 100 * time.Millisecond
	lingerTime    = 200 * time.Millisecond
	lingerBytes   = 64 << 10

	// http2Preface is what an HTTP/2 connection begins with.
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// Refusals of heads, which are written while no answer is being written.
const (
	tooManyLines = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoom       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Conn is a connection of a Group. It counts what is read of the heads of requests before net/http decodes it.
type Conn struct {
	net.Conn
	group   *Group
	address string
	// holding is the memory of the head of the current request.
	holding *Holding
	// unlimited is true for a connection to which the limits do not apply any more.
	unlimited atomic.Bool

	// The following fields are protected by the lock of the group.
	entry *connEntry
	head  headCounter
	// outOfRoom is true if the head of the connection was given up for others.
	outOfRoom, refused, closed bool
}

// headCounter counts the lines and bytes of a head. It does not know where a head ends: net/http reads ahead by up to readAheadBytes, so that the
// latest read of one request may contain the beginning of the next head.
type headCounter struct {
	lines, bytes int
	// latestLines and latestBytes are those of the latest read.
	latestLines, latestBytes int
	// deadlines is the number of read deadlines set since the latest answer. net/http sets one, waits for a first byte if its buffer is empty, and
	// sets another.
	deadlines int
	// preface is the number of bytes of the HTTP/2 preface that the connection has begun with, -1 if it has begun otherwise.
	preface int
}

// next begins the head of the next request, of which a part may have been read.
func (c *headCounter) next() {
	c.lines, c.bytes, c.deadlines, c.preface = c.latestLines, c.latestBytes, 0, -1
}

// begin is called before the first read of a head.
func (c *headCounter) begin() {
	if c.deadlines == 1 && c.preface < 0 {
		c.lines, c.bytes = 0, 0 // The buffer of net/http is empty.
	}
}

// read counts what was read of a head.
func (c *headCounter) read(p []byte) {
	c.latest(p)
	c.lines += c.latestLines
	c.bytes += c.latestBytes
	if c.preface < 0 || c.preface == len(http2Preface) {
		return
	}
	begin := p[:min(len(p), len(http2Preface)-c.preface)]
	if string(begin) == http2Preface[c.preface:c.preface+len(begin)] {
		c.preface += len(begin)
	} else {
		c.preface = -1
	}
}

// latest records the latest read.
func (c *headCounter) latest(p []byte) {
	c.latestLines, c.latestBytes = bytes.Count(p, []byte{'\n'}), len(p)
}

// readBody counts what was read while a request is in progress.
func (c *headCounter) readBody(p []byte) {
	if len(p) == 1 { // net/http reads single bytes also while its buffer is not empty.
		c.latestLines = min(c.latestLines+bytes.Count(p, []byte{'\n'}), readAheadBytes)
		c.latestBytes = min(c.latestBytes+1, readAheadBytes)
		return
	}
	c.latest(p[max(0, len(p)-readAheadBytes):])
}

// isHTTP2 reports whether the connection has begun with the HTTP/2 preface.
func (c *headCounter) isHTTP2() bool { return c.preface == len(http2Preface) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.unlimited.Load() {
		return n, err
	}
	if n == 0 {
		if c.gaveUp() {
			c.answer(noRoom)
			return 0, io.EOF
		}
		return 0, err
	}
	lines, memory, ok := c.count(p[:n])
	switch {
	case !ok:
		return 0, os.ErrDeadlineExceeded // The connection is being closed, and what was read is not parsed.
	case lines > maxLines:
		c.refuse(ReasonLines, tooManyLines)
		c.linger()
		return 0, io.EOF
	case memory > 0 && c.holding.Hold(memory) != nil:
		c.refuse(ReasonMemory, noRoom)
		return 0, io.EOF
	default:
		return n, err
	}
}

// count counts what was read, and returns the lines and the estimated memory of the head that is being read; 0 while none is. It returns false if
// the connection is being closed.
func (c *Conn) count(p []byte) (lines int, memory int64, ok bool) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	switch {
	case c.entry.evicted || c.refused || c.closed:
		return 0, 0, false
	case !c.group.decodesHeads, c.group.hasHTTP2 && c.head.isHTTP2():
		return 0, 0, true // The handler counts each request of HTTP/2.
	case c.entry.state == connServing:
		c.head.readBody(p)
		return 0, 0, true
	case c.entry.state == connWaiting:
		c.entry.state, c.entry.since = connReading, time.Now()
		c.head.begin()
	}
	c.head.read(p)
	return c.head.lines, estimate(c.head.lines, c.head.bytes), true
}

// follow records the state of the connection, as http.Server.ConnState states it.
func (c *Conn) follow(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.enter(connServing)
	case http.StateIdle:
		c.enter(connWaiting)
		c.holding.Reset()
	case http.StateHijacked:
		c.group.Establish(c)
	}
}

func (c *Conn) enter(state connState) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.entry.evicted {
		return
	}
	c.entry.state, c.entry.since = state, time.Now()
	if state == connWaiting && !c.head.isHTTP2() {
		c.head.next()
	}
}

// wake ends a blocked read of a connection that has been evicted. The lock of the group must be held.
func (c *Conn) wake() { _ = c.Conn.SetReadDeadline(time.Unix(0, 0)) } // Fails only on a connection that is closed.

// giveUp makes the connection end because its head has no room, unless its request is in progress.
func (c *Conn) giveUp() {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.entry.evicted || c.closed || c.entry.state == connServing {
		return
	}
	c.group.table.evict(c.entry)
	c.outOfRoom = true
	c.wake()
}

// gaveUp returns true once, if the head of the connection was given up for others.
func (c *Conn) gaveUp() bool {
	c.group.mu.Lock()
	gaveUp := c.outOfRoom && !c.refused
	c.refused = c.refused || gaveUp
	c.group.mu.Unlock()
	if gaveUp {
		c.group.guard.report(c.group, ReasonMemory, c.address)
	}
	return gaveUp
}

// closing reports whether the connection is being closed.
func (c *Conn) closing() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.entry.evicted || c.refused
}

// refuse answers a head that is being read and ends the connection.
func (c *Conn) refuse(reason Reason, answer string) {
	c.group.mu.Lock()
	c.refused = true
	c.group.mu.Unlock()
	c.group.guard.report(c.group, reason, c.address)
	c.answer(answer)
}

// answer writes a refusal. The caller may not get it, and sees the end of its connection in any case.
func (c *Conn) answer(text string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, _ = io.WriteString(c.Conn, text)
	_ = c.CloseWrite()
}

// linger reads what a caller still sends after a refusal.
func (c *Conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// SetReadDeadline implements net.Conn. That of a connection that is being closed stays.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.head.deadlines++
	if c.entry.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	if err := c.SetWriteDeadline(at); err != nil {
		return err
	}
	return c.SetReadDeadline(at)
}

// CloseWrite ends the server's side of the connection.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// resetOnClose sets whether the end of the connection is a reset.
func (c *Conn) resetOnClose(reset bool) {
	seconds := -1
	if reset {
		seconds = 0
	}
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(seconds) // Fails only on a connection that is closed.
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// release gives back what the connection takes of the limits.
func (c *Conn) release() {
	c.group.mu.Lock()
	first := !c.closed
	c.closed = true
	c.group.table.remove(c.entry)
	c.group.mu.Unlock()
	if first {
		c.holding.Close()
	}
}
