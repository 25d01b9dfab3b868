package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// answerHoldLimit is the size up to which an answer is read whole before its first byte is passed on, so that a
	// broken one can be replaced by another replica's.
	answerHoldLimit = 64 << 10

	// maxOffers bounds the replicas that a request is offered to, those that did not run it included.
	maxOffers = 4
)

var errAnswerForeign = errors.New("the answer is not the backend server's own or belongs to another request")

// attempt is the result of sending a request to one replica.
type attempt struct {
	// notRun is true if the replica did not get the request or did not run it.
	notRun bool
	// leaving is true if the replica takes no new work at all.
	leaving bool
	resp    *http.Response
	// held is the whole body, or its beginning if rest is set.
	held []byte
	rest io.ReadCloser
	err  error
}

func (a attempt) ok() bool { return a.err == nil && a.resp.StatusCode < http.StatusInternalServerError }

// forward serves a request of a plain service.
func (x *exchange) forward(ctx context.Context) {
	var tried []string
	var last *attempt
	runs := 0
	for offers := 1; offers <= maxOffers; offers++ {
		if !x.stillAuthorized() {
			break
		}
		backend, ok := x.nextReplica(tried)
		if !ok {
			break
		}
		if offers > 1 && !x.relay.options.Budget.Take(x.service.Name, x.relay.options.Instances(), time.Now()) {
			x.relay.replicas.release(backend.ID, false, time.Now())
			break
		}
		tried = append(tried, backend.ID)
		a := x.try(ctx, backend, offers, runs)
		if a.ok() {
			x.deliver(a)
			return
		}
		if a.leaving {
			x.relay.options.Fleet.Refused(backend.ID)
		}
		if !a.notRun {
			runs++
			last = preferred(last, &a)
		}
		if ctx.Err() != nil || !x.mayTryAgain(a, runs) {
			break
		}
	}
	x.conclude(ctx, last, runs)
}

// preferred returns the attempt whose answer is passed on if no attempt succeeds: one with an answer of a replica.
func preferred(former, latest *attempt) *attempt {
	if latest.err != nil && former != nil {
		return former
	}
	return latest
}

// mayTryAgain reports whether another replica may get the request.
func (x *exchange) mayTryAgain(a attempt, runs int) bool {
	if !x.body.Whole() {
		return false
	}
	if a.notRun {
		return true
	}
	return x.route.Kind == route.KindIdempotent && runs < x.route.Attempts
}

// conclude answers after the last attempt.
func (x *exchange) conclude(ctx context.Context, last *attempt, runs int) {
	switch {
	case x.in.Context().Err() != nil:
		x.abortClosed()
	case last != nil && last.err == nil:
		x.deliver(*last)
	case runs == 0 && ctx.Err() != nil:
		x.refuse(pond.ReasonDeadline, shortRetry, "the time was over before a replica took the request")
	case runs == 0:
		x.refuse(pond.ReasonNoBackend, shortRetry, "no replica took the request")
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, pond.ReasonDeadline, "the replica did not answer in time")
	default:
		x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, last.err.Error())
	}
}

// nextReplica chooses a replica that has not been tried and counts the request there.
func (x *exchange) nextReplica(tried []string) (route.Backend, bool) {
	o := &x.relay.options
	region := o.Fleet.Region(o.DataCentre)
	var candidates []candidate
	for _, backend := range o.Fleet.Of(x.service.Name) {
		if slices.Contains(tried, backend.ID) {
			continue
		}
		candidates = append(candidates, candidate{
			backend:    backend,
			samePlace:  backend.DataCentre == o.DataCentre,
			sameRegion: o.Fleet.Region(backend.DataCentre) == region,
		})
	}
	return x.relay.replicas.take(candidates, time.Now())
}

