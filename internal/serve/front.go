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
	// unread holds the connections on which no request has been read yet.
	unread map[net.Conn]struct{}
}

func newFrontServer(listener net.Listener, handler http.Handler, log logrus.FieldLogger) *frontServer {
	f := &frontServer{listener: listener, log: log, unread: make(map[net.Conn]struct{})}
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
		ConnState:         f.trackUnread,
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
func (f *frontServer) dispatch(conn net.Conn) {
	for {
		f.mu.Lock()
		queue, closing := f.queue, f.closing
		f.mu.Unlock()
		if closing {
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

// leave closes each connection after its next response. An idle connection stays open, because a request may be on its way.
func (f *frontServer) leave() { f.leaving.Store(true) }

// trackUnread implements http.Server.ConnState.
func (f *frontServer) trackUnread(conn net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state != http.StateNew {
		delete(f.unread, conn)
		return
	}
	f.unread[conn] = struct{}{}
	if f.closing {
		_ = conn.Close() // The server reports the end.
	}
}

// shutdown stops accepting connections and reading requests, waits for those in progress until ctx ends, and closes all connections.
func (f *frontServer) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closing = true
	servers := append(f.replaced, f.server)
	for conn := range f.unread {
		// net/http leaves new connections open for seconds and would serve a request on them.
		_ = conn.Close()
	}
	f.mu.Unlock()
	err := f.listener.Close()
	var group sync.WaitGroup
	failures := make([]error, len(servers))
	for n, server := range servers {
		group.Go(func() {
			if failures[n] = server.Shutdown(ctx); failures[n] != nil {
				_ = server.Close()
			}
		})
	}
	group.Wait()
	return cmp.Or(append(failures, err)...)
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
