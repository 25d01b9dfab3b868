package calls

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/reach"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// Executor implements pond.Executor and peerpb.DRPCCallsServer. It is safe for concurrent use.
type Executor struct {
	options Options
	self    pond.InstanceRef
	logger  logrus.FieldLogger
	keys    *keyIssuer
	sender  sender
	mu      sync.Mutex
	machine *stateMachine
	// active is the number of running handlers of keyed calls and background runs.
	active int
	// idle is created by Drain and closed when active reaches zero; idleClosed is true after that.
	idle       chan struct{}
	idleClosed bool

	balancer    *balancer
	client      *http.Client
	retries     *budget
	hedges      *budget
	hedgeDelays sync.Map // service name to *hedgeDelay
}

// New returns an executor for the incarnation that Options.Directory names as Self.
func New(options Options) *Executor {
	options = options.withDefaults()
	self := options.Directory.Self().Ref()
	keys := &keyIssuer{ref: self, macKey: options.MACKey, started: options.Clock(), validity: options.KeyValidity}
	return &Executor{
		options: options,
		self:    self,
		logger:  options.Logger,
		keys:    keys,
		sender:  newUnpooledSender(options.Dial, options.Answers),
		machine: &stateMachine{
			keys:           keys,
			table:          newRecordTable(),
			limits:         newLimits(),
			maxAnswerBytes: options.MaxAnswerBytes,
		},
		balancer: newBalancer(options.Backends),
		client:   newClient(),
		retries:  newBudget(),
		hedges:   newBudget(),
	}
}

// Issue returns a new run key prefix for the account. The caller appends ":" and a suffix of its choice.
func (e *Executor) Issue(account string, now time.Time) string { return e.keys.issue(account, now) }

// Handle runs a call. The error is a *pond.Refusal.
func (e *Executor) Handle(ctx context.Context, call pond.Call) (pond.Answer, error) {
	manifest := e.options.Source.Current()
	repeat, declared := repeatRule(manifest, &call)
	if declared && repeat == spec.RepeatIdempotent && !call.Forwarded {
		answer, err := e.handleIdempotent(ctx, manifest, &call)
		return answer, withUnknownRun(err, call.Key)
	}
	if call.Key == "" {
		return pond.Answer{}, refuseKeyless(manifest, declared)
	}
	return e.handleKeyed(ctx, &call)
}

// withUnknownRun replaces "run: no" by an unknown run state for an idempotent call with a key, because another instance
// may have run a copy of it.
func withUnknownRun(err error, key string) error {
	var refusal *pond.Refusal
	if key == "" || !errors.As(err, &refusal) || refusal.Run() != pond.RunNo {
		return err
	}
	return pond.NewRefusal(refusal.Reason(), pond.RunUnknown, refusal.RetryAt(), refusal.Detail())
}

func repeatRule(manifest *spec.Manifest, call *pond.Call) (spec.Repeat, bool) {
	if manifest == nil {
		return spec.RepeatAtMostOnce, false
	}
	service, ok := manifest.Service(call.Service)
	if !ok {
		return spec.RepeatAtMostOnce, false
	}
	return service.Repeat(call.Method, call.Path)
}

func refuseKeyless(manifest *spec.Manifest, declared bool) *pond.Refusal {
	switch {
	case manifest == nil:
		return refuseNotRun(pond.ReasonNotReady, "there is no manifest yet")
	case !declared:
		return refuseNotRun(pond.ReasonNotFound, "no service declares such a route")
	default:
		return refuseNotRun(pond.ReasonKeyMissing, "the call may not be repeated and needs an Idempotency-Key")
	}
}

// handleKeyed runs the call here or forwards it to the instance that its key names.
func (e *Executor) handleKeyed(ctx context.Context, call *pond.Call) (pond.Answer, error) {
	key, err := e.keys.parse(call.Key, call.Account)
	if err != nil {
		return pond.Answer{}, refuseNotRun(pond.ReasonKeyInvalid, err.Error())
	}
	dest := destinationOf(key, e.self, call.Forwarded, e.options.Directory)
	regions := e.regions(call)
	switch {
	case dest.refusal != nil:
		return pond.Answer{}, dest.refusal
	case !dest.local && !regions.Allows(dest.region):
		refusal := refuseExecutor(regions)
		e.logRegions(call, regions, refusal)
		return pond.Answer{}, refusal
	case dest.local:
		return e.executeLocal(ctx, call, key)
	default:
		return e.forward(ctx, dest.address, call)
	}
}

// executeLocal runs the call, or waits for the run that an earlier copy of it started.
func (e *Executor) executeLocal(ctx context.Context, call *pond.Call, key runKey) (pond.Answer, error) {
	e.beginActive()
	defer e.endActive()
	e.mu.Lock()
	d := e.machine.admit(call, key, e.snapshot())
	e.mu.Unlock()
	if d.refusal != nil {
		return pond.Answer{}, d.refusal
	}
	if d.mustSend {
		e.startRun(ctx, call, d.record)
	}
	return awaitResult(ctx, d.record)
}

