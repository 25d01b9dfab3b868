package relay

import (
	"context"
	"errors"
	"hash/maphash"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/drain"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/hazard"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * time.Second

	// unreachedRetryDelay is the mean of the advised retry delays while this instance reaches no backend server.
	unreachedRetryDelay = time.Second

	// backoffSpread is the time over which the callers return whose requests were refused because of a back-off.
	backoffSpread = time.Second

	// shortRetryDelay is the advised retry delay if another instance or replica may serve the request at once.
	shortRetryDelay = 100 * time.Millisecond

	// unconfirmedRetryDelay is the advised retry delay while the configuration or the keys are not confirmed.
	unconfirmedRetryDelay = 500 * time.Millisecond

	// leaseMargin is the part of the key lease that is reserved for the transit of a request to its backend server.
	leaseMargin = 500 * time.Millisecond
)

// Options configures a Relay. All fields but Disabled and Explain are required.
type Options struct {
	Fleet  *fleet.Fleet
	Placer pond.Placer
	// Explain returns the pools that Placer would ask about a request, without placing it, as place.Placer.Explain does.
	Explain  func(context.Context, pond.PlaceRequest) ([]*peerpb.WherePool, error)
	Protocol Protocol
	Copier   Copier
	// Dial connects to a backend server.
	Dial engine.DialFunc
	// Blames reports whether a failure to connect to the address of a backend server is the server's own.
	Blames func(address string) bool
	// ConfirmEnd returns an error unless the process of a backend server, whose connection has ended in order, still runs. The kernel ends the
	// connections of a process that has ended in the same way.
	ConfirmEnd func(ctx context.Context, backend route.Backend) error
	Budget     *RetryBudget
	Limits     *quota.Gate
	Hazards    *hazard.Guard
	// Requests is the guard against whole requests that crash backend servers; its parts are identities.
	Requests *hazard.Guard
	// Instances returns the number of instances in the fleet, and Others that of the other ones that serve callers.
	Instances func() int
	Others    func() int
	// Instance is the name of this instance, and DataCentre its data centre.
	Instance   string
	DataCentre string
	// KeyLease returns the time for which keys are accepted after they were last known to be current; zero for no limit.
	KeyLease func() time.Duration
	// ConfirmedAt returns the time at which the configuration was last known to be current.
	ConfirmedAt func() time.Time
	// Clock includes the time for which the machine was suspended. It is compared with ConfirmedAt and with the times
	// at which engines began to leave.
	Clock   func() time.Time
	Metrics *metric.Requests
	Traffic *metric.Traffic
	Log     logrus.FieldLogger
	// Disabled holds the mechanisms that are switched off.
	Disabled pond.MechanismSet
}

// Relay serves callers' requests. It is safe for concurrent use.
type Relay struct {
	options   Options
	transport *engine.Transport
	replicas  *replicaTable
	seed      maphash.Seed
	open      *openRequests
	serial    atomic.Uint64
	history   *drain.History
	shutdown  *shutdown
}

var _ peerpb.DRPCWhereServer = (*Relay)(nil)

// New returns a relay.
func New(options Options) *Relay {
	return &Relay{
		options:   options,
		transport: engine.NewUnpooledTransport(checkedDial(options.Dial)),
		replicas:  newReplicaTable(),
		seed:      maphash.MakeSeed(),
		open:      newOpenRequests(),
		history:   drain.NewHistory(),
		shutdown:  newShutdown(),
	}
}

// Open returns the number of requests in progress.
func (r *Relay) Open() int { return r.open.count() }

// Unanswered returns the number of requests whose response has not begun.
func (r *Relay) Unanswered() int { return r.open.unanswered() }

