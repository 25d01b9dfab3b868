package bound

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/dragonflypond/dragonflypond/internal/logs"
)

const (
	// defaultMachineBytes is the memory of the smallest machine that runs an instance.
	defaultMachineBytes = 112_000_000
	// headMemoryParts is the part of the memory, as a divisor, that heads may take, and minHeadBytes the least: two heads of 16 KB in the
	// shortest lines.
	headMemoryParts = 8
	minHeadBytes    = 3 << 20
	// headShareBytes is what each head may take in any case: one of 20 lines and 1 KB takes 6 KB.
	headShareBytes = 8 << 10

	// connBytes is the memory of the machine for each connection of a caller. One with a request in progress takes about 80 KB, that to its
	// backend server included, and one that is idle 55 KB; the rest is for the process without callers and for heads.
	connBytes = 256 << 10
	// Descriptors that are kept for everything but callers and what is opened for their requests.
	reservedParts       = 8
	minReservedFiles    = 64
	defaultFiles        = 1024
	otherParts          = 32
	minOtherConnections = 8
	maxOtherConnections = 256
	// Each of 77 instances that start at once opens a few connections to a seed.
	peerParts          = 16
	maxPeerConnections = 512

	// lineBytes is the memory of a header line and its clone in package relay. BenchmarkDecodedHead measures it: up to 233 bytes with its
	// part of the bytes, the most with about 1,000 lines.
	lineBytes = 224
	// maxLines bounds the lines of one head. Heads of 16,384 bytes have up to 5,461, and 4 KB that net/http reads ahead add up to 4,096.
	maxLines = 10 << 10

	// maxLogLines bounds the log lines of refusals in a second.
	maxLogLines = 2
)

// Limits bound what callers may take of a process.
type Limits struct {
	// HeadBytes bounds the memory of all heads beyond a small share for each.
	HeadBytes int64
	// Callers bounds the connections of the listener for callers' requests, Peers those from other instances that are not authenticated yet, and
	// Others those of each other listener.
	Callers, Peers, Others int
}

// NewLimits returns the limits for a machine with the given memory in bytes and a process with the given number of descriptors, as the settings
// state them; 0 for what is not known. A lower limit of the process itself holds.
func NewLimits(memory int64, files int) Limits {
	if limit := debug.SetMemoryLimit(-1); memory <= 0 {
		memory = defaultMachineBytes
		if limit != math.MaxInt64 {
			memory = limit
		}
	}
	var process syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &process); err == nil && (files <= 0 || process.Cur < uint64(files)) {
		files = int(min(process.Cur, math.MaxInt32))
	}
	return newLimits(memory, files)
}

// newLimits is NewLimits for figures that are known. A request in progress takes one descriptor for its caller and one for its backend server.
func newLimits(memory int64, files int) Limits {
	if files <= 0 {
		files = defaultFiles
	}
	return Limits{
		HeadBytes: max(minHeadBytes, memory/headMemoryParts),
		Callers:   max(1, min((files-max(minReservedFiles, files/reservedParts))/2, int(memory/connBytes))),
		Peers:     min(max(minOtherConnections, files/peerParts), maxPeerConnections),
		Others:    min(max(minOtherConnections, files/otherParts), maxOtherConnections),
	}
}

// Options configures a Guard. Log is required.
type Options struct {
	Limits Limits
	// OnRefusal is called for each request that is refused and each connection that is closed because of the limits. It may be nil.
	OnRefusal func(listener string, reason Reason)
	Log       logrus.FieldLogger
}

// Guard bounds what callers take of a process: the memory of request heads and the connections. It is safe for concurrent use.
type Guard struct {
	options Options
	heads   *Budget
	logged  *rate.Limiter
}

// NewGuard returns a guard.
func NewGuard(options Options) *Guard {
	if options.OnRefusal == nil {
		options.OnRefusal = func(string, Reason) {}
	}
	heads := NewBudget(options.Limits.HeadBytes)
	heads.ledger.share = headShareBytes
	heads.ledger.sourceTotal = options.Limits.HeadBytes * 3 / 4
	return &Guard{options: options, heads: heads, logged: rate.NewLimiter(maxLogLines, maxLogLines)}
}

// HeadBytes returns the estimated memory of the heads beyond their shares.
func (g *Guard) HeadBytes() int64 {
	bytes, _ := g.heads.Usage()
	return bytes
}

// Callers returns the group of a listener for callers' requests.
func (g *Guard) Callers(name string) *Group { return g.newGroup(name, g.options.Limits.Callers) }

// Peers returns the group of a listener for other instances.
func (g *Guard) Peers(name string) *Group { return g.newGroup(name, g.options.Limits.Peers) }

// Others returns the group of a listener that is for neither.
func (g *Guard) Others(name string) *Group { return g.newGroup(name, g.options.Limits.Others) }

func (g *Guard) newGroup(name string, limit int) *Group {
	return &Group{guard: g, name: name, table: newConnTable(limit)}
}

// report counts and logs a refusal.
func (g *Guard) report(group *Group, reason Reason, address string) {
	g.options.OnRefusal(group.name, reason)
	if !g.logged.Allow() {
		return
	}
	g.options.Log.WithFields(logrus.Fields{
		logs.Event: "callerLimited", "listener": group.name, logs.Reason: reason.String(), "caller": address,
		"open": group.Open(), "headBytes": g.HeadBytes(),
	}).Warn("a request was refused or a connection closed because of the limits for callers")
}

