package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/drain"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/metric"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// responseBufferLimit is the size up to which a response is read completely before its first byte is forwarded, so
	// that a truncated response can be replaced by one of another replica.
	responseBufferLimit = 64 << 10

	// The end of a close-delimited response is attributed to its deadline from 1/deadlineShare of the time given before it, because the timers
	// of servers are inexact, but from minDeadlineMargin before it at the latest and not earlier than maxDeadlineMargin.
	minDeadlineMargin = 5 * time.Millisecond
	maxDeadlineMargin = 50 * time.Millisecond
	deadlineShare     = 10

	// maxAttempts bounds the attempts of a request, including those that no backend server ran. The MaxAttempts of a
	// route counts only the others.
	maxAttempts = 4

	// maxPermitWait bounds the wait of a run that goes on for a permit. Callers leave after a gap of two seconds. Another engine that can go on is asked
	// after firstPermitWait. The pauses between two questions are from minPermitPause to maxPermitPause.
	maxPermitWait   = 1500 * time.Millisecond
	firstPermitWait = 400 * time.Millisecond
	minPermitPause  = 20 * time.Millisecond
	maxPermitPause  = 200 * time.Millisecond
)

// errEndAtDeadline is the error of a body that ended in order when its server was to stop work.
var errEndAtDeadline = errors.New("the response ended at the deadline of the backend server")

var errForeignResponse = errors.New("the response did not come from the backend server or belongs to another request")

// attempt is the result of sending a request to one replica.
type attempt struct {
	// notRun is true if the replica did not receive the request or did not run it.
	notRun bool
	// leaving is true if the replica takes no new work or its address belongs to another backend server.
	leaving bool
	resp    *http.Response
	// buffered is the whole body, or its beginning if rest is set.
	buffered []byte
	rest     io.ReadCloser
	// events splits rest, after what is buffered, if the response is passed on event by event; nil otherwise. onEnd is called at its end.
	events *eventScanner
	onEnd  func(a attempt)
	// onBroken is called if rest cannot be read to its end; nil for nothing.
	onBroken func()
	// closeDelimited is true if the body ends with its connection: it has neither a length nor chunks.
	closeDelimited bool
	// endsEarlyFrom is the time from which an end of such a body may be due to the deadline that the backend server was given.
	endsEarlyFrom time.Time
	// confirmEnd returns an error unless the backend server still runs after the end of its connection.
	confirmEnd func() error
	err        error
	// via is the connection through another instance; nil for a direct one.
	via tunnel
	// weightsVersion is the version of the engine's weights; empty if it is not known.
	weightsVersion string
}

func (a attempt) ok() bool { return a.err == nil && a.resp.StatusCode < http.StatusInternalServerError }

// answered reports whether the response is that of the backend server to the request, whatever its status.
func (a attempt) answered() bool {
	return a.err == nil || errors.As(a.err, new(*unprovenRejectionError))
}

// endSend records in the history how long the backend server took.
func (a attempt) endSend(sent *drain.Send) {
	switch {
	case a.notRun:
		sent.NotRun()
	case a.err != nil:
		sent.GivenUp(time.Now())
	default:
		sent.Answered(time.Now())
	}
}

// forward serves a request to a service without engines.
func (x *exchange) forward(ctx context.Context) {
	var tried []string
	var last *attempt
	runs, unsafe, late := 0, false, false
	for attemptNumber := 1; attemptNumber <= maxAttempts; attemptNumber++ {
		if !x.keyStillValid() {
			break
		}
		if unsafe = !x.admitRequest(ctx); unsafe {
			break
		}
		backend, ok := x.nextReplica(ctx, tried, runs)
		if !ok {
			break
		}
		if late = x.endsTooLate(); late {
			x.leaveReplica(backend.ID, attempt{})
			break
		}
		if attemptNumber > 1 && !x.relay.options.Budget.TryRetry(x.service.Name, x.relay.options.Instances(), time.Now()) {
			x.leaveReplica(backend.ID, attempt{})
			break
		}
		tried = append(tried, backend.ID)
		a := x.tryReplica(ctx, backend, attemptNumber, runs)
		if a.answered() {
			x.recordAnswered(a.weightsVersion)
		}
		if a.ok() {
			a.onBroken = func() { x.relay.replicas.suspect(backend.ID, time.Now()) }
			x.writeResponse(a)
			return
		}
		if a.leaving {
			x.relay.options.Fleet.MarkLeaving(backend.ID)
		}
		if a.notRun && a.resp == nil && x.awaitWay(ctx, a.err) {
			// Nothing was sent, so that it counts neither as an attempt nor against the replica.
			attemptNumber--
			tried = tried[:len(tried)-1]
			continue
		}
		if !a.notRun {
			runs++
			last = preferred(last, &a)
			x.settleBreak(ctx, backend, a)
		}
		x.unreached = errors.Is(a.err, reach.ErrIsolated)
		if ctx.Err() != nil || x.unreached || !x.canRetry(a, runs) {
			break
		}
	}
	if unsafe && runs == 0 {
		x.refuseUnsafe()
		return
	}
	if late && runs == 0 && !x.callerLeft() {
		x.refuseLeaving()
		return
	}
	x.respondFailure(ctx, last, runs)
}

