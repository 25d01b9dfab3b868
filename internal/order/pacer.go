package order

import "time"

const (
	// shareSettleTime is how long the smaller of the old and the new share applies after a manifest changes the share.
	// Other regions may use their old shares until they have adopted the manifest, and their grants count for a minute.
	shareSettleTime = 2 * time.Minute
	// maxObserveGap is the maximum time between two observations. After a longer gap, this process may have been paused
	// and another instance may have been home in the meantime.
	maxObserveGap = 2 * time.Second
	// linkFraction is the fraction of the link between regions that loads may use; the rest is left to streams, calls
	// and the peer protocol.
	linkFraction = 0.5
)

// pacer grants load slots as home of one region. It spaces grants so that no interval of one minute contains more loads
// than the region's share. It does not lock.
type pacer struct {
	isHome     bool
	homeSince  time.Time
	observedAt time.Time

	// share applies from transitionUntil on; before that, the smaller of it and transitionShare applies. shareSet is
	// true once share has been set.
	share           int
	shareSet        bool
	transitionShare int
	transitionUntil time.Time
	lastGrant       time.Time
	lastLoads       int
	// linkFreeAt is the time by which the link into a region has carried all loads granted to it.
	linkFreeAt map[string]time.Time
}

func newPacer() *pacer { return &pacer{linkFreeAt: make(map[string]time.Time)} }

// observe tells the pacer whether this instance is home. It must be called at least once every maxObserveGap, or no
// slots are granted.
func (p *pacer) observe(home bool, share int, now time.Time) {
	if home && (!p.isHome || now.Sub(p.observedAt) > maxObserveGap) {
		p.homeSince = now
	}
	p.isHome = home
	p.observedAt = now
	p.setShare(share, now)
}

func (p *pacer) setShare(share int, now time.Time) {
	if p.shareSet && share == p.share {
		return
	}
	if p.shareSet {
		p.transitionShare = min(p.effectiveShare(now), share)
		p.transitionUntil = now.Add(shareSettleTime)
	}
	p.share = share
	p.shareSet = true
}

func (p *pacer) effectiveShare(now time.Time) int {
	if now.Before(p.transitionUntil) {
		return min(p.transitionShare, p.share)
	}
	return p.share
}

// slotRequest asks for the load slots of one order.
type slotRequest struct {
	region string
	loads  int
	// linkBytes is the number of bytes that the link between regions must carry, zero in the weight store's region.
	// bytesPerSecond and bytesPerHour are the limits of the link.
	linkBytes      int64
	bytesPerSecond int64
	bytesPerHour   int64
}

// grant allows the loads to start now, or returns the earliest useful time for another request.
func (p *pacer) grant(r slotRequest, now time.Time) (retryAt time.Time, granted bool) {
	share := p.effectiveShare(now)
	if !p.isHome || now.Sub(p.observedAt) > maxObserveGap || share <= 0 {
		return now.Add(DefaultInterval), false
	}
	loads := min(r.loads, share)
	freeAt := p.earliestStart(loads, share)
	if r.linkBytes > 0 {
		// A new home does not know what the link still carries for the previous one; it assumes a load of the same
		// size. It does not assume that the hourly limit is used up, which would block loads for long after each
		// change of the home.
		unknown := p.homeSince.Add(transferTime(r.linkBytes, r.bytesPerSecond, time.Second))
		freeAt = laterOf(freeAt, laterOf(unknown, p.linkFreeAt[r.region]))
	}
	if now.Before(freeAt) {
		return freeAt, false
	}
	p.lastGrant = now
	p.lastLoads = loads
	if r.linkBytes > 0 {
		p.linkFreeAt[r.region] = now.Add(r.linkOccupancy())
	}
	return time.Time{}, true
}

// earliestStart returns when the given number of loads may start. With a spacing of one minute divided by the share,
// two grants of j and k loads are j+k-1 spacings apart, so no minute contains more loads than the share. A new home
// does not know the grants of the previous one and assumes that it has just granted the share of a full minute.
func (p *pacer) earliestStart(loads, share int) time.Time {
	spacing := (time.Minute + time.Duration(share) - 1) / time.Duration(share)
	freeAt := p.homeSince.Add(time.Duration(share+loads-1) * spacing)
	if p.lastLoads == 0 {
		return freeAt
	}
	return laterOf(freeAt, p.lastGrant.Add(time.Duration(p.lastLoads+loads-1)*spacing))
}

// linkOccupancy returns how long the loads occupy their fraction of the link, by its capacity or by its hourly limit.
func (r slotRequest) linkOccupancy() time.Duration {
	return max(transferTime(r.linkBytes, r.bytesPerSecond, time.Second),
		transferTime(r.linkBytes, r.bytesPerHour, time.Hour))
}

// transferTime returns the time to transfer the bytes, or zero for a limit of zero, which does not apply.
func transferTime(bytes, limit int64, per time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / (float64(limit) * linkFraction) * float64(per))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
