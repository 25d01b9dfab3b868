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

// shortOutput is the greatest output in tokens that counts as short work, which engines admit first.
const shortOutput = 64

// maxPriorityRank turns the configuration's priority, where 0 is the most urgent, into the placement's, where the greater
// number is.
const maxPriorityRank = 9

// generate serves a generation.
func (x *exchange) generate(ctx context.Context) {
	r := x.relay
	if r.outlasts(x.call.Prompt, x.arrived) {
		x.refuse(pond.ReasonLeaving, shortRetry, "this instance is shutting down")
		return
	}
	var avoid []string
	for offers := 1; offers <= maxOffers; offers++ {
		placement, err := r.options.Placer.Place(ctx, x.placeRequest(avoid))
		if err != nil {
			x.refusePlacement(err)
			return
		}
		name, _ := placement.Backend()
		backend, known := r.options.Fleet.Backend(name)
		allowed := offers == 1 || r.options.Budget.Take(x.service.Name, r.options.Instances(), time.Now())
		if !known || !allowed || !x.stillAuthorized() {
			placement.Done(pond.PlacementEnd{}, time.Now())
			x.refuse(pond.ReasonNoBackend, shortRetry, "the engine, the retry budget or the key is gone")
			return
		}
		x.logPlaced(backend, offers)
		a := x.send(ctx, x.dispatch(backend, nil))
		if a.err == nil && a.resp.StatusCode == http.StatusOK {
			newStream(x, placement, backend, a).run(ctx)
			return
		}
		placement.Done(pond.PlacementEnd{BackendFailed: true}, time.Now())
		x.logAttempt(name, offers, a)
		if a.leaving {
			r.options.Fleet.Refused(name)
		}
		if !a.notRun {
			x.concludeGeneration(ctx, a)
			return
		}
		if ctx.Err() != nil || !x.body.Whole() {
			break
		}
		avoid = append(avoid, name)
	}
	if x.in.Context().Err() != nil {
		x.abortClosed()
	}
	x.refuse(pond.ReasonNoBackend, shortRetry, "no engine took the request")
}

// concludeGeneration answers a generation that an engine may have run without starting to stream.
func (x *exchange) concludeGeneration(ctx context.Context, a attempt) {
	switch {
	case x.in.Context().Err() != nil:
		x.abortClosed()
	case a.err == nil:
		a.hold()
		if a.err != nil {
			x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, a.err.Error())
			return
		}
		x.deliver(a)
	case ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, pond.ReasonDeadline, "the engine did not answer in time")
	default:
		x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, a.err.Error())
	}
}

func (x *exchange) refusePlacement(err error) {
	var refusal *pond.Refusal
	if !errors.As(err, &refusal) {
		x.fail(http.StatusBadGateway, pond.ReasonInternal, err.Error())
		return
	}
	if x.in.Context().Err() != nil {
		x.abort(pond.ReasonCanceled, "the caller left while the request waited")
	}
	after := shortRetry
	if at := refusal.RetryAt(); !at.IsZero() {
		after = max(time.Until(at), after)
	}
	x.refuse(refusal.Reason(), after, refusal.Detail())
}

// generation returns a name for one placement. The caller's ID alone may be empty or come twice.
func (r *Relay) generation(call string) string {
	return call + "@" + r.options.Instance + "." + strconv.FormatUint(r.serial.Add(1), 10)
}

func (x *exchange) placeRequest(avoid []string) pond.PlaceRequest {
	req := pond.PlaceRequest{
		Generation: x.relay.generation(x.call.ID),
		Account:    x.account,
		Model:      x.service.Name,
		Priority:   maxPriorityRank - x.priority,
		Deadline:   x.deadline,
		Avoid:      avoid,
	}
	if p := x.call.Prompt; p != nil {
		req.PromptTokens, req.MaxTokens, req.PrefixHash = p.Tokens, p.MaxOutput, p.Shared
		if p.MaxOutput > 0 && p.MaxOutput <= shortOutput {
			req.Class = pond.ClassShort
		}
	}
	return req
}

func (x *exchange) dispatch(backend route.Backend, resume *Resume) Dispatch {
	d := Dispatch{Backend: backend, Account: x.account, Deadline: x.deadline, Resume: resume}
	if p := x.call.Prompt; p != nil && p.MaxOutput > 0 {
		d.Urgency = UrgencyLong
		if p.MaxOutput <= shortOutput {
			d.Urgency = UrgencyShort
		}
	}
	return d
}

func (x *exchange) logPlaced(backend route.Backend, offers int) {
	x.log.WithFields(logrus.Fields{
		logs.Event: "requestPlaced", logs.Backend: backend.ID, logs.Attempt: offers,
		logs.Revision:        x.relay.options.Fleet.Revision(),
		logs.ElapsedMillis:   time.Since(x.arrived).Milliseconds(),
		logs.RemainingMillis: time.Until(x.deadline).Milliseconds(),
	}).Info("request placed on an engine")
}
