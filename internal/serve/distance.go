package serve

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/member"
)

const (
	// farRoundTrip is the time of a round trip from which the store counts as far: data centres of one region are 1 to 3 ms
	// apart, regions 60 ms.
	farRoundTrip = 20 * time.Millisecond

	// distanceAge is the time for which a told distance counts. The first ones are measured while processes start, and come
	// out too long.
	distanceAge = 5 * time.Second

	// maxDistances bounds the remembered distances. There are three regions, and one instance of each is asked.
	maxDistances = 64
)

// nearerSources returns the first ranked instances of other regions if this one is far from the store and they are not, so
// that the store is read by its own region alone. An instance whose distance is not known is asked.
func (i *Instance) nearerSources() []feed.Upstream {
	own, measured := i.ports.Store.RoundTrip()
	if !measured || own < farRoundTrip {
		return nil
	}
	var sources []feed.Upstream
	for _, region := range slices.Sorted(maps.Keys(i.settings.Regions)) { // A stable order, so that the source does not change.
		if region == i.settings.Region {
			continue
		}
		ranked := member.Rank(i.members, readerKey, member.InRegion(region))
		if len(ranked) > 0 && i.distances.nearer(ranked[0].PeerAddress(), own, clock.Now()) {
			sources = append(sources, i.peerSource(ranked[0]))
		}
	}
	return sources
}

// distances remembers how far other instances are from the store, by peer address.
type distances struct {
	mu   sync.Mutex
	told map[string]toldDistance
}

// toldDistance is the round trip to the store that an instance told, zero for none.
type toldDistance struct {
	roundTrip time.Duration
	at        time.Time
}

// note remembers the distance that an instance told, zero for none.
func (d *distances) note(address string, roundTrip time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.told == nil || len(d.told) >= maxDistances {
		d.told = make(map[string]toldDistance)
	}
	d.told[address] = toldDistance{roundTrip: roundTrip, at: now}
}

// nearer reports whether an instance is much nearer to the store than own, as far as is known. Following only those, no two
// instances follow each other.
func (d *distances) nearer(address string, own time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	told, known := d.told[address]
	return !known || now.Sub(told.at) > distanceAge || told.roundTrip > 0 && told.roundTrip < own/2
}