// preferred returns the attempt to report if none succeeds: the latest, or the former if the latest got no response.
func preferred(former, latest *attempt) *attempt {
	if latest.err != nil && former != nil {
		return former
	}
	return latest
}

// canRetry reports whether the request may be sent to another replica.
func (x *exchange) canRetry(a attempt, runs int) bool {
	if !x.body.Replayable() {
		return false
	}
	if a.notRun {
		return true
	}
	return x.route.Kind == route.KindIdempotent && runs < x.route.MaxAttempts && !x.suspected()
}

// respondFailure responds after the last attempt has failed.
func (x *exchange) respondFailure(ctx context.Context, last *attempt, runs int) {
	switch {
	case x.callerLeft():
		x.abortDisconnected()
	case last != nil && last.err == nil:
		x.writeResponse(*last)
	case runs == 0 && ctx.Err() != nil:
		x.refuse(pond.ReasonDeadline, shortRetryDelay, "the time was over before a replica took the request")
	case runs == 0 && x.unreached:
		x.refuseUnreached()
	case runs == 0 && x.refuseBackingOff():
	case runs == 0 && len(x.denied) > 0:
		x.refuseLimited()
	case runs == 0:
		x.refuse(pond.ReasonNoBackend, shortRetryDelay, x.nothingAllowed("no replica took the request"))
	case errors.Is(last.err, errBodyTooLarge):
		x.reject(http.StatusRequestEntityTooLarge, pond.ReasonTooLarge)
	case ctx.Err() != nil:
		x.failUnanswered("the replica did not answer in time")
	case errors.Is(last.err, errHelperEnds):
		x.failUnanswered(errHelperEnds.Error())
	default:
		x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, last.err.Error())
	}
}

// nextReplica chooses a replica that has not been tried and counts the request to it.
func (x *exchange) nextReplica(ctx context.Context, tried []string, runs int) (route.Backend, bool) {
	o := &x.relay.options
	for {
		backend, ok := x.relay.replicas.acquire(x.replicaCandidates(tried, runs), time.Now())
		if !ok {
			return route.Backend{}, false
		}
		permit := o.Limits.Enter(ctx, backend.ID, time.Until(x.deadline))
		if !permit.Granted() {
			x.relay.replicas.release(backend.ID, false, time.Now())
			x.recordDenial(backend.ID, permit)
			continue
		}
		// Another request may have been asked for a back-off while this one waited for its permit.
		if _, backingOff := o.Fleet.BackoffUntil(backend.ID); !backingOff {
			return backend, true
		}
		x.leaveReplica(backend.ID, attempt{})
	}
}

// isNoFailure reports whether an error says nothing about the backend server: the body of the caller, regions, evacuations, and helpers that
// end too early.
func isNoFailure(err error) bool {
	return errors.Is(err, errBodyTooLarge) || errors.Is(err, errBodySent) || isForbidden(err) || errors.Is(err, errHelperEnds) || errors.As(err, new(*reach.EndsError))
}

// leaveReplica ends a request to a replica. The zero attempt stands for one that was not sent.
func (x *exchange) leaveReplica(id string, a attempt) {
	failed := a.err != nil && !isNoFailure(a.err) || a.resp != nil && a.resp.StatusCode >= http.StatusInternalServerError
	x.relay.replicas.release(id, failed, time.Now())
	noRoom := a.notRun && a.resp != nil && a.resp.StatusCode == http.StatusServiceUnavailable
	x.relay.options.Limits.Exit(id, noRoom)
}

