package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// shortOutputTokens is the largest output that counts as short work, which engines admit first.
const shortOutputTokens = 64

// maxPriorityRank converts the configuration's priority, where 0 is the most urgent, to that of pond.Placer, where
// larger numbers are more urgent.
const maxPriorityRank = 9

// generate serves a generation.
func (x *exchange) generate(ctx context.Context) {
	r := x.relay
	if r.runsPastShutdown(x.call.Prompt, x.arrived) {
		x.refuse(pond.ReasonLeaving, shortRetryDelay, "this instance is shutting down")
		return
	}
	var avoid []string
	for attemptNumber := 1; attemptNumber <= maxAttempts; attemptNumber++ {
		placement, err := r.options.Placer.Place(ctx, x.placeRequest(avoid))
		if err != nil {
			x.handlePlacementError(err)
			return
		}
		name, _ := placement.Backend()
		backend, known := r.options.Fleet.Backend(name)
		allowed := attemptNumber == 1 || r.options.Budget.TryRetry(x.service.Name, r.options.Instances(), time.Now())
		if !known || !allowed || !x.keyStillValid() {
			placement.Done(pond.PlacementEnd{}, time.Now())
			x.refuse(pond.ReasonNoBackend, shortRetryDelay, "the engine, the retry budget or the key is gone")
			return
		}
		x.logPlacement(backend, attemptNumber)
		a := x.send(ctx, x.dispatch(backend, nil))
		if a.err == nil && a.resp.StatusCode == http.StatusOK {
			newStream(x, placement, backend, a).run(ctx)
			return
		}
		placement.Done(pond.PlacementEnd{BackendFailed: true}, time.Now())
		x.logAttempt(name, attemptNumber, a)
		if a.leaving {
			r.options.Fleet.MarkLeaving(name)
		}
		if !a.notRun {
			x.respondGenerationFailure(ctx, a)
			return
		}
		if ctx.Err() != nil || !x.body.Replayable() {
			break
		}
		avoid = append(avoid, name)
	}
	if x.in.Context().Err() != nil {
		x.abortDisconnected()
	}
	x.refuse(pond.ReasonNoBackend, shortRetryDelay, "no engine took the request")
}

// respondGenerationFailure responds to a generation that an engine may have run but did not stream.
func (x *exchange) respondGenerationFailure(ctx context.Context, a attempt) {
	switch {
	case x.in.Context().Err() != nil:
		x.abortDisconnected()
	case a.err == nil:
		a.buffer()
		if a.err != nil {
			x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, a.err.Error())
			return
		}
		x.writeResponse(a)
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, pond.ReasonDeadline, "the engine did not answer in time")
	default:
		x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, a.err.Error())
	}
}

// handlePlacementError responds to a request that could not be placed.
func (x *exchange) handlePlacementError(err error) {
	var refusal *pond.Refusal
	if !errors.As(err, &refusal) {
		x.fail(http.StatusBadGateway, pond.ReasonInternal, err.Error())
		return
	}
	if x.in.Context().Err() != nil {
		x.abort(pond.ReasonCanceled, "the caller left while the request waited")
	}
	after := shortRetryDelay
	if at := refusal.RetryAt(); !at.IsZero() {
		after = max(time.Until(at), after)
	}
	x.refuse(refusal.Reason(), after, refusal.Detail())
}

// generationID returns a unique ID for one placement. The caller's ID alone may be empty or repeated.
func (r *Relay) generationID(call string) string {
	return call + "@" + r.options.Instance + "." + strconv.FormatUint(r.serial.Add(1), 10)
}

func (x *exchange) placeRequest(avoid []string) pond.PlaceRequest {
	req := pond.PlaceRequest{
		Generation: x.relay.generationID(x.call.ID),
		Account:    x.account,
		Model:      x.service.Name,
		Priority:   maxPriorityRank - x.priority,
		Deadline:   x.deadline,
		Avoid:      avoid,
	}
	if p := x.call.Prompt; p != nil {
		req.PromptTokens, req.MaxTokens, req.PrefixHash = p.Tokens, p.MaxOutput, p.PrefixHash
		if p.MaxOutput > 0 && p.MaxOutput <= shortOutputTokens {
			req.Class = pond.ClassShort
		}
	}
	return req
}

func (x *exchange) dispatch(backend route.Backend, resume *Resume) Dispatch {
	d := Dispatch{Backend: backend, Account: x.account, Deadline: x.deadline, Resume: resume}
	if p := x.call.Prompt; p != nil && p.MaxOutput > 0 {
		d.Urgency = UrgencyLong
		if p.MaxOutput <= shortOutputTokens {
			d.Urgency = UrgencyShort
		}
	}
	return d
}

func (x *exchange) logPlacement(backend route.Backend, attemptNumber int) {
	x.log.WithFields(logrus.Fields{
		logs.Event: "requestPlaced", logs.Backend: backend.ID, logs.Attempt: attemptNumber,
		logs.Revision:        x.relay.options.Fleet.Revision(),
		logs.ElapsedMillis:   time.Since(x.arrived).Milliseconds(),
		logs.RemainingMillis: time.Until(x.deadline).Milliseconds(),
	}).Info("request placed on an engine")
}
