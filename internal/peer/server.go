package peer

import (
	"context"
	"crypto/tls"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server serves the drpc services of one instance.
type Server struct {
	mux       *drpcmux.Mux
	tlsConfig *tls.Config
}

// NewServer returns a server without services.
func (n *Network) NewServer() *Server {
	return &Server{mux: drpcmux.New(), tlsConfig: n.tlsConfig}
}

// Mux returns the multiplexer for registering services. All services must be registered before Serve is called.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve accepts connections until ctx ends, then closes the listener and all connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{Log: func(error) {}})
	return server.Serve(ctx, tls.NewListener(listener, s.tlsConfig))
}
