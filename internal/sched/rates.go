package sched

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// The prefill rate is averaged over about this much time of prefill on all engines of the pool.
	prefillRateWindow = 20 * time.Second

	// minPrefillTime is the time of prefill from which the rate is known. Until then initialPrefillRate applies, which is
	// in tokens per second.
	minPrefillTime     = 2 * time.Second
	initialPrefillRate = 10_000

	// prefillFullDelay is the delay by prompts in prefill that counts as much load as a full memory.
	prefillFullDelay = 800 * time.Millisecond

	// urgentPrefillLoad is the load of prompts in prefill from which a short request passes them.
	urgentPrefillLoad = 1

	// initialNotice is the assumed time from the notice that an engine leaves until its runs are lost, before
	// minNoticeSamples were lost.
	initialNotice    = time.Second
	minNoticeSamples = 4
	noticeSamples    = 16

	// noticeMargin is the share of the estimated notice that moves may count on.
	noticeMargin = 0.9

	// minOutputWeight and maxOutputWeight bound the cost of a generated token in prompt tokens.
	minOutputWeight = 1
	maxOutputWeight = 100
)

// rates estimates figures of the pool's engines from what their runs show.
type rates struct {
	prefillTokens float64       // decayed count of the prompt tokens that engines have read
	prefillTime   time.Duration // decayed time for which they read them
	// losses holds the latest times from a notice to the loss of a run, lossCount counts all of them, and notice is the
	// lower quartile; zero until it is known.
	losses    [noticeSamples]time.Duration
	lossCount int
	notice    time.Duration
}

// addPrefill records a period in which an engine read prompts of this size.
func (r *rates) addPrefill(tokens int, took time.Duration) {
	decay := math.Exp(-took.Seconds() / prefillRateWindow.Seconds())
	r.prefillTokens = r.prefillTokens*decay + float64(tokens)
	r.prefillTime = time.Duration(float64(r.prefillTime)*decay) + took
}

// prefillPerSecond returns the prompt tokens that an engine reads per second.
func (r *rates) prefillPerSecond() float64 {
	if r.prefillTime < minPrefillTime {
		return initialPrefillRate
	}
	return max(r.prefillTokens/r.prefillTime.Seconds(), 1)
}

// addLoss records that a run was lost this long after the notice of its engine. The lower quartile follows a shorter
// notice within a few losses, and a run that was lost for another reason does not change it.
func (r *rates) addLoss(afterNotice time.Duration) {
	r.losses[r.lossCount%noticeSamples] = afterNotice
	r.lossCount++
	if r.lossCount < minNoticeSamples {
		return
	}
	sorted := r.losses
	known := sorted[:min(r.lossCount, noticeSamples)]
	slices.Sort(known)
	r.notice = known[(len(known)-1)/4]
}

// usableNotice returns the time after a notice within which a move should have ended.
func (r *rates) usableNotice() time.Duration {
	if r.notice == 0 {
		return initialNotice
	}
	return time.Duration(float64(r.notice) * noticeMargin)
}

// outputWeight returns the cost of a generated token in prompt tokens: an engine generates one token for each of its
// running requests within a gap.
func (s *Scheduler) outputWeight() float64 {
	weight := s.tokenGap().Seconds() * s.rates.prefillPerSecond() / max(s.runningPerEngine, 1)
	return min(max(weight, minOutputWeight), maxOutputWeight)
}

// tokenGap returns the median time between tokens, or the policy's before any was observed.
func (s *Scheduler) tokenGap() time.Duration {
	if s.medians.gap == 0 {
		return s.policy.TokenGap
	}
	return s.medians.gap
}

// updatePrefillLoad applies the prefill rate to the load of all engines.
func (s *Scheduler) updatePrefillLoad() {
	if s.off(pond.MechanismPrefillLoad) {
		return
	}
	perToken := 1 / (s.rates.prefillPerSecond() * prefillFullDelay.Seconds())
	running, busy := 0, 0
	for slot := table.Slot(0); slot < s.engines.Cap(); slot++ {
		if !s.engines.Used(slot) {
			continue
		}
		e := s.engines.At(slot)
		e.loadPerPrefillToken = perToken
		if e.running > 0 {
			running += e.running
			busy++
		}
	}
	s.runningPerEngine = float64(running) / float64(max(busy, 1))
}

// isUrgent reports whether an engine should read the prompt of a request that it gets before those that wait there.
//
// Engines preempt less urgent runs for urgent ones when their memory is full, and read the prompts of long requests after
// those of all urgent ones. With short requests always urgent, three times as many tokens were read again, and long
// requests waited up to 4.6 s on engines that had just joined. With none urgent, 224 of 1,450 short requests had their
// first token after 1.5 s in a burst of long ones.
func (s *Scheduler) isUrgent(r *request, e *engine) bool {
	return r.queue == queueShort && !s.off(pond.MechanismUrgency) && e.prefillLoad() >= urgentPrefillLoad
}
