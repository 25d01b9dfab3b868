package stream

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/bound"
	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Request describes a generation that a caller requests.
type Request struct {
	Account string
	Model   string
	Version string
	Adapter string
	Prompt  string
	Class   pond.Class
	// Priority is that of the client account; larger numbers are more important.
	Priority     int
	PromptTokens int
	MaxTokens    int
	PrefixHash   uint64
	// Deadline bounds waiting, failover and resume attempts. It must be set.
	Deadline time.Time
	// Format is carried in cursors, so that the resuming instance knows how to format the response.
	Format string
}

// Answer is a complete, non-streaming response.
type Answer struct {
	Generation string
	Text       string
	Tokens     int
}

// Generate streams a response to sink. If the error is not nil, nothing was delivered; it is a *pond.Refusal.
func (r *Relay) Generate(ctx context.Context, req Request, sink Sink) error {
	j := r.newJob(req, sink)
	return j.run(ctx)
}

// maxCompleteBytes bounds the text of a complete response.
const maxCompleteBytes = 2 << 20

// GenerateComplete generates a response and returns it when it is complete. The error is a *pond.Refusal. A generation
// that fails halfway is replaced by a new one, as the caller has received nothing. The text is held in the given part of a budget, whose end
// must end ctx.
func (r *Relay) GenerateComplete(ctx context.Context, req Request, holding *bound.Holding) (Answer, error) {
	c := &collector{holding: holding}
	j := r.newJob(req, c)
	j.nonStreaming = true
	err := j.run(ctx)
	if settleErr := holding.Settle(); settleErr != nil {
		return Answer{}, pond.NewRefusal(pond.ReasonOverloaded, pond.RunUnknown, time.Time{}, "the generation was dropped: "+settleErr.Error())
	}
	if c.tooLarge {
		return Answer{}, pond.NewRefusal(pond.ReasonTooLarge, pond.RunYes, time.Time{}, "the text of the generation is too large")
	}
	if err != nil {
		return Answer{}, err
	}
	if c.last.Reason == pond.ReasonLeaving {
		return Answer{}, j.leavingRefusal()
	}
	if c.last.Kind != ItemDone {
		return Answer{}, j.refusal(c.last.Reason, c.last.Detail)
	}
	return Answer{Generation: c.last.Generation, Text: c.text.String(), Tokens: c.last.Tokens}, nil
}

// collector is a Sink that assembles a complete response.
type collector struct {
	holding    *bound.Holding
	tooLarge   bool
	generation string
	text       strings.Builder
	last       Item
}

// Deliver implements Sink. Tokens of a replaced generation are discarded.
func (c *collector) Deliver(item Item) error {
	if item.Generation != c.generation {
		c.generation = item.Generation
		c.text.Reset()
	}
	size := c.text.Len() + len(item.Text)
	if size > maxCompleteBytes {
		c.tooLarge = true
		return bound.ErrTooLarge
	}
	if err := c.holding.Hold(int64(size)); err != nil {
		return err
	}
	c.text.WriteString(item.Text)
	c.last = item
	return nil
}

// job is one request with all of its generations.
type job struct {
	relay        *Relay
	req          Request
	sink         Sink
	nonStreaming bool
	signer       *cursorSigner
	timing       timing
	avoid        []string
	// runState covers all generations so far.
	runState pond.RunState
	// failures counts the generations that failed.
	failures int
	// avoidCleared is true once the list of engines to avoid was cleared.
	avoidCleared bool
}

func (r *Relay) newJob(req Request, sink Sink) *job {
	classMetrics := r.options.Metrics.ForClass(req.Priority, req.Class)
	return &job{
		relay:    r,
		req:      req,
		sink:     sink,
		signer:   newCursorSigner(r.options.MACKey),
		timing:   timing{metrics: classMetrics, arrived: time.Now()},
		runState: pond.RunNo,
	}
}

