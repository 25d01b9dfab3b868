package sched

import (
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
)

const (
	// One observation covers the tokens of one generation in 100 ms; at 0.2 the average follows an engine with ten
	// running generations within 50 ms.
	speedWeight = 0.2

	// With fewer engines than this, the median cannot tell which one is slow.
	minObservedEngines = 3

	// Figures that were not renewed for this long are left out of the median.
	maxSpeedAge = 5 * time.Second

	// The time to the first token grows with the prompt; this many tokens stand for its fixed part.
	firstTokenBase = 256

	// A running engine without any token for this many median gaps counts as a straggler.
	silentGaps     = 20
	minSilentLimit = time.Second

	// An avoided engine is judged by its running requests if their figures are at most this old.
	runningFigureAge = time.Second

	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 8 * time.Second
	probeLimit     = 2 * time.Second
)

type trust int8

const (
	trustNormal trust = iota
	// trustAvoided engines get no new work until the avoidance ends.
	trustAvoided
	// trustProbing engines get one request, whose tokens decide.
	trustProbing
)

// speed is what the relays observed of one engine.
type speed struct {
	gap         time.Duration
	gapAt       time.Time
	first       time.Duration // time to the first token for each firstTokenBase tokens of prompt and base
	firstAt     time.Time
	lastToken   time.Time
	pace        pace
	avoidUntil  time.Time
	avoidance   time.Duration
	probe       table.Slot
	probeUntil  time.Time
	probeStart  time.Time
	probeResult bool // the probing request has shown tokens
}

func average(old, sample time.Duration, fresh bool) time.Duration {
	if !fresh {
		return sample
	}
	return old + time.Duration(speedWeight*float64(sample-old))
}

func (v *speed) observe(progress Progress, prompt int, now time.Time) {
	if progress.Gap > 0 {
		v.gap = average(v.gap, progress.Gap, now.Sub(v.gapAt) < maxSpeedAge)
		v.gapAt = now
		v.pace.observe(progress.Gap, now)
	}
	if progress.FirstToken > 0 {
		scaled := scaleFirst(progress.FirstToken, prompt)
		v.first = average(v.first, scaled, now.Sub(v.firstAt) < maxSpeedAge)
		v.firstAt = now
	}
}

func scaleFirst(first time.Duration, prompt int) time.Duration {
	return first * firstTokenBase / time.Duration(prompt+firstTokenBase)
}

// slow reports whether the observed figures exceed the pool's medians by the ratio.
func (v *speed) slow(m medians, ratio float64, now time.Time) bool {
	first := m.firsts >= minObservedEngines && now.Sub(v.firstAt) < maxSpeedAge && float64(v.first) > ratio*float64(m.first)
	return first || v.slowGap(m, ratio, now)
}

// slowGap is slow for the time between tokens alone.
func (v *speed) slowGap(m medians, ratio float64, now time.Time) bool {
	return m.gaps >= minObservedEngines && now.Sub(v.gapAt) < maxSpeedAge && float64(v.gap) > ratio*float64(m.gap)
}

// silent reports whether an engine with running requests has shown no token for too long.
func (v *speed) silent(m medians, running int, now time.Time) bool {
	if running == 0 || m.gaps < minObservedEngines || v.lastToken.IsZero() {
		return false
	}
	return now.Sub(v.lastToken) > max(silentGaps*m.gap, minSilentLimit)
}

func (e *engine) avoid(now time.Time) {
	v := &e.speed
	v.avoidance = min(max(2*v.avoidance, firstAvoidance), maxAvoidance)
	e.trust, v.avoidUntil, v.probe = trustAvoided, now.Add(v.avoidance), table.None
}

// medians are the pool's medians and how many engines they cover.
type medians struct {
	gap, first   time.Duration
	gaps, firsts int
	pace         time.Duration
	paces        int
}

