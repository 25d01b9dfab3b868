package quota

import (
	"math"
	"time"
)

const (
	// coldPermitAge is the age from which a permit for a cold server is not used.
	coldPermitAge = 250 * time.Millisecond

	// coldWindow is the time over which permits for a cold server are counted. Those of a second arrive within it.
	coldWindow = time.Second + coldPermitAge

	// coldParts divides coldWindow into parts with an equal share of the permits, so that they are not all used up at once.
	coldParts = 4

	// homesAtOnce is the number of homes that may grant permits for one server without knowing of each other.
	homesAtOnce = 2
)

// Cold is what a backend server bears while it is cold. The zero value bears anything.
type Cold struct {
	until         time.Time
	mostPerSecond float64
}

// NewCold returns the limit of a backend server that is cold until a time, by the most requests of all instances that it may get in any second.
func NewCold(until time.Time, mostPerSecond float64) Cold {
	return Cold{until: until, mostPerSecond: mostPerSecond}
}

// Until returns the end of the limit.
func (c Cold) Until() time.Time { return c.until }

// active reports whether the limit holds.
func (c Cold) active(now time.Time) bool { return c.mostPerSecond > 0 && now.Before(c.until) }

// stricter returns what binds of two limits of the same server.
func (c Cold) stricter(other Cold, now time.Time) Cold {
	switch {
	case !other.active(now):
		return c
	case !c.active(now) || other.mostPerSecond < c.mostPerSecond:
		return other
	default:
		return c
	}
}

// homeShare returns the permits that one home grants in coldWindow, if it sees a share of the instances. A home that sees most of them grants
// at least one, because a service whose only server is cold would be down otherwise.
func (c Cold) homeShare(seen float64) int {
	share := int(math.Floor(c.mostPerSecond / homesAtOnce * min(seen, 1)))
	if share == 0 && seen > 0.5 && c.mostPerSecond >= 1 {
		return 1
	}
	return share
}

// ColdLedger counts the permits that a home grants for cold servers. It does no I/O and is not safe for concurrent use.
type ColdLedger struct{ accounts map[string]*coldAccount }

// coldAccount holds the permits for one cold server.
type coldAccount struct {
	returns
	// grants are the times of the permits in the last coldWindow, in order.
	grants []time.Time
}

// NewColdLedger returns a ledger without accounts.
func NewColdLedger() *ColdLedger { return &ColdLedger{accounts: make(map[string]*coldAccount)} }

// Take decides about one request to a cold server, of which at most share are permitted in coldWindow.
func (l *ColdLedger) Take(backend, asker string, share int, now time.Time) Answer {
	a, ok := l.accounts[backend]
	if !ok {
		a = &coldAccount{returns: newReturns(now)}
		l.accounts[backend] = a
	}
	a.askers[asker] = now
	if last := len(a.grants) - 1; last >= 0 && now.Before(a.grants[last]) {
		now = a.grants[last] // A clock that steps back must not make room.
	}
	if freeAt := a.freeAt(share, now); freeAt.After(now) {
		return a.deny(freeAt, max(float64(share), 1)/coldWindow.Seconds(), now)
	}
	a.grants = append(a.grants, now)
	return Answer{granted: true}
}

// freeAt returns when the next permit may be granted.
func (a *coldAccount) freeAt(share int, now time.Time) time.Time {
	kept := a.grants[:0]
	for _, at := range a.grants {
		if now.Sub(at) <= coldWindow {
			kept = append(kept, at)
		}
	}
	a.grants = kept
	if share <= 0 {
		return now.Add(coldWindow)
	}
	freeAt := now
	if len(kept) >= share {
		freeAt = kept[len(kept)-share].Add(coldWindow + time.Nanosecond)
	}
	atOnce := (share + coldParts - 1) / coldParts
	if len(kept) >= atOnce {
		if at := kept[len(kept)-atOnce].Add(coldWindow/coldParts + time.Nanosecond); at.After(freeAt) {
			freeAt = at
		}
	}
	return freeAt
}

// Evict drops the accounts of backend servers that are no longer known.
func (l *ColdLedger) Evict(known func(backend string) bool) {
	for backend := range l.accounts {
		if !known(backend) {
			delete(l.accounts, backend)
		}
	}
}
