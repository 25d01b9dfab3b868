package sched

import (
	"math/bits"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/table"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	classCount = int(pond.ClassLong) + 1

	// Lengths of requests of unknown class are told apart by the size of the prompt, in powers of two, because one
	// account sends short questions and long letters, and its templates differ in size.
	promptSizes = 18

	// The assumed length of a long output until enough have finished; one that is longer grows its reservation.
	assumedLongTokens = 1024

	// An account without requests for this long is forgotten; its lengths are learned again from the pool's.
	accountIdleLimit = 10 * time.Minute

	// Retries that an account or the pool may send before any budget was earned.
	accountRetryBurst = 10
	poolRetryBurst    = 100
)

type account struct {
	weight  float64
	open    int
	idleAt  time.Time
	lengths [classCount]*lengths
	prompts [promptSizes]*lengths // lengths of all classes by the size of the prompt
	retries float64
	flows   [queueCount]flow
}

func (s *Scheduler) account(name string, weight int, now time.Time) table.Slot {
	if slot, ok := s.accounts.Slot(name); ok {
		s.accounts.At(slot).weight = float64(max(weight, 1))
		return slot
	}
	slot, row := s.accounts.Insert(name)
	row.weight = float64(max(weight, 1))
	row.retries = accountRetryBurst
	row.idleAt = now
	for q := range row.flows {
		row.flows[q].position = -1
	}
	return slot
}

// mayRetry charges the retry budgets of the account and of the pool. A first attempt earns budget for both.
func (s *Scheduler) mayRetry(a *account, retry bool) bool {
	if !retry {
		a.retries = min(a.retries+s.policy.RetryBudget, accountRetryBurst)
		s.retries = min(s.retries+s.policy.RetryBudget, poolRetryBurst)
		return true
	}
	if a.retries < 1 || s.retries < 1 {
		return false
	}
	a.retries--
	s.retries--
	return true
}

// forgetIdle removes accounts that have had no request for long.
func (s *Scheduler) forgetIdle(now time.Time) {
	for slot := table.Slot(0); slot < s.accounts.Cap(); slot++ {
		if !s.accounts.Used(slot) {
			continue
		}
		if a := s.accounts.At(slot); a.open == 0 && now.Sub(a.idleAt) > accountIdleLimit {
			s.accounts.Remove(s.accounts.Key(slot))
		}
	}
}

// learn adds a finished output length to the sketches of the pool and of the account.
func (s *Scheduler) learn(r *request, tokens int) {
	s.lengths[r.class].add(tokens)
	a := s.accounts.At(r.account)
	if a.lengths[r.class] == nil {
		a.lengths[r.class] = new(lengths)
	}
	a.lengths[r.class].add(tokens)
	size := promptSize(r.prompt)
	s.prompts[size].add(tokens)
	if a.prompts[size] == nil {
		a.prompts[size] = new(lengths)
	}
	a.prompts[size].add(tokens)
}

func promptSize(tokens int) int { return min(bits.Len(uint(tokens)), promptSizes-1) }

// unknownLengths returns the best known lengths for a request of unknown class, or nil.
func (s *Scheduler) unknownLengths(r *request) *lengths {
	a, size := s.accounts.At(r.account), promptSize(r.prompt)
	switch {
	case a.prompts[size].known():
		return a.prompts[size]
	case a.lengths[pond.ClassUnknown].known():
		return a.lengths[pond.ClassUnknown]
	case s.prompts[size].known():
		return &s.prompts[size]
	default:
		return nil
	}
}

// sketch returns the best known lengths for a request, or nil.
func (s *Scheduler) sketch(r *request) *lengths {
	if r.class == pond.ClassUnknown {
		return s.unknownLengths(r)
	}
	if own := s.accounts.At(r.account).lengths[r.class]; own.known() {
		return own
	}
	if s.lengths[r.class].known() {
		return &s.lengths[r.class]
	}
	return nil
}

// classify chooses the queue. A declared class is accepted unless the account's own outputs of that class are mostly
// long. An unknown class is short only if the learned quantile says so, because a long output in the short queue
// would block short work.
func (s *Scheduler) classify(r *request) queueKind {
	if r.maxOut <= s.policy.ShortMaxTokens {
		return queueShort
	}
	own := s.accounts.At(r.account).lengths[r.class]
	switch r.class {
	case pond.ClassLong:
		return queueLong
	case pond.ClassShort:
		if own.known() && own.quantile(0.5, 0) > s.policy.ShortMaxTokens {
			return queueLong
		}
		return queueShort
	default:
		if known := s.unknownLengths(r); known != nil && known.quantile(s.policy.LengthQuantile, 0) <= s.policy.ShortMaxTokens {
			return queueShort
		}
		return queueLong
	}
}

// predict returns the whole output length to reserve memory for.
func (s *Scheduler) predict(r *request) int {
	if s.policy.Admission == AdmitMaximum {
		return r.maxOut
	}
	predicted := 0
	switch sketch := s.sketch(r); {
	case sketch != nil:
		predicted = sketch.quantile(s.policy.LengthQuantile, r.shown)
	case r.queue == queueShort:
		predicted = s.policy.ShortMaxTokens
		if r.shown > 0 {
			predicted = max(predicted, unseenLength(r.shown))
		}
	default:
		predicted = max(min(r.maxOut/2, assumedLongTokens), unseenLength(r.shown))
	}
	return min(max(predicted, r.shown+minOutputTokens), r.maxOut)
}

// estimate predicts the whole output and what the request should hold on an engine.
func (s *Scheduler) estimate(r *request) {
	r.predicted = s.predict(r)
	r.want = claim{tokens: r.prompt + r.predicted}
	switch s.policy.Admission {
	case AdmitCount:
		r.want = claim{}
	case AdmitForecast:
		if sketch := s.sketch(r); sketch != nil {
			r.want.tokens, r.want.variance = sketch.forecast(r.prompt, r.shown, r.maxOut)
		}
	}
}

// expectedService returns the time from the first token to the end of a typical output; zero if it is not known.
func (s *Scheduler) expectedService(r *request) time.Duration {
	sketch := s.sketch(r)
	if sketch == nil || s.medians.gap == 0 {
		return 0
	}
	typical := min(sketch.quantile(0.5, 0), r.maxOut)
	return time.Duration(typical) * s.medians.gap
}
