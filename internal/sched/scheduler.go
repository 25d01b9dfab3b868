package sched

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	evaluateInterval = 100 * time.Millisecond
	refuseInterval   = 50 * time.Millisecond
	evictInterval    = time.Minute

	// maxWaiting bounds the memory of the queues. New requests are refused once this many wait.
	maxWaiting = 16_384
)

// Scheduler places the requests of one pool on its engines. It is not safe for concurrent use.
type Scheduler struct {
	policy Policy
	random *rand.Rand

	engines         *table.Table[string, engine]
	requests        *table.Table[string, request]
	accounts        *table.Table[string, account]
	lengthsByClass  [classCount]lengthSketch
	lengthsByPrompt [promptBuckets]lengthSketch
	prefixes        prefixTable
	queues          [queueCount]queue
	drain           drain
	medians         medians
	rates           rates
	usual           [queueCount]usualRequest
	waitRatios      [queueCount]waitRatio
	// runningPerEngine is the mean number of running requests of the engines that run any.
	runningPerEngine float64
	retryBudget      float64
	movesInProgress  int

	serial       uint64
	dispatchPass uint64
	maxMemory    int
	minLongLimit int // smallest longLimit of all engines
	hold         engineHold
	dispatchDue  bool
	warming      bool // an engine is cold or was so until recently
	pausedUntil  time.Time
	evaluateAt   time.Time
	refuseAt     time.Time
	offloadAt    time.Time
	agingAt      time.Time
	rebalanceAt  time.Time
	evictAt      time.Time

	decisions         []Decision
	repredictSlots    []table.Slot
	gapSamples        []time.Duration
	firstTokenSamples []time.Duration
	baselineSamples   []time.Duration
}

// New returns a scheduler without engines. The random source is used for the jitter of RetryAt.
func New(policy Policy, random *rand.Rand) *Scheduler {
	return &Scheduler{
		policy:      policy.without(policy.Disabled),
		random:      random,
		engines:     table.New[string, engine](0),
		requests:    table.New[string, request](0),
		accounts:    table.New[string, account](0),
		retryBudget: poolRetryBurst,
		prefixes:    make(prefixTable, prefixEntries),
		hold:        engineHold{engine: table.None, request: table.None},
	}
}

// SetPolicy replaces the policy. Engine limits follow it at the next SetEngines.
func (s *Scheduler) SetPolicy(policy Policy) { s.policy = policy.without(policy.Disabled) }

// Offer submits a new request. VerdictWait means that a later Tick returns the final decision. A known request gets its
// current decision again.
func (s *Scheduler) Offer(spec Request, now time.Time) Decision {
	if slot, ok := s.requests.Slot(spec.ID); ok {
		s.requests.At(slot).origin = spec.Origin
		return s.currentDecision(slot)
	}
	if reason, detail, ok := s.inadmissible(spec, now); ok {
		return refusal(spec.ID, spec.Origin, reason, time.Time{}, detail)
	}
	if spec.Deadline.IsZero() {
		spec.Deadline = now.Add(s.policy.DefaultDeadline)
	}
	account := s.account(spec.Account, spec.Weight, now)
	if !s.chargeRetryBudget(s.accounts.At(account), spec.Retry) {
		return refusal(spec.ID, spec.Origin, pond.ReasonOverloaded, s.jitteredRetryAt(now, minRetryDelay), detailRetries)
	}
	return s.admit(s.insert(spec, account, now), now)
}

// inadmissible returns why a request is refused whatever runs and waits.
func (s *Scheduler) inadmissible(spec Request, now time.Time) (reason pond.Reason, detail string, ok bool) {
	switch {
	case !spec.Deadline.IsZero() && !now.Before(spec.Deadline):
		return pond.ReasonDeadline, detailExpired, true
	case s.maxMemory > 0 && spec.PromptTokens >= s.maxMemory:
		return pond.ReasonTooLarge, detailTooLarge, true
	default:
		return 0, "", false
	}
}

func (s *Scheduler) insert(spec Request, account table.Slot, now time.Time) table.Slot {
	slot, r := s.requests.Insert(spec.ID)
	s.describe(r, spec, account, now)
	s.serial++
	r.serial = s.serial
	s.accounts.At(account).open++
	s.usual[r.queue].add(r, s.cost(r))
	return slot
}

// describe fills a request that has not run.
func (s *Scheduler) describe(r *request, spec Request, account table.Slot, now time.Time) {
	r.fill(spec)
	r.account, r.offeredAt = account, now.Add(-max(spec.Waited, 0))
	r.queue = s.classify(r)
	s.estimate(r)
	r.serviceTime = s.expectedService(r)
}

// judgement is what is to be done with a new request.
type judgement struct {
	verdict Verdict
	engine  table.Slot // with VerdictServe
	// The others are set with VerdictRefuse. RetryAfter, without jitter, counts only if retries is true.
	reason     pond.Reason
	retries    bool
	retryAfter time.Duration
	detail     string
}

