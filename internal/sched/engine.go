package sched

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

// Engine describes one engine of the pool.
type Engine struct {
	Name         string
	Version      string
	Adapters     []string
	MemoryTokens int
	MaxRunning   int
	// DataCentre is the data centre of the engine. Copies within one data centre are faster.
	DataCentre string
	// Accepting is false for an engine that must not get new requests.
	Accepting bool
}

// Report is the load that an engine reports about itself.
type Report struct {
	Running     int
	Waiting     int
	UsedTokens  int
	Preemptions int
	// Age is the age of the values when they are passed to the scheduler.
	Age time.Duration
}

const (
	// Reports older than this are ignored.
	maxReportAge = 2 * time.Second

	// Released tokens are counted in time buckets of this width, so that an old report can be compared with the
	// requests that ran at its time.
	releaseBucketWidth = 250 * time.Millisecond
	releaseBuckets     = int(maxReportAge / releaseBucketWidth)

	// An engine that reports new preemptions or a queue of its own gets no new requests for this long.
	pressurePause = 250 * time.Millisecond
)

// engine is a row of the engine table. Fields read by every decision come first, so that they share cache lines.
type engine struct {
	accepting bool
	// retired is true for an engine that is no longer listed. Its row is kept until its last request ends.
	retired       bool
	underPressure bool
	// slowBaseline is true for an engine whose baseline gap is above the pool's median by slowBaselineRatio.
	slowBaseline bool
	straggler    stragglerState
	// warming is true while coldness counts.
	warming bool

	reserved      int
	reservedLong  int
	margin        int // tokens kept free because the running requests may hold more than expected
	usable        int
	longLimit     int
	running       int
	runningLong   int
	prefillTokens int // prompt tokens of requests without a first token
	// prefillSince is the start of the current period of prefill, and prefilled the prompt tokens read in it.
	prefillSince time.Time
	prefilled    int
	// loadPerPrefillToken is the load of one prompt token in prefill; zero if it does not count.
	loadPerPrefillToken float64
	maxRunning          int
	maxLong             int
	// external is the reported memory that the requests of this scheduler do not account for.
	external int
	// reportedUsed is the used memory in the last report, and reportedAt the time at which it was measured.
	reportedUsed int
	reportedAt   time.Time
	// loadPerToken and loadPerRequest are the inverses of usable and maxRunning, because two divisions per engine took
	// 40 % of a decision.
	loadPerToken   float64
	loadPerRequest float64
	gapRatio       float64 // gap relative to the median; at least 1 once evaluated

	variance         float64
	marginDeviations float64 // margin in standard deviations

	version  string
	adapters []string
	memory   int
	used     int // tokens of the running requests, prompts and emitted output

	externalUntil time.Time
	pressureUntil time.Time
	preemptions   int
	reported      bool

	latency        latencyStats
	releasedTokens [releaseBuckets]int
	releasedBucket int64

	coldness coldness

	dataCentre string
	// leavingAt is the time at which the engine stopped accepting requests; zero while it accepts them.
	leavingAt time.Time
	// outgoing and incoming count the moves in progress from and to the engine.
	outgoing int
	incoming int
	// evacuation, nextMove and nextMoveRank are set by planMoves: which runs should leave, and which one goes next.
	evacuation   evacuation
	nextMove     table.Slot
	nextMoveRank moveRank
	// tokensToCopy is the memory of the runs that are lost unless they are copied.
	tokensToCopy int
}

func (e *engine) configure(spec Engine, policy Policy) {
	e.version, e.adapters = spec.Version, spec.Adapters
	if spec.Accepting {
		e.leavingAt = time.Time{}
	}
	e.accepting, e.retired, e.dataCentre = spec.Accepting, false, spec.DataCentre
	e.memory, e.maxRunning = spec.MemoryTokens, spec.MaxRunning
	e.usable = int(float64(e.memory) * (1 - policy.Headroom))
	e.longLimit = int(float64(e.usable) * (1 - policy.ShortShare))
	e.maxLong = max(int(float64(e.maxRunning)*(1-policy.ShortShare)), 1)
	e.marginDeviations = math.Sqrt2 * math.Erfinv(2*max(policy.LengthQuantile, 0.5)-1)
	e.loadPerToken = 1 / float64(max(e.usable, 1))
	e.loadPerRequest = 1 / float64(max(e.maxRunning, 1))
}

