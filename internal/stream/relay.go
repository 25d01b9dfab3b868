package stream

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// defaultResumeLimit is how long a parked generation waits for its caller (design page, section 4.5).
	defaultResumeLimit = 10 * time.Second
	// defaultStallLimit is how long an engine may send nothing. A resume costs one request and is harmless if the engine
	// is merely slow, so the limit is only a few times the longest expected gap between tokens.
	defaultStallLimit = 3 * time.Second
	// releaseRetention is how long an instance keeps the record of who took a generation.
	releaseRetention = 10 * time.Minute
	// leavingRetryDelay is the advised delay after which a caller should retry at another instance.
	leavingRetryDelay = time.Second
	// cancelTimeout bounds all attempts to cancel a generation. The home of the pool cancels generations that remain.
	cancelTimeout = 5 * time.Second
)

// ReleaseFunc asks the instance with the given peer address to release a generation.
type ReleaseFunc func(ctx context.Context, peerAddress string, req *peerpb.ReleaseStreamRequest) (*peerpb.ReleaseStreamResponse, error)

// Options configures a Relay.
type Options struct {
	// Ref names this instance in generation IDs and cursors.
	Ref    pond.InstanceRef
	Placer pond.Placer
	Runner engine.Runner
	Cancel engine.Canceler
	// Observer tells whether another instance reads a generation that is to be canceled. Nil means that this instance
	// is alone.
	Observer engine.ReaderChecker
	// MACKey authenticates cursors; all instances of a deployment have the same one.
	MACKey []byte
	// Address returns the IP:PORT of a backend server named in a cursor.
	Address func(backend string) (string, bool)
	// Manifest returns the manifest in effect, whose regions bind each start. Nil means that requests may run everywhere.
	Manifest func() *spec.Manifest
	// Directory finds the relay named in a cursor. Nil means that this instance is alone.
	Directory pond.Directory
	// Release asks other instances to release a generation. Nil means that this instance is alone.
	Release ReleaseFunc
	// Backends is checked immediately before each start. Nil accepts every backend server.
	Backends pond.BackendView
	// Confirmed reports whether the manifest is confirmed. It is checked immediately before each start, because the
	// process may have been paused while the request waited. Nil means yes.
	Confirmed func(now time.Time) bool
	// OnEngineLeaving is called with the name of an engine that responded that it is leaving. It may be nil.
	OnEngineLeaving func(backend string)
	// Metrics may be nil.
	Metrics *metric.Metrics
	// Log may be nil.
	Log *logrus.Logger
	// ResumeLimit and StallLimit have defaults of 10 s and 3 s.
	ResumeLimit time.Duration
	StallLimit  time.Duration
}

// Relay relays the generations of one instance. It is safe for concurrent use.
type Relay struct {
	options Options
	// self is the text form of Options.Ref.
	self   string
	table  *generationTable
	serial atomic.Uint64
	// requests tracks the requests in progress, including those that wait for a placement.
	requests     WorkTracker
	cancelSender cancelSender
}

// NewRelay returns a relay.
func NewRelay(options Options) *Relay {
	if options.Metrics == nil {
		options.Metrics = metric.New()
	}
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	if options.ResumeLimit == 0 {
		options.ResumeLimit = defaultResumeLimit
	}
	if options.StallLimit == 0 {
		options.StallLimit = defaultStallLimit
	}
	if options.Backends == nil {
		options.Backends = pond.BackendViewFunc(func(string) bool { return true })
	}
	if options.Confirmed == nil {
		options.Confirmed = func(time.Time) bool { return true }
	}
	if options.Manifest == nil {
		options.Manifest = func() *spec.Manifest { return nil }
	}
	if options.OnEngineLeaving == nil {
		options.OnEngineLeaving = func(string) {}
	}
	return &Relay{
		options:      options,
		self:         options.Ref.String(),
		table:        newGenerationTable(options.Ref.String() + ".0"),
		cancelSender: cancelSender{canceler: options.Cancel, observer: options.Observer, log: options.Log},
	}
}

// Open returns the number of requests in progress.
func (r *Relay) Open() int { return r.requests.Open() }

// Drain waits until no request is in progress. When ctx ends first, every stream gets an ItemMove with its cursor,
// requests without a token are refused, and Drain returns the error of ctx once all have ended.
func (r *Relay) Drain(ctx context.Context) error {
	finished := r.requests.Wait(ctx.Done())
	if !finished {
		r.requests.Stop(errInstanceLeaving)
		// This wait ends, because the write deadline of the connection bounds each delivery to a sink.
		r.requests.Wait(nil)
	}
	r.cancelSender.inFlight.Wait(nil)
	if finished {
		return nil
	}
	return ctx.Err()
}

// nextID returns a new ID for a generation or a taker.
func (r *Relay) nextID() string {
	return r.self + "." + strconv.FormatUint(r.serial.Add(1), 10)
}
