package calls

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// maxAttempts limits the attempts of one idempotent call, including hedges.
	maxAttempts = 4
	// retryBackoff is the delay before the first retry on a replica that was tried before. It doubles with each
	// attempt.
	retryBackoff = 20 * time.Millisecond

	maxIdlePerReplica = 64
	idleTimeout       = time.Minute
)

// newClient returns the HTTP client for idempotent calls, which reuses connections.
func newClient() *http.Client {
	transport := bound.NewTransport(dialDirect)
	transport.MaxIdleConnsPerHost = maxIdlePerReplica
	transport.IdleConnTimeout = idleTimeout
	transport.DisableCompression = true
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// attemptResult is the result of one attempt of an idempotent call.
type attemptResult struct {
	answer  pond.Answer
	outcome pond.Outcome
	err     error
}

// hedgedCall runs the attempts of one idempotent call.
type hedgedCall struct {
	executor   *Executor
	call       *pond.Call
	replicas   []spec.Backend
	hedgeDelay *hedgeDelay
	results    chan attemptResult
	attempts   int
	inFlight   int
	// maybeSent is true if a replica may have received the call.
	maybeSent bool
}

// handleIdempotent runs the call on any replica. It retries and hedges within the budgets of the manifest. The first
// answer cancels the other attempts.
func (e *Executor) handleIdempotent(
	ctx context.Context, manifest *spec.Manifest, call *pond.Call,
) (pond.Answer, error) {
	if !e.options.Source.Confirmed(e.options.Clock()) {
		return pond.Answer{}, refuseNotRun(pond.ReasonNotReady, "the manifest is not confirmed")
	}
	policy := manifest.Policy()
	ctx, cancel := withDefaultDeadline(ctx, policy.DefaultDeadline())
	defer cancel()
	service, _ := manifest.Service(call.Service)
	regions := manifest.AccountRegions(call.Account)
	h := &hedgedCall{
		executor:   e,
		call:       call,
		replicas:   e.balancer.candidates(manifest, service, regions),
		hedgeDelay: e.hedgeDelay(call.Service),
		results:    make(chan attemptResult, maxAttempts),
	}
	if len(h.replicas) == 0 && regions.Restricted() {
		refusal := refuseForRegions(regions, e.options.Clock())
		e.logRegions(call, regions, refusal)
		return pond.Answer{}, refusal
	}
	if len(h.replicas) == 0 {
		return pond.Answer{}, refuseNotRun(pond.ReasonNoBackend, "no replica of the service accepts work")
	}
	e.retries.deposit(policy.RetryBudget())
	e.hedges.deposit(policy.HedgeBudget())
	return h.run(ctx)
}

func withDefaultDeadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

func (e *Executor) hedgeDelay(service string) *hedgeDelay {
	if delay, ok := e.hedgeDelays.Load(service); ok {
		return delay.(*hedgeDelay)
	}
	delay, _ := e.hedgeDelays.LoadOrStore(service, newHedgeDelay())
	return delay.(*hedgeDelay)
}

func (h *hedgedCall) run(ctx context.Context) (pond.Answer, error) {
	defer h.releaseRest()
	h.startAttempt(ctx)
	hedge := time.NewTimer(h.hedgeDelay.current())
	defer hedge.Stop()
	var retry <-chan time.Time
	for {
		select {
		case res := <-h.results:
			h.inFlight--
			if res.err == nil {
				return res.answer, nil
			}
			if refusal := refuseUnkept(res.err); refusal != nil {
				return pond.Answer{}, refusal
			}
			h.maybeSent = h.maybeSent || res.outcome != pond.OutcomeNotSent
			if h.inFlight > 0 {
				continue
			}
			if !h.mayRetry(ctx) {
				return pond.Answer{}, h.refusal(ctx)
			}
			retry = time.After(h.backoff())
		case <-retry:
			retry = nil
			h.startAttempt(ctx)
		case <-hedge.C:
			if h.mayHedge() {
				h.startAttempt(ctx)
			}
		case <-ctx.Done():
			return pond.Answer{}, refuseContextEnded(ctx, pond.RunUnknown)
		}
	}
}

// releaseRest releases the answers of the attempts that go on, which nobody waits for.
func (h *hedgedCall) releaseRest() {
	if h.inFlight == 0 {
		return
	}
	go func() {
		for range h.inFlight {
			(<-h.results).answer.Release()
		}
	}()
}

func (h *hedgedCall) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && h.attempts < maxAttempts && h.executor.retries.withdraw()
}

