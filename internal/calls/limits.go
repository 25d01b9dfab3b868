package calls

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// limits applies the account limits of the manifest to new calls. Only the executor of a call applies them, because an
// instance that forwards it cannot know whether another copy was admitted.
type limits struct {
	limiters map[string]*rate.Limiter
}

func newLimits() *limits { return &limits{limiters: make(map[string]*rate.Limiter)} }

// check returns a refusal if the account exceeds its limit of open calls or its rate. A limit of zero does not apply.
func (l *limits) check(name string, open int, snap snapshot) *pond.Refusal {
	account, ok := snap.manifest.Account(name)
	if !ok {
		return nil
	}
	if limit := account.MaxOpen(); limit > 0 && open >= limit {
		return refuseNotRun(pond.ReasonTooManyOpen, "the account has too many open calls")
	}
	perSecond := account.RequestsPerSecond()
	if perSecond <= 0 {
		return nil
	}
	limiter := l.limiter(name, perSecond, snap.now)
	if limiter.AllowN(snap.now, 1) {
		return nil
	}
	wait := time.Duration((1 - limiter.TokensAt(snap.now)) / perSecond * float64(time.Second))
	return pond.NewRefusal(pond.ReasonRateLimited, pond.RunNo, snap.now.Add(wait), "the account exceeds its rate of calls")
}

// limiter returns the rate limiter of the account, updated to the given rate. The burst is one second of the rate.
func (l *limits) limiter(name string, perSecond float64, now time.Time) *rate.Limiter {
	limiter, ok := l.limiters[name]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
		l.limiters[name] = limiter
		return limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burst(perSecond))
	}
	return limiter
}

func burst(perSecond float64) int { return max(1, int(math.Ceil(perSecond))) }