func (j *job) run(ctx context.Context) error {
	ctx, leave := j.relay.requests.Enter(ctx)
	defer leave()
	defer func() { j.timing.metrics.Duration.Observe(time.Since(j.timing.arrived).Seconds()) }()
	for {
		s, err := j.place(ctx)
		if err != nil && j.clearAvoided(err) && j.waitBackoff(ctx) {
			continue
		}
		if err != nil {
			return err
		}
		if s == nil {
			continue
		}
		again, err := j.handleEnd(s, s.run(false))
		if !again {
			return err
		}
		j.failures++
		if j.failures > 1 && !j.waitBackoff(ctx) {
			return j.contextRefusal(ctx)
		}
	}
}

// clearAvoided clears, once, the list of engines to avoid if no other engine is available: a broken connection does not
// prove that the engine failed, and in a small pool it may be the only one.
func (j *job) clearAvoided(err error) bool {
	var refusal *pond.Refusal
	if j.avoidCleared || len(j.avoid) == 0 || !errors.As(err, &refusal) || refusal.Reason() != pond.ReasonNoBackend {
		return false
	}
	j.avoidCleared, j.avoid = true, nil
	return true
}

// place gets an engine from the placer and attaches a session. The session is nil if the engine stopped accepting work
// meanwhile.
func (j *job) place(ctx context.Context) (*session, error) {
	generation := j.relay.nextID()
	asked := time.Now()
	placement, err := j.askPlacer(ctx, generation)
	if err != nil {
		return nil, err
	}
	j.timing.metrics.QueueWait.Observe(time.Since(asked).Seconds())
	if now := time.Now(); !j.relay.options.Confirmed(now) {
		placement.Done(pond.PlacementEnd{}, now)
		return nil, pond.NewRefusal(pond.ReasonNotReady, j.runState, now.Add(peerCallTimeout), "the manifest is not confirmed")
	}
	backend, address := placement.Backend()
	if !j.relay.options.Backends.Accepting(backend) {
		placement.Done(pond.PlacementEnd{BackendFailed: true}, time.Now())
		j.avoid = append(j.avoid, backend)
		return nil, nil
	}
	if !j.relay.allows(j.req.Model, j.req.Account, backend) {
		placement.Done(pond.PlacementEnd{}, time.Now())
		j.avoid = append(j.avoid, backend)
		return nil, nil
	}
	s := &session{
		relay:        j.relay,
		startRequest: j.engineRequest(generation),
		account:      j.req.Account,
		model:        j.req.Model,
		format:       j.req.Format,
		backend:      backend,
		address:      address,
		epoch:        1,
		sequence:     sequence{generation: generation},
		placement:    placement,
		deadline:     j.req.Deadline,
		nonStreaming: j.nonStreaming,
		sink:         j.sink,
		signer:       j.signer,
		timing:       j.timing,
	}
	s.ctx, s.stop = context.WithCancelCause(ctx)
	j.relay.table.attach(s)
	return s, nil
}

func (j *job) engineRequest(generation string) engine.Generation {
	return engine.Generation{
		Generation: generation,
		Model:      j.req.Model,
		Version:    j.req.Version,
		Adapter:    j.req.Adapter,
		Prompt:     j.req.Prompt,
		MaxTokens:  j.req.MaxTokens,
		Priority:   j.req.Priority,
	}
}

// askPlacer calls the placer. It returns at the deadline even if the placer does not, so that the caller is refused
// immediately; a placement that arrives later is ended unused.
func (j *job) askPlacer(ctx context.Context, generation string) (pond.Placement, error) {
	type result struct {
		placement pond.Placement
		err       error
	}
	limited, cancel := context.WithDeadline(ctx, j.req.Deadline)
	defer cancel()
	placed := make(chan result, 1)
	go func() {
		placement, err := j.relay.options.Placer.Place(limited, j.placeRequest(generation))
		placed <- result{placement, err}
	}()
	select {
	case r := <-placed:
		if r.err != nil {
			return nil, j.placementError(ctx, r.err)
		}
		return r.placement, nil
	case <-limited.Done():
		go func() {
			if r := <-placed; r.err == nil {
				r.placement.Done(pond.PlacementEnd{}, time.Now())
			}
		}()
		return nil, j.contextRefusal(ctx)
	}
}

