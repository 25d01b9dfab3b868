package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/dragonflypond/dragonflypond/internal/bound"
)

// handshakeTimeout bounds the time for the TLS handshake of a connection from another instance, which gives up after dialTimeout.
const handshakeTimeout = 5 * time.Second

// acceptPause is the time between two tries to accept a connection.
const acceptPause = 50 * time.Millisecond

// Server serves the drpc services of one instance.
type Server struct {
	mux       *drpcmux.Mux
	tlsConfig *tls.Config
	group     *bound.Group
}

// NewServer returns a server without services.
func (n *Network) NewServer() *Server {
	return &Server{mux: drpcmux.New(), tlsConfig: n.tlsConfig}
}

// Mux returns the multiplexer for registering services. All services must be registered before Serve is called.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Limit bounds the connections that have not shown that they are from an instance of the deployment. It must be called before Serve.
func (s *Server) Limit(group *bound.Group) { s.group = group }

// Serve accepts connections until ctx ends, then closes the listener and all connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{Log: func(error) {}})
	if s.group == nil {
		return server.Serve(ctx, tls.NewListener(listener, s.tlsConfig))
	}
	handshakes := newHandshakeListener(s.group, listener, s.tlsConfig)
	go handshakes.run(ctx)
	return server.Serve(ctx, handshakes)
}

// handshakeListener returns connections whose TLS handshake has succeeded, so that others are bounded in number and time.
type handshakeListener struct {
	net.Listener
	group     *bound.Group
	tlsConfig *tls.Config
	conns     chan net.Conn
	// failed is closed when the listener accepts no more connections, after err is set.
	failed chan struct{}
	err    error
	once   sync.Once
	closed chan struct{}
}

func newHandshakeListener(group *bound.Group, listener net.Listener, tlsConfig *tls.Config) *handshakeListener {
	return &handshakeListener{
		Listener: group.Listener(listener), group: group, tlsConfig: tlsConfig,
		conns: make(chan net.Conn), failed: make(chan struct{}), closed: make(chan struct{}),
	}
}

// run accepts connections until the listener fails or is closed. A lack of descriptors passes.
func (l *handshakeListener) run(ctx context.Context) {
	for {
		conn, err := l.Listener.Accept()
		var temporary interface{ Temporary() bool }
		switch {
		case err == nil:
			go l.handshake(ctx, conn)
		case errors.As(err, &temporary) && temporary.Temporary():
			l.group.ReportFailure(err)
			time.Sleep(acceptPause)
		default:
			l.err = err
			close(l.failed)
			return
		}
	}
}

func (l *handshakeListener) handshake(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	tlsConn := tls.Server(conn, l.tlsConfig)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		l.group.RefuseHandshake(conn)
		_ = conn.Close()
		return
	}
	l.group.Establish(conn)
	select {
	case l.conns <- tlsConn:
	case <-l.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *handshakeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.failed:
		return nil, l.err
	}
}

// Close implements net.Listener.
func (l *handshakeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
