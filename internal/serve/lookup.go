package serve

import (
	"math/rand/v2"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// maxAddresses bounds the addresses in one response.
const maxAddresses = 64

// lookup returns addresses of instances for a caller: those in its region, or in all regions if its region has none.
func (i *Instance) lookup(region, _ string) LookupResult {
	result := LookupResult{Validity: i.lookupValidity()}
	addresses := i.entryAddresses(func(instance pond.Instance) bool { return instance.Region() == region })
	if len(addresses) == 0 {
		addresses = i.entryAddresses(func(pond.Instance) bool { return true })
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	result.Addresses = addresses[:min(maxAddresses, len(addresses))]
	return result
}

func (i *Instance) entryAddresses(match func(pond.Instance) bool) []string {
	self := i.members.Self().ID()
	var addresses []string
	for _, instance := range i.members.Instances() {
		serving := instance.State() == pond.InstanceLive
		if instance.ID() == self {
			serving = i.ready()
		}
		if serving && match(instance) {
			addresses = append(addresses, instance.HTTPAddress())
		}
	}
	return addresses
}
