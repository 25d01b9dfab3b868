package reach

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
)

const (
	// carryTimeout bounds the attempt to connect to a backend server for another instance.
	carryTimeout = 250 * time.Millisecond

	// maxCarried bounds the connections that are carried for other instances. Each takes up to 100 KB.
	maxCarried = 256

	drainPollInterval = 50 * time.Millisecond
)

// ServerOptions configures a Server. All fields are required.
type ServerOptions struct {
	// Known reports whether a backend server has the address.
	Known func(address string) bool
	// Leaving reports whether this instance shuts down and makes no more connections to an address.
	Leaving func(address string) bool
	// EndsAt returns the time at which this instance ends, the zero time if it does not shut down.
	EndsAt func() time.Time
	// Leaves returns the ID of the backend server with an address if it says that it takes no new requests.
	Leaves func(address string) (backend string, leaves bool)
	// Evacuated returns the ID of the backend server with an address, and whether its data centre is evacuated.
	Evacuated func(address string) (backend string, evacuated bool)
	// BackingOff reports whether the backend server with an address wants no requests from this instance at present.
	BackingOff func(address string) bool
	// ApplySignal records what a backend server said in a response that this instance carried.
	ApplySignal func(backend string, s fleet.Signal)
}

// Server carries connections of other instances to backend servers. It implements peerpb.DRPCTunnelsServer.
type Server struct {
	dialer  *Dialer
	options ServerOptions
	carried atomic.Int64

	mu sync.Mutex
	// announced is closed, and replaced, when the end of this instance has become known or earlier.
	announced chan struct{}
}

// NewServer returns a server that uses the direct ways of a dialer.
func NewServer(dialer *Dialer, options ServerOptions) *Server {
	return &Server{dialer: dialer, options: options, announced: make(chan struct{})}
}

// Carried returns the number of connections that are carried now.
func (s *Server) Carried() int { return int(s.carried.Load()) }

// AnnounceEnd tells the instances whose connections are carried when this one ends.
func (s *Server) AnnounceEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.announced)
	s.announced = make(chan struct{})
}

func (s *Server) nextAnnouncement() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced
}

// endsInMicro returns the time until the end of this instance for a message, 0 if it does not shut down.
func (s *Server) endsInMicro() int64 {
	endsAt := s.options.EndsAt()
	if endsAt.IsZero() {
		return 0
	}
	return max(time.Until(endsAt).Microseconds(), 1)
}

// Drain waits until no connection is carried any more.
func (s *Server) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.Carried() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain carried connections")
		case <-ticker.C:
		}
	}
	return nil
}

// Connect implements peerpb.DRPCTunnelsServer.
func (s *Server) Connect(stream peerpb.DRPCTunnels_ConnectStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	defer s.carried.Add(-1)
	if s.carried.Add(1) > maxCarried {
		return stream.Send(refusal(unableError{error: errors.New("too many connections are carried")}))
	}
	if backend, leaves := s.options.Leaves(first.GetAddress()); leaves && first.GetNewRequest() {
		s.dialer.options.Log.WithFields(logrus.Fields{
			logs.Event: "tunnelDeclined", logs.Backend: backend, logs.Address: first.GetAddress(),
		}).Info("a connection of another instance is declined because the backend server leaves")
		return stream.Send(&peerpb.TunnelDown{Error: "the backend server takes no new requests", Declined: true, Leaving: backend})
	}
	if backend, evacuated := s.options.Evacuated(first.GetAddress()); evacuated && first.GetNewRequest() {
		s.dialer.options.Log.WithFields(logrus.Fields{
			logs.Event: "tunnelDeclined", logs.Backend: backend, logs.Address: first.GetAddress(),
		}).Info("a connection of another instance is declined because the data centre of the backend server is evacuated")
		return stream.Send(refusal(declinedError{error: errors.New("the data centre of the backend server is evacuated")}))
	}
	conn, err := s.dial(stream.Context(), first.GetAddress())
	if err != nil {
		return stream.Send(refusal(err))
	}
	defer conn.Close()
	announcement := s.nextAnnouncement()
	if err := stream.Send(&peerpb.TunnelDown{Connected: true, EndsInMicro: s.endsInMicro()}); err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go s.announce(stream, announcement, ended)
	return s.carry(stream, conn)
}

