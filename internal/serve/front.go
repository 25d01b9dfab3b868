package serve

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

const (
	// headerMargin is added to the header limit of the configuration: callers may use all of it, and net/http counts the
	// request line too.
	headerMargin = 4 << 10

	// idleMargin is added to the idle timeout, because callers may reuse a connection shortly before it expires.
	idleMargin = time.Second

	// Pauses after a connection could not be accepted.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond

	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// frontServer serves callers under the limits in effect. A net/http server cannot change its limits, so new connections
// go to a new server after a change, and open connections keep the limits under which they were accepted.
type frontServer struct {
	group    *bound.Group
	listener net.Listener
	handler  http.Handler
	log      logrus.FieldLogger
	leaving  atomic.Bool

	mu       sync.Mutex
	limits   route.Limits
	server   *http.Server
	queue    *connQueue
	replaced []*http.Server
	closing  bool
	conns    map[*callerConn]struct{} // open ones
	// closed is closed when no connection is open any more after closing.
	closed     chan struct{}
	closedOnce sync.Once
}

func newFrontServer(group *bound.Group, listener net.Listener, handler http.Handler, log logrus.FieldLogger) *frontServer {
	f := &frontServer{
		group: group, listener: group.Listener(listener), log: log, conns: make(map[*callerConn]struct{}), closed: make(chan struct{}),
	}
	f.handler = http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		if f.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, in)
	})
	f.startServer(route.Limits{})
	return f
}

// applyLimits uses the limits for new connections.
func (f *frontServer) applyLimits(limits route.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing || limits == f.limits {
		return
	}
	f.replaced = append(f.replaced, f.server)
	f.queue.stop()
	f.startServer(limits)
}

func (f *frontServer) startServer(limits route.Limits) {
	f.limits = limits
	f.queue = &connQueue{conns: make(chan net.Conn), done: make(chan struct{}), address: f.listener.Addr()}
	f.server = &http.Server{
		Handler:           f.handler,
		ConnState:         f.trackConn,
		MaxHeaderBytes:    defaultHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
	}
	if limits.HeaderBytes > 0 {
		f.server.MaxHeaderBytes = limits.HeaderBytes + headerMargin
	}
	if limits.HeaderTimeout > 0 {
		f.server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		f.server.IdleTimeout = limits.IdleTimeout + idleMargin
	}
	f.group.Install(f.server)
	server, queue := f.server, f.queue
	// An error can only come from the queue's Accept, which fails only after stop.
	go func() { _ = server.Serve(queue) }()
}

// acceptLoop passes connections to the current server until the listener is closed. Other errors pass, such as a lack of descriptors: the
// requests in progress go on, and their ends free what is lacking.
func (f *frontServer) acceptLoop() error {
	pause := minAcceptPause
	for {
		conn, err := f.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			f.log.WithError(err).WithField(logs.Event, "acceptFailed").Error("a caller's connection could not be accepted")
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		f.dispatch(conn)
	}
}

// dispatch passes a connection to the current server. After the shutdown it closes the connection, on which nothing has been read.
func (f *frontServer) dispatch(accepted net.Conn) {
	conn := &callerConn{Conn: accepted}
	for {
		queue, ok := f.admit(conn)
		if !ok {
			_ = conn.Close() // The caller sees the end in any case.
			return
		}
		select {
		case queue.conns <- conn:
			return
		case <-queue.done:
		}
	}
}

// admit returns the queue of the current server and counts the connection as open. It returns false after the shutdown has begun to close
// connections.
func (f *frontServer) admit(conn *callerConn) (*connQueue, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing {
		delete(f.conns, conn)
		f.reportClosed()
		return nil, false
	}
	f.conns[conn] = struct{}{}
	return f.queue, true
}

// leave closes each connection after its next response. An idle connection stays open, because a request may be on its way.
func (f *frontServer) leave() { f.leaving.Store(true) }

// trackConn implements http.Server.ConnState.
func (f *frontServer) trackConn(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.end()
	case http.StateClosed, http.StateHijacked:
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, c)
		f.reportClosed()
	}
}

// reportClosed closes the channel closed if the shutdown has begun and no connection is left. The lock must be held.
func (f *frontServer) reportClosed() {
	if f.closing && len(f.conns) == 0 {
		f.closedOnce.Do(func() { close(f.closed) })
	}
}

// shutdown stops accepting connections and reading requests, waits for those in progress until ctx ends, and closes all connections.
func (f *frontServer) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closing = true
	servers := append(f.replaced, f.server)
	for conn := range f.conns {
		conn.stopReading()
	}
	f.queue.stop()
	f.reportClosed()
	f.mu.Unlock()
	err := f.listener.Close()
	select {
	case <-f.closed:
	case <-ctx.Done():
		err = cmp.Or(context.Cause(ctx), err)
	}
	for _, server := range servers {
		err = cmp.Or(err, server.Close())
	}
	return err
}

// connQueue is a net.Listener whose connections are accepted elsewhere and sent to conns.
type connQueue struct {
	conns   chan net.Conn
	done    chan struct{}
	address net.Addr
	once    sync.Once
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *connQueue) stop() { q.once.Do(func() { close(q.done) }) }

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.stop()
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.address }
