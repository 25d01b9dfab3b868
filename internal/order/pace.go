package order

import "time"

const (
	// shareSettle is the time during which the smaller of two shares applies after a manifest changed them. Other
	// regions may still use their old shares until they have adopted the manifest, and their grants count for a minute.
	shareSettle = 2 * time.Minute
	// maxObserveGap is the time between two observations after which this process may have been paused, so that it
	// cannot know whether another instance was home meanwhile.
	maxObserveGap = 2 * time.Second
	// linkShare is the part of the link between regions that loads may use; the rest is left to streams, calls and the
	// peer protocol.
	linkShare = 0.5
)

// pacer grants load slots as home of one region. Grants are spaced so that every interval of one minute contains at most
// the region's share. It does not lock.
type pacer struct {
	home       bool
	homeSince  time.Time
	observedAt time.Time

	// share applies after lowUntil, and lowShare before; known tells that share was set.
	share     int
	known     bool
	lowShare  int
	lowUntil  time.Time
	lastGrant time.Time
	lastLoads int
	// linkFreeAt is the time at which the link into a region has carried all loads granted to it.
	linkFreeAt map[string]time.Time
}

func newPacer() *pacer { return &pacer{linkFreeAt: make(map[string]time.Time)} }

// observe tells the pacer whether this instance is home. It must be called at least once every maxObserveGap.
func (p *pacer) observe(home bool, share int, now time.Time) {
	if home && (!p.home || now.Sub(p.observedAt) > maxObserveGap) {
		p.homeSince = now
	}
	p.home = home
	p.observedAt = now
	p.setShare(share, now)
}

func (p *pacer) setShare(share int, now time.Time) {
	if p.known && share == p.share {
		return
	}
	if p.known {
		p.lowShare = min(p.effectiveShare(now), share)
		p.lowUntil = now.Add(shareSettle)
	}
	p.share = share
	p.known = true
}

func (p *pacer) effectiveShare(now time.Time) int {
	if now.Before(p.lowUntil) {
		return min(p.lowShare, p.share)
	}
	return p.share
}

// request asks for the loads of one order.
type request struct {
	region string
	loads  int
	// crossing is the number of bytes that the link between regions must carry; zero in the weight store's region.
	crossing  int64
	perSecond int64
	perHour   int64
}

// grant starts the loads now, or returns the time from which another request is useful.
func (p *pacer) grant(r request, now time.Time) (retryAt time.Time, granted bool) {
	share := p.effectiveShare(now)
	if !p.home || now.Sub(p.observedAt) > maxObserveGap || share <= 0 {
		return now.Add(DefaultInterval), false
	}
	loads := min(r.loads, share)
	freeAt := p.freeAt(loads, share)
	if r.crossing > 0 {
		// A new home does not know what the link carries for the last home; it assumes a load of the same size. It does
		// not assume a spent hour budget, which would block all loads for long after each change of the home.
		unknown := p.homeSince.Add(transferTime(r.crossing, r.perSecond, time.Second))
		freeAt = later(freeAt, later(unknown, p.linkFreeAt[r.region]))
	}
	if now.Before(freeAt) {
		return freeAt, false
	}
	p.lastGrant = now
	p.lastLoads = loads
	if r.crossing > 0 {
		p.linkFreeAt[r.region] = now.Add(r.linkTime())
	}
	return time.Time{}, true
}

// freeAt returns when the given number of loads may start. Two grants of j and k loads are j+k-1 spacings apart, with
// share spacings in a minute; then no minute contains more loads than the share. A new home does not know the grants of
// the last one and assumes that it granted a full minute's share just before.
func (p *pacer) freeAt(loads, share int) time.Time {
	spacing := (time.Minute + time.Duration(share) - 1) / time.Duration(share)
	free := p.homeSince.Add(time.Duration(share+loads-1) * spacing)
	if p.lastLoads == 0 {
		return free
	}
	return later(free, p.lastGrant.Add(time.Duration(p.lastLoads+loads-1)*spacing))
}

// linkTime is the time that the loads occupy their part of the link, by its capacity or by its budget for an hour.
func (r request) linkTime() time.Duration {
	return max(transferTime(r.crossing, r.perSecond, time.Second), transferTime(r.crossing, r.perHour, time.Hour))
}

// transferTime is zero for a limit of zero, which does not apply.
func transferTime(bytes, limit int64, per time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (float64(limit) * linkShare) * float64(per))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