// mayHedge allows one hedge, on a replica that has not been tried.
func (h *hedgedCall) mayHedge() bool {
	return h.inFlight == 1 && h.attempts == 1 && len(h.replicas) > 1 && h.executor.hedges.withdraw()
}

// backoff returns the delay before the next retry, which is zero while some replica has not been tried.
func (h *hedgedCall) backoff() time.Duration {
	if h.attempts < len(h.replicas) {
		return 0
	}
	return retryBackoff << (h.attempts - len(h.replicas))
}

// startAttempt starts an attempt on the next replica.
func (h *hedgedCall) startAttempt(ctx context.Context) {
	replica := h.replicas[h.attempts%len(h.replicas)]
	h.attempts++
	h.inFlight++
	go func() { h.results <- h.attempt(ctx, replica) }()
}

func (h *hedgedCall) attempt(ctx context.Context, replica spec.Backend) attemptResult {
	e := h.executor
	if err := e.checkReplica(h.call, replica.Name()); err != nil {
		return attemptResult{outcome: pond.OutcomeNotSent, err: err}
	}
	defer e.balancer.beginCall(replica.Name())()
	startedAt := e.options.Clock()
	answer, outcome, err := e.sendPooled(ctx, replica.Address(), h.call)
	if err == nil {
		h.hedgeDelay.observe(e.options.Clock().Sub(startedAt))
	} else if errors.Is(err, bound.ErrNoRoom) {
		e.logDropped(replica.Name())
	} else if ctx.Err() == nil {
		e.logger.WithError(err).WithField("backend", replica.Name()).Warn("idempotent call to plain service failed")
	}
	return attemptResult{answer: answer, outcome: outcome, err: err}
}

// errUnavailable reports the status 503 of a replica that is overloaded or leaving.
var errUnavailable = errors.New("the replica answered 503")

func (e *Executor) sendPooled(
	ctx context.Context, address string, call *pond.Call,
) (pond.Answer, pond.Outcome, error) {
	// The transport repeats a request when a reused connection fails, so a dial error may follow an earlier send.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	defer cancel()
	req, err := newRequest(ctx, address, call)
	if err != nil {
		return pond.Answer{}, pond.OutcomeNotSent, err
	}
	response, err := e.client.Do(req)
	if err != nil {
		return pond.Answer{}, outcomeOfError(err, connected.Load()), err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		// The body is read only so that the connection can be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBodyBytes))
		return pond.Answer{}, pond.OutcomeAnswered, errUnavailable
	}
	answer, err := readAnswer(response, e.options.Answers.Open(address, cancel), func() error { return confirmEnd(ctx, dialDirect, address) })
	return answer, pond.OutcomeAnswered, err
}

// outcomeOfError returns OutcomeNotSent for a dial error if no connection was established before it.
func outcomeOfError(err error, connected bool) pond.Outcome {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return pond.OutcomeNotSent
	}
	return pond.OutcomeMaybeSent
}

func (h *hedgedCall) refusal(ctx context.Context) *pond.Refusal {
	run := pond.RunUnknown
	if !h.maybeSent {
		run = pond.RunNo
	}
	if ctx.Err() != nil {
		return refuseContextEnded(ctx, run)
	}
	return pond.NewRefusal(pond.ReasonBackendFailed, run, time.Time{}, "no replica of the service answered")
}

// refuseUnkept returns the refusal for an answer whose body could not be kept, or nil.
func refuseUnkept(err error) *pond.Refusal {
	switch {
	case errors.Is(err, bound.ErrTooLarge):
		return pond.NewRefusal(pond.ReasonTooLarge, pond.RunYes, time.Time{}, err.Error())
	case errors.Is(err, bound.ErrNoRoom):
		return refuseRunUnknown(pond.ReasonOverloaded, "the answer was dropped: "+err.Error())
	default:
		return nil
	}
}

// asRefusal returns the refusal in err, or one with an unknown run state.
func asRefusal(err error) *pond.Refusal {
	var refusal *pond.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuseRunUnknown(pond.ReasonInternal, err.Error())
}
