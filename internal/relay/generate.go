package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/drain"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// shortOutputTokens is the largest output that counts as short work.
const shortOutputTokens = 64

// maxDeniedEngines bounds how often a generation is placed again because the limit of the chosen engine is used up.
const maxDeniedEngines = 3

// maxPlacements bounds how often a generation is placed although the chosen engines have asked for a back-off.
const maxPlacements = 2 * maxAttempts

// maxPriorityRank converts the configuration's priority, where 0 is the most urgent, to that of pond.Placer, where
// larger numbers are more urgent.
const maxPriorityRank = 9

// runAttempts tracks the attempts to run one generation.
type runAttempts struct {
	// sent counts the attempts, and runs those that an engine may have begun to run.
	sent int
	runs int
	// avoid names the engines that failed the generation.
	avoid []string
	// excluded names the engines whose limits did not permit the generation. They got nothing, so that another placement is no retry.
	excluded []string
	// position is the ID of the last event that the caller has; empty for none. deliveredTokens counts the tokens that
	// this instance has forwarded.
	position        string
	deliveredTokens int
	// crashed is true if an engine ended when it had hardly begun to answer.
	crashed bool
	// experiment is true if the generation is permitted to show whether its prompt crashes engines.
	experiment bool
}

// startedRun is a generation that an engine has begun to answer.
type startedRun struct {
	placement pond.Placement
	backend   route.Backend
	attempt   attempt
	sent      *drain.Send // whose answer is the first event
	// stall cancels the attempt if no event arrives for a while; nil if the attempt is the last one.
	stall *stallTimer
}

// generate serves a generation.
func (x *exchange) generate(ctx context.Context) {
	if !x.admitPrompt(ctx) {
		x.refuseUnsafe()
		return
	}
	run, respond := x.startRun(ctx)
	if respond != nil {
		respond()
		return
	}
	newStream(x, run).run(ctx)
}

// maxRuns returns the number of engines that may run the generation. A stream that may not be resumed runs once.
func (x *exchange) maxRuns() int {
	if x.route.Resumable && !x.relay.options.Disabled.Has(pond.MechanismRestarts) {
		return x.route.MaxAttempts
	}
	return 1
}

// mayRunAgain reports whether another engine may run the generation after one that may have run it.
func (x *exchange) mayRunAgain(ctx context.Context) bool {
	safe := !x.run.crashed || x.relay.options.Hazards.Sound(x.sharedParts()) && !x.suspected()
	return ctx.Err() == nil && x.body.Replayable() && x.run.sent < maxAttempts && x.run.runs < x.maxRuns() && safe
}

// startRun places the generation and sends it, to several engines in turn if need be. If none answers with a stream, it
// returns a function that sends the final response to a caller who has received nothing yet.
func (x *exchange) startRun(ctx context.Context) (run startedRun, respond func()) {
	r := x.relay
	denials := 0
	for placements := 1; ; placements++ {
		placement, err := x.place(ctx)
		if err != nil {
			return startedRun{}, func() { x.handlePlacementError(err) }
		}
		name, _ := placement.Backend()
		if _, backingOff := r.options.Fleet.BackoffUntil(name); backingOff {
			// The engine has asked for a back-off since the request was offered.
			placement.Done(pond.PlacementEnd{}, time.Now())
			if placements >= maxPlacements {
				return startedRun{}, func() { x.giveUpBackingOff(ctx) }
			}
			continue
		}
		if !x.permitted(ctx, name) {
			placement.Done(pond.PlacementEnd{}, time.Now())
			if denials++; denials >= maxDeniedEngines {
				return startedRun{}, func() { x.giveUpLimited(ctx) }
			}
			x.excludeDenied(name)
			continue
		}
		backend, known := r.options.Fleet.Backend(name)
		allowed := x.run.sent == 0 || r.options.Budget.TryRetry(x.service.Name, r.options.Instances(), time.Now())
		if !x.admitPrompt(ctx) {
			placement.Done(pond.PlacementEnd{}, time.Now())
			return startedRun{}, x.givePromptUp
		}
		if x.endsTooLate() {
			placement.Done(pond.PlacementEnd{}, time.Now())
			return startedRun{}, x.giveUpLeaving
		}
		if !known || !allowed || !x.keyStillValid() {
			placement.Done(pond.PlacementEnd{}, time.Now())
			return startedRun{}, func() {
				x.giveUp(ctx, shortRetryDelay, "the engine, the retry budget or the key is gone")
			}
		}
		x.run.sent++
		x.logPlacement(backend, x.run.sent)
		run := x.sendRun(ctx, placement, backend)
		a := run.attempt
		if a.err == nil && a.resp.StatusCode == http.StatusOK {
			return run, nil
		}
		x.unreached = errors.Is(a.err, reach.ErrIsolated)
		if errors.Is(a.err, errBodyTooLarge) {
			placement.Done(pond.PlacementEnd{}, time.Now())
			return startedRun{}, func() { x.reject(http.StatusRequestEntityTooLarge, pond.ReasonTooLarge) }
		}
		failed := !a.notRun || !isForbidden(a.err) && r.options.Blames(backend.Address)
		placement.Done(pond.PlacementEnd{BackendFailed: failed}, time.Now())
		x.logAttempt(name, x.run.sent, a)
		if a.err != nil && !a.notRun && ctx.Err() == nil && mayBeCrash(a.err) {
			x.recordBreak(ctx, backend, a, false)
		}
		if a.leaving {
			r.options.Fleet.MarkLeaving(name)
		}
		if x.unreached && x.run.runs == 0 && ctx.Err() == nil {
			return startedRun{}, x.refuseUnreached
		}
		if x.unreached || !x.mayRunAgain(ctx) {
			if a.notRun && x.run.runs == 0 {
				return startedRun{}, func() { x.giveUp(ctx, shortRetryDelay, "no engine took the request") }
			}
			return startedRun{}, func() { x.respondGenerationFailure(ctx, a) }
		}
		if a.rest != nil {
			_ = a.rest.Close()
		}
		x.run.avoid = append(x.run.avoid, name)
	}
}