// Group holds the connections of one listener.
type Group struct {
	guard *Guard
	name  string

	mu    sync.Mutex
	table *connTable
	// decodesHeads is true if the connections are those of an HTTP server, and hasHTTP2 if they may be of HTTP/2.
	decodesHeads, hasHTTP2 bool
}

// Open returns the number of open connections.
func (g *Group) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.table.entries)
}

// Listener returns a listener whose connections belong to the group.
func (g *Group) Listener(listener net.Listener) net.Listener {
	return &groupListener{Listener: listener, group: g}
}

type groupListener struct {
	net.Listener
	group *Group
}

// Accept implements net.Listener.
func (l *groupListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.group.admit(accepted); conn != nil {
			return conn, nil
		}
		_ = accepted.Close() // Nothing was read.
	}
}

// admit returns the connection of the group for an accepted one, nil if there is no room for it.
func (g *Group) admit(accepted net.Conn) *Conn {
	address, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	if err != nil {
		address = accepted.RemoteAddr().String() // Not TCP.
	}
	conn := &Conn{Conn: accepted, group: g, address: address}
	g.mu.Lock()
	entry, victim := g.table.admit(address, time.Now())
	if entry != nil {
		entry.conn, conn.entry = conn, entry
	}
	reason := ReasonIdle
	if victim != nil {
		victim.conn.wake()
		if victim.state == connReading {
			reason = ReasonSlow
		}
	}
	g.mu.Unlock()
	if victim != nil {
		g.guard.report(g, reason, victim.source.address)
	}
	if entry == nil {
		g.guard.report(g, ReasonConnections, address)
		return nil
	}
	conn.holding = g.guard.heads.Open(address, conn.giveUp)
	return conn
}

// Establish ends the limits for a connection of the group whose caller has been authenticated.
func (g *Group) Establish(conn net.Conn) {
	if c := connOf(conn); c != nil {
		c.unlimited.Store(true)
		c.release()
	}
}

// RefuseHandshake reports a connection of the group whose caller has not been authenticated.
func (g *Group) RefuseHandshake(conn net.Conn) {
	g.guard.report(g, ReasonHandshake, conn.RemoteAddr().String())
}

// ReportFailure reports that a connection could not be accepted.
func (g *Group) ReportFailure(err error) {
	if g.guard.logged.Allow() {
		g.guard.options.Log.WithError(err).WithFields(logrus.Fields{logs.Event: "acceptFailed", "listener": g.name}).
			Error("a connection could not be accepted")
	}
}

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// Install makes a server follow the states of the group's connections and limit what it decodes. It is called before the server serves.
// Connections may be wrapped by types with the method NetConn.
func (g *Group) Install(server *http.Server) {
	g.mu.Lock()
	g.decodesHeads = true
	g.hasHTTP2 = server.Protocols != nil && server.Protocols.UnencryptedHTTP2()
	g.mu.Unlock()
	onState, newContext := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c := connOf(conn); c != nil {
			c.follow(state)
		}
		if onState != nil {
			onState(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if newContext != nil {
			ctx = newContext(ctx, conn)
		}
		if c := connOf(conn); c != nil {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	server.Handler = g.handler(server.Handler)
}

// connOf returns the Conn below a connection, nil for none.
func connOf(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// handler returns a handler that refuses requests whose heads have no room, and drops their trailers.
func (g *Group) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		holding := conn.holding
		if r.ProtoMajor > 1 { // Requests share the connection.
			holding = g.guard.heads.Open(conn.address, func() {})
			defer holding.Close()
		} else if conn.closing() {
			panic(http.ErrAbortHandler) // Its caller may already see the end, and the request must not run.
		}
		err := holding.Hold(headBytes(r))
		if err == nil {
			err = holding.Settle()
		}
		if err != nil {
			g.guard.report(g, ReasonMemory, conn.address)
			w.Header().Set("Retry-After", "1")
			if r.ProtoMajor == 1 {
				w.Header().Set("Connection", "close")
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.Trailer = nil
		if r.ContentLength < 0 {
			// net/http adds trailers to its own request and looks at the body of that one.
			forwarded := r.WithContext(r.Context())
			forwarded.Body = &bodyWithoutTrailer{ReadCloser: r.Body, request: r}
			r = forwarded
		}
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		// Without chunks, the end of the connection may be that of the response. It is not in order before the handler returns: after a panic, by the
		// server's Close or with the process.
		conn.resetOnClose(true)
		next.ServeHTTP(w, r)
		conn.resetOnClose(false)
	})
}

// headBytes estimates the memory of a decoded head and its clone.
func headBytes(r *http.Request) int64 {
	lines, bytes := len(r.Trailer)+strings.Count(r.URL.RawQuery, "&"), len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	return estimate(lines, bytes)
}

// estimate returns the memory of a head and its clone: net/http keeps a part of the bytes in addition to what the lines take.
func estimate(lines, bytes int) int64 { return int64(lines)*lineBytes + 2*int64(bytes) }

// bodyWithoutTrailer is the body of a request whose trailers are dropped. Nothing uses them, and they are not part of the head.
type bodyWithoutTrailer struct {
	io.ReadCloser
	request *http.Request
}

// Read implements io.Reader.
func (b *bodyWithoutTrailer) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.request.Trailer = nil
	}
	return n, err
}
