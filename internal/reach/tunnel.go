package reach

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// helperDelay is the time after which the next helper is asked if one has not answered.
	helperDelay = 100 * time.Millisecond

	// helperTimeout bounds the time for which one helper is asked: carryTimeout and the way there.
	helperTimeout = carryTimeout + 100*time.Millisecond

	// sureHelpers is the number of helpers that have to fail for a server to be taken for down.
	sureHelpers = 2

	// chunkBytes bounds the data in one message.
	chunkBytes = 16 << 10

	// signalTimeout bounds the time for which a helper is told what a backend server said to it, and signalRetryDelay is the pause between
	// two tries. A server that leaves may get no new request 3 s after it has said so.
	signalTimeout    = 2500 * time.Millisecond
	signalRetryDelay = 200 * time.Millisecond

	// closeTimeout bounds the orderly end of a tunnel.
	closeTimeout = time.Second
)

// unableError is the answer of a helper that takes no connections or reaches no server itself, or the lack of an answer. Such a helper
// may name another one that it uses.
type unableError struct {
	error
	named pond.InstanceID
}

// declinedError is the answer of a helper that says nothing about the way to the server, but may reach others.
type declinedError struct {
	error
	leaving string // the ID of the server if it takes no new requests
}

// HelperError is the answer of a helper that has not connected to a backend server, other than that it connects to none. The server may have refused the
// connection: the message holds no errno, and a helper takes a connection that hangs for a server that is down as well.
type HelperError struct{ cause error }

// Error implements error.
func (e *HelperError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *HelperError) Unwrap() error { return e.cause }

// EndsError is the error of a connection that only helpers would carry which end too early for it. Nothing was sent.
type EndsError struct {
	// At is the latest of their ends.
	At time.Time
}

// Error implements error.
func (e *EndsError) Error() string {
	return "the other instances that connect to the backend server end too early"
}

var errNoHelper = errors.New("no helper connects to the backend server")

// dialTunnel connects through a helper. A direct connection begun at failedAt has failed or is overdue; the zero time stands
// for none.
func (d *Dialer) dialTunnel(ctx context.Context, address string, failedAt time.Time) (net.Conn, error) {
	all := d.options.Helpers(address)
	allowed := allowedHelpers(all, RegionsOf(ctx))
	d.mu.Lock()
	lasting, latestEnd := d.helpers.lasting(allowed, FitOf(ctx), time.Now())
	queue := helperQueue{all: lasting, chosen: d.helpers.choose(lasting, maxHelpers, d.options.Clock())}
	d.mu.Unlock()
	next := func() connectFunc {
		h, ok := queue.next()
		if !ok {
			return nil
		}
		return func(ctx context.Context) (net.Conn, error) { return d.openTunnel(ctx, h, address) }
	}
	failure, sure := errNoHelper, 0
	conn := race(ctx, next, helperDelay, func(index int, err error) bool {
		failure = err
		if ctx.Err() != nil {
			return true
		}
		var unable unableError
		var declined declinedError
		var ends *EndsError
		switch {
		case errors.As(err, &ends):
			if ends.At.After(latestEnd) {
				latestEnd = ends.At
			}
		case errors.As(err, &declined):
			return declined.leaving != "" && d.options.RecordLeaving(declined.leaving, address)
		case errors.As(err, &unable):
			if d.recordUnable(queue.asked[index].id, unable.named) {
				queue.addNamed(unable.named)
			}
		default:
			sure++
		}
		return sure == sureHelpers
	})
	if conn != nil {
		d.count(ResultTunneled)
		d.update(func(t *Table, now time.Time) { t.Tunneled(address, failedAt, now) })
		return conn, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, ctx.Err()
	}
	if !latestEnd.IsZero() {
		failure = &EndsError{At: latestEnd}
	}
	d.count(ResultTunnelFailed)
	d.options.Log.WithError(failure).WithFields(logrus.Fields{
		logs.Event: "tunnelFailed", logs.Address: address, "asked": len(queue.asked), "sure": sure, logs.Regions: RegionsOf(ctx).String(),
	}).Info("no other instance connects to a backend server")
	isolated := false
	d.update(func(t *Table, now time.Time) {
		// All helpers count, because a belief holds for requests with other regions too.
		switch {
		case sure > 0 && sure >= min(sureHelpers, len(all)):
			t.Down(address, now)
		case sure == 0 && d.helpers.noneLeft(all, now):
			isolated = t.Isolate(now)
		}
	})
	if isolated {
		return nil, ErrIsolated
	}
	return nil, failure
}