// excludeDenied excludes an engine whose limit did not permit the generation. One that is cold stands for all that are: the others would deny too, and
// each costs a question.
func (x *exchange) excludeDenied(name string) {
	fleet := x.relay.options.Fleet
	cold := fleet.ColdBackends(x.service.Name)
	if !slices.Contains(cold, name) || len(cold) >= len(fleet.AcceptingBackends(x.service.Name)) {
		cold = []string{name}
	}
	x.run.excluded = append(x.run.excluded, cold...)
}

// place waits for an engine, for as long as the generation can still be sent in time.
func (x *exchange) place(ctx context.Context) (pond.Placement, error) {
	ctx, cancel := x.whileStartable(ctx)
	defer cancel()
	return x.relay.options.Placer.Place(ctx, x.placeRequest())
}

// sendRun sends the generation to one engine and counts the run.
func (x *exchange) sendRun(ctx context.Context, placement pond.Placement, backend route.Backend) startedRun {
	run := startedRun{placement: placement, backend: backend}
	isLast := x.run.runs+1 >= x.maxRuns()
	if !isLast {
		work := x.workload()
		ctx, run.stall = newStallTimer(ctx, x.deadline, func() bool { return !x.relay.tooLate(work, time.Now()) })
	}
	dispatch := x.dispatch(backend, nil)
	if urgent, ok := placement.(pond.UrgentPlacement); ok {
		dispatch.Urgent = urgent.Urgent()
	}
	run.sent = x.relay.history.BeginGeneration(x.service.Name, time.Now())
	run.attempt = x.send(ctx, dispatch)
	if !run.attempt.notRun {
		x.run.runs++
	}
	switch {
	case run.attempt.err == nil && run.attempt.resp.StatusCode == http.StatusOK:
	case run.attempt.err != nil:
		run.attempt.endSend(run.sent)
	default:
		run.sent.NotRun()
	}
	if run.attempt.rest == nil {
		run.stall.stop()
	} else if !isLast {
		run.attempt.rest = &cancelingBody{ReadCloser: run.attempt.rest, cancel: run.stall.stop}
	}
	return run
}

// giveUpLeaving responds to a generation that would outlast this instance.
func (x *exchange) giveUpLeaving() {
	if x.run.runs == 0 {
		x.refuseLeaving()
		return
	}
	x.fail(http.StatusBadGateway, pond.ReasonLeaving, detailLeaving)
}

// giveUpLimited responds to a generation that the limits of the chosen engines did not permit.
func (x *exchange) giveUpLimited(ctx context.Context) {
	if x.run.runs == 0 && !x.callerLeft() {
		x.refuseLimited()
		return
	}
	x.giveUp(ctx, shortRetryDelay, "the limits of the chosen engines are used up")
}

// giveUpBackingOff responds to a generation whose engines have asked for a back-off.
func (x *exchange) giveUpBackingOff(ctx context.Context) {
	if x.run.runs > 0 || x.callerLeft() || !x.refuseBackingOff() {
		x.giveUp(ctx, shortRetryDelay, "the chosen engines asked this instance to back off")
	}
}

