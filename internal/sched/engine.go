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
	// Place is the data centre; copies within one place are faster.
	Place string
	// Accepting is false for an engine that must get no new work.
	Accepting bool
}

// Report is an engine's own statement about its load.
type Report struct {
	Running     int
	Waiting     int
	UsedTokens  int
	Preemptions int
	// Age is the age of the figures when they are passed to the scheduler.
	Age time.Duration
}

const (
	// Reports older than this say nothing about the present load.
	maxReportAge = 2 * time.Second

	// Released tokens are remembered in slots of this width, so that an old report can be compared with what ran then.
	releaseSlotWidth = 250 * time.Millisecond
	releaseSlots     = int(maxReportAge / releaseSlotWidth)

	// readingTokens is the number of unread prompt tokens that weighs as much as a full memory. Engines read 10 to 14 tokens
	// in a millisecond, so it delays a first token by about 0.6 s, a third of its target.
	readingTokens = 6000

	// An engine that reports new preemptions or a queue of its own gets no new work for this long.
	pressurePause = 250 * time.Millisecond
)

// engine is a row of the engine table. The fields that every decision reads come first, so that they share cache lines.
type engine struct {
	accepting bool
	// retired is true for an engine that is no longer listed; its row stays until its last request ends.
	retired bool
	pressed bool
	// slowPace is true for an engine that is slower than most also when nothing disturbs it.
	slowPace bool
	trust    trust

	reserved     int
	reservedLong int
	margin       int // tokens kept for the sum to exceed its expectation
	usable       int
	longLimit    int
	running      int
	runningLong  int
	unread       int // tokens of prompts whose first token has not come
	maxRunning   int
	maxLong      int
	// external is the memory that the engine reports beyond the requests of this scheduler.
	external int
	// reportedUsed is the memory in the last report, and reportedAt the time of its figures.
	reportedUsed int
	reportedAt   time.Time
	// perToken and perRequest are the inverse limits, because two divisions for each engine took 40 % of a decision.
	perToken   float64
	perRequest float64
	factor     float64 // gap relative to the median; at least 1 once judged

	variance   float64
	deviations float64 // margin in standard deviations

	version  string
	adapters []string
	memory   int
	used     int

	externalUntil time.Time
	pressureUntil time.Time
	preemptions   int
	reported      bool

	speed          speed
	releasedTokens [releaseSlots]int
	releasedPeriod int64

	place string
	// leavingAt is the time from which the engine accepts no work; zero while it does.
	leavingAt time.Time
	// outgoing and incoming count the moves in progress from and to the engine.
	outgoing int
	incoming int
	// shed, next and nextRank belong to one planning of moves: what the engine is to lose, and the run that goes next.
	shed     shed
	next     table.Slot
	nextRank evacuee
	// toCopy is the memory, in tokens, of the runs that are lost unless they are copied.
	toCopy int
}

func (e *engine) configure(spec Engine, policy Policy) {
	e.version, e.adapters = spec.Version, spec.Adapters
	if spec.Accepting {
		e.leavingAt = time.Time{}
	}
	e.accepting, e.retired, e.place = spec.Accepting, false, spec.Place
	e.memory, e.maxRunning = spec.MemoryTokens, spec.MaxRunning
	e.usable = int(float64(e.memory) * (1 - policy.Headroom))
	e.longLimit = int(float64(e.usable) * (1 - policy.ShortShare))
	e.maxLong = max(int(float64(e.maxRunning)*(1-policy.ShortShare)), 1)
	e.deviations = math.Sqrt2 * math.Erfinv(2*max(policy.LengthQuantile, 0.5)-1)
	e.perToken = 1 / float64(max(e.usable, 1))
	e.perRequest = 1 / float64(max(e.maxRunning, 1))
}

// serves reports whether the engine may run the request at all, regardless of its load.
func (e *engine) serves(name string, r *request) bool {
	return e.accepting && !e.retired &&
		(r.version == "" || r.version == e.version) &&
		(r.adapter == "" || slices.Contains(e.adapters, r.adapter)) &&
		(len(r.avoid) == 0 || !slices.Contains(r.avoid, name))
}

// load is the reserved share of memory or batch, whichever is greater, with need more tokens and one more request.
func (e *engine) load(need int, now time.Time) float64 {
	memory := float64(e.reserved+e.margin+e.externalAt(now)+need) * e.perToken
	batch := float64(e.running+1) * e.perRequest
	return max(memory, batch) + e.readingLoad()
}

// readingLoad is the load by prompts that wait to be read. An engine reads one prompt after the other, so an engine that
// has just joined would get all new requests at once if only its memory counted.
func (e *engine) readingLoad() float64 { return float64(e.unread) / readingTokens }

// leastLoad is a lower bound of load with a request that holds at least so many tokens.
func (e *engine) leastLoad(least int) float64 {
	memory, batch := float64(e.reserved+e.margin+least)*e.perToken, float64(e.running+1)*e.perRequest
	return max(memory, batch) + e.readingLoad()
}

func (e *engine) externalAt(now time.Time) int {
	if e.external > 0 && now.Before(e.externalUntil) {
		return e.external
	}
	return 0
}

// full reports whether the engine certainly has no room for a request that holds at least so many tokens. It is cheap
// enough to skip most engines of a full pool.
func (e *engine) full(long bool, least int) bool {
	if long && (e.runningLong >= e.maxLong || e.running > 0 && e.reservedLong+e.margin+least > e.longLimit) {
		return true
	}
	return e.running >= e.maxRunning || e.running > 0 && e.reserved+e.margin+least > e.usable
}

