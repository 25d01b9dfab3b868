package bound

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// settleTimeout bounds the wait for the writes of a request whose server has ended its side of the connection.
const settleTimeout = time.Second

var (
	// ErrReset is returned in place of io.EOF by a connection on which a write has failed. It wraps syscall.ECONNRESET.
	ErrReset = errors.Wrap(syscall.ECONNRESET, "the connection broke off while the request was being written")
	// ErrRequestNotRead is returned in place of io.EOF by a connection whose other side has ended it before the request was written.
	ErrRequestNotRead = errors.New("the server ended the connection before it had read the request")
)

// CheckEnd returns a connection that reports io.EOF only if the other side has ended it in order. The kernel reports a reset once, to a read or to a
// write; if a pending write gets it, the read after it sees the end of the data like an orderly end.
func CheckEnd(conn net.Conn) net.Conn { return &checkedConn{Conn: conn} }

// checkedConn is a connection of CheckEnd.
type checkedConn struct {
	net.Conn
	// ofTransport is true once a Transport has told where a request begins. Only then are heads checked, and is the error of a write held back until
	// the answer has been read: net/http closes the connection after it.
	ofTransport atomic.Bool
	// answered is true once something was read since the request began, and head checks what is read from then on.
	answered atomic.Bool
	head     headScanner

	mu     sync.Mutex
	writes int // in progress
	failed bool
	// requesting is true from the beginning of a request until it has been written.
	requesting bool
	// ended is true once nothing more can be read, and closed after Close.
	ended, closed bool
	// changed is closed when one of these changes; nil if nobody waits.
	changed chan struct{}
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.answered.Swap(true) {
		c.head = headScanner{}
	}
	if c.ofTransport.Load() {
		if err := c.head.scan(p[:n]); err != nil {
			return 0, err
		}
	}
	if errors.Is(err, io.EOF) && c.answered.Load() { // Without an answer, the end is a failure in any case.
		err = c.checkEnd()
	}
	if err != nil {
		c.update(func() { c.ended = true })
	}
	return n, err
}

// checkEnd returns io.EOF if the connection has ended in order. It waits for writes in progress, which may return later than the server's answer.
func (c *checkedConn) checkEnd() error {
	timer := time.NewTimer(settleTimeout)
	defer timer.Stop()
	err := io.EOF
	c.await(timer.C, func(expired bool) bool {
		switch {
		case c.failed:
			err = ErrReset
		case c.writes == 0 && !c.requesting:
		case c.closed:
			err = net.ErrClosed
		case expired:
			err = ErrRequestNotRead
		default:
			return false
		}
		return true
	})
	return err
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.update(func() { c.writes++ })
	n, err := c.Conn.Write(p)
	c.update(func() {
		c.writes--
		c.failed = c.failed || err != nil
	})
	if err != nil && c.ofTransport.Load() {
		c.await(nil, func(bool) bool { return c.ended || c.closed })
	}
	return n, err
}

// update changes the fields that mu protects.
func (c *checkedConn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// await waits until done returns true. It is called with the lock held, after each change, and with true once the timer has expired.
func (c *checkedConn) await(timer <-chan time.Time, done func(expired bool) bool) {
	for expired := false; ; {
		c.mu.Lock()
		if done(expired) {
			c.mu.Unlock()
			return
		}
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timer:
			expired = true
		}
	}
}

// beginRequest is called before a request is written.
func (c *checkedConn) beginRequest() {
	c.ofTransport.Store(true)
	c.answered.Store(false)
	c.update(func() { c.requesting = true })
}

// endRequest is called when the last part of a request is to be written next, or with the error that ended it.
func (c *checkedConn) endRequest(err error) {
	c.update(func() { c.requesting, c.failed = false, c.failed || err != nil })
}

// Close implements net.Conn.
func (c *checkedConn) Close() error {
	c.update(func() { c.closed = true })
	return c.Conn.Close()
}