// replicaCandidates returns the replicas that the request may be sent to. A request that has run is not repeated at a
// replica with a limit, which has too little for the requests that have not run.
func (x *exchange) replicaCandidates(tried []string, runs int) []candidate {
	o := &x.relay.options
	region := o.Fleet.Region(o.DataCentre)
	var candidates []candidate
	for _, backend := range o.Fleet.AcceptingBackends(x.service.Name) {
		limited := o.Limits.Restricted(backend.ID)
		if x.rulesOut(backend, tried, limited && runs > 0) != nil {
			continue
		}
		candidates = append(candidates, candidate{
			backend:        backend,
			sameDataCentre: backend.DataCentre == o.DataCentre,
			sameRegion:     o.Fleet.Region(backend.DataCentre) == region,
			limited:        limited,
		})
	}
	return candidates
}

var (
	errBackingOff = errors.New("the backend server asked this instance to back off")
	errTried      = errors.New("the request has been sent to the backend server, or its limit did not permit it")
	errRepeated   = errors.New("the backend server has a limit and the request has run elsewhere")
)

// rulesOut returns why the request must not be sent to a replica that accepts work, or nil. Spared is true if the replica is kept for requests that
// have not run.
func (x *exchange) rulesOut(backend route.Backend, tried []string, spared bool) error {
	if _, backingOff := x.relay.options.Fleet.BackoffUntil(backend.ID); backingOff {
		return errBackingOff
	}
	if err := x.forbids(backend); err != nil {
		return err
	}
	switch {
	case slices.Contains(tried, backend.ID), slices.Contains(x.denied, backend.ID):
		return errTried
	case spared:
		return errRepeated
	default:
		return nil
	}
}

// permitted asks whether the limit of a backend server permits the request, and records a denial.
func (x *exchange) permitted(ctx context.Context, backend string) bool {
	o := &x.relay.options
	permit := o.Limits.Permit(ctx, backend)
	if !permit.Granted() {
		x.recordDenial(backend, permit)
	}
	return permit.Granted()
}

// recordDenial records that a backend server gets no request at present.
func (x *exchange) recordDenial(backend string, permit quota.Permit) {
	o := &x.relay.options
	x.denied = append(x.denied, backend)
	if x.permitAt.IsZero() || permit.RetryAt().Before(x.permitAt) {
		x.permitAt = permit.RetryAt()
	}
	o.Metrics.CountLimited(x.service.Name, metric.LimitedDenied)
	fields := logrus.Fields{
		logs.Event: "limitReached", logs.Backend: backend, "retryMillis": permit.RetryAt().Sub(o.Clock()).Milliseconds(),
	}
	if perSecond, limited := o.Limits.Limit(backend); limited {
		fields[logs.PerSecond] = perSecond
	}
	x.log.WithFields(fields).Info("the limit of a backend server, or its room while it is brittle, does not permit the request")
}

