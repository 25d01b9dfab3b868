package quota

import (
	"math"
	"time"
)

const (
	// settleTime is the time for which a home that has just begun to count lets nothing through, and one that was not asked for idleTime
	// a single request: it learns from the questions of the other instances what they have at the server.
	settleTime = 300 * time.Millisecond
	idleTime   = time.Second

	// rejectPause is the time for which a brittle server gets nothing after it has rejected a request: it counts its rejections in
	// a second.
	rejectPause = time.Second

	// roomRecovery is the time after which one more request is let through to a server that has rejected some.
	roomRecovery = 10 * time.Second

	// endMemory is the time over which the rate of the requests that end is averaged, and minEndsPerSecond the least rate that is
	// expected.
	endMemory        = time.Second
	minEndsPerSecond = 1.0

	// maxStay bounds the time for which a request counts whose end the home does not hear of.
	maxStay = 10 * time.Second
)

// Usage is what an instance tells the home of a brittle server.
type Usage struct {
	asker string
	// open is the number of requests of the instance that are at the server or wait for a permit.
	open int
	// sequence orders what one instance says, which may arrive in another order.
	sequence uint64
	// stay is the longest time until the end of the request that is asked for.
	stay time.Duration
	// rejected is true if the server has rejected a request since the last message.
	rejected bool
	// slots is the number of requests that the server runs at a time. The home may not know the server yet.
	slots int
}

// Rooms counts, as the home of brittle servers, the requests of all instances that are at each of them. It does no I/O and is not
// safe for concurrent use.
type Rooms struct{ accounts map[string]*room }

// room holds the requests at one backend server.
type room struct {
	returns
	holdings map[string]*holding // by instance
	// lost is the number of requests by which the server has less room than it says.
	lost        int
	lostAt      time.Time
	pausedUntil time.Time
	emptyUntil  time.Time // nothing is let through
	settledAt   time.Time // one request is let through until then
	askedAt     time.Time
	// ends is the rate of requests that end, as of endsAt.
	ends   float64
	endsAt time.Time
}

// holding holds the requests of one instance at a backend server, by the times at which they count no more.
type holding struct {
	sequence uint64
	until    []time.Time
}

// NewRooms returns a counter that knows no server.
func NewRooms() *Rooms { return &Rooms{accounts: make(map[string]*room)} }

// Take decides about one request to a brittle server. There are never more at it than it runs at a time, because how many it lets wait is
// not known.
func (r *Rooms) Take(backend string, usage Usage, now time.Time) Answer {
	a := r.account(backend, now)
	if now.Sub(a.askedAt) > idleTime {
		a.settledAt = now.Add(settleTime)
	}
	a.askedAt, a.askers[usage.asker] = now, now
	a.apply(usage, now)
	h := a.holdings[usage.asker]
	if usage.sequence == h.sequence {
		// What the instance has at the server besides the request that it asks for, as far as this home has not counted it.
		for len(h.until) < usage.open-1 {
			h.until = append(h.until, now.Add(min(usage.stay, maxStay)))
		}
	}
	if now.Before(a.pausedUntil) || now.Before(a.emptyUntil) || a.inUse(now) >= a.size(usage.slots, now) {
		return a.deny(a.nextEnd(now), max(a.endRate(now), minEndsPerSecond), now)
	}
	h.until = append(h.until, now.Add(min(usage.stay, maxStay)))
	return Answer{granted: true}
}

// Report applies what an instance tells without a question.
func (r *Rooms) Report(backend string, usage Usage, now time.Time) {
	if a, ok := r.accounts[backend]; ok {
		a.apply(usage, now)
	}
}

// Cancel takes back the latest permit of an instance.
func (r *Rooms) Cancel(backend, asker string) {
	if a, ok := r.accounts[backend]; ok {
		if h := a.holdings[asker]; h != nil && len(h.until) > 0 {
			h.until = h.until[:len(h.until)-1]
		}
	}
}

// Evict drops the accounts of backend servers that are no longer known.
func (r *Rooms) Evict(known func(backend string) bool) {
	for backend := range r.accounts {
		if !known(backend) {
			delete(r.accounts, backend)
		}
	}
}

func (r *Rooms) account(backend string, now time.Time) *room {
	a, ok := r.accounts[backend]
	if !ok {
		a = &room{returns: newReturns(now), holdings: make(map[string]*holding), endsAt: now, askedAt: now, emptyUntil: now.Add(settleTime)}
		r.accounts[backend] = a
	}
	return a
}

// apply records what an instance has at the server, unless it has said something later.
func (a *room) apply(usage Usage, now time.Time) {
	if usage.rejected {
		// Rejections during a pause are of requests that were on their way.
		if !now.Before(a.pausedUntil) {
			a.lost, a.lostAt = a.lost+1, now
		}
		a.pausedUntil = now.Add(rejectPause)
	}
	h := a.holdings[usage.asker]
	if h == nil {
		h = new(holding)
		a.holdings[usage.asker] = h
	}
	if usage.sequence <= h.sequence {
		return
	}
	h.sequence = usage.sequence
	if ended := len(h.until) - max(usage.open, 0); ended > 0 {
		h.until = h.until[ended:]
		a.ends, a.endsAt = a.endRate(now)+float64(ended)/endMemory.Seconds(), now
	}
}

// inUse returns the number of requests at the server.
func (a *room) inUse(now time.Time) int {
	total := 0
	for asker, h := range a.holdings {
		kept := h.until[:0]
		for _, until := range h.until {
			if now.Before(until) {
				kept = append(kept, until)
			}
		}
		h.until = kept
		total += len(kept)
		if _, asks := a.askers[asker]; len(kept) == 0 && !asks {
			delete(a.holdings, asker)
		}
	}
	return total
}

// size returns the number of requests that are let through at present.
func (a *room) size(slots int, now time.Time) int {
	a.lost = min(a.lost, slots-1)
	for a.lost > 0 && now.Sub(a.lostAt) >= roomRecovery {
		a.lost, a.lostAt = a.lost-1, a.lostAt.Add(roomRecovery)
	}
	if now.Before(a.settledAt) {
		return 1
	}
	return max(slots-a.lost, 1)
}

func (a *room) endRate(now time.Time) float64 {
	return a.ends * math.Exp(-max(now.Sub(a.endsAt), 0).Seconds()/endMemory.Seconds())
}

// nextEnd returns when a request may be let through.
func (a *room) nextEnd(now time.Time) time.Time {
	at := now.Add(durationOf(1 / max(a.endRate(now), minEndsPerSecond)))
	for _, earliest := range []time.Time{a.pausedUntil, a.emptyUntil} {
		if at.Before(earliest) {
			at = earliest
		}
	}
	return at
}
