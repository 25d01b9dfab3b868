package fakes

import (
	"log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// headerTimeout is the time within which a client must send its request header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes and maxBodyBytes bound a request.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 16 << 20
)

// Server serves one stand-in over HTTP.
type Server struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

// Serve listens on address, which has the form IP:PORT, and serves handler until Close. FaultDie closes the server.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in")
	}
	s := &Server{
		server: &http.Server{
			Handler: http.MaxBytesHandler(handler, maxBodyBytes), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: log.Default(),
		},
		listener: listener,
		done:     make(chan struct{}),
	}
	if killable, ok := handler.(interface{ OnDie(func()) }); ok {
		killable.OnDie(s.Close)
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Address returns the IP:PORT on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and every connection. It may be called more than once.
func (s *Server) Close() { _ = s.server.Close() }

// Done returns a channel that is closed when the server stops accepting connections.
func (s *Server) Done() <-chan struct{} { return s.done }
