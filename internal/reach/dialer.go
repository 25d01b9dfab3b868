package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// dialTimeout bounds an attempt to connect, helpers included.
	dialTimeout = time.Second

	// headStart is the time after which a direct attempt is no longer waited for alone. Regions are 30 ms apart.
	headStart = 250 * time.Millisecond

	// maxProbed bounds the servers that are probed in turn until one is reached.
	maxProbed = 4

	// probeHold is the time for which a connection on which nothing was sent is watched. It exceeds a round trip between regions.
	probeHold = 100 * time.Millisecond
)

var errUnasked = errors.New("the backend server sent something before it was asked")

// ErrIsolated is returned at once while no backend server can be reached, also through helpers.
var ErrIsolated = errors.New("neither this instance nor its helpers reach any backend server")

// Options configures a Dialer. All fields but SourceIP and Disabled are required.
type Options struct {
	// SourceIP is the local address of the connections; empty lets the system choose.
	SourceIP string
	// Servers returns the addresses of the backend servers in use.
	Servers func() []string
	// Helpers returns the instances that may reach the backend server with an address.
	Helpers func(address string) []Helper
	// Connect returns a drpc connection to a peer address.
	Connect func(peerAddress string) drpc.Conn
	// RecordLeaving records that a backend server takes no new requests, as it has told a helper. It reports whether this instance
	// knows the server by the address.
	RecordLeaving func(backend, address string) bool
	// Disabled switches helpers off.
	Disabled bool
	// Clock includes the time for which the machine was suspended.
	Clock func() time.Time
	// Results counts the attempts to connect. Its only label is the Result.
	Results *prometheus.CounterVec
	Log     logrus.FieldLogger
}

// ForNewRequest marks the context of a connection for a request that a backend server which leaves should not get. Others, such as
// those that move a run away, are carried to it until its end.
func ForNewRequest(ctx context.Context) context.Context {
	return context.WithValue(ctx, newRequestKey{}, true)
}

// WithFit marks the context of a connection with the question whether one that ends at a time, because an instance through which it leads ends
// then, will do for the request. Without the mark each one does.
func WithFit(ctx context.Context, fits func(endsAt time.Time) bool) context.Context {
	return context.WithValue(ctx, fitKey{}, fits)
}

type fitKey struct{}

// FitOf returns the question of WithFit; without the mark, one that is always answered with yes.
func FitOf(ctx context.Context) func(endsAt time.Time) bool {
	if fits, ok := ctx.Value(fitKey{}).(func(endsAt time.Time) bool); ok {
		return fits
	}
	return func(time.Time) bool { return true }
}

// PreferHelper marks the context of a connection that leads through a helper if one connects, because the same request came to its backend server
// through one: the own way may be broken, and a run that goes on must not be the one to show it.
func PreferHelper(ctx context.Context) context.Context {
	return context.WithValue(ctx, preferHelperKey{}, true)
}

type preferHelperKey struct{}

type newRequestKey struct{}

func isForNewRequest(ctx context.Context) bool { return ctx.Value(newRequestKey{}) != nil }

// Dialer connects to backend servers. It is safe for concurrent use.
type Dialer struct {
	options Options
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	probes       sync.WaitGroup
	probeContext context.Context // ends with Close
	stopProbes   context.CancelFunc

	mu      sync.Mutex
	table   *Table
	helpers helperTable
	logged  State
}

// NewDialer returns a dialer that has not connected to any server.
func NewDialer(options Options) *Dialer {
	dialer := new(net.Dialer)
	if options.SourceIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(options.SourceIP)}
	}
	d := &Dialer{options: options, dial: dialer.DialContext, table: NewTable(), helpers: newHelperTable()}
	d.probeContext, d.stopProbes = context.WithCancel(context.Background())
	return d
}

// Close ends the probes and waits for them.
func (d *Dialer) Close() {
	d.mu.Lock()
	d.stopProbes()
	d.mu.Unlock()
	d.probes.Wait()
}

// DialContext connects to a backend server, directly or through a helper. An error means that nothing was sent.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	plan := d.plan(network, address)
	if plan == PlanDirect && ctx.Value(preferHelperKey{}) != nil {
		plan = PlanTunnel
	}
	switch plan {
	case PlanNone:
		d.count(ResultIsolated)
		return nil, ErrIsolated
	case PlanTunnel:
		conn, err := d.dialTunnel(ctx, address, time.Time{})
		// A way that was in doubt a moment ago is not tried with a request that a helper would carry but for its end.
		if err != nil && !errors.As(err, new(*EndsError)) && ctx.Err() == nil && d.reaches(address) {
			return asConn(d.dialDirect(ctx, network, address))
		}
		return conn, err
	case PlanDirectOnly:
		return asConn(d.dialDirect(ctx, network, address))
	default:
		return d.dialBoth(ctx, network, address)
	}
}