// awaitPermit waits until a time for a permit, and for the end of a back-off unless that is later, for a run that goes on, which would be lost without. It
// may be called again for the same backend server, whose denial is recorded once.
func (x *exchange) awaitPermit(ctx context.Context, backend string, giveUpAt time.Time) bool {
	o := &x.relay.options
	for {
		var permit quota.Permit
		nextAt, backingOff := o.Fleet.BackoffUntil(backend)
		if backingOff && nextAt.After(giveUpAt) {
			return false
		}
		if !backingOff {
			if permit = o.Limits.Permit(ctx, backend); permit.Granted() {
				return true
			}
			nextAt = permit.RetryAt()
		}
		if ctx.Err() != nil || o.Clock().After(giveUpAt) {
			if !backingOff && !slices.Contains(x.denied, backend) {
				x.recordDenial(backend, permit)
			}
			return false
		}
		delay := min(max(nextAt.Sub(o.Clock()), minPermitPause), maxPermitPause)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// refuseBackingOff refuses a request if the backend servers that are left want no requests at present, and reports whether
// it did. The callers return after the first back-off, spread over time.
func (x *exchange) refuseBackingOff() bool {
	o := &x.relay.options
	backingOff, firstEnd := o.Fleet.BackingOff(x.service.Name)
	backingOff = slices.DeleteFunc(backingOff, func(id string) bool {
		backend, known := o.Fleet.Backend(id)
		return !known || x.forbids(backend) != nil
	})
	if len(backingOff) == 0 || !x.permitAt.IsZero() && x.permitAt.Before(firstEnd) {
		return false
	}
	o.Metrics.CountBackoff(x.service.Name, metric.BackoffRefused)
	x.refuse(pond.ReasonOverloaded, max(firstEnd.Sub(o.Clock()), 0)+shortRetryDelay+rand.N(backoffSpread), "the backend servers asked this instance to back off")
	return true
}

// refuseLimited refuses a request that no limit permitted.
func (x *exchange) refuseLimited() {
	x.refuse(pond.ReasonRateLimited, max(x.permitAt.Sub(x.relay.options.Clock()), shortRetryDelay),
		"the limits of the backend servers are used up")
}

// tryReplica sends the request to a replica and buffers its response.
func (x *exchange) tryReplica(ctx context.Context, backend route.Backend, attemptNumber, runs int) attempt {
	deadline, sentAt := x.answerBy(), time.Now()
	ctx, cancelCause := context.WithCancelCause(ctx)
	cancel := func() { cancelCause(nil) }
	if x.route.Kind == route.KindIdempotent && runs+1 < x.route.MaxAttempts {
		// Half of the remaining time is reserved for another replica, in case this one does not respond, if another one can answer in time.
		work, giveUpAt := x.workload(), sentAt.Add(deadline.Sub(sentAt)/2)
		if !x.relay.tooLate(work, giveUpAt) {
			deadline = giveUpAt
			timer := time.AfterFunc(time.Until(giveUpAt), func() {
				if !x.relay.tooLate(work, time.Now()) {
					cancelCause(context.DeadlineExceeded)
				}
			})
			defer timer.Stop()
		}
	}
	sent := x.relay.history.BeginCall(x.service.Name, sentAt)
	a := x.send(ctx, Dispatch{Backend: backend, Account: x.account, Deadline: deadline, Position: x.run.position})
	switch {
	case a.err != nil:
	case x.streamsEvents(a):
		a.readFirstEvent()
	default:
		a.buffer()
	}
	if a.rest == nil {
		cancel()
	} else {
		a.rest = &cancelingBody{ReadCloser: a.rest, cancel: cancel}
	}
	end := func(a attempt) {
		a.endSend(sent)
		x.leaveReplica(backend.ID, a)
	}
	if a.events == nil {
		end(a)
	} else {
		a.onEnd = end
	}
	if a.err != nil || a.resp.StatusCode >= http.StatusInternalServerError {
		x.logAttempt(backend.ID, attemptNumber, a)
	}
	return a
}

func (x *exchange) logAttempt(backend string, attemptNumber int, a attempt) {
	fields := logrus.Fields{
		logs.Event: "attemptFailed", logs.Backend: backend, logs.Attempt: attemptNumber,
		logs.RemainingMillis: time.Until(x.deadline).Milliseconds(), "notRun": a.notRun,
	}
	if a.resp != nil {
		fields[logs.Status] = a.resp.StatusCode
	}
	x.addPromptFields(fields, a.weightsVersion)
	if a.err != nil && !a.notRun {
		fields[logs.Identity] = x.identity()
	}
	log := x.log.WithFields(fields)
	if a.err != nil {
		log = log.WithError(a.err)
	}
	log.Info("a backend server failed the request")
}

// addPromptFields adds the parts of the prompt that other requests may have too, and the version of the engine's weights.
func (x *exchange) addPromptFields(fields logrus.Fields, weightsVersion string) {
	if x.call.Prompt != nil {
		fields[logs.Parts] = x.call.Prompt.SharedParts
		fields[logs.WeightsVersion] = weightsVersion
	}
}

// send sends the request to one backend server and checks the status and header of the response.
func (x *exchange) send(ctx context.Context, d Dispatch) attempt {
	if x.body.Sent() {
		return attempt{notRun: true, err: errBodySent}
	}
	began, confirmCtx := time.Now(), ctx // The marks of the request do not hold for the question after its end.
	req, err := x.relay.options.Protocol.Request(ctx, x.in, x.call, d, x.body)
	if err != nil {
		return attempt{notRun: true, err: err}
	}
	if err := x.forbids(d.Backend); err != nil {
		return attempt{notRun: true, err: err}
	}
	if _, backingOff := x.relay.options.Fleet.BackoffUntil(d.Backend.ID); backingOff {
		x.relay.options.Metrics.CountBackoff(x.service.Name, metric.BackoffViolated)
	}
	if _, limited := x.relay.options.Limits.Limit(d.Backend.ID); limited {
		x.relay.options.Metrics.CountLimited(x.service.Name, metric.LimitedSent)
	}
	ctx = withSendCheck(reach.WithRegions(ctx, x.regions()), func() error { return x.forbids(d.Backend) })
	if d.Resume == nil {
		ctx = reach.ForNewRequest(ctx)
	}
	work := x.workload()
	if !x.awaitsWayUntil.IsZero() {
		ctx = reach.PreferHelper(ctx)
	}
	ctx, cancel := context.WithCancelCause(reach.WithFit(ctx, func(endsAt time.Time) bool {
		return x.fits(work, endsAt) || d.Resume != nil && d.Resume.untilNextMove && x.movesBefore(endsAt)
	}))
	var via tunnel
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if via, _ = bound.NetConn(info.Conn).(tunnel); via != nil {
			x.logTunnel(d.Backend.ID, via)
			go endWithHelper(ctx, via, cancel)
		}
	}}))
	sentAt := x.relay.options.Clock()
	x.progress.recordSend(d.Backend.ID, time.Now())
	resp, err := x.relay.transport.Send(req)
	if err != nil {
		err = helperError(ctx, err)
		cancel(nil)
		var failure *engine.Error
		notSent := errors.As(err, &failure) && failure.Outcome() == pond.OutcomeNotSent
		if notSent {
			x.progress.advance(StageWaiting)
		}
		return attempt{notRun: notSent, leaving: false, err: err}
	}
	distance := x.relay.options.Fleet.Distance(x.relay.options.DataCentre, d.Backend.DataCentre)
	resp.Body = &countingBody{ReadCloser: resp.Body, bytes: x.relay.options.Traffic.ResponseBytes(distance)}
	resp.Body = &cancelingBody{ReadCloser: &carriedBody{ReadCloser: resp.Body, ctx: ctx}, cancel: func() { cancel(nil) }}
	reply := x.relay.options.Protocol.InspectResponse(resp, x.call)
	x.relay.options.Limits.Observe(d.Backend.ID, reply.Limit, sentAt)
	x.applySignal(d.Backend.ID, reply.Signal, via)
	if len(reply.Unreadable) > 0 {
		x.log.WithFields(logrus.Fields{logs.Event: "headerUnreadable", logs.Backend: d.Backend.ID, "fields": reply.Unreadable}).
			Warn("header fields of a backend server could not be read and are ignored")
	}
	switch {
	case reply.NotRun || reply.AddressReassigned:
		x.progress.advance(StageWaiting)
		_ = resp.Body.Close()
		return attempt{notRun: true, leaving: reply.AddressReassigned, resp: resp, err: errors.New("the backend server did not run the request")}
	case !reply.Genuine:
		_ = resp.Body.Close()
		return attempt{resp: resp, err: errForeignResponse}
	case isRejection(resp.StatusCode):
		_ = resp.Body.Close()
		x.relay.options.Metrics.CountUnprovenRejection(x.service.Name, resp.StatusCode)
		return attempt{resp: resp, weightsVersion: reply.WeightsVersion, err: &unprovenRejectionError{status: resp.StatusCode}}
	}
	return attempt{
		resp: resp, leaving: reply.Leaving, rest: resp.Body, via: via, weightsVersion: reply.WeightsVersion,
		closeDelimited: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead,
		endsEarlyFrom:  d.Deadline.Add(-deadlineMargin(began, d.Deadline)),
		confirmEnd: func() error {
			ctx := reach.WithRegions(confirmCtx, x.regions())
			if via != nil {
				ctx = reach.PreferHelper(ctx)
			}
			return x.relay.options.ConfirmEnd(ctx, d.Backend)
		},
	}
}

