package front

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// openRetry is the advised delay for an account with too many open requests; how long they last is not known.
const openRetry = time.Second

// limits counts the requests of each account. Its size is bounded by the number of accounts, as only authenticated
// requests get here.
type limits struct {
	lock     sync.Mutex
	accounts map[string]*usage
}

// usage is what one account uses.
type usage struct {
	open    int
	limiter *rate.Limiter
}

// enter counts a request, or refuses it. The returned function must be called at the end of the request. A limit of
// zero in the manifest means no limit.
func (l *limits) enter(account spec.Account, now time.Time) (leave func(), err error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	u := l.usage(account, now)
	if account.MaxOpen() > 0 && u.open >= account.MaxOpen() {
		return nil, refuseLater(pond.ReasonTooManyOpen, now.Add(openRetry), "the account has too many open requests")
	}
	if retryAt, ok := u.allow(now); !ok {
		return nil, refuseLater(pond.ReasonRateLimited, retryAt, "the account sends too many requests")
	}
	u.open++
	return func() {
		l.lock.Lock()
		defer l.lock.Unlock()
		u.open--
	}, nil
}

func (l *limits) usage(account spec.Account, now time.Time) *usage {
	if l.accounts == nil {
		l.accounts = make(map[string]*usage)
	}
	u, ok := l.accounts[account.Name()]
	if !ok {
		u = &usage{limiter: rate.NewLimiter(rate.Inf, 0)}
		l.accounts[account.Name()] = u
	}
	u.adopt(account.RequestsPerSecond(), now)
	return u
}

// adopt follows a change of the account's rate. The burst is one second's worth.
func (u *usage) adopt(perSecond float64, now time.Time) {
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

func (u *usage) allow(now time.Time) (retryAt time.Time, ok bool) {
	reservation := u.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return time.Time{}, true
	}
	reservation.CancelAt(now)
	return now.Add(delay), false
}
