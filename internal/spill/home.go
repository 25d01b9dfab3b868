package spill

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/sched"
)

const (
	// askInterval is the time between two questions while the pool is under pressure, and calmInterval otherwise. In calm
	// times a question keeps the connection open and measures the round trip of an unloaded link.
	askInterval  = 250 * time.Millisecond
	calmInterval = 5 * time.Second

	// pressureDuration is the time for which a pool counts as under pressure after a request that is predicted to be late.
	pressureDuration = 2 * time.Second

	// MaxSilence is the time without an answer after which nothing is sent to a region.
	MaxSilence = time.Second

	// needHorizon is the time for whose own arrivals a home keeps memory: the interval of the exchange, a round trip and
	// some of the time until the next answer arrives.
	needHorizon = 500 * time.Millisecond

	// grantHorizon is the time whose released memory a grant may hold at most.
	grantHorizon = time.Second

	// arrivalWindow is the time constant of the average rate of own arrivals.
	arrivalWindow = 2 * time.Second

	// sentSlack is the time by which a request may be sent before a question and arrive after it, because it passes through
	// the instance that holds it.
	sentSlack = 50 * time.Millisecond

	// pressureShare is the share of the latency target from which a predicted first event counts as pressure.
	pressureShare = 0.1

	// marginShare is the share of the latency target by which the prediction here must exceed the one there and the round
	// trip. With the round trip of 60 ms, both sides are even within a tenth of a target of 1.2 s or more.
	marginShare = 0.05

	// ageShare is the share by which the margin grows for each second of the age of the figures.
	ageShare = 0.5

	// lateMarginShare is added to the margin for each second by which a first event is late anyway. With waits of 7 s on both
	// sides, the drain rates that the homes measure differ by a tenth from one moment to the next, and 20 % of the requests
	// were sent in both directions for nothing.
	lateMarginShare = 0.25

	// maxDelayShare is the share of the latency target within which an engine there must be predicted to begin to read the
	// prompt, so that an overload of one region does not make the callers of both late. See docs/design/spillover.md for
	// the figures.
	maxDelayShare = 0.1

	// shortLateShare is the share of the latency target above which a short request is sent. Short requests are the more
	// urgent ones, and a round trip counts more for them.
	shortLateShare = 0.75

	// minPatience and maxPatience bound the time for which a request waits in another region. A first request needs a
	// connection to the home there, which takes three round trips.
	minPatience = 600 * time.Millisecond
	maxPatience = 10 * time.Second

	// assumedTarget is the latency target of requests that name none.
	assumedTarget = 2 * time.Second
)

// Patience returns the time for which a request waits in another region before it returns, from the predicted time until
// its first event in its own one. Predictions are off by up to half: without that, one in three requests returned while
// both regions were overloaded.
func Patience(here time.Duration) time.Duration {
	return min(max(here*3/2, minPatience), maxPatience)
}

// Figures is what a home tells about the new requests of one kind in its pool.
type Figures struct {
	// Delay is the predicted time until an engine begins to read the prompt of a request.
	Delay time.Duration
	// Spare is the free memory beyond the own need, in tokens, and Drain the memory released per second.
	Spare float64
	Drain float64
	// GrantedTokens and GrantedRequests are what the asking home may send. They are zero in a question.
	GrantedTokens   float64
	GrantedRequests int
}

// Question asks another region's home what it can take.
type Question struct {
	// Region is that of the asking home.
	Region string
	// RoundTrip is the round trip between the two, as the asking home has measured it.
	RoundTrip time.Duration
	Kinds     [sched.KindCount]Figures
}

// Answer is the answer to a Question.
type Answer struct {
	Kinds [sched.KindCount]Figures
	// PromptRate is the number of prompt tokens that one engine reads per second, and Engines the number of engines.
	PromptRate float64
	Engines    int
}

// Stats are totals of one pool.
type Stats struct {
	// Sent counts the requests sent to other regions, and Short those of them that are short.
	Sent, Short int
	// Unaffordable counts the requests that stayed because the budget of the link was used up.
	Unaffordable int
	// Received counts the requests of other regions.
	Received int
	// GrantedTokens and GrantedRequests are the sums of all grants to other regions.
	GrantedTokens   float64
	GrantedRequests int
	// Answers counts the answers of other regions, and Failures the questions without one.
	Answers, Failures int
}