// observe updates the pool's medians and the trust in each engine.
func (s *Scheduler) observe(now time.Time) {
	if now.Before(s.observeAt) {
		return
	}
	s.observeAt = now.Add(observeInterval)
	s.drain.update(now)
	s.updateMedians(now)
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if s.engines.Used(slot) {
			s.judge(slot, now)
		}
	}
}

func (s *Scheduler) updateMedians(now time.Time) {
	s.gaps, s.firsts, s.paces = s.gaps[:0], s.firsts[:0], s.paces[:0]
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		v := &s.engines.At(slot).speed
		if now.Sub(v.gapAt) < maxSpeedAge {
			s.gaps = append(s.gaps, v.gap)
		}
		if best, ok := v.pace.best(); ok {
			s.paces = append(s.paces, best)
		}
		if now.Sub(v.firstAt) < maxSpeedAge {
			s.firsts = append(s.firsts, v.first)
		}
	}
	s.medians = medians{
		gap:    median(s.gaps, s.medians.gap),
		first:  median(s.firsts, s.medians.first),
		gaps:   len(s.gaps),
		firsts: len(s.firsts),
		pace:   median(s.paces, s.medians.pace),
		paces:  len(s.paces),
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

func (s *Scheduler) judge(slot table.Slot, now time.Time) {
	e := s.engines.At(slot)
	v := &e.speed
	e.factor = 1
	if s.medians.gap > 0 && now.Sub(v.gapAt) < maxSpeedAge {
		e.factor = max(float64(v.gap)/float64(s.medians.gap), 1)
	}
	best, known := v.pace.best()
	e.slowPace = known && s.medians.paces >= minObservedEngines && float64(best) > slowPace*float64(s.medians.pace)
	if s.policy.StragglerRatio <= 0 {
		return
	}
	switch e.trust {
	case trustNormal:
		if v.slow(s.medians, s.policy.StragglerRatio, now) || v.silent(s.medians, e.running, now) {
			e.avoid(now)
		}
	case trustAvoided:
		s.judgeAvoided(e, now)
	case trustProbing:
		s.judgeProbe(e, now)
	}
}

// judgeAvoided ends or prolongs an avoidance by what the engine's running requests show. Only an engine without them needs
// a probing request, which would be slow if the engine still is.
func (s *Scheduler) judgeAvoided(e *engine, now time.Time) {
	v := &e.speed
	observed := e.running > 0 && s.medians.gaps >= minObservedEngines && now.Sub(v.gapAt) < runningFigureAge
	slow := v.slowGap(s.medians, s.policy.StragglerRatio, now)
	switch {
	case observed && !slow && now.Sub(v.lastToken) < runningFigureAge:
		// The first-token figure is from before the recovery.
		e.trust, v.avoidance, v.firstAt = trustNormal, 0, time.Time{}
		s.dispatchDue = true
	case now.Before(v.avoidUntil):
	case observed && slow:
		e.avoid(now)
	default:
		e.trust, v.probe, v.probeStart = trustProbing, table.None, now
		s.dispatchDue = true
	}
}

func (s *Scheduler) judgeProbe(e *engine, now time.Time) {
	v := &e.speed
	switch {
	case v.probe == table.None:
	case v.probeResult && !v.slow(s.medians, s.policy.StragglerRatio, now):
		e.trust, v.probe, v.avoidance = trustNormal, table.None, 0
		s.dispatchDue = true
	case v.probeResult || now.After(v.probeUntil):
		e.avoid(now)
	}
}

// startProbe makes a request the only new one of a probing engine. The old figures no longer count, so that the
// request alone decides.
func (v *speed) startProbe(slot table.Slot, now time.Time) {
	v.probe, v.probeResult, v.probeUntil = slot, false, now.Add(probeLimit)
}

// observeProbe replaces the engine's figures by those of the probing request.
func (v *speed) observeProbe(progress Progress, prompt int, now time.Time) {
	v.gapAt, v.firstAt = time.Time{}, time.Time{}
	v.observe(progress, prompt, now)
	v.probeResult = progress.Gap > 0 || v.probeResult
}
