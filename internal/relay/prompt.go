package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/hazard"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// begunEvents is the number of whole events from which an engine has begun to answer a prompt without harm. An engine that
// crashes under a prompt may have sent its first event.
const begunEvents = 2

func (x *exchange) sharedParts() []string {
	if x.call.Prompt == nil {
		return nil
	}
	return x.call.Prompt.SharedParts
}

// admitPrompt reports whether the generation may be sent to an engine. It is called again directly before the send, because
// the request may have waited.
func (x *exchange) admitPrompt(ctx context.Context) bool {
	if !x.admitRequest(ctx) {
		return false
	}
	if x.run.experiment {
		return true
	}
	admitted, experiment := x.admit(ctx, x.relay.options.Hazards, x.sharedParts(), "prompt")
	x.run.experiment = experiment
	return admitted
}

// admit asks a guard whether a request with the parts may run, and whether it does as an experiment. what names the request in the log.
func (x *exchange) admit(ctx context.Context, guard *hazard.Guard, parts []string, what string) (admitted, experiment bool) {
	admission := guard.Admit(ctx, parts)
	if admission.Admitted() && !admission.Experiment() {
		return true, false
	}
	log := x.log.WithFields(logrus.Fields{
		logs.Parts: admission.Parts(), "crashes": admission.Crashes(), "experiment": admission.Experiment(),
	})
	if admission.Admitted() {
		log.WithField(logs.Event, what+"Experiment").Warn("a request is admitted to show whether it crashes backend servers")
		return true, true
	}
	x.permitAt = admission.RetryAt()
	log.WithField(logs.Event, what+"Refused").Info("backend servers have crashed under the request or a part of its prompt")
	return false, false
}

// refuseUnsafe refuses a request that has not run, because backend servers crashed under it or under a part of its prompt.
func (x *exchange) refuseUnsafe() {
	x.refuse(pond.ReasonUnsafePrompt, max(x.permitAt.Sub(x.relay.options.Clock()), shortRetryDelay),
		"backend servers crashed under the request or a part of its prompt")
}

// givePromptUp responds to a generation that is not admitted any more.
func (x *exchange) givePromptUp() {
	if x.run.runs == 0 {
		x.refuseUnsafe()
		return
	}
	x.fail(http.StatusBadGateway, pond.ReasonUnsafePrompt, "backend servers crashed under the request or a part of its prompt")
}

// noCrashes are errors of answers that are spoiled, or that this instance has cut or given up.
var noCrashes = []error{
	errForeignResponse, errSecondResponse, errEventsMissing, errOtherRun, errEventTooLarge, errEndAtDeadline, bound.ErrMalformedHead, errHelperEnds, context.Canceled,
}

// mayBeCrash reports whether an error of an answer may come from the end of its engine. Answers that are spoiled, or that this
// instance has cut because they stalled or because the instance that carries them ends, do not.
func mayBeCrash(err error) bool {
	return !errors.As(err, new(*unprovenRejectionError)) && !slices.ContainsFunc(noCrashes, func(target error) bool { return errors.Is(err, target) })
}

// recordBreak records that an engine broke off a generation that it had hardly begun to answer. writing is true if the head
// of the answer had come. An engine that is known to leave ends for that reason.
func (x *exchange) recordBreak(ctx context.Context, backend route.Backend, a attempt, writing bool) {
	if x.knownToLeave(backend.ID) {
		return
	}
	x.run.crashed = true
	x.relay.options.Hazards.Broke(
		hazard.NewReport(backend.ID, backend.StartedAtMillis, a.weightsVersion, writing, x.sharedParts()))
	x.recordRequestBreak(ctx, backend, a, writing, x.maxRuns() > 1)
}

// recordBegun records that an engine answers the prompt without harm.
func (s *stream) recordBegun() {
	weightsVersion := s.current.Load().attempt.weightsVersion
	s.x.relay.options.Hazards.Begun(s.x.sharedParts(), weightsVersion)
	s.x.recordAnswered(weightsVersion)
}

// hardlyBegun reports whether the current engine has sent fewer events than show that the prompt does no harm.
func (s *stream) hardlyBegun() bool { return s.events-s.eventsBefore < begunEvents }

// endedEmpty reports whether the end of a close-delimited answer without events may be the end of its connection only.
func (s *stream) endedEmpty() bool {
	return s.current.Load().attempt.closeDelimited && s.events == 0 && s.x.run.position == ""
}

// endedEarly reports whether the caller lacks events that the run is known to have made. Those of a caller who had some from an earlier attempt are known
// only by IDs that count them.
func (s *stream) endedEarly() bool {
	if s.continued {
		return s.sequence.step == 1 && s.sequence.last < int64(s.created)
	}
	return s.events < s.created
}
