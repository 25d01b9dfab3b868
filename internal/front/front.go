package front

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"github.com/dragonflypond/dragonflypond/internal/bound"
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
	// readHeaderTimeout closes connections whose caller sends its header too slowly.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxStreams bounds the requests of one HTTP/2 connection, as RFC 9113 recommends, and maxFrameBytes a frame, which is read whole: the least
	// that the protocol allows.
	maxStreams    = 100
	maxFrameBytes = 16 << 10
	// finalAnswerTime bounds the time for the answers to the calls that are in progress at the end of a drain.
	finalAnswerTime = time.Second
	// defaultAnswerBytes is used if no budget for answers is given.
	defaultAnswerBytes = 8 << 20
)

// errLeaving ends the calls that are in progress at the end of a drain.
var errLeaving = errors.New("the instance is leaving")

// RunKeyIssuer issues run key prefixes for calls that may not be repeated.
type RunKeyIssuer interface {
	Issue(account string, now time.Time) string
}

// RunKeyIssuerFunc adapts a function to RunKeyIssuer.
type RunKeyIssuerFunc func(account string, now time.Time) string

// Issue calls f.
func (f RunKeyIssuerFunc) Issue(account string, now time.Time) string { return f(account, now) }

// EngineClient is the client side of the engine protocol.
type EngineClient interface {
	engine.Runner
	engine.Canceler
	engine.ReaderChecker
}

// Options configures a Front. Source, Placer, Directory and MACKey are required.
type Options struct {
	Source    spec.Source
	Placer    pond.Placer
	Directory pond.Directory
	// MACKey authenticates cursors. All instances of a deployment use the same key.
	MACKey []byte
	// Executor runs calls to services. Nil refuses them.
	Executor pond.Executor
	// RunKeys may be nil; responses then carry no run key.
	RunKeys RunKeyIssuer
	// Conn connects to another instance by its peer address. Nil means that there are no other instances.
	Conn func(peerAddress string) drpc.Conn
	// EngineClient defaults to an HTTP client.
	EngineClient EngineClient
	// Backends is checked immediately before each generation starts. Nil accepts every backend server.
	Backends pond.BackendView
	// OnEngineLeaving is called with the name of an engine that answered that it is leaving. It may be nil.
	OnEngineLeaving func(backend string)
	// Ready reports whether the instance should be advertised to callers. Nil means yes.
	Ready func() bool
	// Accepting reports whether the instance accepts new work; it becomes false while the instance shuts down. Nil
	// means yes.
	Accepting func() bool
	// Status serves GET /v1/status. It may be nil.
	Status http.Handler
	// Answers limits the answers that are held in memory until they are complete. Nil means a budget of defaultAnswerBytes.
	Answers *bound.Budget
	// Metrics may be nil.
	Metrics *metric.Metrics
	// Log may be nil.
	Log *logrus.Logger
	// ResumeLimit and StallLimit default to the values of package stream.
	ResumeLimit time.Duration
	StallLimit  time.Duration
}

// Front is the HTTP handler for callers. It is safe for concurrent use.
type Front struct {
	options Options
	relay   *stream.Relay
	router  *mux.Router
	apiKeys apiKeyIndex
	limits  accountLimits
	// calls tracks the calls to services in progress.
	calls stream.WorkTracker
}

// New returns the handler of an instance.
func New(options Options) *Front {
	setDefaults(&options)
	f := &Front{options: options, relay: newRelay(options), router: mux.NewRouter().UseEncodedPath().SkipClean(true)}
	f.routes()
	return f
}

func setDefaults(options *Options) {
	if options.EngineClient == nil {
		options.EngineClient = engine.NewClient(nil)
	}
	if options.Answers == nil {
		options.Answers = bound.NewBudget(defaultAnswerBytes)
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
		Ref:             options.Directory.Self().Ref(),
		Placer:          options.Placer,
		Runner:          options.EngineClient,
		Cancel:          options.EngineClient,
		Observer:        options.EngineClient,
		MACKey:          options.MACKey,
		Address:         backendAddress(options.Source),
		Manifest:        options.Source.Current,
		Directory:       options.Directory,
		Release:         newReleaseFunc(options.Conn),
		Backends:        options.Backends,
		Confirmed:       options.Source.Confirmed,
		OnEngineLeaving: options.OnEngineLeaving,
		Metrics:         options.Metrics,
		Log:             options.Log,
		ResumeLimit:     options.ResumeLimit,
		StallLimit:      options.StallLimit,
	})
}

// backendAddress returns a function that looks up the address of a backend server in the manifest in effect.
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

func newReleaseFunc(conn func(string) drpc.Conn) stream.ReleaseFunc {
	if conn == nil {
		return nil
	}
	return func(ctx context.Context, address string, req *peerpb.ReleaseStreamRequest) (*peerpb.ReleaseStreamResponse, error) {
		return peerpb.NewDRPCStreamsClient(conn(address)).ReleaseStream(ctx, req)
	}
}

// NewServer returns an HTTP server with the connection and header limits that the handler relies on. It serves HTTP/1.1
// and HTTP/2 without TLS.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReadFrameSize: maxFrameBytes},
	}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

// Streams returns the drpc service through which other instances take over streams.
func (f *Front) Streams() peerpb.DRPCStreamsServer { return f.relay }

// InProgress returns the number of generations and calls in progress.
func (f *Front) InProgress() int { return f.relay.Open() + f.calls.Open() }

// Drain waits until all generations and calls have been answered. If ctx ends first, streams get a move event with
// their cursor, requests without a token are refused, and calls in progress are answered with their run state unknown.
func (f *Front) Drain(ctx context.Context) error {
	err := f.relay.Drain(ctx)
	if f.calls.Wait(ctx.Done()) {
		return err
	}
	f.calls.Stop(errLeaving)
	answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTime)
	defer cancel()
	f.calls.Wait(answerCtx.Done())
	return ctx.Err()
}

func (f *Front) routes() {
	f.router.HandleFunc("/healthz", f.serveHealth).Methods(http.MethodGet)
	f.router.HandleFunc("/readyz", f.serveReadiness).Methods(http.MethodGet)
	f.router.Handle("/metrics", f.options.Metrics.Handler()).Methods(http.MethodGet)
	if f.options.Status != nil {
		f.router.Handle("/v1/status", f.options.Status).Methods(http.MethodGet)
	}
	f.router.Handle("/v1/completions", f.serve(f.serveCompletion(formatText), f.requireAccepting, f.limitAccount)).Methods(http.MethodPost)
	f.router.Handle("/v1/chat/completions", f.serve(f.serveCompletion(formatChat), f.requireAccepting, f.limitAccount)).Methods(http.MethodPost)
	f.router.Handle("/v1/streams", f.serve(f.serveResume, f.requireAccepting, f.limitAccount)).Methods(http.MethodGet)
	f.router.Handle("/v1/entries", f.serve(f.serveEntries)).Methods(http.MethodGet)
	f.router.PathPrefix("/services/{service}/").Handler(f.serve(f.serveCall, f.requireAccepting, f.requireConfirmed, f.limitServiceCall))
	f.router.NotFoundHandler = f.notFound("there is no such path")
	f.router.MethodNotAllowedHandler = f.notFound("the path has no such method")
}

func (f *Front) notFound(detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.sendRefusal(w, r, refuse(pond.ReasonNotFound, detail))
	})
}