// serves reports whether the engine may run the request at all, regardless of its load.
func (e *engine) serves(name string, r *request) bool {
	return e.accepting && !e.retired &&
		(r.version == "" || r.version == e.version) &&
		(r.adapter == "" || slices.Contains(e.adapters, r.adapter)) &&
		(len(r.avoid) == 0 || !slices.Contains(r.avoid, name))
}

// load is the reserved share of memory or batch, whichever is greater, after adding a request of need tokens, plus the
// load of prompts in prefill.
func (e *engine) load(need int, now time.Time) float64 {
	memory := float64(e.reserved+e.margin+e.externalAt(now)+need) * e.loadPerToken
	batch := float64(e.running+1) * e.loadPerRequest
	return max(memory, batch) + e.prefillLoad()
}

// prefillLoad is the load of prompts in prefill. An engine prefills one prompt at a time, so an engine that has just
// joined would get all new requests at once if only its memory counted.
func (e *engine) prefillLoad() float64 { return float64(e.prefillTokens) * e.loadPerPrefillToken }

// minLoad is a lower bound of the load with a request that reserves at least minTokens.
func (e *engine) minLoad(minTokens int) float64 {
	memory, batch := float64(e.reserved+e.margin+minTokens)*e.loadPerToken, float64(e.running+1)*e.loadPerRequest
	return max(memory, batch) + e.prefillLoad()
}

func (e *engine) externalAt(now time.Time) int {
	if e.external > 0 && now.Before(e.externalUntil) {
		return e.external
	}
	return 0
}

// full reports whether the engine certainly has no room for a request that reserves at least minTokens. It is a cheap
// check that skips most engines of a full pool.
func (e *engine) full(long bool, minTokens int) bool {
	if long && (e.runningLong >= e.maxLong || e.running > 0 && e.reservedLong+e.margin+minTokens > e.longLimit) {
		return true
	}
	return e.running >= e.maxRunning || e.running > 0 && e.reserved+e.margin+minTokens > e.usable
}

// reservationFor returns what the request would reserve on this engine, and false if that does not fit now.
func (e *engine) reservationFor(r *request, admission Admission, now time.Time) (reservation, bool) {
	if e.running >= e.maxRunning {
		return reservation{}, false
	}
	long := r.queue == queueLong
	if long && e.runningLong >= e.maxLong {
		return reservation{}, false
	}
	if admission == AdmitCount {
		return reservation{}, true
	}
	limit, taken := e.usable, e.reserved
	if long {
		limit, taken = e.longLimit, e.reservedLong
	}
	external := e.externalAt(now)
	if r.promptTokens+minOutputTokens > limit {
		// A prompt above the limit is admitted only to an idle engine.
		return reservation{tokens: min(r.demand.tokens, e.usable)},
			e.running == 0 && external == 0 && r.promptTokens < e.memory
	}
	need := r.demand
	if need.tokens >= limit {
		need = reservation{tokens: limit}
	}
	if e.running == 0 && external == 0 {
		return need, true
	}
	if taken+e.margin+external+need.tokens > limit || max(e.reserved+e.margin, e.used)+external+need.tokens > e.usable {
		return reservation{}, false
	}
	margin := e.marginFor(e.variance + need.variance)
	fits := taken+margin+external+need.tokens <= limit && e.reserved+margin+external+need.tokens <= e.usable
	return need, fits
}

// marginFor returns the margin for a sum of reservations with this variance: the policy's quantile of the sum less its
// expectation.
func (e *engine) marginFor(variance float64) int {
	if variance <= 0 {
		return 0
	}
	return int(e.marginDeviations * math.Sqrt(variance))
}

// reserve adds a reservation, which may be negative, to the engine's totals.
func (e *engine) reserve(r *request, delta reservation) {
	e.reserved += delta.tokens
	e.variance += delta.variance
	if r.queue == queueLong {
		e.reservedLong += delta.tokens
	}
	e.margin = e.marginFor(e.variance)
}

func (e *engine) acquire(r *request, reserved reservation, now time.Time) {
	r.reserved = reserved
	if e.warming {
		e.coldness.take(now)
	}
	e.used += r.promptTokens + r.emitted
	if r.emitted == 0 {
		r.inPrefill = true
		if e.prefillTokens == 0 {
			e.prefillSince, e.prefilled = now, 0
		}
		e.prefillTokens += r.promptTokens
	}
	e.running++
	if r.queue == queueLong {
		e.runningLong++
	}
	e.reserve(r, reserved)
}

