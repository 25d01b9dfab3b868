package front

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// tooManyOpenRetryDelay is the advised delay for an account with too many open requests. It is constant because nobody
// knows how long these requests will last.
const tooManyOpenRetryDelay = time.Second

// accountLimits enforces the limits of each account. Its size is bounded by the number of accounts, because only
// authenticated requests are counted.
type accountLimits struct {
	mu       sync.Mutex
	accounts map[string]*accountUsage
}

// accountUsage holds the open requests and the rate limiter of one account.
type accountUsage struct {
	open    int
	limiter *rate.Limiter
}

// admit counts a request against its account, or refuses it. The returned function must be called at the end of the
// request. A limit of zero in the manifest means no limit.
func (l *accountLimits) admit(account spec.Account, now time.Time) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.usageOf(account, now)
	if account.MaxOpen() > 0 && usage.open >= account.MaxOpen() {
		return nil, refuseWithRetry(pond.ReasonTooManyOpen, now.Add(tooManyOpenRetryDelay), "the account has too many open requests")
	}
	if retryAt, ok := usage.allow(now); !ok {
		return nil, refuseWithRetry(pond.ReasonRateLimited, retryAt, "the account sends too many requests")
	}
	usage.open++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		usage.open--
	}, nil
}

func (l *accountLimits) usageOf(account spec.Account, now time.Time) *accountUsage {
	if l.accounts == nil {
		l.accounts = make(map[string]*accountUsage)
	}
	usage, ok := l.accounts[account.Name()]
	if !ok {
		usage = &accountUsage{limiter: rate.NewLimiter(rate.Inf, 0)}
		l.accounts[account.Name()] = usage
	}
	usage.setRate(account.RequestsPerSecond(), now)
	return usage
}

// setRate updates the limiter if the account's rate has changed. The burst is one second's worth of requests.
func (u *accountUsage) setRate(perSecond float64, now time.Time) {
	limit, burst := rate.Limit(perSecond), max(1, int(perSecond))
	if perSecond <= 0 {
		limit, burst = rate.Inf, 0
	}
	if u.limiter.Limit() == limit {
		return
	}
	if u.limiter.Limit() == rate.Inf {
		u.limiter = rate.NewLimiter(limit, burst)
		return
	}
	u.limiter.SetLimitAt(now, limit)
	u.limiter.SetBurstAt(now, burst)
}

func (u *accountUsage) allow(now time.Time) (retryAt time.Time, ok bool) {
	reservation := u.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return time.Time{}, true
	}
	reservation.CancelAt(now)
	return now.Add(delay), false
}
