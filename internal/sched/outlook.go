package sched

import (
	"math"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Kind tells short from long requests.
type Kind int

// Kinds of requests, by the queue in which they wait.
const (
	KindShort Kind = Kind(queueShort)
	KindLong  Kind = Kind(queueLong)
	KindCount Kind = Kind(queueCount)
)

const (
	// offloadInterval is the time between two searches for waiting requests that should run in another region.
	offloadInterval = 50 * time.Millisecond

	// maxOffloads bounds the waiting requests that one search sends to other regions.
	maxOffloads = 32

	// assumedCost is the memory of a request, in tokens, that is assumed before any has come.
	assumedCost = 2000

	// The ratio of actual to predicted waits is averaged over about waitSamples requests that were queued. Each counts as
	// if it had waited for assumedWait longer, so that short waits say little, and the ratio is bounded by maxWaitRatio.
	waitSamples  = 64
	assumedWait  = 100 * time.Millisecond
	maxWaitRatio = 4.0

	// usualSamples is the number of requests over which the usual size is averaged.
	usualSamples = 64
)

// usualRequest is the mean size of the requests of one kind; its cost is zero before any has come.
type usualRequest struct {
	cost     float64 // memory in tokens
	variance float64
	prompt   float64
}

func (u *usualRequest) add(r *request, cost float64) {
	if u.cost == 0 {
		*u = usualRequest{cost: cost, variance: r.demand.variance, prompt: float64(r.promptTokens)}
		return
	}
	u.cost += (cost - u.cost) / usualSamples
	u.variance += (r.demand.variance - u.variance) / usualSamples
	u.prompt += (float64(r.promptTokens) - u.prompt) / usualSamples
}

// waitRatio is the ratio of the waits that requests had to those that were predicted for them.
type waitRatio struct {
	actual    time.Duration // decayed sums
	predicted time.Duration
	startedAt time.Time // when a request that waited started last
}

func (w *waitRatio) add(actual, predicted time.Duration) {
	const decay = 1 - 1.0/waitSamples
	w.actual = time.Duration(float64(w.actual)*decay) + actual
	w.predicted = time.Duration(float64(w.predicted)*decay) + predicted
}

// correct corrects a predicted wait.
func (w *waitRatio) correct(predicted time.Duration) time.Duration {
	ratio := float64(w.actual+waitSamples*assumedWait) / float64(w.predicted+waitSamples*assumedWait)
	return time.Duration(float64(predicted) * min(max(ratio, 1/maxWaitRatio), maxWaitRatio))
}

// observeWait records the wait of a queued request that starts.
func (s *Scheduler) observeWait(r *request, now time.Time) {
	s.waitRatios[r.queue].startedAt = now
	if !r.expectedStart.IsZero() {
		s.waitRatios[r.queue].add(now.Sub(r.queuedAt), r.rawWait)
	}
}

// Outlook is what a pool can be expected to do for new requests of one kind.
type Outlook struct {
	// Served is false if no engine accepts work, or if the scheduler does not know yet what runs on them.
	Served bool
	// Wait is the predicted wait of a request of usual size for an engine, and Backlog the time until that engine has read
	// the prompts that it has got before.
	Wait    time.Duration
	Backlog time.Duration
	// Free is the memory, in tokens, that whole requests of usual size would fill now, and Waiting the memory for which
	// requests wait.
	Free    float64
	Waiting float64
	// Drain is the memory that running requests release per second; zero if it is not known.
	Drain float64
	// PromptRate is the number of prompt tokens that one engine reads per second, and Engines the number of engines.
	PromptRate float64
	Engines    int
	// UsualCost is the usual memory of a request, in tokens.
	UsualCost float64
}

// Delay is the predicted time until an engine begins to read the prompt.
func (o Outlook) Delay() time.Duration {
	if !o.Served {
		return maxPredictedWait
	}
	return o.Wait + o.Backlog
}

// Candidate is a request that has not run and may run in another region.
type Candidate struct {
	Kind Kind
	// New is true for a request that is offered, and false for one that waits.
	New     bool
	Regions pond.Regions
	Target  time.Duration
	// Prompt, Output and Cost are the prompt, the predicted output and the memory, in tokens.
	Prompt int
	Output int
	Cost   float64
	// Wait is the predicted wait from now on, and First the predicted time until the first event. Unserved is true if no
	// engine accepts work.
	Wait     time.Duration
	First    time.Duration
	Unserved bool
}

// Chooser decides whether a request goes to another region. There is the predicted time until the first event in it.
type Chooser func(c Candidate, now time.Time) (region string, there time.Duration, ok bool)

// Outlook returns what new requests of one kind can expect.
func (s *Scheduler) Outlook(kind Kind, now time.Time) Outlook {
	usual := s.usualSize(kind)
	probe := request{
		queue: queueKind(kind), engine: table.None, heapIndex: notQueued, promptTokens: int(usual.prompt),
		demand: reservation{tokens: int(usual.cost), variance: usual.variance},
	}
	room := s.room(&probe, usual.cost, now)
	o := Outlook{
		Served: room.engines > 0 && !now.Before(s.pausedUntil), Free: room.free, Backlog: room.backlog, Waiting: s.waitingTokens(queueKind(kind)),
		Drain:      s.drain.rate(queueKind(kind), room.free, s.tokenGap()),
		PromptRate: s.rates.prefillPerSecond(), Engines: room.engines, UsualCost: usual.cost,
	}
	o.Wait = s.waitRatios[kind].correct(waitFor(o.Waiting+usual.cost-o.Free, o.Drain))
	return o
}

// usualSize returns the usual size of the requests of one kind, or that of the other kind before any has come.
func (s *Scheduler) usualSize(kind Kind) usualRequest {
	for _, usual := range [...]usualRequest{s.usual[kind], s.usual[1-kind]} {
		if usual.cost > 0 {
			return usual
		}
	}
	return usualRequest{cost: assumedCost, prompt: assumedCost / 2}
}

// mayLeave reports whether a new request may be sent to another region.
func (s *Scheduler) mayLeave(spec Request, now time.Time) bool {
	return !spec.Stays && spec.MaxLoad <= 0 && !now.Before(s.pausedUntil) && now.Before(spec.Deadline) &&
		(s.maxMemory <= 0 || spec.PromptTokens < s.maxMemory)
}

// OfferOr is Offer, except that a new request goes to another region if choose says so.
func (s *Scheduler) OfferOr(spec Request, choose Chooser, now time.Time) Decision {
	if _, known := s.requests.Slot(spec.ID); known || choose == nil || !s.mayLeave(spec, now) {
		return s.Offer(spec, now)
	}
	var r request
	s.describe(&r, spec, s.account(spec.Account, spec.Weight, now), now)
	region, there, here, ok := s.choose(&r, choose, now)
	if ok {
		s.usual[r.queue].add(&r, s.cost(&r))
		return Decision{ID: spec.ID, Origin: spec.Origin, Verdict: VerdictSend, Region: region, Here: here, There: there}
	}
	decision := s.Offer(spec, now)
	if decision.Verdict == VerdictWait {
		if queued, known := s.requests.Get(spec.ID); known {
			queued.expectedStart, queued.rawWait = r.expectedStart, r.rawWait
			queued.queuedAt = now
		}
	}
	return decision
}

// Offload sends waiting requests to other regions for as long as choose says so, long ones first, and returns the
// decisions. Of each account it sends the request that is due last: that one waits longest, and those before it keep
// their places. The slice is valid until the next call of Offload or Tick.
func (s *Scheduler) Offload(choose Chooser, now time.Time) []Decision {
	s.decisions = s.decisions[:0]
	if choose == nil || now.Before(s.offloadAt) || now.Before(s.pausedUntil) {
		return nil
	}
	s.offloadAt = now.Add(offloadInterval)
	s.offloadQueue(queueLong, choose, now)
	s.offloadQueue(queueShort, choose, now)
	return s.decisions
}

func (s *Scheduler) offloadQueue(kind queueKind, choose Chooser, now time.Time) {
	q := &s.queues[kind]
	for i := len(q.flows) - 1; i >= 0; i-- {
		account := q.flows[i]
		for len(s.decisions) < maxOffloads {
			f := &s.accounts.At(account).flows[kind]
			slot := s.lastOf(f)
			if slot == table.None {
				break
			}
			r := s.requests.At(slot)
			region, there, here, ok := s.choose(r, choose, now)
			if !ok {
				break
			}
			s.decisions = append(s.decisions, Decision{
				ID: r.id, Origin: r.origin, Verdict: VerdictSend, Region: region, Here: here, There: there,
			})
			s.dequeue(slot)
			s.removeRequest(slot, now)
		}
	}
}

// lastOf returns the request of a flow that is due last among those that may leave, or table.None. Only the last few
// entries of the heap are searched, because a pass runs over all flows: they are its leaves, so they are due late.
func (s *Scheduler) lastOf(f *flow) table.Slot {
	const searched = 8
	last := table.None
	for i := len(f.waiting) - 1; i >= max(len(f.waiting)-searched, 0); i-- {
		slot := f.waiting[i]
		if !s.requests.At(slot).stays && (last == table.None || s.dueBefore(last, slot)) {
			last = slot
		}
	}
	return last
}

// choose predicts the first event of a request that does not run and asks choose about it.
//
// If no request of a queue starts for a while after one of them was predicted to, that one is expected to wait for as long
// again: the drain rate is overestimated until outputs of the present load have ended.
func (s *Scheduler) choose(r *request, choose Chooser, now time.Time) (region string, there, here time.Duration, ok bool) {
	cost := s.cost(r)
	room := s.room(r, cost, now)
	c := Candidate{
		Kind: Kind(r.queue), New: r.heapIndex == notQueued, Regions: r.regions, Target: r.target, Prompt: r.promptTokens, Output: r.predictedOutput,
		Cost: cost, Wait: maxPredictedWait, First: maxPredictedWait, Unserved: room.engines == 0,
	}
	if room.engines > 0 {
		// Under fair queueing, the requests of an account with little work start earlier than those of others. An account
		// with much work expects its requests to start in the order of arrival at best.
		ahead := s.waitingTokens(r.queue)
		if r.heapIndex == notQueued {
			ahead += cost
		}
		raw := waitFor(min(ahead, s.workAhead(r, now))-room.free, s.drain.rate(r.queue, room.free, s.tokenGap()))
		c.Wait = s.waitRatios[r.queue].correct(raw)
		if !r.expectedStart.IsZero() {
			overdue := now.Sub(r.expectedStart)
			if started := s.waitRatios[r.queue].startedAt; started.After(r.expectedStart) {
				overdue = now.Sub(started)
			}
			c.Wait = max(c.Wait, overdue)
		} else if c.New {
			r.rawWait, r.expectedStart = raw, now.Add(c.Wait)
		}
		c.First = c.Wait + room.prefill
	}
	region, there, ok = choose(c, now)
	return region, there, c.First, ok
}

// waitingTokens returns the memory for which requests wait that go before a new one of this kind.
func (s *Scheduler) waitingTokens(kind queueKind) float64 {
	sum := 0.0
	for _, account := range s.queues[queueShort].flows {
		sum += s.accounts.At(account).flows[queueShort].tokens
	}
	if kind == queueShort {
		return sum
	}
	for _, account := range s.queues[queueLong].flows {
		sum += s.accounts.At(account).flows[queueLong].tokens
	}
	return sum
}

// room is what the engines of a pool have for one request.
type room struct {
	engines int     // engines that can serve it
	free    float64 // tokens that requests of its size can fill, counted in whole requests for each engine
	// backlog is the time until the least loaded engine has read the prompts that it has got, and prefill until it has also
	// read that of the request.
	backlog, prefill time.Duration
}

// prefillWork is work in prompt tokens, before a request and with it.
type prefillWork struct{ before, total float64 }

func (e *engine) prefillWorkFor(r *request) prefillWork {
	before := float64(e.prefillTokens) * max(e.gapRatio, 1)
	return prefillWork{before: before, total: before + float64(r.promptTokens)*max(e.gapRatio, 1)}
}

// room returns what the engines have for a request that needs cost tokens.
//
// The free memory of an engine counts in whole requests, and only if one fits with the margin for its variance: with seven
// requests to an engine, the remainders of 22 engines look like room for 11 requests that fit nowhere.
func (s *Scheduler) room(r *request, cost float64, now time.Time) room {
	var sum room
	perSecond, mean := s.rates.prefillPerSecond(), s.drain.meanCost(cost)
	var least, leastFitting prefillWork
	least.total, leastFitting.total = math.MaxFloat64, math.MaxFloat64
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		if e.straggler != stragglerNone || !e.serves(s.engines.Key(slot), r) || e.maxRunning == 0 {
			continue
		}
		sum.engines++
		tokens, batch := e.usable-e.reserved-e.margin, e.maxRunning-e.running
		if r.queue == queueLong {
			tokens, batch = min(tokens, e.longLimit-e.reservedLong-e.margin), min(batch, e.maxLong-e.runningLong)
		}
		free := 0.0
		if _, fits := e.reservationFor(r, s.policy.Admission, now); fits {
			// At least this one fits, however large; an idle engine takes any.
			free = min(float64(tokens-e.externalAt(now)), float64(batch)*mean)
			free = max(math.Floor(free/cost), 1) * cost
		}
		prefill := e.prefillWorkFor(r)
		if prefill.total < least.total {
			least = prefill
		}
		if free > 0 {
			sum.free += free
			if prefill.total < leastFitting.total {
				leastFitting = prefill
			}
		}
	}
	if sum.free > 0 {
		least = leastFitting
	}
	if sum.engines > 0 {
		sum.backlog = time.Duration(least.before / perSecond * float64(time.Second))
		sum.prefill = time.Duration(least.total / perSecond * float64(time.Second))
	}
	return sum
}

// waitFor returns the time in which running requests release the missing tokens.
func waitFor(missing, perSecond float64) time.Duration {
	if missing <= 0 || perSecond <= 0 {
		return 0
	}
	return time.Duration(min(missing/perSecond, maxPredictedWait.Seconds()) * float64(time.Second))
}

// Size returns the kind of a request and its memory in tokens, and false if the request is not known.
func (s *Scheduler) Size(id string) (kind Kind, cost float64, ok bool) {
	r, ok := s.requests.Get(id)
	if !ok {
		return 0, 0, false
	}
	return Kind(r.queue), s.cost(r), true
}