// deadlineMargin returns the time before a deadline within which the end of a response may be due to it.
func deadlineMargin(sentAt, deadline time.Time) time.Duration {
	return min(max(deadline.Sub(sentAt)/deadlineShare, minDeadlineMargin), maxDeadlineMargin)
}

// confirmComplete returns an error if a close-delimited body may have ended early: its server was due to stop, or nothing shows that it still runs.
func (a attempt) confirmComplete() error {
	if !a.closeDelimited {
		return nil
	}
	if !time.Now().Before(a.endsEarlyFrom) {
		return errEndAtDeadline
	}
	if err := a.confirmEnd(); err != nil {
		return errors.Wrap(err, "the response ended with its connection, and the backend server may have ended too")
	}
	return nil
}

// hear records what a backend server says about later requests. A server that was reached through another instance says it
// to that one; it holds for this one too, because it is its callers' requests that the server does not want.
func (x *exchange) applySignal(backend string, signal fleet.Signal, via tunnel) {
	if signal == (fleet.Signal{}) {
		return
	}
	o := &x.relay.options
	if tell := (fleet.Signal{Leaving: signal.Leaving, Backoff: signal.Backoff}); via != nil && tell != (fleet.Signal{}) {
		go func() {
			if err := via.SendSignal(backend, tell); err != nil {
				x.log.WithError(err).WithFields(logrus.Fields{logs.Event: "signalNotSent", logs.Backend: backend}).
					Warn("an instance could not be told what a backend server said to it")
			}
		}()
	}
	if signal.Backoff > 0 {
		x.relay.replicas.backOff(backend)
	}
	if o.Fleet.ApplySignal(backend, signal, fleet.SourceRequest) {
		o.Metrics.CountBackoff(x.service.Name, metric.BackoffRequested)
	}
}

