package sched

import (
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// averageWeight is the weight of a new sample. One sample covers the tokens of one generation in 100 ms; at 0.2 the
	// average follows an engine with ten running generations within 50 ms.
	averageWeight = 0.2

	// With fewer engines than this, the median does not show which one is slow.
	minObservedEngines = 3

	// Values that were not updated for this long are left out of the median.
	maxSampleAge = 5 * time.Second

	// The time to the first token grows with the prompt. Its fixed part takes as long as this many prompt tokens.
	firstTokenBase = 256

	// An engine with running requests and no token for this many median gaps counts as a straggler.
	stallGaps       = 20
	minStallTimeout = time.Second

	// An avoided engine is evaluated by its running requests if their values are younger than this.
	maxRunningSampleAge = time.Second

	// An engine fails if it failed this many new requests without serving one. Any engine loses single answers.
	minFailures = 2

	// If more than one engine in this many fails, the cause is probably not theirs.
	commonFailureDivisor = 3

	initialAvoidPeriod = 500 * time.Millisecond
	maxAvoidPeriod     = 8 * time.Second
	probeTimeout       = 2 * time.Second
)

type stragglerState int8

const (
	stragglerNone stragglerState = iota
	// An avoided engine gets no new requests until it has recovered or its avoid period ends.
	stragglerAvoided
	// A probing engine gets one request, whose latency decides.
	stragglerProbing
)

// latencyStats are the latencies of one engine as reported through Progress, and the state of avoiding and probing it.
type latencyStats struct {
	gap           time.Duration
	gapAt         time.Time
	firstToken    time.Duration // scaled by scaleFirstToken
	firstTokenAt  time.Time
	lastToken     time.Time
	baseline      baselineGap
	avoidUntil    time.Time
	avoidPeriod   time.Duration
	probe         table.Slot
	probeUntil    time.Time
	probingSince  time.Time
	probeAnswered bool // the probing request has emitted tokens
	// failures counts the new requests that the engine has failed since it last served one.
	failures int
}

func average(old, sample time.Duration, fresh bool) time.Duration {
	if !fresh {
		return sample
	}
	return old + time.Duration(averageWeight*float64(sample-old))
}

func (stats *latencyStats) observe(progress Progress, prompt int, now time.Time) {
	if progress.Gap > 0 {
		stats.gap = average(stats.gap, progress.Gap, now.Sub(stats.gapAt) < maxSampleAge)
		stats.gapAt = now
		stats.baseline.observe(progress.Gap, now)
	}
	if progress.FirstToken > 0 {
		scaled := scaleFirstToken(progress.FirstToken, prompt)
		stats.firstToken = average(stats.firstToken, scaled, now.Sub(stats.firstTokenAt) < maxSampleAge)
		stats.firstTokenAt = now
	}
}

// scaleFirstToken converts the time to the first token to that of an empty prompt, so that values for prompts of all
// sizes can be compared.
func scaleFirstToken(firstToken time.Duration, prompt int) time.Duration {
	return firstToken * firstTokenBase / time.Duration(prompt+firstTokenBase)
}

// slow reports whether the time to the first token or between tokens exceeds the pool's median by the ratio.
func (stats *latencyStats) slow(m medians, ratio float64, now time.Time) bool {
	slowFirstToken := m.firstTokenEngines >= minObservedEngines && now.Sub(stats.firstTokenAt) < maxSampleAge &&
		float64(stats.firstToken) > ratio*float64(m.firstToken)
	return slowFirstToken || stats.slowGap(m, ratio, now)
}

// slowGap reports whether the time between tokens exceeds the pool's median by the ratio.
func (stats *latencyStats) slowGap(m medians, ratio float64, now time.Time) bool {
	return m.gapEngines >= minObservedEngines && now.Sub(stats.gapAt) < maxSampleAge &&
		float64(stats.gap) > ratio*float64(m.gap)
}

// stalled reports whether an engine with running requests has emitted no token for too long.
func (stats *latencyStats) stalled(m medians, running int, now time.Time) bool {
	if running == 0 || m.gapEngines < minObservedEngines || stats.lastToken.IsZero() {
		return false
	}
	return now.Sub(stats.lastToken) > max(stallGaps*m.gap, minStallTimeout)
}

// recordFailure avoids an engine that failed a request. Failures while it is avoided already, such as those of all its runs at once, do not
// prolong the period.
func (e *engine) recordFailure(r *request, now time.Time) {
	if r.emitted == 0 {
		e.latency.failures++
	}
	if e.straggler != stragglerAvoided {
		e.avoid(now)
	}
}

// failing reports whether the engine fails new requests, whatever becomes of those that run.
func (stats *latencyStats) failing() bool { return stats.failures >= minFailures }

func (e *engine) avoid(now time.Time) {
	stats := &e.latency
	stats.avoidPeriod = min(max(2*stats.avoidPeriod, initialAvoidPeriod), maxAvoidPeriod)
	e.straggler, stats.avoidUntil, stats.probe = stragglerAvoided, now.Add(stats.avoidPeriod), table.None
}

// medians are the pool's median latencies and the number of engines that each covers.
type medians struct {
	gap, firstToken               time.Duration
	gapEngines, firstTokenEngines int
	baseline                      time.Duration
	baselineEngines               int
	// failuresCommon is true if so many engines fail that the cause is probably not theirs.
	failuresCommon bool
}

