package once

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// maxAttempts bounds the attempts of one idempotent call, with hedges.
	maxAttempts = 4
	// retryBackoff precedes a retry on a replica that was tried before. It doubles with each attempt.
	retryBackoff = 20 * time.Millisecond

	maxIdlePerReplica = 64
	idleTimeout       = time.Minute
)

// newClient returns the client for idempotent calls. Its transport reuses connections.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdlePerReplica,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// attemptEnd is the end of one attempt of an idempotent call.
type attemptEnd struct {
	answer  pond.Answer
	outcome pond.Outcome
	err     error
}

// race runs the attempts of one idempotent call.
type race struct {
	executor *Executor
	call     *pond.Call
	replicas []spec.Backend
	delay    *hedgeDelay
	ends     chan attemptEnd
	started  int
	running  int
	// sent is true if a replica may have got the call.
	sent bool
}

// handleIdempotent runs the call on any replica. It retries and hedges within the budgets of the manifest; when an
// answer arrives, the other attempts are cancelled.
func (e *Executor) handleIdempotent(
	ctx context.Context, manifest *spec.Manifest, call *pond.Call,
) (pond.Answer, error) {
	if !e.options.Source.Confirmed(e.options.Clock()) {
		return pond.Answer{}, refuseNo(pond.ReasonNotReady, "the manifest is not confirmed")
	}
	policy := manifest.Policy()
	ctx, cancel := withDefaultDeadline(ctx, policy.DefaultDeadline())
	defer cancel()
	service, _ := manifest.Service(call.Service)
	r := &race{
		executor: e,
		call:     call,
		replicas: e.replicas.order(manifest, service),
		delay:    e.delay(call.Service),
		ends:     make(chan attemptEnd, maxAttempts),
	}
	if len(r.replicas) == 0 {
		return pond.Answer{}, refuseNo(pond.ReasonNoBackend, "no replica of the service accepts work")
	}
	e.retries.deposit(policy.RetryBudget())
	e.hedges.deposit(policy.HedgeBudget())
	return r.run(ctx)
}

func withDefaultDeadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

func (e *Executor) delay(service string) *hedgeDelay {
	if delay, ok := e.delays.Load(service); ok {
		return delay.(*hedgeDelay)
	}
	delay, _ := e.delays.LoadOrStore(service, newHedgeDelay())
	return delay.(*hedgeDelay)
}

func (r *race) run(ctx context.Context) (pond.Answer, error) {
	r.launch(ctx)
	hedge := time.NewTimer(r.delay.current())
	defer hedge.Stop()
	var retry <-chan time.Time
	for {
		select {
		case end := <-r.ends:
			r.running--
			if end.err == nil {
				return end.answer, nil
			}
			if errors.Is(end.err, errTooLarge) {
				return pond.Answer{}, refuseTooLarge(end.err)
			}
			r.sent = r.sent || end.outcome != pond.OutcomeNotSent
			if r.running > 0 {
				continue
			}
			if !r.mayRetry(ctx) {
				return pond.Answer{}, r.refusal(ctx)
			}
			retry = time.After(r.backoff())
		case <-retry:
			retry = nil
			r.launch(ctx)
		case <-hedge.C:
			if r.mayHedge() {
				r.launch(ctx)
			}
		case <-ctx.Done():
			return pond.Answer{}, refuseEnded(ctx, pond.RunUnknown)
		}
	}
}

func (r *race) mayRetry(ctx context.Context) bool {
	return ctx.Err() == nil && r.started < maxAttempts && r.executor.retries.withdraw()
}

// mayHedge allows one hedge, on a replica that was not tried.
func (r *race) mayHedge() bool {
	return r.running == 1 && r.started == 1 && len(r.replicas) > 1 && r.executor.hedges.withdraw()
}

// backoff is zero while there are replicas that were not tried.
func (r *race) backoff() time.Duration {
	if r.started < len(r.replicas) {
		return 0
	}
	return retryBackoff << (r.started - len(r.replicas))
}

// launch starts an attempt on the next replica.
func (r *race) launch(ctx context.Context) {
	replica := r.replicas[r.started%len(r.replicas)]
	r.started++
	r.running++
	go func() { r.ends <- r.attempt(ctx, replica) }()
}

func (r *race) attempt(ctx context.Context, replica spec.Backend) attemptEnd {
	e := r.executor
	if !e.options.Backends.Accepting(replica.Name()) {
		return attemptEnd{outcome: pond.OutcomeNotSent, err: errNotAccepting}
	}
	defer e.replicas.begin(replica.Name())()
	began := e.options.Clock()
	answer, outcome, err := e.exchangeOnce(ctx, replica.Address(), r.call)
	if err == nil {
		r.delay.record(e.options.Clock().Sub(began))
	} else if ctx.Err() == nil {
		e.logger.WithError(err).WithField("backend", replica.Name()).Warn("idempotent call to plain service failed")
	}
	return attemptEnd{answer: answer, outcome: outcome, err: err}
}

// errUnavailable is the 503 of a replica that is overloaded or leaving.
var errUnavailable = errors.New("the replica answered 503")

func (e *Executor) exchangeOnce(
	ctx context.Context, address string, call *pond.Call,
) (pond.Answer, pond.Outcome, error) {
	// The transport repeats a request after a used connection failed, so that a failed dial may follow a send.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		return pond.Answer{}, pond.OutcomeNotSent, err
	}
	response, err := e.client.Do(req)
	if err != nil {
		return pond.Answer{}, dialOutcome(err, connected.Load()), err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		// Reading the body lets the connection be reused; its content is not needed.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBodyBytes))
		return pond.Answer{}, pond.OutcomeAnswered, errUnavailable
	}
	answer, err := readAnswer(response)
	return answer, pond.OutcomeAnswered, err
}

// dialOutcome recognizes an error of the dial before any connection stood, after which nothing was sent.
func dialOutcome(err error, connected bool) pond.Outcome {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return pond.OutcomeNotSent
	}
	return pond.OutcomeMaybeSent
}

func (r *race) refusal(ctx context.Context) *pond.Refusal {
	run := pond.RunUnknown
	if !r.sent {
		run = pond.RunNo
	}
	if ctx.Err() != nil {
		return refuseEnded(ctx, run)
	}
	return pond.NewRefusal(pond.ReasonBackendFailed, run, time.Time{}, "no replica of the service answered")
}

func refuseTooLarge(err error) *pond.Refusal {
	return pond.NewRefusal(pond.ReasonTooLarge, pond.RunYes, time.Time{}, err.Error())
}

// asRefusal returns the refusal in err, or one with an unknown run state.
func asRefusal(err error) *pond.Refusal {
	var refusal *pond.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuseUnknown(pond.ReasonInternal, err.Error())
}
