package sched

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	observeInterval = 100 * time.Millisecond
	refuseInterval  = 50 * time.Millisecond
	forgetInterval  = time.Minute

	// maxWaiting bounds the memory of the queues; beyond it, new requests are refused.
	maxWaiting = 16_384
)

// Scheduler decides for one pool. It is not safe for concurrent use.
type Scheduler struct {
	policy Policy
	random *rand.Rand

	engines  *table.Table[string, engine]
	requests *table.Table[string, request]
	accounts *table.Table[string, account]
	lengths  [classCount]lengths
	prompts  [promptSizes]lengths
	prefixes prefixTable
	queues   [queueCount]queue
	drain    drain
	medians  medians
	retries  float64
	moves    int // moves in progress

	serial      uint64
	pass        uint64
	maxMemory   int
	leastLimit  int // least limit of long work over all engines
	hold        hold
	dispatchDue bool
	pausedUntil time.Time
	observeAt   time.Time
	refuseAt    time.Time
	agingAt     time.Time
	unburdenAt  time.Time
	forgetAt    time.Time

	decisions []Decision
	grown     []table.Slot
	gaps      []time.Duration
	firsts    []time.Duration
	paces     []time.Duration
}

// New returns a scheduler without engines. The random source serves the jitter of RetryAt.
func New(policy Policy, random *rand.Rand) *Scheduler {
	return &Scheduler{
		policy:   policy,
		random:   random,
		engines:  table.New[string, engine](0),
		requests: table.New[string, request](0),
		accounts: table.New[string, account](0),
		retries:  poolRetryBurst,
		prefixes: make(prefixTable, prefixEntries),
		hold:     hold{engine: table.None, request: table.None},
	}
}

// SetPolicy replaces the policy. The new limits apply to engines with the next SetEngines.
func (s *Scheduler) SetPolicy(policy Policy) { s.policy = policy }

// Offer decides about a new request. VerdictWait means that a later Tick returns the final decision. A request that is
// known already gets its present decision again.
func (s *Scheduler) Offer(spec Request, now time.Time) Decision {
	if slot, ok := s.requests.Slot(spec.ID); ok {
		s.requests.At(slot).origin = spec.Origin
		return s.present(slot)
	}
	if !spec.Deadline.IsZero() && !now.Before(spec.Deadline) {
		return refusal(spec.ID, spec.Origin, pond.ReasonDeadline, time.Time{}, detailExpired)
	}
	if spec.Deadline.IsZero() {
		spec.Deadline = now.Add(s.policy.DefaultDeadline)
	}
	if s.maxMemory > 0 && spec.PromptTokens >= s.maxMemory {
		return refusal(spec.ID, spec.Origin, pond.ReasonTooLarge, time.Time{}, detailTooLarge)
	}
	account := s.account(spec.Account, spec.Weight, now)
	if !s.mayRetry(s.accounts.At(account), spec.Retry) {
		return refusal(spec.ID, spec.Origin, pond.ReasonOverloaded, s.jitter(now, minRetry), detailRetries)
	}
	return s.admit(s.insert(spec, account, now), now)
}

func (s *Scheduler) insert(spec Request, account table.Slot, now time.Time) table.Slot {
	slot, r := s.requests.Insert(spec.ID)
	r.fill(spec)
	r.account, r.offeredAt = account, now
	s.serial++
	r.serial = s.serial
	s.accounts.At(account).open++
	r.queue = s.classify(r)
	s.estimate(r)
	r.service = s.expectedService(r)
	return slot
}

func (s *Scheduler) admit(slot table.Slot, now time.Time) Decision {
	r := s.requests.At(slot)
	if s.mayPass(r, now) {
		if engine, ok := s.choose(r, now); ok {
			return s.serve(slot, engine, now)
		}
	}
	if !s.servable(r) {
		return s.refuse(slot, pond.ReasonNoBackend, s.jitter(now, minRetry), detailNoEngine, now)
	}
	late := s.lateness(r, now)
	if now.Before(s.pausedUntil) {
		late = 0 // How fast the engines drain is not known yet, so a predicted wait says nothing.
	}
	if late > 0 || s.waiting() >= maxWaiting {
		return s.refuse(slot, pond.ReasonOverloaded, s.jitter(now, late), detailOverloaded, now)
	}
	s.enqueue(slot)
	s.dispatchDue = true // A request that waits ahead may fit nowhere while this one does.
	return Decision{ID: r.id, Origin: r.origin, Verdict: VerdictWait}
}

// Pause lets new requests wait until a time. A scheduler that takes over from another one is paused until it has been
// told what runs already.
func (s *Scheduler) Pause(until time.Time) { s.pausedUntil = until }

// mayPass reports whether a new request may be served before those that wait.
func (s *Scheduler) mayPass(r *request, now time.Time) bool {
	if now.Before(s.pausedUntil) {
		return false
	}
	if r.queue == queueShort {
		return s.queues[queueShort].waiting == 0
	}
	return s.waiting() == 0
}

// Register adds a request that already runs on an engine, such as one that another home placed.
func (s *Scheduler) Register(spec Request, engineName string, shown int, now time.Time) {
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
	r.shown = max(shown, 0)
	s.estimate(r)
	s.start(slot, engineSlot, r.want, now)
}