// exchange is one caller's request in progress.
type exchange struct {
	relay *Relay
	w     http.ResponseWriter
	in    *http.Request
	call  *Call
	// catalogue is the configuration in which the route was found, until the request is prepared; version is its version.
	catalogue *route.Catalogue
	version   uint64
	route     *route.Route
	service   *route.Service
	account   string
	priority  int
	arrived   time.Time
	deadline  time.Time
	body      Body
	// bodyDeadline is the time by which the body has to be there.
	bodyDeadline *bodyDeadline
	log          logrus.FieldLogger
	allowed      allowedRegions
	// requestIdentity caches identity; empty until then.
	requestIdentity string
	// run holds the attempts to run a generation.
	run runAttempts
	// denied names the backend servers whose limits did not permit the request, and permitAt is the earliest time at which
	// one of them may.
	denied   []string
	permitAt time.Time
	// experiment is true if a request without a stream is permitted to show whether it crashes backend servers.
	experiment bool
	// unreached is true if the last attempt failed because no backend server can be reached.
	unreached bool
	// awaitsWayUntil is the end of the wait for a way to the backend servers; zero without one.
	awaitsWayUntil time.Time
	// stream is the response stream of a generation; nil without one.
	stream *stream
	// firstEventAt is the time of the first event of a plain service's stream; zero without one.
	firstEventAt time.Time
	progress     progress
}

// Serve handles one request.
func (r *Relay) Serve(w http.ResponseWriter, in *http.Request, call *Call) {
	x := &exchange{relay: r, w: w, in: in, call: call, arrived: time.Now()}
	x.log = r.options.Log.WithField(logs.Request, call.ID)
	x.bodyDeadline = &bodyDeadline{controller: http.NewResponseController(w), log: x.log}
	r.open.add(x)
	defer r.open.remove(x)
	if !x.prepare() {
		return
	}
	x.progress.advance(StageWaiting)
	ctx, cancel := context.WithDeadline(in.Context(), x.deadline)
	defer cancel()
	defer x.endWithShutdown(func() {
		cancel()
		x.bodyDeadline.expire()
	})()
	r.options.Budget.RecordRequest(x.service.Name, x.arrived)
	if x.service.Engine != nil {
		x.generate(ctx)
		return
	}
	x.forward(ctx)
}

// prepare finds the route and the client account and reads the body. On false, it has sent an error response.
func (x *exchange) prepare() bool {
	r := x.relay
	x.catalogue = r.options.Fleet.Catalogue()
	if x.catalogue == nil {
		x.refuse(pond.ReasonNotReady, unconfirmedRetryDelay, "no configuration is known yet")
		return false
	}
	x.version = x.catalogue.Version()
	matched, ok := x.catalogue.Match(x.call.Host, x.call.Path)
	if !ok {
		x.reject(http.StatusNotFound, pond.ReasonNotFound)
		return false
	}
	x.route, x.priority = matched, matched.Priority
	if !x.authenticate() || !x.readPosition() {
		return false
	}
	x.setService(matched.ServiceFor(r.hashFraction(x.call.ID)))
	if x.endsTooLate() {
		x.refuseLeaving()
		return false
	}
	if x.in.ContentLength != 0 {
		// Without a body, the server watches the connection already, and a deadline that passes would look like a caller who left.
		x.bodyDeadline.set(x.deadline)
	}
	stop := context.AfterFunc(x.relay.shutdown.ending, x.bodyDeadline.expire)
	defer stop()
	body, err := readBody(x.in, x.catalogue.Limits().BodyBytes, x.bodyDeadline.remove)
	if err != nil {
		x.rejectBody(err)
		return false
	}
	x.body = body
	if !body.Replayable() {
		x.readBodyWhileResponding()
	}
	x.releaseCatalogue()
	return true
}

// releaseCatalogue copies what the request needs of the configuration. A long stream would keep a former one in memory until its end.
func (x *exchange) releaseCatalogue() {
	x.regions() // The first ones are those of this configuration.
	matched, service := *x.route, *x.service
	x.route, x.service, x.catalogue = &matched, &service, nil
}

