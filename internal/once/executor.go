package once

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// Executor implements pond.Executor and peerpb.DRPCCallsServer. It is safe for concurrent use.
type Executor struct {
	options Options
	self    pond.InstanceRef
	logger  logrus.FieldLogger
	keys    *keyring
	sender  sender

	mu   sync.Mutex
	core *core
	// active counts the handlers of keyed calls and the runs.
	active int
	// idle is made by Drain and closed when active is zero; drained tells that it was closed.
	idle    chan struct{}
	drained bool

	replicas *replicas
	client   *http.Client
	retries  *budget
	hedges   *budget
	delays   sync.Map // service name to *hedgeDelay
}

// New returns an executor for the incarnation that Options.Directory names as Self.
func New(options Options) *Executor {
	options = options.withDefaults()
	self := options.Directory.Self().Ref()
	keys := &keyring{ref: self, macKey: options.MACKey, started: options.Clock(), validity: options.KeyValidity}
	return &Executor{
		options: options,
		self:    self,
		logger:  options.Logger,
		keys:    keys,
		sender:  newSingleSender(),
		core: &core{
			keys:           keys,
			table:          newTable(),
			limits:         newLimits(),
			maxAnswerBytes: options.MaxAnswerBytes,
		},
		replicas: newReplicas(options.Backends),
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

// withUnknownRun replaces "run: no" for an idempotent call with a key, because another instance may have run a copy.
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
		return refuseNo(pond.ReasonNotReady, "there is no manifest yet")
	case !declared:
		return refuseNo(pond.ReasonNotFound, "no service declares such a route")
	default:
		return refuseNo(pond.ReasonKeyMissing, "the call may not be repeated and needs an Idempotency-Key")
	}
}

// handleKeyed runs the call here or forwards it to the instance that its key names.
func (e *Executor) handleKeyed(ctx context.Context, call *pond.Call) (pond.Answer, error) {
	key, err := e.keys.parse(call.Key, call.Account)
	if err != nil {
		return pond.Answer{}, refuseNo(pond.ReasonKeyInvalid, err.Error())
	}
	route := routeOf(key, e.self, call.Forwarded, e.options.Directory)
	switch {
	case route.refusal != nil:
		return pond.Answer{}, route.refusal
	case route.local:
		return e.executeLocal(ctx, call, key)
	default:
		return e.forward(ctx, route.address, call)
	}
}

// executeLocal runs the call or waits for the run that an earlier copy started.
func (e *Executor) executeLocal(ctx context.Context, call *pond.Call, key runKey) (pond.Answer, error) {
	e.enter()
	defer e.leave()
	e.mu.Lock()
	d := e.core.accept(call, key, e.terms())
	e.mu.Unlock()
	if d.refusal != nil {
		return pond.Answer{}, d.refusal
	}
	if d.run {
		e.start(ctx, call, d.record)
	}
	return wait(ctx, d.record)
}

// wait returns the result of the record. A caller that gives up does not end the run.
func wait(ctx context.Context, r *record) (pond.Answer, error) {
	select {
	case <-r.done:
	case <-ctx.Done():
		if !r.ended() {
			return pond.Answer{}, refuseEnded(ctx, pond.RunUnknown)
		}
	}
	if r.result.refusal != nil {
		return pond.Answer{}, r.result.refusal
	}
	answer := r.result.answer
	answer.Header = answer.Header.Clone()
	return answer, nil
}

func refuseEnded(ctx context.Context, run pond.RunState) *pond.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pond.NewRefusal(pond.ReasonDeadline, run, time.Time{}, "the deadline passed")
	}
	return pond.NewRefusal(pond.ReasonCanceled, run, time.Time{}, "the caller gave up")
}

// start runs a recorded call in the background. The run has the deadline of the call but not its cancellation, because
// repeats may wait for it.
func (e *Executor) start(ctx context.Context, call *pond.Call, r *record) {
	deadline := e.deadline(ctx)
	e.enter()
	go func() {
		defer e.leave()
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
		end := e.run(ctx, call, r, deadline)
		e.mu.Lock()
		e.core.finish(r, end)
		e.mu.Unlock()
	}()
}

// deadline returns the deadline of the call, or the default of the manifest, with a monotonic reading. A deadline that
// the caller stated as a time of day has none, so a step of the wall clock could move it.
func (e *Executor) deadline(ctx context.Context) time.Time {
	now := e.options.Clock()
	if deadline, ok := ctx.Deadline(); ok {
		return now.Add(deadline.Sub(now))
	}
	return now.Add(e.options.Source.Current().Policy().DefaultDeadline())
}

// run sends a recorded call to replicas until one may have got it.
func (e *Executor) run(ctx context.Context, call *pond.Call, r *record, deadline time.Time) result {
	service, _ := e.options.Source.Current().Service(call.Service)
	tries := newAttempts(e.replicas.order(e.options.Source.Current(), service))
	for {
		replica, ok := tries.target()
		if !ok {
			return result{refusal: tries.refusal()}
		}
		check := func() error { return e.clear(r, deadline, replica.Name()) }
		done := e.replicas.begin(replica.Name())
		answer, outcome, err := e.sender.send(ctx, replica.Address(), call, check)
		done()
		tries.ended(outcome)
		if end, ok := settled(answer, outcome, err); ok {
			return end
		}
		e.logger.WithError(err).WithField("backend", replica.Name()).Warn("call to plain service failed")
	}
}

// settled returns the result of an attempt that ends the call.
func settled(answer pond.Answer, outcome pond.Outcome, err error) (result, bool) {
	var refusal *pond.Refusal
	switch {
	case errors.As(err, &refusal):
		return result{refusal: refusal}, true
	case errors.Is(err, errTooLarge):
		return result{refusal: refuseTooLarge(err)}, true
	case outcome == pond.OutcomeAnswered:
		return result{answer: answer}, true
	default:
		return result{}, false
	}
}

// errNotAccepting makes the run try another replica.
var errNotAccepting = errors.New("the replica accepts no new work")

// clear is the check directly before the send.
func (e *Executor) clear(r *record, deadline time.Time, replica string) error {
	if !e.options.Backends.Accepting(replica) {
		return errNotAccepting
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.core.clear(r, deadline, e.terms()); refusal != nil {
		return refusal
	}
	return nil
}

func (e *Executor) terms() terms {
	now := e.options.Clock()
	return terms{manifest: e.options.Source.Current(), confirmed: e.options.Source.Confirmed(now), now: now}
}
