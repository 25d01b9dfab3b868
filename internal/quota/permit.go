package quota

import "time"

// Permit is the decision about one request to a backend server.
type Permit struct {
	granted bool
	retryAt time.Time
}

// Granted reports whether the request may be sent now.
func (p Permit) Granted() bool { return p.granted }

// RetryAt returns when a caller whose request was not permitted may return, by the gate's clock.
func (p Permit) RetryAt() time.Time { return p.retryAt }

// denial is the last denial that this instance got for a backend server.
type denial struct {
	askAt      time.Time // when the instance may ask again
	nextReturn time.Time // when the next caller that is refused here may return
	spacing    time.Duration
}

func newDenial(a Answer, now time.Time) *denial {
	return &denial{askAt: now.Add(a.askAfter), nextReturn: now.Add(a.retryAfter), spacing: a.spacing}
}

// permit returns the denial of one more request. The callers of all instances that ask return at the rate of the limit.
func (d *denial) permit(now time.Time) Permit {
	if d.nextReturn.Before(now) {
		d.nextReturn = now
	}
	at := d.nextReturn
	if latest := now.Add(maxReturnDelay); at.After(latest) {
		at = latest
	} else {
		d.nextReturn = d.nextReturn.Add(d.spacing)
	}
	return Permit{retryAt: at}
}
