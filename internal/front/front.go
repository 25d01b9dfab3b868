package front

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/stream"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// readHeaderLimit ends connections whose caller sends its header too slowly.
	readHeaderLimit = 10 * time.Second
	idleLimit       = 2 * time.Minute
)

// RunKeys issues run key prefixes for calls that may not be repeated.
type RunKeys interface {
	Issue(account string, now time.Time) string
}

// RunKeysFunc adapts a function to RunKeys.
type RunKeysFunc func(account string, now time.Time) string

// Issue calls f.
func (f RunKeysFunc) Issue(account string, now time.Time) string { return f(account, now) }

// Engines is the client side of the engine protocol.
type Engines interface {
	engine.Runner
	engine.Canceler
	engine.Observer
}

// Options configures a Front. Source, Placer, Directory and MACKey are required.
type Options struct {
	Source    spec.Source
	Placer    pond.Placer
	Directory pond.Directory
	MACKey    []byte
	// Executor runs calls to plain services. Nil refuses them.
	Executor pond.Executor
	// RunKeys may be nil; entries and responses then carry no run key.
	RunKeys RunKeys
	// Conn connects to another instance by its peer address. Nil means that this instance is alone.
	Conn func(peerAddress string) drpc.Conn
	// Engines defaults to an HTTP client.
	Engines Engines
	// Backends is consulted directly before each start. Nil accepts every backend server.
	Backends pond.BackendView
	// Left is called with the name of an engine that answered that it is leaving. It may be nil.
	Left func(backend string)
	// Ready reports whether the instance should be named to callers. Nil means yes.
	Ready func() bool
	// Accepting reports false once new work must be refused because the instance is leaving. Nil means yes.
	Accepting func() bool
	// Status serves GET /v1/status. It may be nil.
	Status http.Handler
	// Metrics may be nil.
	Metrics *metric.Metrics
	// Log may be nil.
	Log *logrus.Logger
	// ResumeLimit and StallLimit default to those of package stream.
	ResumeLimit time.Duration
	StallLimit  time.Duration
}

// Front serves callers. It is safe for concurrent use.
type Front struct {
	options Options
	relay   *stream.Relay
	router  *mux.Router
	keys    keyIndex
	limits  limits
	// calls counts the calls to services in progress.
	calls stream.Gate
}

// New returns the handler of an instance.
func New(options Options) *Front {
	setDefaults(&options)
	f := &Front{options: options, relay: newRelay(options), router: mux.NewRouter().UseEncodedPath().SkipClean(true)}
	f.routes()
	return f
}

func setDefaults(options *Options) {
	if options.Engines == nil {
		options.Engines = engine.NewClient(engine.NewTransport())
	}
	if options.Metrics == nil {
		options.Metrics = metric.New()
	}
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	if options.Ready == nil {
		options.Ready = func() bool { return true }
	}
	if options.Accepting == nil {
		options.Accepting = func() bool { return true }
	}
}

func newRelay(options Options) *stream.Relay {
	return stream.NewRelay(stream.Options{
		Ref:         options.Directory.Self().Ref(),
		Placer:      options.Placer,
		Runner:      options.Engines,
		Cancel:      options.Engines,
		Observer:    options.Engines,
		MACKey:      options.MACKey,
		Address:     backendAddress(options.Source),
		Directory:   options.Directory,
		Release:     releaseOver(options.Conn),
		Backends:    options.Backends,
		Confirmed:   options.Source.Confirmed,
		Left:        options.Left,
		Metrics:     options.Metrics,
		Log:         options.Log,
		ResumeLimit: options.ResumeLimit,
		StallLimit:  options.StallLimit,
	})
}

// backendAddress finds backend servers in the manifest in effect.
func backendAddress(source spec.Source) func(string) (string, bool) {
	return func(name string) (string, bool) {
		manifest := source.Current()
		if manifest == nil {
			return "", false
		}
		backend, ok := manifest.Backend(name)
		return backend.Address(), ok
	}
}

func releaseOver(conn func(string) drpc.Conn) stream.ReleaseFunc {
	if conn == nil {
		return nil
	}
	return func(ctx context.Context, address string, req *peerpb.ReleaseStreamRequest) (*peerpb.ReleaseStreamResponse, error) {
		return peerpb.NewDRPCStreamsClient(conn(address)).ReleaseStream(ctx, req)
	}
}

// NewServer returns an HTTP server with the limits on connections and headers that the handler relies on. It serves
// HTTP/1.1 and HTTP/2 without TLS.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderLimit,
		IdleTimeout:       idleLimit,
		Protocols:         protocols,
	}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

// Streams returns the drpc service through which other instances take over streams.
func (f *Front) Streams() peerpb.DRPCStreamsServer { return f.relay }

// Open returns the number of generations and calls in progress.
func (f *Front) Open() int { return f.relay.Open() + f.calls.Open() }

// Drain waits until every generation and every call has been answered. When ctx ends first, streams get a move event
// with their cursor, requests without a token are refused, and calls in progress are left to the executor's own drain.
func (f *Front) Drain(ctx context.Context) error {
	err := f.relay.Drain(ctx)
	if !f.calls.Wait(ctx.Done()) {
		return ctx.Err()
	}
	return err
}

func (f *Front) routes() {
	f.router.HandleFunc("/healthz", f.serveHealth).Methods(http.MethodGet)
	f.router.HandleFunc("/readyz", f.serveReady).Methods(http.MethodGet)
	f.router.Handle("/metrics", f.options.Metrics.Handler()).Methods(http.MethodGet)
	if f.options.Status != nil {
		f.router.Handle("/v1/status", f.options.Status).Methods(http.MethodGet)
	}
	f.router.Handle("/v1/completions", f.serve(f.complete(formatText), f.admitted, f.limited)).Methods(http.MethodPost)
	f.router.Handle("/v1/chat/completions", f.serve(f.complete(formatChat), f.admitted, f.limited)).Methods(http.MethodPost)
	f.router.Handle("/v1/streams", f.serve(f.resume, f.admitted, f.limited)).Methods(http.MethodGet)
	f.router.Handle("/v1/entries", f.serve(f.serveEntries)).Methods(http.MethodGet)
	f.router.PathPrefix("/services/{service}/").Handler(f.serve(f.callService, f.admitted, f.confirmed, f.serviceLimited))
	f.router.NotFoundHandler = f.refusing("there is no such path")
	f.router.MethodNotAllowedHandler = f.refusing("the path has no such method")
}

func (f *Front) refusing(detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.sendRefusal(w, r, refuse(pond.ReasonNotFound, detail))
	})
}