// setService sets the service of the request and its deadline.
func (x *exchange) setService(name string) {
	service, ok := x.catalogue.Service(name)
	if !ok {
		service = &route.Service{Name: name}
	}
	x.service = service
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.arrived.Add(timeout)
	if !x.call.Deadline.IsZero() && x.call.Deadline.Before(x.deadline) {
		x.deadline = x.call.Deadline
	}
}

// readBodyWhileResponding lets the rest of the request body be sent on after the response has begun. By default net/http reads what is
// left of a body itself before it writes the response, and a backend server that reads on would miss those bytes. The connection
// is closed after the response, because part of the body may be left on it.
func (x *exchange) readBodyWhileResponding() {
	if err := http.NewResponseController(x.w).EnableFullDuplex(); err != nil {
		x.log.WithError(err).WithField(logs.Event, "halfDuplex").Warn("the caller's connection cannot be read while a response is sent")
	}
	x.w.Header().Set("Connection", "close")
}

// readPosition takes over the caller's position in a resumable stream. On false, it has sent an error response.
func (x *exchange) readPosition() bool {
	if !x.route.Resumable || x.call.Position == "" {
		return true
	}
	if _, err := strconv.ParseUint(x.call.Position, 10, 63); err != nil {
		x.reject(http.StatusBadRequest, pond.ReasonBadRequest)
		return false
	}
	x.run.position = x.call.Position
	return true
}