// Home decides for one pool, on its home. It is not safe for concurrent use.
type Home struct {
	ownRegion    string
	budget       *Budget
	names        []string
	regions      []region
	arrivals     [sched.KindCount]arrivals
	pressedUntil time.Time
	stats        Stats
}

// region is what a home knows about the pool of one other region.
type region struct {
	name       string
	askedAt    time.Time // when the newest question was sent
	figuresAt  time.Time // when the question of the newest answer was sent; zero for none
	answeredAt time.Time
	answer     Answer
	// sent holds the requests that may not be contained in the figures, and sums their totals.
	sent []sentRequest
	sums [sched.KindCount]sentSums
	// owed are the grants to the region that it has not used.
	owed          [sched.KindCount]float64
	owedUntil     time.Time
	formerRelease bool
}

type sentRequest struct {
	at     time.Time
	kind   sched.Kind
	cost   float64
	prompt int
}

type sentSums struct {
	requests int
	cost     float64
	prompt   float64
}

// arrivals averages the memory that the own requests of one kind ask for.
type arrivals struct {
	sum       float64 // decayed with arrivalWindow
	updatedAt time.Time
}

func (a *arrivals) add(cost float64, now time.Time) {
	a.sum = a.decayed(now) + cost
	a.updatedAt = now
}

func (a *arrivals) decayed(now time.Time) float64 {
	if a.sum == 0 {
		return 0
	}
	return a.sum * math.Exp(-now.Sub(a.updatedAt).Seconds()/arrivalWindow.Seconds())
}

func (a *arrivals) perSecond(now time.Time) float64 {
	return a.decayed(now) / arrivalWindow.Seconds()
}

// NewHome returns the state of a pool in a region.
func NewHome(ownRegion string, budget *Budget) *Home {
	return &Home{ownRegion: ownRegion, budget: budget}
}

// SetRegions sets the other regions that have a pool of the model. What is known about a region that stays is kept.
func (h *Home) SetRegions(names []string) {
	if slices.Equal(h.names, names) {
		return
	}
	regions := make([]region, len(names))
	for i, name := range names {
		regions[i].name = name
		if known := h.region(name); known != nil {
			regions[i] = *known
		}
	}
	h.names, h.regions = slices.Clone(names), regions
}

func (h *Home) region(name string) *region {
	for i := range h.regions {
		if h.regions[i].name == name {
			return &h.regions[i]
		}
	}
	return nil
}

// Decides reports whether the home decides for its region: there is another region, and none of them is known to be of a
// release that does not take part in the exchange.
func (h *Home) Decides() bool { return len(h.regions) > 0 && !h.Hindered() }

// Hindered reports whether another region is known not to take part in the exchange.
func (h *Home) Hindered() bool {
	for i := range h.regions {
		if h.regions[i].formerRelease {
			return true
		}
	}
	return false
}

// Due reports whether a region is to be asked now.
func (h *Home) Due(name string, now time.Time) bool {
	r := h.region(name)
	if r == nil {
		return false
	}
	interval := calmInterval
	if h.Pressed(now) {
		interval = askInterval
	}
	return now.Sub(r.askedAt) >= interval
}

// Ask returns the question to a region.
func (h *Home) Ask(name string, short, long sched.Outlook, now time.Time) Question {
	if r := h.region(name); r != nil {
		r.askedAt = now
	}
	question := Question{Region: h.ownRegion, RoundTrip: h.budget.RoundTrip(name)}
	question.Kinds[sched.KindShort] = Figures{Delay: short.Delay(), Drain: short.Drain}
	question.Kinds[sched.KindLong] = Figures{Delay: long.Delay(), Drain: long.Drain}
	return question
}

// Learn records the answer to a question that was sent at askedAt.
func (h *Home) Learn(name string, answer Answer, askedAt, now time.Time) {
	h.budget.Observe(name, now.Sub(askedAt), now)
	h.learn(name, answer, askedAt, now)
}

func (h *Home) learn(name string, answer Answer, askedAt, now time.Time) {
	h.stats.Answers++
	r := h.region(name)
	if r == nil || askedAt.Before(r.figuresAt) {
		return
	}
	r.formerRelease = false
	r.answer, r.figuresAt, r.answeredAt = answer, askedAt, now
	kept := r.sent[:0]
	r.sums = [sched.KindCount]sentSums{}
	for _, request := range r.sent {
		if request.at.After(askedAt.Add(-sentSlack)) {
			kept = append(kept, request)
			r.sums[request.kind].add(request)
		}
	}
	r.sent = kept
}

