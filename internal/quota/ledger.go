package quota

import "time"

const (
	// burstTime is the time for which permits that nobody asked for are kept.
	burstTime = 500 * time.Millisecond

	// probePerSecond is the least rate at which permits are granted. A server that names a limit of zero would otherwise
	// never get a request whose response lifts it.
	probePerSecond = 0.2

	// maxReturnDelay bounds how far in the future callers are told to return.
	maxReturnDelay = 5 * time.Second

	// askerRetention is the time for which an instance counts as one that asks.
	askerRetention = 4 * time.Second

	// minAskDelay and maxAskDelay bound the time until an instance asks again after a denial.
	minAskDelay = 20 * time.Millisecond
	maxAskDelay = 2 * time.Second

	// asksPerPermit is the rate of questions to a home relative to its permits, if more instances ask than it can serve.
	// It keeps the traffic independent of the number of instances.
	asksPerPermit = 4
)

// Answer is the answer of a home to a question for a permit.
type Answer struct {
	granted    bool
	retryAfter time.Duration
	askAfter   time.Duration
	spacing    time.Duration
}

// Granted reports whether the request may be sent.
func (a Answer) Granted() bool { return a.granted }

// Ledger counts the permits that a home grants for each backend server. It is not safe for concurrent use.
type Ledger struct{ accounts map[string]*account }

// account holds the permits of one backend server.
type account struct {
	returns
	balance   float64
	updatedAt time.Time
}

// returns spreads the callers that are refused and the instances that ask again.
type returns struct {
	// nextReturn is when the next caller that is refused may return.
	nextReturn time.Time
	askers     map[string]time.Time // when each instance asked last
}

func newReturns(now time.Time) returns {
	return returns{nextReturn: now, askers: make(map[string]time.Time)}
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[string]*account)} }

// Take decides about one request of an instance to a backend server with a limit. A new account starts empty, because
// another home may have granted permits until now.
func (l *Ledger) Take(backend, asker string, perSecond float64, now time.Time) Answer {
	a, ok := l.accounts[backend]
	if !ok {
		a = &account{returns: newReturns(now), updatedAt: now}
		l.accounts[backend] = a
	}
	rate := max(perSecond, probePerSecond)
	a.refill(rate, now)
	a.askers[asker] = now
	if a.balance >= 1 {
		a.balance--
		return Answer{granted: true}
	}
	return a.deny(now.Add(durationOf((1-a.balance)/rate)), rate, now)
}

func (a *account) refill(rate float64, now time.Time) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.balance += rate * elapsed.Seconds()
		a.updatedAt = now
	}
	a.balance = min(a.balance, 1+rate*burstTime.Seconds())
}

// deny returns when the caller may return, at the earliest at permitAt, and when the instance may ask again. Callers return one after
// the other, at the rate of the permits.
func (r *returns) deny(permitAt time.Time, rate float64, now time.Time) Answer {
	for asker, askedAt := range r.askers {
		if now.Sub(askedAt) > askerRetention {
			delete(r.askers, asker)
		}
	}
	if r.nextReturn.Before(permitAt) {
		r.nextReturn = permitAt
	}
	retryAfter := min(r.nextReturn.Sub(now), maxReturnDelay)
	if latest := now.Add(maxReturnDelay); r.nextReturn.Before(latest) {
		r.nextReturn = r.nextReturn.Add(durationOf(1 / rate))
	}
	askers := float64(len(r.askers))
	return Answer{
		retryAfter: retryAfter,
		askAfter:   min(max(durationOf(askers/(asksPerPermit*rate)), minAskDelay), maxAskDelay),
		spacing:    durationOf(askers / rate),
	}
}

// Evict drops the accounts of backend servers that are no longer known.
func (l *Ledger) Evict(known func(backend string) bool) {
	for backend := range l.accounts {
		if !known(backend) {
			delete(l.accounts, backend)
		}
	}
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