// announce tells the other instance when this one ends, until the connection has ended.
func (s *Server) announce(stream peerpb.DRPCTunnels_ConnectStream, announcement, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-announcement:
		}
		announcement = s.nextAnnouncement()
		if err := stream.Send(&peerpb.TunnelDown{EndsInMicro: s.endsInMicro()}); err != nil {
			return // The stream has ended, which carry notices.
		}
	}
}

// refusal returns the answer for a connection that is not made.
func refusal(err error) *peerpb.TunnelDown {
	down := &peerpb.TunnelDown{Error: err.Error(), Declined: errors.As(err, new(declinedError))}
	var unable unableError
	if errors.As(err, &unable) {
		down.Unable, down.Named = true, string(unable.named)
	}
	return down
}

// SendSignal implements peerpb.DRPCTunnelsServer.
func (s *Server) SendSignal(_ context.Context, notice *peerpb.SignalNotice) (*peerpb.SignalNoticeResponse, error) {
	s.options.ApplySignal(notice.GetBackend(), fleet.Signal{
		Leaving: notice.GetLeaving(), Backoff: time.Duration(notice.GetBackoffMicro()) * time.Microsecond,
	})
	return new(peerpb.SignalNoticeResponse), nil
}

// dial connects directly to a backend server for another instance. The error is an unableError or a declinedError unless it
// proves that the server is down.
func (s *Server) dial(ctx context.Context, address string) (net.Conn, error) {
	d := s.dialer
	d.plan("tcp", address) // Has the own ways probed if they are in doubt.
	switch {
	case s.options.Leaving(address):
		return nil, unableError{error: errors.New("the helper shuts down")}
	case !s.options.Known(address):
		return nil, declinedError{error: errors.New("the helper knows no backend server with the address")}
	case s.options.BackingOff(address):
		return nil, declinedError{error: errors.New("the backend server wants no requests from the helper")}
	case d.knowsDown(address):
		return nil, errors.New("the backend server is down, as a probe of others has shown")
	case !d.reaches(address):
		return nil, s.failure(address, errors.New("the helper does not reach the backend server"))
	}
	ctx, cancel := context.WithTimeout(ctx, carryTimeout)
	defer cancel()
	conn, err := d.dialDirect(ctx, "tcp", address)
	if err == nil && !d.fresh() {
		// This instance may be cut off and not know it. A request on a connection that is reset would be in doubt.
		err = d.hold(conn)
	}
	if err != nil {
		return nil, s.failure(address, err)
	}
	return conn, nil
}

// failure returns the error for a backend server that is not reached.
func (s *Server) failure(address string, err error) error {
	switch {
	case s.dialer.proves(address):
		return err
	case s.dialer.doubtful():
		return unableError{error: err, named: s.dialer.provenHelper()}
	default:
		return declinedError{error: err}
	}
}

// carry forwards bytes in both directions until the other instance closes the connection. An error of the connection to the
// backend server ends the stream with an error, so that it does not look like an orderly end.
func (s *Server) carry(stream peerpb.DRPCTunnels_ConnectStream, conn net.Conn) error {
	conn = bound.CheckEnd(conn)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		defer conn.Close()
		for writable := true; ; {
			up, err := stream.Recv()
			if err != nil || up.GetClosed() {
				return
			}
			if writable {
				// A backend server may answer before it has read all, and the answer is still to be read after a failed write.
				_, err = conn.Write(up.GetData())
				writable = err == nil
			}
		}
	}()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := stream.Send(&peerpb.TunnelDown{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if err := stream.Send(&peerpb.TunnelDown{Ended: true}); err != nil {
				return err
			}
			<-closed
			return nil
		case errors.Is(err, net.ErrClosed):
			<-closed
			return nil
		case err != nil:
			return err
		}
	}
}
