package serve

import (
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/quota"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// seenPeriod is half of the time for which the largest number of instances counts. Regions lose contact with each other for up to an hour.
const seenPeriod = time.Hour

// seenInstances holds how many instances this one has seen at most, in the current period and the one before. It is safe for concurrent use.
type seenInstances struct {
	mu               sync.Mutex
	former, current  int
	currentEndsAfter time.Time
}

// share records the number of instances at present and returns it relative to the largest of the recent past.
func (s *seenInstances) share(instances int, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.currentEndsAfter) {
		s.former, s.current, s.currentEndsAfter = s.current, 0, now.Add(seenPeriod)
	}
	s.current = max(s.current, instances)
	return float64(instances) / float64(max(s.former, s.current, 1))
}

// seenShare returns the share of the instances of the recent past that this one sees, itself included. It is zero until the instance knows most
// others: of all instances that start at once, each would be alone.
func (i *Instance) seenShare() float64 {
	if clock.Now().Sub(i.startedAt) < startupWindow {
		return 0
	}
	return i.seen.share(len(i.runningPeers()), clock.Now())
}

// coldLimits returns the settings for cold backend servers; zeros if they have no limit.
func (i *Instance) coldLimits() (overshoot, slack float64) {
	if i.flags.disabled.Has(pond.MechanismColdLimits) {
		return 0, 0
	}
	return i.settings.ColdOvershoot, i.settings.ColdSlack
}

// coldLimit returns what a backend server bears while it is cold.
func (i *Instance) coldLimit(backend string) quota.Cold { return quota.NewCold(i.fleet.Cold(backend)) }

// coldEngine returns the time for which an engine is still cold, and the most requests that it may get in any second meanwhile.
func (i *Instance) coldEngine(engine string) (left time.Duration, mostPerSecond float64) {
	until, most := i.fleet.Cold(engine)
	if most == 0 {
		return 0, 0
	}
	return until.Sub(clock.Now()), most
}
