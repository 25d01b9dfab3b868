package once

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// limits applies the account limits of the manifest to new calls. Receiving instances do not apply them, because they
// cannot know whether another copy of the call was accepted.
type limits struct {
	limiters map[string]*rate.Limiter
}

func newLimits() *limits { return &limits{limiters: make(map[string]*rate.Limiter)} }

// objection returns a refusal if the account exceeds its open calls or its rate. Limits of zero do not apply.
func (l *limits) objection(name string, open int, t terms) *pond.Refusal {
	account, ok := t.manifest.Account(name)
	if !ok {
		return nil
	}
	if limit := account.MaxOpen(); limit > 0 && open >= limit {
		return refuseNo(pond.ReasonTooManyOpen, "the account has too many open calls")
	}
	perSecond := account.RequestsPerSecond()
	if perSecond <= 0 {
		return nil
	}
	limiter := l.limiter(name, perSecond, t.now)
	if limiter.AllowN(t.now, 1) {
		return nil
	}
	wait := time.Duration((1 - limiter.TokensAt(t.now)) / perSecond * float64(time.Second))
	return pond.NewRefusal(pond.ReasonRateLimited, pond.RunNo, t.now.Add(wait), "the account exceeds its rate of calls")
}

// limiter returns the account's limiter with the manifest's rate. The burst is one second of the rate.
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