func (j *job) placeRequest(generation string) pond.PlaceRequest {
	return pond.PlaceRequest{
		Generation:   generation,
		Account:      j.req.Account,
		Model:        j.req.Model,
		Version:      j.req.Version,
		Adapter:      j.req.Adapter,
		Class:        j.req.Class,
		Priority:     j.req.Priority,
		PromptTokens: j.req.PromptTokens,
		MaxTokens:    j.req.MaxTokens,
		PrefixHash:   j.req.PrefixHash,
		Deadline:     j.req.Deadline,
		Avoid:        j.avoid,
		Regions:      j.relay.regions(j.req.Model, j.req.Account),
	}
}

// placementError converts an error of the placer. The run state covers all generations of the request, not just the
// last one.
func (j *job) placementError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return j.contextRefusal(ctx)
	}
	var refusal *pond.Refusal
	if !errors.As(err, &refusal) {
		return j.refusal(pond.ReasonInternal, "placement failed: "+err.Error())
	}
	runState := refusal.Run()
	if j.runState != pond.RunNo {
		runState = j.runState
	}
	return pond.NewRefusal(refusal.Reason(), runState, refusal.RetryAt(), refusal.Detail())
}

func (j *job) refusal(reason pond.Reason, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, j.runState, time.Time{}, detail)
}

// leavingRefusal returns the refusal of a request that another instance can serve.
func (j *job) leavingRefusal() *pond.Refusal {
	return pond.NewRefusal(pond.ReasonLeaving, j.runState, time.Now().Add(leavingRetryDelay), "this instance is leaving")
}

// contextRefusal returns the refusal of a request whose deadline passed, whose caller is gone or whose instance leaves.
func (j *job) contextRefusal(ctx context.Context) error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errInstanceLeaving):
		return j.leavingRefusal()
	case cause != nil:
		return j.refusal(pond.ReasonCanceled, "the caller is gone")
	}
	return j.refusal(pond.ReasonDeadline, "the deadline passed before the first token")
}

// waitBackoff delays the next generation after failures. It returns false if the deadline or the request ended first.
func (j *job) waitBackoff(ctx context.Context) bool {
	limited, cancel := context.WithDeadline(ctx, j.req.Deadline)
	defer cancel()
	return sleep(limited, backoff(j.failures))
}

// handleEnd handles the end of a session. again is true if a new generation should replace it.
func (j *job) handleEnd(s *session, end sessionEnd) (again bool, err error) {
	defer s.stop(nil)
	j.timing = s.timing
	if !end.notRun {
		j.runState = pond.RunUnknown
	}
	if end.kind == endLost && s.replaceable() {
		s.abandon(end)
		j.relay.options.Metrics.CountRecovery(recoveryLabel(s))
		j.avoid = append(j.avoid, s.backend)
		return true, nil
	}
	if s.sequence.next == 0 && end.kind != endDone {
		s.abandon(end)
		return false, j.unstartedRefusal(end)
	}
	s.conclude(end)
	return false, nil
}

// recoveryLabel returns the metric label for replacing the generation of a session.
func recoveryLabel(s *session) string {
	if s.sequence.next > 0 {
		return "rerun"
	}
	return "failover"
}

// unstartedRefusal returns the refusal of a request whose last generation ended without a token for a reason that rules
// out another one.
func (j *job) unstartedRefusal(end sessionEnd) error {
	switch end.kind {
	case endDeadline:
		return j.refusal(pond.ReasonDeadline, "the deadline passed before the first token")
	case endInstanceLeaving:
		return j.leavingRefusal()
	case endReleased:
		return j.refusal(pond.ReasonSuperseded, "another reader took the generation")
	default:
		return j.refusal(pond.ReasonCanceled, "the caller is gone")
	}
}
