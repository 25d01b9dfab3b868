package serve

import (
	"net"
	"os"
	"sync"
	"time"
)

// callerConn is a caller's connection that can be kept from reading another request. A request of which any byte has been read is read on:
// closing the connection instead, as http.Server.Shutdown does, may meet a request that has been read whole and not been parsed yet.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// begun is true from the first byte of a request to its answer, and stopped when no further request is to be read.
	begun, stopped bool
	// readBy is the deadline of reads that the HTTP server has set.
	readBy time.Time
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.refusesReads() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begin()
	}
	return n, err
}

func (c *callerConn) refusesReads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped && !c.begun
}

// begin records that a byte of a request has been read.
func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped && !c.begun {
		_ = c.Conn.SetReadDeadline(c.readBy) // The next read reports an error.
	}
	c.begun = true
}

// end records that a request has been answered.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy = at
	if c.stopped && !c.begun {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// stopReading ends the wait for another request.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if !c.begun {
		_ = c.Conn.SetReadDeadline(time.Unix(0, 0)) // Fails only on a connection that is closed.
	}
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets the HTTP server end its side of the connection first, so that a caller who is still sending gets the answer.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
