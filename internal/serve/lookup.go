package serve

import (
	"math/rand/v2"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// maxEntries bounds the addresses of one answer.
const maxEntries = 64

// lookup returns the instances that a caller should use: those of its region, or all if the region has none.
func (i *Instance) lookup(region, _ string) Entries {
	entries := Entries{Validity: i.validity()}
	near := i.entryAddresses(func(instance pond.Instance) bool { return instance.Region() == region })
	if len(near) == 0 {
		near = i.entryAddresses(func(pond.Instance) bool { return true })
	}
	rand.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	entries.Addresses = near[:min(maxEntries, len(near))]
	return entries
}

func (i *Instance) entryAddresses(wanted func(pond.Instance) bool) []string {
	self := i.members.Self().ID()
	var addresses []string
	for _, instance := range i.members.Instances() {
		serving := instance.State() == pond.InstanceLive
		if instance.ID() == self {
			serving = i.ready()
		}
		if serving && wanted(instance) {
			addresses = append(addresses, instance.HTTPAddress())
		}
	}
	return addresses
}
