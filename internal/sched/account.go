package sched

import (
	"math/bits"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	classCount = int(pond.ClassLong) + 1

	// Output lengths of requests of unknown class are kept by prompt size, in powers of two, because one account sends
	// both short and long work, and its prompt templates differ in size.
	promptBuckets = 18

	// The assumed length of a long output until enough have finished. The reservation of a longer output grows.
	assumedLongTokens = 1024

	// An account without requests for this long is evicted. Until its lengths are learned again, the pool's are used.
	accountIdleTimeout = 10 * time.Minute

	// Retries that an account or the pool may send before it has earned any budget.
	accountRetryBurst = 10
	poolRetryBurst    = 100
)

type account struct {
	weight          float64
	open            int
	idleAt          time.Time
	lengthsByClass  [classCount]*lengthSketch
	lengthsByPrompt [promptBuckets]*lengthSketch // lengths of all classes by prompt size
	retryBudget     float64
	flows           [queueCount]flow
}

// account returns the slot of an account after setting its weight. It adds the account if it is not known.
func (s *Scheduler) account(name string, weight int, now time.Time) table.Slot {
	if slot, ok := s.accounts.Slot(name); ok {
		s.accounts.At(slot).weight = float64(max(weight, 1))
		return slot
	}
	slot, row := s.accounts.Insert(name)
	row.weight = float64(max(weight, 1))
	row.retryBudget = accountRetryBurst
	row.idleAt = now
	for q := range row.flows {
		row.flows[q].queueIndex = -1
	}
	return slot
}

// chargeRetryBudget takes a retry from the budgets of the account and of the pool, and reports whether both allow it. A
// first attempt earns budget for both.
func (s *Scheduler) chargeRetryBudget(a *account, retry bool) bool {
	if !retry {
		a.retryBudget = min(a.retryBudget+s.policy.RetryBudget, accountRetryBurst)
		s.retryBudget = min(s.retryBudget+s.policy.RetryBudget, poolRetryBurst)
		return true
	}
	if !s.allowsRetry(a) {
		return false
	}
	a.retryBudget--
	s.retryBudget--
	return true
}

// allowsRetry reports whether the budgets of the account and of the pool allow a retry.
func (s *Scheduler) allowsRetry(a *account) bool { return a.retryBudget >= 1 && s.retryBudget >= 1 }

// evictIdleAccounts removes accounts that have had no request for accountIdleTimeout.
func (s *Scheduler) evictIdleAccounts(now time.Time) {
	for slot := table.Slot(0); slot < s.accounts.Cap(); slot++ {
		if !s.accounts.Used(slot) {
			continue
		}
		if a := s.accounts.At(slot); a.open == 0 && now.Sub(a.idleAt) > accountIdleTimeout {
			s.accounts.Remove(s.accounts.Key(slot))
		}
	}
}

// learn adds the length of a finished output to the sketches of the pool and of the account.
func (s *Scheduler) learn(r *request, tokens int) {
	s.lengthsByClass[r.class].add(tokens)
	a := s.accounts.At(r.account)
	if a.lengthsByClass[r.class] == nil {
		a.lengthsByClass[r.class] = new(lengthSketch)
	}
	a.lengthsByClass[r.class].add(tokens)
	bucket := promptBucket(r.promptTokens)
	s.lengthsByPrompt[bucket].add(tokens)
	if a.lengthsByPrompt[bucket] == nil {
		a.lengthsByPrompt[bucket] = new(lengthSketch)
	}
	a.lengthsByPrompt[bucket].add(tokens)
}

func promptBucket(tokens int) int { return min(bits.Len(uint(tokens)), promptBuckets-1) }