// plan returns how to connect to a server and starts a probe if one is due.
func (d *Dialer) plan(network, address string) Plan {
	if d.options.Disabled {
		return PlanDirectOnly
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	plan, probe := d.table.Plan(address, d.options.Clock())
	if probe {
		d.startProbe(network, d.probeTarget(address))
	}
	return plan
}

// reaches reports whether there is reason to expect that a direct connection succeeds.
func (d *Dialer) reaches(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Reaches(address, d.options.Clock())
}

// knowsDown reports whether a server was found down a short time ago.
func (d *Dialer) knowsDown(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsDown(address, d.options.Clock())
}

// dialBoth connects directly, and through a helper if that fails or takes long.
func (d *Dialer) dialBoth(ctx context.Context, network, address string) (net.Conn, error) {
	begun := d.options.Clock()
	ways := []connectFunc{
		func(ctx context.Context) (net.Conn, error) { return asConn(d.dialDirect(ctx, network, address)) },
		func(ctx context.Context) (net.Conn, error) { return d.dialTunnel(ctx, address, begun) },
	}
	failure := context.DeadlineExceeded
	next := func() (way connectFunc) {
		if len(ways) > 0 {
			way, ways = ways[0], ways[1:]
		}
		return way
	}
	conn := race(ctx, next, headStart, func(index int, err error) bool {
		isolated, ends := errors.Is(err, ErrIsolated), errors.As(err, new(*EndsError))
		if isolated || ends || index == 0 && !errors.As(failure, new(*EndsError)) || errors.Is(failure, context.DeadlineExceeded) {
			failure = err
		}
		return isolated
	})
	if conn == nil {
		return nil, failure
	}
	return conn, nil
}

func (d *Dialer) dialDirect(ctx context.Context, network, address string) (*directConn, error) {
	begun := d.options.Clock()
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		result := resultOf(ctx, err)
		d.count(result)
		if result != ResultCanceled {
			d.update(func(t *Table, _ time.Time) { t.Failed(address, begun) })
		}
		return nil, err
	}
	d.count(ResultConnected)
	return &directConn{Conn: conn, dialer: d, address: address, begun: begun}, nil
}

// asConn keeps the absence of a connection apart from a connection that is nil.
func asConn(conn *directConn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func resultOf(ctx context.Context, err error) Result {
	var timeout net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return ResultCanceled
	case errors.As(err, &timeout) && timeout.Timeout():
		return ResultTimedOut
	default:
		return ResultRefused
	}
}

// startProbe probes a server in the background, unless the dialer is closed. The lock must be held.
func (d *Dialer) startProbe(network, address string) {
	if d.probeContext.Err() == nil {
		d.probes.Go(func() { d.probe(network, address) })
	}
}

// probe tests the direct ways of this instance with connections that carry no request: to a server and, if that one is dead, to others in
// turn.
func (d *Dialer) probe(network, address string) {
	ctx, cancel := context.WithTimeout(d.probeContext, dialTimeout)
	defer cancel()
	var failed []string
	for more := true; more && len(failed) < maxProbed; address, more = d.nextProbed(failed) {
		begun := d.options.Clock()
		switch d.probeOnce(ctx, network, address) {
		case ResultConnected:
			d.update(func(t *Table, now time.Time) { t.ProbeReached(address, begun, now) })
			return
		case ResultRefused:
			failed = append(failed, address)
		default:
			// A connection that hangs or breaks is no sign of a dead server. A cut that resets connections late lets some probes pass,
			// and more probes would let more pass.
			return
		}
	}
}

// probeOnce tests the way to a server with a connection that carries no request.
func (d *Dialer) probeOnce(ctx context.Context, network, address string) Result {
	conn, err := d.dialDirect(ctx, network, address)
	if err != nil {
		return resultOf(ctx, err)
	}
	defer conn.Close()
	if d.hold(conn) != nil {
		return ResultBroken
	}
	return ResultConnected
}