// need returns what the request would hold on this engine, and false if that does not fit now.
func (e *engine) need(r *request, admission Admission, now time.Time) (claim, bool) {
	if e.running >= e.maxRunning {
		return claim{}, false
	}
	long := r.queue == queueLong
	if long && e.runningLong >= e.maxLong {
		return claim{}, false
	}
	if admission == AdmitCount {
		return claim{}, true
	}
	limit, taken := e.usable, e.reserved
	if long {
		limit, taken = e.longLimit, e.reservedLong
	}
	external := e.externalAt(now)
	if r.prompt+minOutputTokens > limit {
		// A prompt above the limit runs only on an otherwise idle engine.
		return claim{tokens: min(r.want.tokens, e.usable)}, e.running == 0 && external == 0 && r.prompt < e.memory
	}
	need := r.want
	if need.tokens >= limit {
		need = claim{tokens: limit}
	}
	if e.running == 0 && external == 0 {
		return need, true
	}
	if taken+e.margin+external+need.tokens > limit || max(e.reserved+e.margin, e.used)+external+need.tokens > e.usable {
		return claim{}, false
	}
	margin := e.marginFor(e.variance + need.variance)
	fits := taken+margin+external+need.tokens <= limit && e.reserved+margin+external+need.tokens <= e.usable
	return need, fits
}

// marginFor returns the tokens by which a sum with this variance exceeds its expectation at the policy's quantile.
func (e *engine) marginFor(variance float64) int {
	if variance <= 0 {
		return 0
	}
	return int(e.deviations * math.Sqrt(variance))
}

// hold adds a claim, which may be negative, to what the engine's requests hold.
func (e *engine) hold(r *request, c claim) {
	e.reserved += c.tokens
	e.variance += c.variance
	if r.queue == queueLong {
		e.reservedLong += c.tokens
	}
	e.margin = e.marginFor(e.variance)
}

func (e *engine) take(r *request, held claim) {
	r.held = held
	e.used += r.prompt + r.shown
	if r.shown == 0 {
		r.unread = true
		e.unread += r.prompt
	}
	e.running++
	if r.queue == queueLong {
		e.runningLong++
	}
	e.hold(r, held)
}

// read notes that the engine has read the request's prompt or will not.
func (e *engine) read(r *request) {
	if r.unread {
		r.unread = false
		e.unread -= r.prompt
	}
}

func (e *engine) release(r *request, now time.Time) {
	e.read(r)
	e.used -= r.prompt + r.shown
	e.running--
	if r.queue == queueLong {
		e.runningLong--
	}
	if e.running == 0 {
		e.variance = r.held.variance // Rounding must not leave a margin on an idle engine.
	}
	e.hold(r, claim{tokens: -r.held.tokens, variance: -r.held.variance})
	e.advanceReleased(now)
	e.releasedTokens[e.releasedPeriod%int64(releaseSlots)] += r.prompt + r.shown
}

func (e *engine) advanceReleased(now time.Time) {
	period := now.UnixNano() / int64(releaseSlotWidth)
	if period-e.releasedPeriod >= int64(releaseSlots) {
		e.releasedTokens = [releaseSlots]int{}
		e.releasedPeriod = period
		return
	}
	for e.releasedPeriod < period {
		e.releasedPeriod++
		e.releasedTokens[e.releasedPeriod%int64(releaseSlots)] = 0
	}
}

// releasedSince returns the tokens of requests that ended within age, rounded up to whole slots.
func (e *engine) releasedSince(age time.Duration, now time.Time) int {
	e.advanceReleased(now)
	sum := 0
	for i := range min(int(age/releaseSlotWidth)+1, releaseSlots) {
		sum += e.releasedTokens[(e.releasedPeriod-int64(i))%int64(releaseSlots)]
	}
	return sum
}

// report compares the engine's statement with the requests that this scheduler knows. Memory that neither running nor
// recently ended requests explain belongs to requests of another home.
func (e *engine) report(report Report, now time.Time) {
	if report.Age >= maxReportAge {
		return
	}
	e.reportedUsed, e.reportedAt = report.UsedTokens, now.Add(-report.Age)
	explained := e.used + e.releasedSince(report.Age, now)
	e.external = max(report.UsedTokens-explained, 0)
	e.externalUntil = now.Add(maxReportAge - report.Age)
	if e.reported && report.Preemptions > e.preemptions || report.Waiting > 0 {
		e.pressed, e.pressureUntil = true, now.Add(pressurePause)
	}
	e.preemptions, e.reported = report.Preemptions, true
}

// SetEngines replaces the list of engines. An engine that is missing from the list gets no new work and is forgotten
// when its last request ends.
func (s *Scheduler) SetEngines(engines []Engine) {
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if s.engines.Used(slot) {
			s.engines.At(slot).retired = true
		}
	}
	s.maxMemory, s.leastLimit = 0, math.MaxInt
	for _, spec := range engines {
		_, row := s.engines.Insert(spec.Name)
		row.configure(spec, s.policy)
		s.maxMemory = max(s.maxMemory, spec.MemoryTokens)
		s.leastLimit = min(s.leastLimit, row.longLimit)
	}
	s.dropRetired()
	s.dispatchDue = true
}

func (s *Scheduler) dropRetired() {
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if s.engines.Used(slot) && s.engines.At(slot).retired && s.engines.At(slot).running == 0 {
			s.engines.Remove(s.engines.Key(slot))
		}
	}
}

// SetAccepting tells whether an engine may get new work.
func (s *Scheduler) SetAccepting(name string, accepting bool) {
	if row, ok := s.engines.Get(name); ok && row.accepting != accepting {
		row.accepting = accepting
		s.dispatchDue = true
	}
}

// Report passes on an engine's load report.
func (s *Scheduler) Report(name string, report Report, now time.Time) {
	if row, ok := s.engines.Get(name); ok {
		row.report(report, now)
		s.dispatchDue = true
	}
}
