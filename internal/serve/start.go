package serve

import (
	"time"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
)

// startTime is the time from the start in which an instance follows the seeds. Then it knows most other instances: a
// member synchronises its table 0.35 s after it was first answered.
const startTime = 1500 * time.Millisecond

// startSources reports whether an instance asks the seeds for records, and whether it asks others after them.
//
// The load pattern: all instances start at once, and each knows nobody. Each would take itself for the reader of its
// region and read the store. So they follow the seeds, which read the store, until they know each other; without an answer
// in time they do without the seeds.
func startSources(seed bool, seeds int, hasSnapshot bool, sinceStart time.Duration) (fromSeeds, fromOthers bool) {
	switch {
	case seed || seeds == 0 || sinceStart > startTime:
		return false, true
	case hasSnapshot:
		return true, true
	case sinceStart <= feed.StartTimeout:
		return true, false
	default:
		return false, true
	}
}

// starting reports whether the instance still follows the seeds. It must not be followed meanwhile: a seed that takes it for
// the first of its region would follow it in a circle, and neither would hear anything. A day with instances that were
// stopped in turn met that: an engine's notice came 1.5 s late.
func (i *Instance) starting() bool {
	fromSeeds, _ := startSources(i.settings.Seed, len(i.settings.Seeds), i.feed.Revision() > 0, clock.Now().Sub(i.startedAt))
	return fromSeeds
}

// seedSources returns the seeds in an order of this instance's own, so that they share the followers.
func (i *Instance) seedSources() []feed.Upstream {
	sources := make([]feed.Upstream, 0, len(i.settings.Seeds))
	for at := range i.settings.Seeds {
		address := i.settings.Seeds[(at+i.firstSeed)%len(i.settings.Seeds)]
		source := i.addressSource("seed/"+address, address)
		source.DuringStart = true
		sources = append(sources, source)
	}
	return sources
}