// recordUnable records that a helper is of no use now and that it named another one. It reports whether that one may be asked.
func (d *Dialer) recordUnable(id, named pond.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock()
	d.helpers.avoid(id, now)
	return named != "" && d.helpers.named(named, now)
}

// openTunnel asks one helper for a connection. The error is an unableError or a declinedError unless the server is down.
func (d *Dialer) openTunnel(ctx context.Context, h Helper, address string) (net.Conn, error) {
	// The tunnel outlives the attempt to connect.
	tunnelCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(helperTimeout, cancel)
	c, err := d.startTunnel(tunnelCtx, h, address)
	inTime := timer.Stop() && stop()
	if err == nil && !inTime {
		c.release()
		err = unableError{error: context.DeadlineExceeded}
	}
	if err == nil {
		if endsAt, _ := c.EndsAt(); !endsAt.IsZero() && !FitOf(ctx)(endsAt) {
			c.release()
			err = &EndsError{At: endsAt}
		}
	}
	if err != nil {
		cancel()
		return nil, errors.Wrapf(err, "through %s", h.id)
	}
	c.cancel = cancel
	d.mu.Lock()
	d.helpers.opened(h.id, d.options.Clock())
	d.mu.Unlock()
	go c.receive()
	return c, nil
}

func (d *Dialer) startTunnel(ctx context.Context, h Helper, address string) (*tunnelConn, error) {
	conn := d.options.Connect(h.address)
	stream, err := peerpb.NewDRPCTunnelsClient(conn).Connect(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, unableError{error: err}
	}
	c := &tunnelConn{
		dialer: d, helper: h, stream: stream, conn: conn, cancel: func() {}, chunks: make(chan []byte), closed: make(chan struct{}),
		done: make(chan struct{}), endChanged: make(chan struct{}),
	}
	if err := stream.Send(&peerpb.TunnelUp{Address: address, NewRequest: isForNewRequest(ctx)}); err != nil {
		c.release()
		return nil, unableError{error: err}
	}
	answer, err := stream.Recv()
	switch {
	case err != nil:
		c.release()
		return nil, unableError{error: err}
	case !answer.GetConnected():
		c.release()
		err := errors.New(answer.GetError())
		switch {
		case answer.GetUnable():
			return nil, unableError{error: err, named: pond.InstanceID(answer.GetNamed())}
		case answer.GetDeclined():
			err = declinedError{error: err, leaving: answer.GetLeaving()}
		}
		return nil, &HelperError{cause: err}
	}
	c.recordEnd(answer)
	return c, nil
}

// tunnelConn is a connection to a backend server through a helper.
type tunnelConn struct {
	dialer *Dialer
	helper Helper
	stream peerpb.DRPCTunnels_ConnectClient
	conn   io.Closer
	cancel context.CancelFunc
	// chunks carries received data and is closed at the end, whose reason is err. done is closed when the helper has ended
	// the stream.
	chunks chan []byte
	err    error
	done   chan struct{}

	rest      []byte // of the last chunk
	closed    chan struct{}
	closeOnce sync.Once

	endMu  sync.Mutex
	endsAt time.Time // when the helper ends; zero if it has stated nothing
	// endChanged is closed, and replaced, when endsAt has changed.
	endChanged chan struct{}
}

// EndsAt returns the time at which the connection ends with its helper, the zero time if the helper has stated none, and a channel that is closed
// when that changes.
func (c *tunnelConn) EndsAt() (at time.Time, changed <-chan struct{}) {
	c.endMu.Lock()
	defer c.endMu.Unlock()
	return c.endsAt, c.endChanged
}