// judge decides about a new request and changes nothing.
func (s *Scheduler) judge(r *request, now time.Time) judgement {
	if s.mayBypassQueue(r, now) {
		if engine, ok := s.chooseEngine(r, now); ok && s.withinMaxLoad(engine, r, now) {
			return judgement{verdict: VerdictServe, engine: engine}
		}
	}
	if r.maxLoad > 0 {
		return judgement{verdict: VerdictRefuse, reason: pond.ReasonOverloaded, detail: detailBusy}
	}
	if !s.servable(r) {
		return judgement{verdict: VerdictRefuse, reason: pond.ReasonNoBackend, retries: true, retryAfter: minRetryDelay, detail: detailNoEngine}
	}
	late := s.lateness(r, now)
	if now.Before(s.pausedUntil) {
		late = 0 // The drain rate is not known yet, so the predicted wait is meaningless.
	}
	if late > 0 || s.waiting() >= maxWaiting {
		return judgement{verdict: VerdictRefuse, reason: pond.ReasonOverloaded, retries: true, retryAfter: late, detail: detailOverloaded}
	}
	return judgement{verdict: VerdictWait}
}

func (s *Scheduler) admit(slot table.Slot, now time.Time) Decision {
	r := s.requests.At(slot)
	switch j := s.judge(r, now); j.verdict {
	case VerdictServe:
		return s.serve(slot, j.engine, now)
	case VerdictRefuse:
		retryAt := time.Time{}
		if j.retries {
			retryAt = s.jitteredRetryAt(now, j.retryAfter)
		}
		return s.refuse(slot, j.reason, retryAt, j.detail, now)
	default:
		s.enqueue(slot)
		s.dispatchDue = true // This request may fit even if those ahead of it do not.
		return Decision{ID: r.id, Origin: r.origin, Verdict: VerdictWait}
	}
}

// Pause stops dispatch until the given time; new requests are queued. A scheduler that takes over from another one is
// paused until it has been told which requests already run.
func (s *Scheduler) Pause(until time.Time) { s.pausedUntil = until }

// mayBypassQueue reports whether a new request may be dispatched without being queued.
func (s *Scheduler) mayBypassQueue(r *request, now time.Time) bool {
	if now.Before(s.pausedUntil) {
		return false
	}
	if r.queue == queueShort {
		return s.queues[queueShort].waiting == 0
	}
	return s.waiting() == 0
}

// Register adds a request that already runs on an engine, such as one that the pool's previous scheduler placed.
func (s *Scheduler) Register(spec Request, engineName string, emitted int, now time.Time) {
	engineSlot, ok := s.engines.Slot(engineName)
	if !ok {
		return
	}
	if slot, known := s.requests.Slot(spec.ID); known {
		if r := s.requests.At(slot); !r.waiting() {
			r.origin = spec.Origin
			return
		}
		s.Cancel(spec.ID, now)
	}
	slot := s.insert(spec, s.account(spec.Account, spec.Weight, now), now)
	r := s.requests.At(slot)
	r.emitted = max(emitted, 0)
	s.estimate(r)
	s.start(slot, engineSlot, r.demand, now)
}

// Progress records the tokens that a running request has emitted.
func (s *Scheduler) Progress(id string, progress Progress, now time.Time) {
	slot, ok := s.requests.Slot(id)
	if !ok || s.requests.At(slot).waiting() {
		return
	}
	r := s.requests.At(slot)
	e := s.engines.At(r.engine)
	if progress.Tokens > r.emitted {
		e.latency.lastToken = now
	}
	// From the start of a move the request is counted on its target, but the reports during the move and the first one
	// after it may cover tokens of the source.
	fromSource := r.moving || r.afterMove
	r.afterMove = r.moving
	switch {
	case fromSource:
	case e.latency.probe == slot:
		e.latency.observeProbe(progress, r.promptTokens, now)
	default:
		e.latency.observe(progress, r.promptTokens, now)
	}
	if progress.Tokens <= r.emitted {
		return
	}
	if r.emitted == 0 && !fromSource {
		e.latency.failures = 0
	}
	e.used += progress.Tokens - r.emitted
	s.drain.addTokens(r, progress.Tokens-r.emitted)
	r.emitted = progress.Tokens
	if tokens, took := e.endPrefill(r, now); tokens > 0 {
		s.rates.addPrefill(tokens, took)
	}
	if r.emitted >= r.repredictAt && !r.repredictDue {
		r.repredictDue = true
		s.repredictSlots = append(s.repredictSlots, slot)
	}
}

// Finish removes a running or waiting request and records how it ended.
func (s *Scheduler) Finish(id string, end End, now time.Time) {
	slot, ok := s.requests.Slot(id)
	if !ok {
		return
	}
	r := s.requests.At(slot)
	if r.waiting() {
		s.Cancel(id, now)
		return
	}
	e := s.engines.At(r.engine)
	if end.Tokens > r.emitted {
		e.used += end.Tokens - r.emitted
		s.drain.addTokens(r, end.Tokens-r.emitted)
		r.emitted = end.Tokens
	}
	if end.Complete && end.Tokens > 0 {
		s.learn(r, end.Tokens)
		s.drain.addOutput(r)
	}
	if end.BackendFailed && !e.leavingAt.IsZero() {
		s.rates.addLoss(now.Sub(e.leavingAt))
	}
	if end.BackendFailed && s.policy.StragglerRatio > 0 {
		e.recordFailure(r, now)
	}
	s.stop(slot, now)
	s.removeRequest(slot, now)
}