// logTunnel logs that a request goes through another instance.
func (x *exchange) logTunnel(backend string, via tunnel) {
	x.log.WithFields(logrus.Fields{logs.Event: "requestTunneled", logs.Backend: backend, logs.Peer: via.Via()}).
		Info("a request goes to its backend server through another instance")
}

// buffer reads the response body up to the limit. A body that ends early makes the attempt fail.
func (a *attempt) buffer() {
	buffered, err := io.ReadAll(io.LimitReader(a.rest, responseBufferLimit+1))
	a.buffered = buffered
	if err == nil && len(buffered) <= responseBufferLimit {
		err = a.confirmComplete()
	}
	if err != nil {
		_ = a.rest.Close()
		a.rest, a.err = nil, err
		return
	}
	if len(buffered) <= responseBufferLimit {
		_ = a.rest.Close()
		a.rest = nil
	}
}

// writeResponse forwards a response to the caller.
func (x *exchange) writeResponse(a attempt) {
	if a.events != nil {
		x.writeEvents(a)
		return
	}
	header := x.w.Header()
	copyHeader(header, a.resp.Header)
	if a.rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.buffered)))
	} else if a.resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	x.progress.advance(StageResponding)
	x.w.WriteHeader(a.resp.StatusCode)
	_, err := x.w.Write(a.buffered)
	if a.rest != nil {
		if err == nil {
			rest := &brokenBody{ReadCloser: a.rest}
			_, err = io.Copy(x.w, rest)
			if err == nil {
				err = a.confirmComplete()
			}
			if rest.broken && !x.callerLeft() && a.onBroken != nil {
				a.onBroken()
			}
		}
		_ = a.rest.Close()
	}
	if err != nil {
		x.abort(pond.ReasonBackendFailed, err.Error())
	}
	x.recordEnd(a.resp.StatusCode, "answered", 0, "")
}

// cancelingBody cancels the context of a request when its response body is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// brokenBody tells whether reading the body failed.
type brokenBody struct {
	io.ReadCloser
	broken bool
}

// Read implements io.Reader.
func (b *brokenBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.broken = b.broken || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// countingBody counts the bytes of a response.
type countingBody struct {
	io.ReadCloser
	bytes prometheus.Counter
}

// Read implements io.Reader.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(float64(n))
	return n, err
}

// copyHeader copies the header fields of a response that are forwarded. The writer of the body sets the length.
func copyHeader(to, from http.Header) {
	for name, values := range engine.EndToEndHeader(from, "Content-Length") {
		to[name] = values
	}
}