// lengthsOfUnknownClass returns the most specific sketch with enough samples for a request of unknown class, or nil.
func (s *Scheduler) lengthsOfUnknownClass(r *request) *lengthSketch {
	a, bucket := s.accounts.At(r.account), promptBucket(r.promptTokens)
	switch {
	case a.lengthsByPrompt[bucket].hasEnoughSamples():
		return a.lengthsByPrompt[bucket]
	case a.lengthsByClass[pond.ClassUnknown].hasEnoughSamples():
		return a.lengthsByClass[pond.ClassUnknown]
	case s.lengthsByPrompt[bucket].hasEnoughSamples():
		return &s.lengthsByPrompt[bucket]
	default:
		return nil
	}
}

// lengthsFor returns the most specific sketch with enough samples for a request, or nil.
func (s *Scheduler) lengthsFor(r *request) *lengthSketch {
	if s.off(pond.MechanismLearnedLengths) {
		return nil
	}
	if r.class == pond.ClassUnknown {
		return s.lengthsOfUnknownClass(r)
	}
	if own := s.accounts.At(r.account).lengthsByClass[r.class]; own.hasEnoughSamples() {
		return own
	}
	if s.lengthsByClass[r.class].hasEnoughSamples() {
		return &s.lengthsByClass[r.class]
	}
	return nil
}

// classify chooses the queue. A request with a small MaxTokens is short whatever its class. Otherwise a declared class
// is accepted, except that ClassShort counts as long if the account's outputs of that class are mostly long. An unknown
// class counts as short only if the learned quantile is short, because a long output in the short queue would block
// short requests.
func (s *Scheduler) classify(r *request) queueKind {
	if s.off(pond.MechanismShortQueue) {
		return queueLong
	}
	if r.maxOutput <= s.policy.ShortMaxTokens {
		return queueShort
	}
	own := s.accounts.At(r.account).lengthsByClass[r.class]
	switch r.class {
	case pond.ClassLong:
		return queueLong
	case pond.ClassShort:
		if own.hasEnoughSamples() && own.quantile(0.5, 0) > s.policy.ShortMaxTokens {
			return queueLong
		}
		return queueShort
	default:
		if known := s.lengthsOfUnknownClass(r); known != nil &&
			known.quantile(s.policy.LengthQuantile, 0) <= s.policy.ShortMaxTokens {
			return queueShort
		}
		return queueLong
	}
}

// predict returns the total output length to reserve memory for.
func (s *Scheduler) predict(r *request) int {
	if s.policy.Admission == AdmitMaximum {
		return r.maxOutput
	}
	predicted := 0
	switch sketch := s.lengthsFor(r); {
	case sketch != nil:
		predicted = sketch.quantile(s.policy.LengthQuantile, r.emitted)
	case r.queue == queueShort:
		predicted = s.policy.ShortMaxTokens
		if r.emitted > 0 {
			predicted = max(predicted, unseenLength(r.emitted))
		}
	default:
		predicted = max(min(r.maxOutput/2, assumedLongTokens), unseenLength(r.emitted))
	}
	return min(max(predicted, r.emitted+minOutputTokens), r.maxOutput)
}

// estimate updates the predicted output and the memory that the request should reserve.
func (s *Scheduler) estimate(r *request) {
	r.predictedOutput = s.predict(r)
	r.demand = reservation{tokens: r.promptTokens + r.predictedOutput}
	switch s.policy.Admission {
	case AdmitCount:
		r.demand = reservation{}
	case AdmitForecast:
		if sketch := s.lengthsFor(r); sketch != nil {
			r.demand.tokens, r.demand.variance = sketch.forecast(r.promptTokens, r.emitted, r.maxOutput)
		}
	}
}

// expectedService returns the time from the first token to the end of an output of median length; zero if unknown.
func (s *Scheduler) expectedService(r *request) time.Duration {
	sketch := s.lengthsFor(r)
	if sketch == nil || s.medians.gap == 0 {
		return 0
	}
	typical := min(sketch.quantile(0.5, 0), r.maxOutput)
	return time.Duration(typical) * s.medians.gap
}
