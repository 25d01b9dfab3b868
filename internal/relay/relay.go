package relay

import (
	"context"
	"errors"
	"hash/maphash"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// defaultTimeout serves a request on a route without a timeout.
	defaultTimeout = 30 * time.Second

	// shortRetry is the time after which a caller may return if another instance or replica can serve it at once.
	shortRetry = 100 * time.Millisecond

	// staleRetry is the time after which a caller may return to an instance whose keys are not confirmed.
	staleRetry = 500 * time.Millisecond

	// leaseMargin is the part of the lease that is kept for the way of a request to its backend server.
	leaseMargin = 500 * time.Millisecond

	// usualFirstToken and usualTokenTime estimate how long a generation takes. Engines of the present deployments make a
	// token in 8 to 12 ms.
	usualFirstToken = 600 * time.Millisecond
	usualTokenTime  = 10 * time.Millisecond
)

// Options hold what a Relay needs. All fields are required.
type Options struct {
	Fleet    *fleet.Fleet
	Placer   pond.Placer
	Protocol Protocol
	Copier   Copier
	Budget   *RetryBudget
	// Instances returns the number of instances in the fleet.
	Instances func() int
	// Instance is the name of this instance, and DataCentre its data centre.
	Instance   string
	DataCentre string
	// KeyLease returns the time for which keys are accepted after they were last known to be current; zero for no limit.
	KeyLease func() time.Duration
	// ConfirmedAt returns the time at which the configuration was last known to be current.
	ConfirmedAt func() time.Time
	// Clock counts suspended time; it serves the lease only.
	Clock   func() time.Time
	Metrics *metric.Requests
	Traffic *metric.Traffic
	Log     logrus.FieldLogger
}

// Relay serves callers' requests. It is safe for concurrent use.
type Relay struct {
	options   Options
	transport *engine.Transport
	replicas  *replicaTable
	seed      maphash.Seed
	open      atomic.Int64
	serial    atomic.Uint64
	// leavingUntil is the time at which this instance ends; nil while it does not leave.
	leavingUntil atomic.Pointer[time.Time]
}

// New returns a relay.
func New(options Options) *Relay {
	return &Relay{
		options:   options,
		transport: engine.NewFreshTransport(),
		replicas:  newReplicaTable(),
		seed:      maphash.MakeSeed(),
	}
}

// Open returns the number of requests in progress.
func (r *Relay) Open() int { return int(r.open.Load()) }

// Leave makes the relay refuse generations that would not end by a time.
func (r *Relay) Leave(until time.Time) { r.leavingUntil.Store(&until) }

// outlasts reports whether a generation would run when this instance ends.
func (r *Relay) outlasts(prompt *Prompt, now time.Time) bool {
	until := r.leavingUntil.Load()
	if until == nil {
		return false
	}
	if prompt == nil || prompt.MaxOutput <= 0 {
		return true
	}
	return now.Add(usualFirstToken + time.Duration(prompt.MaxOutput)*usualTokenTime).After(*until)
}

// exchange is one request of a caller in progress.
type exchange struct {
	relay     *Relay
	w         http.ResponseWriter
	in        *http.Request
	call      *Call
	catalogue *route.Catalogue
	route     *route.Route
	service   *route.Service
	account   string
	priority  int
	arrived   time.Time
	deadline  time.Time
	body      Body
	log       logrus.FieldLogger
	// stream describes the stream for the log; nil without one.
	stream *stream
}

// Serve answers one request.
func (r *Relay) Serve(w http.ResponseWriter, in *http.Request, call *Call) {
	r.open.Add(1)
	defer r.open.Add(-1)
	x := &exchange{relay: r, w: w, in: in, call: call, arrived: time.Now()}
	x.log = r.options.Log.WithField(logs.Request, call.ID)
	if !x.accept() {
		return
	}
	ctx, cancel := context.WithDeadline(in.Context(), x.deadline)
	defer cancel()
	r.options.Budget.Request(x.service.Name, x.arrived)
	if x.service.Engine != nil {
		x.generate(ctx)
		return
	}
	x.forward(ctx)
}

// accept finds the route and the client account and reads the body. It answers what it does not accept.
func (x *exchange) accept() bool {
	r := x.relay
	x.catalogue = r.options.Fleet.Catalogue()
	if x.catalogue == nil {
		x.refuse(pond.ReasonNotReady, staleRetry, "no configuration is known yet")
		return false
	}
	matched, ok := x.catalogue.Match(x.call.Host, x.call.Path)
	if !ok {
		x.reject(http.StatusNotFound, pond.ReasonNotFound)
		return false
	}
	x.route, x.priority = matched, matched.Priority
	if !x.authorize() {
		return false
	}
	name := matched.ServiceFor(r.spread(x.call.ID))
	if x.service, ok = x.catalogue.Service(name); !ok {
		x.service = &route.Service{Name: name}
	}
	timeout := matched.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.arrived.Add(timeout)
	if !x.call.Deadline.IsZero() && x.call.Deadline.Before(x.deadline) {
		x.deadline = x.call.Deadline
	}
	body, err := readBody(x.in, x.catalogue.Limits().BodyBytes)
	if err != nil {
		x.rejectBody(err)
		return false
	}
	x.body = body
	return true
}