// evaluateEngines updates the drain rates, the pool's medians and the straggler state of each engine.
func (s *Scheduler) evaluateEngines(now time.Time) {
	if now.Before(s.evaluateAt) {
		return
	}
	s.evaluateAt = now.Add(evaluateInterval)
	s.drain.updateRates(now)
	s.updateMedians(now)
	s.updatePrefillLoad()
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if s.engines.Used(slot) {
			s.updateStraggler(slot, now)
		}
	}
}

func (s *Scheduler) updateMedians(now time.Time) {
	s.gapSamples, s.firstTokenSamples, s.baselineSamples =
		s.gapSamples[:0], s.firstTokenSamples[:0], s.baselineSamples[:0]
	engines, failed := 0, 0
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		stats := &s.engines.At(slot).latency
		if s.engines.At(slot).accepting {
			engines++
			if stats.failing() {
				failed++
			}
		}
		if now.Sub(stats.gapAt) < maxSampleAge {
			s.gapSamples = append(s.gapSamples, stats.gap)
		}
		if best, ok := stats.baseline.best(); ok {
			s.baselineSamples = append(s.baselineSamples, best)
		}
		if now.Sub(stats.firstTokenAt) < maxSampleAge {
			s.firstTokenSamples = append(s.firstTokenSamples, stats.firstToken)
		}
	}
	s.medians = medians{
		gap:               median(s.gapSamples, s.medians.gap),
		firstToken:        median(s.firstTokenSamples, s.medians.firstToken),
		gapEngines:        len(s.gapSamples),
		firstTokenEngines: len(s.firstTokenSamples),
		baseline:          median(s.baselineSamples, s.medians.baseline),
		baselineEngines:   len(s.baselineSamples),
		failuresCommon:    failed*commonFailureDivisor > engines,
	}
}

// median sorts the samples and returns the lower median, or the old value if there are none.
func median(samples []time.Duration, old time.Duration) time.Duration {
	if len(samples) == 0 {
		return old
	}
	slices.Sort(samples)
	return samples[(len(samples)-1)/2]
}

func (s *Scheduler) updateStraggler(slot table.Slot, now time.Time) {
	e := s.engines.At(slot)
	stats := &e.latency
	e.gapRatio = 1
	if s.medians.gap > 0 && now.Sub(stats.gapAt) < maxSampleAge {
		e.gapRatio = max(float64(stats.gap)/float64(s.medians.gap), 1)
	}
	best, known := stats.baseline.best()
	e.slowBaseline = known && !s.off(pond.MechanismSlowEngines) && s.medians.baselineEngines >= minObservedEngines &&
		float64(best) > slowBaselineRatio*float64(s.medians.baseline)
	if s.policy.StragglerRatio <= 0 {
		return
	}
	switch e.straggler {
	case stragglerNone:
		if stats.slow(s.medians, s.policy.StragglerRatio, now) || stats.stalled(s.medians, e.running, now) {
			e.avoid(now)
		}
	case stragglerAvoided:
		s.updateAvoided(e, now)
	case stragglerProbing:
		s.updateProbing(e, now)
	}
}

// updateAvoided ends or extends the avoidance of an engine by the latency of its running requests. Only an engine
// without recent values needs a probing request, which would be slow if the engine still is, and one that fails: such an engine may go on
// with the runs that it has. On a day of the users' benchmark with 130 engines, 11 of them returned errors for 7 s and had their
// requests of before in progress; up to 66 requests were sent to one, because these showed it to be fast.
func (s *Scheduler) updateAvoided(e *engine, now time.Time) {
	stats := &e.latency
	observed := e.running > 0 && s.medians.gapEngines >= minObservedEngines &&
		now.Sub(stats.gapAt) < maxRunningSampleAge
	slow := stats.slowGap(s.medians, s.policy.StragglerRatio, now)
	failing := stats.failing() && !s.medians.failuresCommon
	switch {
	case !failing && observed && !slow && now.Sub(stats.lastToken) < maxRunningSampleAge:
		// The time to the first token was measured before the recovery.
		e.straggler, stats.avoidPeriod, stats.firstTokenAt = stragglerNone, 0, time.Time{}
		s.dispatchDue = true
	case now.Before(stats.avoidUntil):
	case observed && slow:
		e.avoid(now)
	default:
		e.straggler, stats.probe, stats.probingSince = stragglerProbing, table.None, now
		s.dispatchDue = true
	}
}

func (s *Scheduler) updateProbing(e *engine, now time.Time) {
	stats := &e.latency
	switch {
	case stats.probe == table.None:
	case stats.probeAnswered && !stats.slow(s.medians, s.policy.StragglerRatio, now):
		e.straggler, stats.probe, stats.avoidPeriod = stragglerNone, table.None, 0
		s.dispatchDue = true
	case stats.probeAnswered || now.After(stats.probeUntil):
		e.avoid(now)
	}
}

// startProbe makes a request the probe of an engine.
func (stats *latencyStats) startProbe(slot table.Slot, now time.Time) {
	stats.probe, stats.probeAnswered, stats.probeUntil = slot, false, now.Add(probeTimeout)
}

// observeProbe replaces the engine's values by those of the probing request, so that it alone decides.
func (stats *latencyStats) observeProbe(progress Progress, prompt int, now time.Time) {
	stats.gapAt, stats.firstTokenAt = time.Time{}, time.Time{}
	stats.observe(progress, prompt, now)
	stats.probeAnswered = progress.Gap > 0 || stats.probeAnswered
}