// nextProbed returns a server to probe after others, of those that have not failed before if there is one. It returns false if there is none,
// or if a helper reaches the first one that was probed: the way to that one was tested, not all ways.
func (d *Dialer) nextProbed(probed []string) (address string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probeContext.Err() != nil || d.table.Blocked(probed[0]) {
		return "", false
	}
	servers := d.options.Servers()
	for _, index := range rand.Perm(len(servers)) {
		if slices.Contains(probed, servers[index]) {
			continue
		}
		if address, ok = servers[index], true; !d.table.HasFailed(address) {
			return address, true
		}
	}
	return address, ok
}

// hold checks that a direct connection on which nothing has been sent stays open for probeHold. One that does not is closed, and counts
// as failed.
func (d *Dialer) hold(conn *directConn) error {
	if err := conn.SetReadDeadline(time.Now().Add(probeHold)); err != nil {
		d.options.Log.WithError(err).WithField(logs.Event, "probeFailed").Warn("a connection to a backend server cannot be timed")
		return errors.Wrap(err, "time a connection")
	}
	_, err := conn.Conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errors.Wrap(conn.SetReadDeadline(time.Time{}), "time a connection")
	}
	_ = conn.Close()
	if err == nil {
		err = errUnasked
	}
	d.count(ResultBroken)
	d.update(func(t *Table, _ time.Time) { t.Failed(conn.address, conn.begun) })
	return err
}

// probeTarget returns the server to probe because of another one: that one if only the way to it is in doubt, or else one that
// has not failed, because a dead server shows nothing. The lock must be held.
func (d *Dialer) probeTarget(address string) string {
	if d.table.Blocked(address) {
		return address
	}
	servers := d.options.Servers()
	for _, index := range rand.Perm(len(servers)) {
		if !d.table.HasFailed(servers[index]) {
			return servers[index]
		}
	}
	return address
}

func (d *Dialer) count(result Result) { d.options.Results.WithLabelValues(result.String()).Inc() }

// Blames reports whether the failure of a connection is the server's own. An instance without others has none to compare
// with and blames the server.
func (d *Dialer) Blames(address string) bool {
	if d.options.Disabled || len(d.options.Helpers(address)) == 0 {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Blames(address, d.options.Clock())
}

// provenHelper returns a helper that connected to a server lately, or an empty name.
func (d *Dialer) provenHelper() pond.InstanceID {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, _ := d.helpers.proven(d.options.Clock())
	return id
}

// fresh reports whether this instance has reached a server itself a short time ago.
func (d *Dialer) fresh() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.fresh(d.options.Clock())
}

// doubtful reports whether this instance doubts its own ways.
func (d *Dialer) doubtful() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Doubtful(d.options.Clock())
}

// proves reports whether a failure at a server shows other instances that it is down. If not, the own ways are probed.
func (d *Dialer) proves(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock()
	if d.table.Proves(address, now) {
		return true
	}
	if d.table.ProbeDue(now) {
		d.startProbe("tcp", d.probeTarget(address))
	}
	return false
}

// Unreached returns the number of servers at which connections have failed since one was reached.
func (d *Dialer) Unreached() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Unreached(d.options.Clock())
}

// update changes the table and logs a change of the state.
func (d *Dialer) update(change func(t *Table, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock()
	change(d.table, now)
	state := d.table.State(now)
	if state == d.logged {
		return
	}
	d.options.Log.WithFields(logrus.Fields{
		logs.Event: "reachChanged", logs.State: state.String(), logs.Former: d.logged.String(), "servers": d.table.Unreached(now),
	}).Warn("the ways of this instance to backend servers have changed")
	d.logged = state
}

// directConn is a connection from this instance to a backend server. The first read, or a write that fails before it, decides whether it was of
// use.
type directConn struct {
	net.Conn
	dialer  *Dialer
	address string
	begun   time.Time
	first   sync.Once
}

// Read implements net.Conn.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.first.Do(func() {
		var broken *net.OpError
		switch {
		case n > 0:
			c.dialer.update(func(t *Table, _ time.Time) { t.Reached(c.address, c.begun) })
		case errors.As(err, &broken) && !broken.Timeout() && !errors.Is(err, net.ErrClosed):
			c.recordBroken()
		}
	})
	return n, err
}

// Write implements net.Conn. After a failed write net/http closes the connection, so that a read would not tell why it failed.
func (c *directConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	var timeout net.Error
	if err != nil && !errors.Is(err, net.ErrClosed) && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.first.Do(c.recordBroken)
	}
	return n, err
}

func (c *directConn) recordBroken() {
	c.dialer.count(ResultBroken)
	c.dialer.update(func(t *Table, _ time.Time) { t.Failed(c.address, c.begun) })
}