func (x *exchange) rejectBody(err error) {
	if errors.Is(err, errBodyTooLarge) {
		x.reject(http.StatusRequestEntityTooLarge, pond.ReasonTooLarge)
		return
	}
	x.log.WithError(err).WithField(logs.Event, "bodyUnread").Info("the request's body could not be read")
	panic(http.ErrAbortHandler)
}

// authorize finds the client account of the key.
func (x *exchange) authorize() bool {
	if x.route.Open || !x.catalogue.NeedsKeys() {
		return true
	}
	if !x.keysCurrent() {
		x.refuse(pond.ReasonNotReady, staleRetry, "the keys are not known to be current")
		return false
	}
	account, ok := x.catalogue.Account(x.call.Key)
	if !ok {
		x.reject(http.StatusUnauthorized, pond.ReasonUnauthenticated)
		return false
	}
	x.account = account.Name
	if account.Priority != route.NoPriority {
		x.priority = account.Priority
	}
	return true
}

func (x *exchange) keysCurrent() bool {
	o := &x.relay.options
	lease := o.KeyLease()
	return lease == 0 || o.Clock().Sub(o.ConfirmedAt()) < lease-leaseMargin
}

// stillAuthorized checks the key again directly before a send, because the request may have waited.
func (x *exchange) stillAuthorized() bool {
	if x.account == "" {
		return true
	}
	if !x.keysCurrent() {
		return false
	}
	account, ok := x.relay.options.Fleet.Catalogue().Account(x.call.Key)
	return ok && account.Name == x.account
}

// spread returns a place from 0 up to 1 for an ID.
func (r *Relay) spread(id string) float64 {
	const bits = 53
	return float64(maphash.String(r.seed, id)>>(64-bits)) / (1 << bits)
}

// refuse answers that the request has not run and when the caller may return. It must not be called once a backend
// server may have run the request.
func (x *exchange) refuse(reason pond.Reason, after time.Duration, detail string) {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	x.ended(http.StatusServiceUnavailable, "refused", reason, detail)
	x.w.WriteHeader(http.StatusServiceUnavailable)
}

// reject answers that the request cannot be served as it is.
func (x *exchange) reject(status int, reason pond.Reason) {
	x.ended(status, "rejected", reason, "")
	x.w.WriteHeader(status)
}

// fail answers a request whose outcome is not known.
func (x *exchange) fail(status int, reason pond.Reason, detail string) {
	x.ended(status, "failed", reason, detail)
	x.w.WriteHeader(status)
}

// abort breaks the answer off, so that the caller does not take it for complete.
func (x *exchange) abort(reason pond.Reason, detail string) {
	x.ended(0, "brokenOff", reason, detail)
	panic(http.ErrAbortHandler)
}

// abortClosed breaks an answer off whose connection is closed: by the caller, or by this instance at the end of its
// shutdown.
func (x *exchange) abortClosed() {
	if until := x.relay.leavingUntil.Load(); until != nil && !time.Now().Before(*until) {
		x.abort(pond.ReasonLeaving, "the shutdown ended before the answer")
	}
	x.abort(pond.ReasonCanceled, "the caller left")
}

// confirmedAgeMillis returns the age of the last confirmation, or -1 before the first one.
func (x *exchange) confirmedAgeMillis() int64 {
	confirmedAt := x.relay.options.ConfirmedAt()
	if confirmedAt.IsZero() {
		return -1
	}
	return x.relay.options.Clock().Sub(confirmedAt).Milliseconds()
}

// ended logs and counts the end of a request.
func (x *exchange) ended(status int, outcome string, reason pond.Reason, detail string) {
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
	if x.catalogue != nil {
		fields[logs.Version] = x.catalogue.Version()
	}
	kind := "unknown"
	if x.route != nil {
		fields[logs.Route], fields[logs.Account] = x.route.Name, x.account
		kind = x.route.Kind.String()
	}
	if x.stream != nil {
		x.stream.describe(fields)
	}
	x.relay.options.Metrics.Ended(kind, outcome, reason, x.account, time.Since(x.arrived))
	x.log.WithFields(fields).Info("request ended")
}