// try sends the request to a replica and reads its answer.
func (x *exchange) try(ctx context.Context, backend route.Backend, number, runs int) attempt {
	deadline := x.deadline
	if x.route.Kind == route.KindIdempotent && runs+1 < x.route.Attempts {
		// Half of the time is left for another replica, in case this one does not answer.
		deadline = time.Now().Add(time.Until(x.deadline) / 2)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	a := x.send(ctx, Dispatch{Backend: backend, Account: x.account, Deadline: deadline})
	if a.err == nil {
		a.hold()
	}
	if a.rest == nil {
		cancel()
	} else {
		a.rest = &cancelingBody{ReadCloser: a.rest, cancel: cancel}
	}
	failed := a.err != nil || a.resp.StatusCode >= http.StatusInternalServerError
	x.relay.replicas.release(backend.ID, failed, time.Now())
	if failed {
		x.logAttempt(backend.ID, number, a)
	}
	return a
}

func (x *exchange) logAttempt(backend string, number int, a attempt) {
	fields := logrus.Fields{
		logs.Event: "attemptFailed", logs.Backend: backend, logs.Attempt: number,
		logs.RemainingMillis: time.Until(x.deadline).Milliseconds(), "notRun": a.notRun,
	}
	if a.resp != nil {
		fields[logs.Status] = a.resp.StatusCode
	}
	log := x.log.WithFields(fields)
	if a.err != nil {
		log = log.WithError(a.err)
	}
	log.Info("a backend server failed the request")
}

// send sends the request to one backend server and judges the head of the answer.
func (x *exchange) send(ctx context.Context, d Dispatch) attempt {
	req, err := x.relay.options.Protocol.Request(ctx, x.in, x.call, d, x.body)
	if err != nil {
		return attempt{notRun: true, err: err}
	}
	resp, err := x.relay.transport.Send(req)
	if err != nil {
		var failure *engine.Error
		notSent := errors.As(err, &failure) && failure.Outcome() == pond.OutcomeNotSent
		return attempt{notRun: notSent, leaving: false, err: err}
	}
	distance := x.relay.options.Fleet.Distance(x.relay.options.DataCentre, d.Backend.DataCentre)
	resp.Body = &countedBody{ReadCloser: resp.Body, bytes: x.relay.options.Traffic.Answer(distance)}
	reply := x.relay.options.Protocol.Read(resp, x.call)
	switch {
	case reply.NotRun || reply.Other:
		_ = resp.Body.Close()
		return attempt{notRun: true, leaving: reply.Other, resp: resp, err: errors.New("the backend server did not run the request")}
	case !reply.Genuine:
		_ = resp.Body.Close()
		return attempt{resp: resp, err: errAnswerForeign}
	}
	return attempt{resp: resp, leaving: reply.Leaving, rest: resp.Body}
}

// hold reads the answer up to the limit. A body that ends early makes the attempt fail.
func (a *attempt) hold() {
	held, err := io.ReadAll(io.LimitReader(a.rest, answerHoldLimit+1))
	a.held = held
	if err != nil {
		_ = a.rest.Close()
		a.rest, a.err = nil, err
		return
	}
	if len(held) <= answerHoldLimit {
		_ = a.rest.Close()
		a.rest = nil
	}
}

// deliver passes an answer on.
func (x *exchange) deliver(a attempt) {
	header := x.w.Header()
	setHeader(header, a.resp.Header)
	if a.rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.held)))
	} else if a.resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	x.w.WriteHeader(a.resp.StatusCode)
	_, err := x.w.Write(a.held)
	if a.rest != nil {
		if err == nil {
			_, err = io.Copy(x.w, a.rest)
		}
		_ = a.rest.Close()
	}
	if err != nil {
		x.abort(pond.ReasonBackendFailed, err.Error())
	}
	x.ended(a.resp.StatusCode, "answered", 0, "")
}

// cancelingBody ends the context of a request with its body.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// countedBody counts the bytes of an answer.
type countedBody struct {
	io.ReadCloser
	bytes prometheus.Counter
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(float64(n))
	return n, err
}

// setHeader adds the fields of an answer that are passed on. The length is set by whoever writes the body.
func setHeader(to, from http.Header) {
	for name, values := range engine.PassedHeader(from, "Content-Length") {
		to[name] = values
	}
}