// giveUp responds to a generation for which there is no other engine. It says that the generation did not run only if
// that is certain.
func (x *exchange) giveUp(ctx context.Context, after time.Duration, detail string) {
	switch {
	case x.callerLeft():
		x.abortDisconnected()
	case x.run.runs == 0:
		x.refuse(pond.ReasonNoBackend, after, detail)
	case ctx.Err() != nil:
		x.failUnanswered(detail)
	default:
		x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, detail)
	}
}

// respondGenerationFailure responds to a generation that an engine may have run but did not stream.
func (x *exchange) respondGenerationFailure(ctx context.Context, a attempt) {
	switch {
	case x.callerLeft():
		x.abortDisconnected()
	case a.err == nil:
		a.buffer()
		if a.err != nil {
			x.fail(http.StatusBadGateway, pond.ReasonBackendFailed, a.err.Error())
			return
		}
		x.writeResponse(a)
	case ctx.Err() != nil:
		x.failUnanswered("the engine did not answer in time")
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
	if x.callerLeft() {
		x.abort(pond.ReasonCanceled, "the caller left while the request waited")
	}
	if x.relay.shutdown.begun() && refusal.Reason() == pond.ReasonCanceled || x.answerBy().Before(x.deadline) {
		// Another instance has more time for the request.
		x.giveUpLeaving()
		return
	}
	if x.run.runs == 0 && refusal.Reason() == pond.ReasonNoBackend && x.refuseBackingOff() {
		return
	}
	after := shortRetryDelay
	if at := refusal.RetryAt(); !at.IsZero() {
		after = max(time.Until(at), after)
	}
	if x.run.runs > 0 {
		x.fail(http.StatusBadGateway, refusal.Reason(), refusal.Detail())
		return
	}
	x.refuse(refusal.Reason(), after, refusal.Detail())
}

// generationID returns a unique ID for one placement. The caller's ID alone may be empty or repeated.
func (r *Relay) generationID(call string) string {
	return call + "@" + r.options.Instance + "." + strconv.FormatUint(r.serial.Add(1), 10)
}

func (x *exchange) placeRequest() pond.PlaceRequest {
	return x.placeRequestFor(x.run.avoid, x.run.excluded, x.run.deliveredTokens)
}

// placeRequestFor returns the request to place what is left of a generation of which the caller has a number of tokens.
func (x *exchange) placeRequestFor(avoid, exclude []string, deliveredTokens int) pond.PlaceRequest {
	req := x.describeRequest(avoid, exclude, deliveredTokens)
	req.Generation = x.relay.generationID(x.call.ID)
	return req
}

// describeRequest returns the request to place without an ID.
func (x *exchange) describeRequest(avoid, exclude []string, deliveredTokens int) pond.PlaceRequest {
	req := pond.PlaceRequest{
		Account:  x.account,
		Model:    x.service.Name,
		Priority: maxPriorityRank - x.priority,
		Deadline: x.answerBy(),
		Avoid:    avoid,
		Regions:  x.regions(),

		LatencyTarget: x.route.LatencyTarget,
	}
	req.Exclude = slices.Concat(exclude, x.relay.options.Fleet.Unwilling(x.service.Name))
	if p := x.call.Prompt; p != nil {
		// What the caller already has is read again like a prompt.
		req.PromptTokens, req.PrefixHash = p.Tokens+deliveredTokens, p.PrefixHash
		req.MaxTokens = p.MaxOutput
		if deliveredTokens > 0 {
			req.MaxTokens = max(p.MaxOutput-deliveredTokens, 1)
		}
		if p.MaxOutput > 0 && p.MaxOutput <= shortOutputTokens {
			req.Class = pond.ClassShort
		}
	}
	return req
}

func (x *exchange) dispatch(backend route.Backend, resume *Resume) Dispatch {
	return Dispatch{
		Backend: backend, Account: x.account, Deadline: x.deadline, Position: x.run.position, Resume: resume,
	}
}

func (x *exchange) logPlacement(backend route.Backend, attemptNumber int) {
	x.log.WithFields(logrus.Fields{
		logs.Event: "requestPlaced", logs.Backend: backend.ID, logs.Attempt: attemptNumber,
		logs.Revision:        x.relay.options.Fleet.Revision(),
		logs.ElapsedMillis:   time.Since(x.arrived).Milliseconds(),
		logs.RemainingMillis: time.Until(x.deadline).Milliseconds(),
	}).Info("request placed on an engine")
}
