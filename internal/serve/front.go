package serve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/route"
)

const (
	// headerRoom is added to the limit of the configuration: callers may use the limit up, and net/http counts the
	// request line too.
	headerRoom = 4 << 10

	// idleRoom is added to the idle timeout, because callers may use a connection again shortly before its end.
	idleRoom = time.Second

	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// frontServer serves callers under the limits in effect. A net/http server cannot change its limits, so new connections
// go to a new server after a change, and open connections stay with the limits under which they were accepted.
type frontServer struct {
	listener net.Listener
	handler  http.Handler

	mu      sync.Mutex
	limits  route.Limits
	server  *http.Server
	queue   *connQueue
	former  []*http.Server
	closing bool
}

func newFrontServer(listener net.Listener, handler http.Handler) *frontServer {
	f := &frontServer{listener: listener, handler: handler}
	f.start(route.Limits{})
	return f
}

// apply uses new limits for new connections.
func (f *frontServer) apply(limits route.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closing || limits == f.limits {
		return
	}
	f.former = append(f.former, f.server)
	f.queue.finish()
	f.start(limits)
}

func (f *frontServer) start(limits route.Limits) {
	f.limits = limits
	f.queue = &connQueue{conns: make(chan net.Conn), done: make(chan struct{}), address: f.listener.Addr()}
	f.server = &http.Server{
		Handler:           f.handler,
		MaxHeaderBytes:    defaultHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
	}
	if limits.HeaderBytes > 0 {
		f.server.MaxHeaderBytes = limits.HeaderBytes + headerRoom
	}
	if limits.HeaderTimeout > 0 {
		f.server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		f.server.IdleTimeout = limits.IdleTimeout + idleRoom
	}
	server, queue := f.server, f.queue
	// The queue's Accept is the only source of an error, and it returns one only after finish.
	go func() { _ = server.Serve(queue) }()
}

// accept passes connections to the present server until the listener is closed.
func (f *frontServer) accept() error {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept callers")
		}
		f.hand(conn)
	}
}

func (f *frontServer) hand(conn net.Conn) {
	for {
		f.mu.Lock()
		queue := f.queue
		f.mu.Unlock()
		select {
		case queue.conns <- conn:
			return
		case <-queue.done:
		}
	}
}

// closeIdle ends idle connections and those in use after their present answer.
func (f *frontServer) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range append(f.former, f.server) {
		server.SetKeepAlivesEnabled(false)
	}
}

// shutdown stops to accept and waits for answers in progress until ctx ends, then closes everything.
func (f *frontServer) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closing = true
	servers := append(f.former, f.server)
	f.mu.Unlock()
	err := f.listener.Close()
	for _, server := range servers {
		if shutdownErr := server.Shutdown(ctx); shutdownErr != nil {
			err = shutdownErr
			_ = server.Close()
		}
	}
	return err
}

// connQueue is a listener that is fed with accepted connections.
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

func (q *connQueue) finish() { q.once.Do(func() { close(q.done) }) }

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.finish()
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.address }