// recordEnd records what a message of the helper states about its end.
func (c *tunnelConn) recordEnd(down *peerpb.TunnelDown) {
	if down.GetEndsInMicro() <= 0 {
		return
	}
	now := time.Now()
	endsAt := now.Add(time.Duration(down.GetEndsInMicro()) * time.Microsecond)
	c.dialer.mu.Lock()
	c.dialer.helpers.setEnd(c.helper, endsAt, now)
	c.dialer.mu.Unlock()
	c.endMu.Lock()
	defer c.endMu.Unlock()
	c.endsAt = endsAt
	close(c.endChanged)
	c.endChanged = make(chan struct{})
}

// Via returns the instance through which the connection leads.
func (c *tunnelConn) Via() pond.InstanceID { return c.helper.id }

// SendSignal tells the helper what the backend server that it connected to said about later requests. The helper would not know
// otherwise, because it does not read what it carries. SendSignal tries again for signalTimeout.
func (c *tunnelConn) SendSignal(backend string, s fleet.Signal) error {
	until := time.Now().Add(s.Backoff)
	ctx, cancel := context.WithTimeout(context.Background(), signalTimeout)
	defer cancel()
	for {
		err := c.sendSignalOnce(ctx, &peerpb.SignalNotice{Backend: backend, Leaving: s.Leaving, BackoffMicro: s.Backoff.Microseconds()})
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "tell %s", c.helper.id)
		case <-time.After(signalRetryDelay):
			s.Backoff = max(time.Until(until), 0)
		}
	}
}

func (c *tunnelConn) sendSignalOnce(ctx context.Context, notice *peerpb.SignalNotice) error {
	ctx, cancel := context.WithTimeout(ctx, helperTimeout)
	defer cancel()
	conn := c.dialer.options.Connect(c.helper.address)
	defer conn.Close()
	_, err := peerpb.NewDRPCTunnelsClient(conn).SendSignal(ctx, notice)
	return err
}

// receive passes on what the helper sends until the stream ends.
func (c *tunnelConn) receive() {
	defer close(c.done)
	ended := false
	for {
		down, err := c.stream.Recv()
		if err != nil {
			if !ended {
				if errors.Is(err, io.EOF) {
					err = io.ErrUnexpectedEOF
				}
				c.err = errors.Wrapf(err, "tunnel through %s", c.helper.id)
				close(c.chunks)
			}
			return
		}
		c.recordEnd(down)
		if data := down.GetData(); len(data) > 0 && !ended {
			select {
			case c.chunks <- data:
			case <-c.closed:
			}
		}
		if down.GetEnded() && !ended {
			ended, c.err = true, io.EOF
			close(c.chunks)
		}
	}
}

// Read implements net.Conn. Only an orderly end of the backend server's direction is reported as io.EOF.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case chunk, ok := <-c.chunks:
			if !ok {
				return 0, c.err
			}
			c.rest = chunk
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *tunnelConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+chunkBytes, len(p))]
		if err := c.stream.Send(&peerpb.TunnelUp{Data: chunk}); err != nil {
			return written, errors.Wrapf(err, "tunnel through %s", c.helper.id)
		}
		written += len(chunk)
	}
	return written, nil
}

// Close implements net.Conn. The helper closes its connection at once; the peer connection is kept for other calls if it
// confirms that in time.
func (c *tunnelConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.dialer.mu.Lock()
		c.dialer.helpers.closed(c.helper.id)
		c.dialer.mu.Unlock()
		go c.finish()
	})
	return nil
}

func (c *tunnelConn) finish() {
	timer := time.AfterFunc(closeTimeout, c.cancel)
	defer timer.Stop()
	if err := c.stream.Send(&peerpb.TunnelUp{Closed: true}); err == nil {
		_ = c.stream.CloseSend() // A failure ends the stream as well.
	}
	<-c.done
	c.release()
}

// release ends the stream and gives the peer connection back.
func (c *tunnelConn) release() {
	_ = c.stream.Close() // Nothing more is expected of the stream.
	c.cancel()
	_ = c.conn.Close()
}

// LocalAddr implements net.Conn.
func (*tunnelConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *tunnelConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn. Deadlines are not supported; closing the connection ends reads and writes.
func (*tunnelConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn as SetDeadline does.
func (*tunnelConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn as SetDeadline does.
func (*tunnelConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