// Cancel removes a request without a decision.
func (s *Scheduler) Cancel(id string, now time.Time) {
	slot, ok := s.requests.Slot(id)
	if !ok {
		return
	}
	if s.requests.At(slot).heapIndex != notQueued {
		s.dequeue(slot)
	} else {
		s.stop(slot, now)
	}
	s.removeRequest(slot, now)
}

// Reject reverts VerdictServe because the engine turned out not to accept requests, and decides again.
func (s *Scheduler) Reject(id string, now time.Time) Decision {
	slot, ok := s.requests.Slot(id)
	if !ok || s.requests.At(slot).waiting() {
		return Decision{ID: id}
	}
	r := s.requests.At(slot)
	s.engines.At(r.engine).accepting = false
	s.stop(slot, now)
	r.engine, r.reserved = table.None, reservation{}
	if !now.Before(r.deadline) {
		return s.refuse(slot, pond.ReasonDeadline, time.Time{}, detailExpired, now)
	}
	return s.admit(slot, now)
}

// Tick runs all scheduling steps and returns their decisions. The slice is valid until the next call.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.decisions = s.decisions[:0]
	s.expire(now)
	s.evaluateEngines(now)
	s.repredict(now)
	s.planMoves(now)
	s.warmUp(now)
	s.dispatch(now)
	s.refuseInfeasible(now)
	return s.decisions
}

// off reports whether a mechanism is switched off.
func (s *Scheduler) off(m pond.Mechanism) bool { return s.policy.Disabled.Has(m) }

func (s *Scheduler) waiting() int { return s.queues[queueShort].waiting + s.queues[queueLong].waiting }

func (s *Scheduler) currentDecision(slot table.Slot) Decision {
	r := s.requests.At(slot)
	if r.waiting() {
		return Decision{ID: r.id, Origin: r.origin, Verdict: VerdictWait}
	}
	return Decision{ID: r.id, Origin: r.origin, Verdict: VerdictServe, Engine: s.engines.Key(r.engine)}
}

func (s *Scheduler) serve(slot, engineSlot table.Slot, now time.Time) Decision {
	r := s.requests.At(slot)
	e := s.engines.At(engineSlot)
	need, _ := e.reservationFor(r, s.policy.Admission, now)
	if e.straggler == stragglerProbing {
		e.latency.startProbe(slot, now)
	}
	s.charge(r, now)
	if r.heapIndex != notQueued {
		s.observeWait(r, now)
		s.dequeue(slot)
	}
	urgent := s.isUrgent(r, e)
	s.start(slot, engineSlot, need, now)
	s.prefixes.set(r.prefixHash, engineSlot)
	decision := s.currentDecision(slot)
	decision.Urgent = urgent
	return decision
}

func (s *Scheduler) start(slot, engineSlot table.Slot, reserved reservation, now time.Time) {
	r := s.requests.At(slot)
	e := s.engines.At(engineSlot)
	if e.running == 0 {
		e.latency.lastToken = now
	}
	r.engine = engineSlot
	if s.hold.request == slot {
		s.hold = engineHold{engine: table.None, request: table.None}
	}
	r.setRepredictAt()
	e.acquire(r, reserved, now)
	s.drain.addRunning(r, s.cost(r))
}

// stop releases the reservation of a running request on its engine.
func (s *Scheduler) stop(slot table.Slot, now time.Time) {
	r := s.requests.At(slot)
	e := s.engines.At(r.engine)
	if e.latency.probe == slot {
		e.latency.probe = table.None
	}
	e.release(r, now)
	s.drain.removeRunning(r)
	s.dispatchDue = true
}

func (s *Scheduler) removeRequest(slot table.Slot, now time.Time) {
	r := s.requests.At(slot)
	s.endMove(r)
	a := s.accounts.At(r.account)
	a.open--
	a.idleAt = now
	if s.hold.request == slot {
		s.hold = engineHold{engine: table.None, request: table.None}
	}
	s.requests.Remove(r.id)
}

// IsRunning reports whether the request runs, and whether it is known under this origin.
func (s *Scheduler) IsRunning(id string, origin uint64) (running, known bool) {
	r, ok := s.requests.Get(id)
	if !ok || r.origin != origin {
		return false, false
	}
	return !r.waiting(), true
}

// EngineOf returns the engine of a running request, and false if the request does not run.
func (s *Scheduler) EngineOf(id string) (engine string, running bool) {
	r, ok := s.requests.Get(id)
	if !ok || r.waiting() {
		return "", false
	}
	return s.engines.Key(r.engine), true
}

// Idle reports whether no request waits, so that a tick dispatches and refuses nothing.
func (s *Scheduler) Idle() bool { return s.waiting() == 0 }