func (x *exchange) rejectBody(err error) {
	if errors.Is(err, errBodyTooLarge) {
		x.reject(http.StatusRequestEntityTooLarge, pond.ReasonTooLarge)
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && x.relay.shutdown.begun() {
		x.refuseLeaving()
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.reject(http.StatusRequestTimeout, pond.ReasonDeadline)
		return
	}
	x.log.WithError(err).WithField(logs.Event, "bodyUnread").Info("the request body could not be read")
	panic(http.ErrAbortHandler)
}

// authenticate finds the client account of the key. On false, it has sent an error response.
func (x *exchange) authenticate() bool {
	err := x.identify()
	switch {
	case err == nil:
		return true
	case errors.Is(err, errKeysOld):
		x.refuse(pond.ReasonNotReady, unconfirmedRetryDelay, err.Error())
	default:
		x.reject(http.StatusUnauthorized, pond.ReasonUnauthenticated)
	}
	return false
}

var (
	errKeysOld    = errors.New("the keys are not known to be current")
	errUnknownKey = errors.New("no client account has the key")
)

// identify finds the client account.
func (x *exchange) identify() error {
	if x.route.AuthExempt || !x.catalogue.NeedsKeys() {
		return nil
	}
	if !x.keysCurrent() {
		return errKeysOld
	}
	account, ok := x.catalogue.Account(x.call.Key)
	if !ok {
		return errUnknownKey
	}
	x.account = account.Name
	if account.Priority != route.NoPriority {
		x.priority = account.Priority
	}
	return nil
}

func (x *exchange) keysCurrent() bool {
	o := &x.relay.options
	lease := o.KeyLease()
	return lease == 0 || o.Clock().Sub(o.ConfirmedAt()) < lease-leaseMargin
}

// keyStillValid checks the key again immediately before a send, because the request may have waited.
func (x *exchange) keyStillValid() bool {
	newest := x.relay.options.Fleet.Catalogue()
	if x.account == "" {
		return x.route.AuthExempt || !newest.NeedsKeys()
	}
	if !x.keysCurrent() {
		return false
	}
	account, ok := newest.Account(x.call.Key)
	return ok && account.Name == x.account
}

// hashFraction maps an ID to a number in [0, 1).
func (r *Relay) hashFraction(id string) float64 {
	const bits = 53
	return float64(maphash.String(r.seed, id)>>(64-bits)) / (1 << bits)
}

// refuse responds that the request has not run and after which delay the caller may retry. It must not be called once a
// backend server may have run the request.
func (x *exchange) refuse(reason pond.Reason, after time.Duration, detail string) {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	x.recordEnd(http.StatusServiceUnavailable, "refused", reason, detail)
	x.w.WriteHeader(http.StatusServiceUnavailable)
}

// refuseUnreached refuses a request because no backend server can be reached. The callers return spread over time.
func (x *exchange) refuseUnreached() {
	x.refuse(pond.ReasonNoBackend, unreachedRetryDelay/2+rand.N(unreachedRetryDelay), "no backend server can be reached")
}

// reject responds that the request is invalid or not permitted.
func (x *exchange) reject(status int, reason pond.Reason) {
	x.recordEnd(status, "rejected", reason, "")
	x.w.WriteHeader(status)
}

// fail responds to a request whose outcome is unknown.
func (x *exchange) fail(status int, reason pond.Reason, detail string) {
	x.recordEnd(status, "failed", reason, detail)
	x.w.WriteHeader(status)
}

// abort closes the connection, so that the caller does not take the response for complete.
func (x *exchange) abort(reason pond.Reason, detail string) {
	x.recordEnd(0, "brokenOff", reason, detail)
	panic(http.ErrAbortHandler)
}

// callerLeft reports whether the caller has closed its connection. net/http says so as well when a body does not come in time.
func (x *exchange) callerLeft() bool { return x.in.Context().Err() != nil && !x.bodyDeadline.passed() }

// abortDisconnected aborts a response whose connection was closed by the caller, or by this instance at the end of its
// shutdown.
func (x *exchange) abortDisconnected() {
	if plan := x.relay.shutdown.plan.Load(); plan != nil && !time.Now().Before(plan.ExitAt()) {
		x.abort(pond.ReasonLeaving, "the shutdown ended before the answer")
	}
	x.abort(pond.ReasonCanceled, "the caller left")
}

// confirmedAgeMillis returns the time since the configuration was last confirmed, or -1 before the first confirmation.
func (x *exchange) confirmedAgeMillis() int64 {
	confirmedAt := x.relay.options.ConfirmedAt()
	if confirmedAt.IsZero() {
		return -1
	}
	return x.relay.options.Clock().Sub(confirmedAt).Milliseconds()
}

// late returns what came later than the route's targets, or "".
func (x *exchange) late() string {
	switch {
	case x.route == nil:
		return ""
	case x.stream == nil:
		answeredAt := time.Now()
		if !x.firstEventAt.IsZero() {
			answeredAt = x.firstEventAt
		}
		if x.route.LatencyTarget > 0 && answeredAt.Sub(x.arrived) > x.route.LatencyTarget {
			return logs.LateAnswer
		}
		return ""
	default:
		return x.stream.late()
	}
}

// recordEnd logs the end of a request and updates the metrics.
func (x *exchange) recordEnd(status int, outcome string, reason pond.Reason, detail string) {
	fields := logrus.Fields{
		logs.Event: "requestEnded", logs.Outcome: outcome, logs.Status: status,
		logs.ElapsedMillis: time.Since(x.arrived).Milliseconds(),
	}
	if outcome != "answered" {
		fields[logs.Reason] = reason.String()
		fields["detail"] = detail
		fields[logs.AgeMillis] = x.confirmedAgeMillis()
		fields[logs.Revision] = x.relay.options.Fleet.Revision()
	}
	if x.version > 0 {
		fields[logs.Version] = x.version
	}
	kind := "unknown"
	if x.route != nil {
		fields[logs.Route], fields[logs.Account] = x.route.Name, x.account
		if regions := x.regions(); regions.Restricted() {
			fields[logs.Regions] = regions.String()
		}
		kind = x.route.Kind.String()
	}
	if x.stream != nil {
		x.stream.addLogFields(fields)
	}
	if late := x.late(); late != "" && outcome == "answered" {
		fields[logs.Late] = late
	}
	x.relay.options.Metrics.RecordEnd(kind, outcome, reason, x.account, time.Since(x.arrived))
	x.log.WithFields(fields).Info("request ended")
}