func (s *sentSums) add(request sentRequest) {
	s.requests++
	s.cost += request.cost
	s.prompt += float64(request.prompt)
}

// Failed records that a question was not answered. FormerRelease is true if the other home does not know the question; silence
// says nothing about its release.
func (h *Home) Failed(name string, formerRelease bool, now time.Time) {
	h.stats.Failures++
	if r := h.region(name); r != nil {
		r.formerRelease = r.formerRelease || formerRelease
	}
	if !formerRelease {
		h.budget.Lost(now)
	}
}

// Received records a request that another region has sent.
func (h *Home) Received(from string, kind sched.Kind, cost float64) {
	h.stats.Received++
	if r := h.region(from); r != nil {
		r.owed[kind] = max(r.owed[kind]-cost, 0)
	}
}

// Arrived records a request of the own region that must not be sent elsewhere. Choose records the others.
func (h *Home) Arrived(kind sched.Kind, cost float64, now time.Time) { h.arrivals[kind].add(cost, now) }

// Answer returns what this pool can take from the region that asks.
//
// Memory that is free beyond the own need is granted at once. If the asking region expects later first events than this
// one, half of the difference is granted beyond that, in memory released in that time: at equal size, both are even then.
func (h *Home) Answer(question Question, short, long sched.Outlook, now time.Time) Answer {
	outlooks := [sched.KindCount]sched.Outlook{sched.KindShort: short, sched.KindLong: long}
	need := 0.0
	for kind := range h.arrivals {
		need += h.arrivals[kind].perSecond(now) * needHorizon.Seconds()
	}
	answer := Answer{PromptRate: long.PromptRate, Engines: long.Engines}
	asker := h.region(question.Region)
	for kind, o := range outlooks {
		f := Figures{Delay: o.Delay(), Drain: o.Drain}
		if o.Served {
			f.Spare = max(o.Free-o.Waiting-need-h.owedToOthers(question.Region, now), 0)
			gain := question.Kinds[kind].Delay - f.Delay - question.RoundTrip
			allowance := o.Drain * min(max(gain/2, 0), grantHorizon).Seconds()
			f.GrantedTokens = f.Spare + allowance
			f.GrantedRequests = int(math.Ceil(f.GrantedTokens / max(o.UsualCost, 1)))
		}
		answer.Kinds[kind] = f
		h.stats.GrantedTokens += f.GrantedTokens
		h.stats.GrantedRequests += f.GrantedRequests
		if asker != nil {
			asker.owed[kind] = f.GrantedTokens
		}
	}
	if asker != nil {
		asker.owedUntil = now.Add(MaxSilence)
	}
	return answer
}

// owedToOthers returns the granted tokens that other regions than one have not used.
func (h *Home) owedToOthers(asker string, now time.Time) float64 {
	sum := 0.0
	for i := range h.regions {
		r := &h.regions[i]
		if r.name == asker || !now.Before(r.owedUntil) {
			continue
		}
		most := 0.0
		for _, tokens := range r.owed {
			most = max(most, tokens) // Both kinds share the memory.
		}
		sum += most
	}
	return sum
}

// Choose is a sched.Chooser. It charges the grant and the budget if the request goes to another region.
func (h *Home) Choose(c sched.Candidate, now time.Time) (name string, there time.Duration, ok bool) {
	if c.New {
		h.Arrived(c.Kind, c.Cost, now)
	}
	best, there, pressed := h.consider(c, now)
	if pressed {
		h.pressedUntil = now.Add(pressureDuration)
	}
	if best == nil {
		return "", 0, false
	}
	if !h.budget.Allow(linkBytes(c.Prompt, c.Output), now) {
		h.stats.Unaffordable++
		return "", 0, false
	}
	request := sentRequest{at: now, kind: c.Kind, cost: c.Cost, prompt: c.Prompt}
	best.sent = append(best.sent, request)
	best.sums[c.Kind].add(request)
	h.stats.Sent++
	if c.Kind == sched.KindShort {
		h.stats.Short++
	}
	return best.name, there, true
}

// Preview is a sched.Chooser that returns what Choose would and changes nothing.
func (h *Home) Preview(c sched.Candidate, now time.Time) (name string, there time.Duration, ok bool) {
	best, there, _ := h.consider(c, now)
	if best == nil || !h.budget.Affords(linkBytes(c.Prompt, c.Output), now) {
		return "", 0, false
	}
	return best.name, there, true
}

