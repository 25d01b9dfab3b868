package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/drain"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// restartDelay is the mean time from the exit of an instance until it serves again.
	restartDelay = 2 * time.Second

	// answerPollInterval is the time between two looks at how many requests have no response during a shutdown.
	answerPollInterval = 20 * time.Millisecond

	detailLeaving = "this instance is shutting down"
)

// shutdown tells the requests in progress about the shutdown of the instance.
type shutdown struct {
	plan atomic.Pointer[drain.Plan] // nil before the shutdown
	// leaving ends when the shutdown begins, and ending when requests without any response get their final one.
	leaving, ending context.Context
	begin, end      context.CancelFunc
}

func newShutdown() *shutdown {
	s := new(shutdown)
	s.leaving, s.begin = context.WithCancel(context.Background())
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

func (s *shutdown) begun() bool { return s.plan.Load() != nil }

// Leave makes the relay refuse requests that are not expected to end by the given time, and end those that have no response by then. Another
// call can only make that time earlier.
func (r *Relay) Leave(exitAt time.Time) {
	if former := r.shutdown.plan.Load(); former != nil && !exitAt.Before(former.ExitAt()) {
		return
	}
	plan := drain.NewPlan(exitAt)
	r.shutdown.plan.Store(&plan)
	r.shutdown.begin()
	go r.endInTime(plan)
}

// endInTime ends the requests that have no response when it is time for their final answers.
func (r *Relay) endInTime(plan drain.Plan) {
	for {
		wait := time.Until(plan.AnswersFrom(r.open.unanswered()))
		if wait <= 0 {
			r.shutdown.end()
			return
		}
		time.Sleep(min(wait, answerPollInterval))
	}
}

// Stop makes the relay refuse all further requests.
func (r *Relay) Stop() {
	plan := drain.NewPlan(time.Now())
	r.shutdown.plan.Store(&plan)
	r.shutdown.begin()
}

// workload describes what is left of a request for a backend server to do.
type workload struct {
	service string
	// tokens is the length of a generation, 0 if it is unknown; plainWork for a request without one.
	tokens int
}

const plainWork = -1

func (x *exchange) workload() workload {
	w := workload{service: x.service.Name, tokens: plainWork}
	if x.service.Engine != nil {
		w.tokens = 0
		if x.call.Prompt != nil && x.call.Prompt.MaxOutput > 0 {
			w.tokens = max(x.call.Prompt.MaxOutput-x.run.deliveredTokens, 1)
		}
	}
	return w
}

// latestStart returns the time after which work is not expected to end before the instance stops. It returns false for work of unknown
// length, which may not be started at all.
func (r *Relay) latestStart(w workload) (time.Time, bool) {
	if w.tokens == 0 {
		return time.Time{}, false
	}
	return r.shutdown.plan.Load().LatestStart(r.expected(w)), true
}

// expected returns the time that work is expected to take if it is sent now. For a generation of unknown length it is the time until the first event.
func (r *Relay) expected(w workload) time.Duration {
	if w.tokens == plainWork {
		return r.history.Call(w.service, time.Now())
	}
	return r.history.Generation(w.service, w.tokens, time.Now())
}

// tooLate reports whether work that is started at a time is not expected to end before the instance stops.
func (r *Relay) tooLate(w workload, at time.Time) bool {
	if !r.shutdown.begun() {
		return false
	}
	latest, known := r.latestStart(w)
	return !known || at.After(latest)
}

// endsMoveTooLate reports whether a move that takes the given time from now on is not expected to end before the instance stops.
func (r *Relay) endsMoveTooLate(need time.Duration, sourceEnds bool) bool {
	plan := r.shutdown.plan.Load()
	return plan != nil && time.Now().After(plan.LatestMove(need, sourceEnds))
}

// endsTooLate reports whether the request, if it were sent now, is not expected to end before the instance stops. It is called directly
// before each send, because the request may have waited.
func (x *exchange) endsTooLate() bool {
	if !x.relay.shutdown.begun() {
		return false
	}
	latest, known := x.relay.latestStart(x.workload())
	tooLate := !known || time.Now().After(latest)
	x.logAdmission(latest, known, !tooLate)
	return tooLate
}

// logAdmission logs whether a request may be sent during the shutdown, and how much later it might still be.
func (x *exchange) logAdmission(latest time.Time, known, admitted bool) {
	fields := logrus.Fields{
		logs.Event: "shutdownAdmission", "admitted": admitted,
		logs.RemainingMillis: time.Until(x.relay.shutdown.plan.Load().ExitAt()).Milliseconds(),
	}
	if known {
		fields["slackMillis"] = time.Until(latest).Milliseconds()
	}
	x.log.WithFields(fields).Info("a request arrived or waits during the shutdown")
}

// whileStartable returns a context that ends when the request can no longer be sent in time because the instance stops.
func (x *exchange) whileStartable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	relay, work := x.relay, x.workload()
	stop := context.AfterFunc(relay.shutdown.leaving, func() {
		latest, known := relay.latestStart(work)
		if !known {
			cancel()
			return
		}
		timer := time.AfterFunc(time.Until(latest), cancel)
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// endWithShutdown calls end shortly before the instance stops if no response has begun by then, so that the caller gets a final answer.
func (x *exchange) endWithShutdown(end func()) (release func()) {
	stop := context.AfterFunc(x.relay.shutdown.ending, func() {
		if !x.progress.responding() {
			end()
		}
	})
	return func() { stop() }
}

// answerBy returns the time by which a backend server has to answer: the deadline, or an earlier end of the instance.
func (x *exchange) answerBy() time.Time {
	if plan := x.relay.shutdown.plan.Load(); plan != nil && plan.AnswerBy().Before(x.deadline) {
		return plan.AnswerBy()
	}
	return x.deadline
}

// refuseLeaving refuses a request that would outlast this instance. Without another instance, callers return when this one has started
// again.
func (x *exchange) refuseLeaving() {
	after := shortRetryDelay
	if plan := x.relay.shutdown.plan.Load(); plan != nil && x.relay.options.Others() == 0 {
		after = max(time.Until(plan.ExitAt()), 0) + restartDelay/2 + rand.N(restartDelay)
	}
	x.refuse(pond.ReasonLeaving, after, detailLeaving)
}

// failUnanswered responds to a request that may have run and got no answer in time.
func (x *exchange) failUnanswered(detail string) {
	if x.relay.shutdown.ending.Err() != nil && time.Now().Before(x.deadline) {
		x.fail(http.StatusGatewayTimeout, pond.ReasonLeaving, "the shutdown ended before the answer")
		return
	}
	x.fail(http.StatusGatewayTimeout, pond.ReasonDeadline, detail)
}
