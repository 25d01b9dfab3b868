package serve

import (
	"slices"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// startupWindow is the time after its start for which an instance pulls records from the seeds. After that it knows
// most other instances: a member synchronises its table 0.35 s after the first response to it.
const startupWindow = 1500 * time.Millisecond

// startSources reports whether an instance pulls records from the seeds, and whether it uses other sources after them.
//
// If all instances start at once, each knows no other, takes itself for the reader of its region and reads the store.
// So they pull from the seeds, which read the store, until they know each other. Without a snapshot from the seeds in
// time they use the other sources.
func startSources(seed bool, seeds int, hasSnapshot bool, sinceStart time.Duration) (useSeeds, useOthers bool) {
	switch {
	case seed || seeds == 0 || sinceStart > startupWindow:
		return false, true
	case hasSnapshot:
		return true, true
	case sinceStart <= feed.StartTimeout:
		return true, false
	default:
		return false, true
	}
}

// starting reports whether the instance still pulls from the seeds. It must not serve followers meanwhile: a seed that
// ranks it first in its region would pull from it in a cycle, and neither would get any changes. With instances stopped
// in turn, this delayed the notice of a leaving engine by 1.5 s.
func (i *Instance) starting() bool {
	useSeeds, _ := startSources(i.settings.IsSeed, len(i.settings.Seeds), i.feed.Revision() > 0, clock.Now().Sub(i.startedAt))
	return useSeeds
}

// seedSources returns the seeds, starting at firstSeedIndex, which is random, so that followers spread over the seeds.
func (i *Instance) seedSources() []feed.Upstream {
	sources := make([]feed.Upstream, 0, len(i.settings.Seeds))
	for offset := range i.settings.Seeds {
		address := i.settings.Seeds[(offset+i.firstSeedIndex)%len(i.settings.Seeds)]
		source := i.addressSource("seed/"+address, address)
		source.DuringStart = true
		sources = append(sources, source)
	}
	return sources
}

// otherSources returns the seeds and the other instances that are known.
func (i *Instance) otherSources() []feed.Upstream {
	sources := i.seedSources()
	for _, instance := range i.members.Instances() {
		isSeed := slices.Contains(i.settings.Seeds, instance.PeerAddress())
		if instance.ID() != i.members.Self().ID() && instance.State() != pond.InstanceGone && !isSeed {
			sources = append(sources, i.peerSource(instance))
		}
	}
	return sources
}