// endPrefill stops counting the request's prompt as in prefill. With the last prompt in prefill, it returns the prompt
// tokens that were read since the first one, and how long that took.
func (e *engine) endPrefill(r *request, now time.Time) (tokens int, took time.Duration) {
	if !r.inPrefill {
		return 0, 0
	}
	r.inPrefill = false
	e.prefillTokens -= r.promptTokens
	if r.emitted > 0 {
		e.prefilled += r.promptTokens
	}
	if e.prefillTokens > 0 {
		return 0, 0
	}
	return e.prefilled, now.Sub(e.prefillSince)
}

func (e *engine) release(r *request, now time.Time) {
	e.endPrefill(r, now)
	e.used -= r.promptTokens + r.emitted
	e.running--
	if r.queue == queueLong {
		e.runningLong--
	}
	if e.running == 0 {
		e.variance = r.reserved.variance // Rounding errors must not leave a margin on an idle engine.
	}
	e.reserve(r, reservation{tokens: -r.reserved.tokens, variance: -r.reserved.variance})
	e.advanceReleased(now)
	e.releasedTokens[e.releasedBucket%int64(releaseBuckets)] += r.promptTokens + r.emitted
}

func (e *engine) advanceReleased(now time.Time) {
	bucket := now.UnixNano() / int64(releaseBucketWidth)
	if bucket-e.releasedBucket >= int64(releaseBuckets) {
		e.releasedTokens = [releaseBuckets]int{}
		e.releasedBucket = bucket
		return
	}
	for e.releasedBucket < bucket {
		e.releasedBucket++
		e.releasedTokens[e.releasedBucket%int64(releaseBuckets)] = 0
	}
}

// releasedSince returns the tokens of requests that ended within age, rounded up to whole buckets.
func (e *engine) releasedSince(age time.Duration, now time.Time) int {
	e.advanceReleased(now)
	sum := 0
	for i := range min(int(age/releaseBucketWidth)+1, releaseBuckets) {
		sum += e.releasedTokens[(e.releasedBucket-int64(i))%int64(releaseBuckets)]
	}
	return sum
}

// report compares an engine's report with the requests known to this scheduler. Memory that neither running nor
// recently ended requests account for belongs to requests placed by another scheduler.
func (e *engine) report(report Report, now time.Time) {
	if report.Age >= maxReportAge {
		return
	}
	e.reportedUsed, e.reportedAt = report.UsedTokens, now.Add(-report.Age)
	accountedFor := e.used + e.releasedSince(report.Age, now)
	e.external = max(report.UsedTokens-accountedFor, 0)
	e.externalUntil = now.Add(maxReportAge - report.Age)
	if e.reported && report.Preemptions > e.preemptions || report.Waiting > 0 {
		e.underPressure, e.pressureUntil = true, now.Add(pressurePause)
	}
	e.preemptions, e.reported = report.Preemptions, true
}

// SetEngines replaces the list of engines. An engine that is missing from the list gets no new requests and is removed
// when its last request ends or has moved.
func (s *Scheduler) SetEngines(engines []Engine) {
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if s.engines.Used(slot) {
			s.engines.At(slot).retired = true
		}
	}
	s.maxMemory, s.minLongLimit = 0, math.MaxInt
	for _, spec := range engines {
		_, row := s.engines.Insert(spec.Name)
		row.configure(spec, s.policy)
		s.maxMemory = max(s.maxMemory, spec.MemoryTokens)
		s.minLongLimit = min(s.minLongLimit, row.longLimit)
	}
	s.removeRetired()
	s.updatePrefillLoad()
	s.dispatchDue = true
}

// idle reports whether the engine has no run, nor one that may come back because its move is declined.
func (e *engine) idle() bool { return e.running == 0 && e.outgoing == 0 }

func (s *Scheduler) removeRetired() {
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if s.engines.Used(slot) && s.engines.At(slot).retired && s.engines.At(slot).idle() {
			s.engines.Remove(s.engines.Key(slot))
		}
	}
}

// SetAccepting sets whether an engine may get new requests.
func (s *Scheduler) SetAccepting(name string, accepting bool) {
	if row, ok := s.engines.Get(name); ok && row.accepting != accepting {
		row.accepting = accepting
		s.dispatchDue = true
	}
}

// Report records a load report of an engine.
func (s *Scheduler) Report(name string, report Report, now time.Time) {
	if row, ok := s.engines.Get(name); ok {
		row.report(report, now)
		s.dispatchDue = true
	}
}