// Progress passes on what a running request has shown.
func (s *Scheduler) Progress(id string, progress Progress, now time.Time) {
	slot, ok := s.requests.Slot(id)
	if !ok || s.requests.At(slot).waiting() {
		return
	}
	r := s.requests.At(slot)
	e := s.engines.At(r.engine)
	if progress.Tokens > r.shown {
		e.speed.lastToken = now
	}
	// A run is counted on its target from the start of a move, so the report that ends it may hold tokens of its source.
	ofSource := r.moving || r.afterMove
	r.afterMove = r.moving
	switch {
	case ofSource:
	case e.speed.probe == slot:
		e.speed.observeProbe(progress, r.prompt, now)
	default:
		e.speed.observe(progress, r.prompt, now)
	}
	if progress.Tokens <= r.shown {
		return
	}
	e.read(r)
	e.used += progress.Tokens - r.shown
	s.drain.shown(r, progress.Tokens-r.shown)
	r.shown = progress.Tokens
	if r.shown >= r.regrowAt && !r.growing {
		r.growing = true
		s.grown = append(s.grown, slot)
	}
}

// Finish ends a request that ran or waited.
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
	if end.Tokens > r.shown {
		e.used += end.Tokens - r.shown
		s.drain.shown(r, end.Tokens-r.shown)
		r.shown = end.Tokens
	}
	if end.Complete && end.Tokens > 0 {
		s.learn(r, end.Tokens)
		s.drain.finished(r)
	}
	if end.BackendFailed && s.policy.StragglerRatio > 0 {
		e.avoid(now)
	}
	s.stop(slot, now)
	s.forget(slot, now)
}

// Cancel forgets a request without a decision.
func (s *Scheduler) Cancel(id string, now time.Time) {
	slot, ok := s.requests.Slot(id)
	if !ok {
		return
	}
	if s.requests.At(slot).position != notQueued {
		s.dequeue(slot)
	} else {
		s.stop(slot, now)
	}
	s.forget(slot, now)
}

// Reject takes back a decision to serve because the engine turned out not to accept work, and decides again.
func (s *Scheduler) Reject(id string, now time.Time) Decision {
	slot, ok := s.requests.Slot(id)
	if !ok || s.requests.At(slot).waiting() {
		return Decision{ID: id}
	}
	r := s.requests.At(slot)
	s.engines.At(r.engine).accepting = false
	s.stop(slot, now)
	r.engine, r.held = table.None, claim{}
	if !now.Before(r.deadline) {
		return s.refuse(slot, pond.ReasonDeadline, time.Time{}, detailExpired, now)
	}
	return s.admit(slot, now)
}

// Tick runs all systems and returns the final decisions that they took. The slice is valid until the next call.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.decisions = s.decisions[:0]
	s.expire(now)
	s.observe(now)
	s.grow(now)
	s.planMoves(now)
	s.dispatch(now)
	s.refuseHopeless(now)
	return s.decisions
}

func (s *Scheduler) waiting() int { return s.queues[queueShort].waiting + s.queues[queueLong].waiting }

func (s *Scheduler) present(slot table.Slot) Decision {
	r := s.requests.At(slot)
	if r.waiting() {
		return Decision{ID: r.id, Origin: r.origin, Verdict: VerdictWait}
	}
	return Decision{ID: r.id, Origin: r.origin, Verdict: VerdictServe, Engine: s.engines.Key(r.engine)}
}

func (s *Scheduler) serve(slot, engineSlot table.Slot, now time.Time) Decision {
	r := s.requests.At(slot)
	e := s.engines.At(engineSlot)
	need, _ := e.need(r, s.policy.Admission, now)
	if e.trust == trustProbing {
		e.speed.startProbe(slot, now)
	}
	s.charge(r, now)
	if r.position != notQueued {
		s.dequeue(slot)
	}
	s.start(slot, engineSlot, need, now)
	s.prefixes.set(r.prefix, engineSlot)
	return s.present(slot)
}

func (s *Scheduler) start(slot, engineSlot table.Slot, held claim, now time.Time) {
	r := s.requests.At(slot)
	e := s.engines.At(engineSlot)
	if e.running == 0 {
		e.speed.lastToken = now
	}
	r.engine = engineSlot
	if s.hold.request == slot {
		s.hold = hold{engine: table.None, request: table.None}
	}
	r.setRegrow()
	e.take(r, held)
	s.drain.started(r, s.cost(r))
}

// stop releases what a running request holds on its engine.
func (s *Scheduler) stop(slot table.Slot, now time.Time) {
	r := s.requests.At(slot)
	e := s.engines.At(r.engine)
	if e.speed.probe == slot {
		e.speed.probe = table.None
	}
	e.release(r, now)
	s.drain.ended(r)
	s.dispatchDue = true
}

func (s *Scheduler) forget(slot table.Slot, now time.Time) {
	r := s.requests.At(slot)
	s.endMove(r)
	a := s.accounts.At(r.account)
	a.open--
	a.idleAt = now
	if s.hold.request == slot {
		s.hold = hold{engine: table.None, request: table.None}
	}
	s.requests.Remove(r.id)
}

// Owner reports whether the scheduler knows a request of an origin, and whether it runs.
func (s *Scheduler) Owner(id string, origin uint64) (running, known bool) {
	r, ok := s.requests.Get(id)
	if !ok || r.origin != origin {
		return false, false
	}
	return !r.waiting(), true
}

// Idle reports whether no request waits, so that a tick decides nothing.
func (s *Scheduler) Idle() bool { return s.waiting() == 0 }
