package hazard

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

const (
	// An instance that starts asks startPeers others with startInterval between them, within startTime. After that it exchanges crashes
	// with one other at a time.
	startPeers    = 3
	startInterval = 50 * time.Millisecond
	startTime     = 5 * time.Second
)

// opening decides which instances one that has just started asks for their crashes. It asks different ones: while instances are replaced, the
// only one that it knows may have ended, or have just started and know nothing.
type opening struct {
	endsAt   time.Time
	answered map[pond.InstanceRef]struct{}
	tries    map[pond.InstanceRef]int
}

func newOpening(now time.Time) *opening {
	return &opening{endsAt: now.Add(startTime), answered: make(map[pond.InstanceRef]struct{}), tries: make(map[pond.InstanceRef]int)}
}

// over reports whether enough instances have answered or the time is up.
func (o *opening) over(now time.Time) bool {
	return len(o.answered) >= startPeers || !now.Before(o.endsAt)
}

// next returns the instance to ask, of peers in the order in which they would be asked otherwise: one that has not answered and was asked least
// often. Of these it takes one that shuts down, because its crashes go with it. It returns false if all have answered.
func (o *opening) next(peers []pond.Instance) (pond.Instance, bool) {
	var best pond.Instance
	found := false
	for _, peer := range peers {
		if _, ok := o.answered[peer.Ref()]; !ok && (!found || o.precedes(peer, best)) {
			best, found = peer, true
		}
	}
	if found {
		o.tries[best.Ref()]++
	}
	return best, found
}

func (o *opening) precedes(peer, other pond.Instance) bool {
	if a, b := o.tries[peer.Ref()], o.tries[other.Ref()]; a != b {
		return a < b
	}
	return peer.State() == pond.InstanceLeaving && other.State() != pond.InstanceLeaving
}

// hasAnswered records the answer of an instance.
func (o *opening) hasAnswered(peer pond.Instance) { o.answered[peer.Ref()] = struct{}{} }