// awaitResult waits for the result of the record. The run continues if the caller cancels.
func awaitResult(ctx context.Context, r *record) (pond.Answer, error) {
	select {
	case <-r.done:
	case <-ctx.Done():
		if !r.ended() {
			return pond.Answer{}, refuseContextEnded(ctx, pond.RunUnknown)
		}
	}
	if r.result.refusal != nil {
		return pond.Answer{}, r.result.refusal
	}
	answer := r.result.answer
	answer.Header = answer.Header.Clone()
	return answer, nil
}

func refuseContextEnded(ctx context.Context, run pond.RunState) *pond.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pond.NewRefusal(pond.ReasonDeadline, run, time.Time{}, "the deadline passed")
	}
	return pond.NewRefusal(pond.ReasonCanceled, run, time.Time{}, "the caller gave up")
}

// startRun runs a recorded call in the background. The run keeps the deadline of the call but ignores its cancellation,
// because repeats may be waiting for the result.
func (e *Executor) startRun(ctx context.Context, call *pond.Call, r *record) {
	deadline := e.deadline(ctx)
	e.beginActive()
	go func() {
		defer e.endActive()
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
		res := e.sendToReplicas(ctx, call, r, deadline)
		answer := res.answer
		defer answer.Release() // The table counts it.
		res.answer = answer.OnRelease(nil)
		e.mu.Lock()
		e.machine.finish(r, res)
		e.mu.Unlock()
	}()
}

// deadline returns the deadline of the call, or the default of the manifest, with a monotonic clock reading. A deadline
// that the caller gave as a time of day has none, so a step of the wall clock could shift it.
func (e *Executor) deadline(ctx context.Context) time.Time {
	now := e.options.Clock()
	if deadline, ok := ctx.Deadline(); ok {
		return now.Add(deadline.Sub(now))
	}
	return now.Add(e.options.Source.Current().Policy().DefaultDeadline())
}

// sendToReplicas tries replicas until one may have received the recorded call.
func (e *Executor) sendToReplicas(ctx context.Context, call *pond.Call, r *record, deadline time.Time) result {
	service, _ := e.options.Source.Current().Service(call.Service)
	regions := e.regions(call)
	targets := newFailover(e.balancer.candidates(e.options.Source.Current(), service, regions), regions)
	ctx = reach.WithRegions(ctx, regions)
	for {
		replica, ok := targets.nextReplica()
		if !ok {
			refusal := targets.refusal(e.options.Clock())
			if regions.Restricted() {
				e.logRegions(call, regions, refusal)
			}
			return result{refusal: refusal}
		}
		check := func() error { return e.checkSend(call, r, deadline, replica.Name()) }
		endCall := e.balancer.beginCall(replica.Name())
		answer, outcome, err := e.sender.send(ctx, replica.Address(), call, check)
		endCall()
		targets.reportOutcome(outcome)
		if errors.Is(err, bound.ErrNoRoom) {
			e.logDropped(replica.Name())
		}
		if res, ok := finalResult(answer, outcome, err); ok {
			return res
		}
		e.logger.WithError(err).WithField("backend", replica.Name()).Warn("call to plain service failed")
	}
}

// finalResult returns the result of the call, or false if another replica may be tried.
func finalResult(answer pond.Answer, outcome pond.Outcome, err error) (result, bool) {
	var refusal *pond.Refusal
	switch {
	case errors.As(err, &refusal):
		return result{refusal: refusal}, true
	case refuseUnkept(err) != nil:
		return result{refusal: refuseUnkept(err)}, true
	case outcome == pond.OutcomeAnswered:
		return result{answer: answer}, true
	default:
		return result{}, false
	}
}

// logDropped logs that the answer of a replica was dropped.
func (e *Executor) logDropped(backend string) {
	held, dropped := e.options.Answers.Usage()
	e.logger.WithFields(logrus.Fields{logs.Event: "answerDropped", logs.Backend: backend, "heldBytes": held, "dropped": dropped}).
		Warn("the answer of a replica was dropped, because the answers that are held take the memory for them")
}

// errNotAccepting makes the run try another replica.
var errNotAccepting = errors.New("the replica accepts no new work")

// checkSend is called directly before the call is sent to the replica.
func (e *Executor) checkSend(call *pond.Call, r *record, deadline time.Time, replica string) error {
	if err := e.checkReplica(call, replica); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.machine.checkSend(r, deadline, e.snapshot()); refusal != nil {
		return refusal
	}
	return nil
}

func (e *Executor) snapshot() snapshot {
	now := e.options.Clock()
	return snapshot{manifest: e.options.Source.Current(), confirmed: e.options.Source.Confirmed(now), now: now}
}