// consider returns the region to which a request should go and the predicted time until its first event there, or nil, and whether the request
// shows that the pool is under pressure.
func (h *Home) consider(c sched.Candidate, now time.Time) (best *region, there time.Duration, pressed bool) {
	target := c.Target
	if target <= 0 {
		target = assumedTarget
	}
	if c.Wait == 0 && c.First <= scale(target, pressureShare) {
		return nil, 0, false
	}
	if c.Kind == sched.KindShort && c.First <= scale(target, shortLateShare) {
		return nil, 0, true
	}
	for i := range h.regions {
		r := &h.regions[i]
		if !c.Regions.Allows(r.name) || !r.takes(c, now) {
			continue
		}
		if first := r.predict(c) + h.budget.RoundTrip(r.name); best == nil || first < there {
			best, there = r, first
		}
	}
	if best == nil {
		return nil, 0, true
	}
	// The older the figures, the more they may differ from what is there now.
	margin := scale(target, marginShare*(1+ageShare*now.Sub(best.figuresAt).Seconds()))
	margin += scale(max(c.First-target, 0), lateMarginShare)
	if c.First <= there+margin || !c.Unserved && best.delay(c.Kind) > scale(target, maxDelayShare) {
		return nil, 0, true
	}
	return best, there, true
}

// takes reports whether the grant of the region has room for the request.
func (r *region) takes(c sched.Candidate, now time.Time) bool {
	if r.answeredAt.IsZero() || now.Sub(r.answeredAt) > MaxSilence {
		return false
	}
	figures, sums := &r.answer.Kinds[c.Kind], &r.sums[c.Kind]
	return sums.requests < figures.GrantedRequests && r.sentCost()+c.Cost <= figures.GrantedTokens
}

// sentCost is the memory of the requests that may not be contained in the figures. Both kinds share the memory.
func (r *region) sentCost() float64 {
	sum := 0.0
	for i := range r.sums {
		sum += r.sums[i].cost
	}
	return sum
}

// predict returns the time until the first event of a request there, with those sent meanwhile.
func (r *region) predict(c sched.Candidate) time.Duration {
	delay := r.delay(c.Kind)
	if r.answer.PromptRate > 0 {
		delay += time.Duration(float64(c.Prompt) / r.answer.PromptRate * float64(time.Second))
	}
	return delay
}

// delay returns the time until an engine there begins to read the prompt of a request, with those sent meanwhile.
func (r *region) delay(kind sched.Kind) time.Duration {
	figures := &r.answer.Kinds[kind]
	seconds := 0.0
	if missing := r.sentCost() - figures.Spare; missing > 0 && figures.Drain > 0 {
		seconds += missing / figures.Drain
	}
	if r.answer.PromptRate > 0 {
		sent := 0.0
		for i := range r.sums {
			sent += r.sums[i].prompt
		}
		seconds += sent / float64(max(r.answer.Engines, 1)) / r.answer.PromptRate
	}
	return figures.Delay + time.Duration(seconds*float64(time.Second))
}

// Stats returns the totals.
func (h *Home) Stats() Stats { return h.stats }

// Age returns the age of the oldest figures of another region; negative if a region has never answered or there is none.
func (h *Home) Age(now time.Time) time.Duration {
	age := time.Duration(-1)
	for i := range h.regions {
		if h.regions[i].figuresAt.IsZero() {
			return -1
		}
		age = max(age, now.Sub(h.regions[i].figuresAt))
	}
	return age
}

// Pressed reports whether the pool is under pressure.
func (h *Home) Pressed(now time.Time) bool { return now.Before(h.pressedUntil) }

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// Regions returns the names of the other regions. The caller must not change the slice.
func (h *Home) Regions() []string { return h.names }

// Unanswered records that a question reached an instance that could not answer it.
func (h *Home) Unanswered(name string) {
	h.stats.Failures++
	if r := h.region(name); r != nil {
		r.formerRelease = false
	}
}

// Plus returns the sums of two pools.
func (s Stats) Plus(other Stats) Stats {
	return Stats{
		Sent: s.Sent + other.Sent, Short: s.Short + other.Short, Unaffordable: s.Unaffordable + other.Unaffordable,
		Received:      s.Received + other.Received,
		GrantedTokens: s.GrantedTokens + other.GrantedTokens, GrantedRequests: s.GrantedRequests + other.GrantedRequests,
		Answers: s.Answers + other.Answers, Failures: s.Failures + other.Failures,
	}
}
