package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// Filter selects instances.
type Filter func(pond.Instance) bool

// InRegion selects the instances of a region.
func InRegion(region string) Filter {
	return func(i pond.Instance) bool { return i.Region() == region }
}

// InDataCentre selects the instances of a data centre.
func InDataCentre(dataCentre string) Filter {
	return func(i pond.Instance) bool { return i.DataCentre() == dataCentre }
}

// lowCapacityDivisor sets the capacity below which an instance is ranked behind the others: the largest capacity
// divided by it. The link speeds of one deployment differ by a factor of twenty, and the slowest machines cannot serve
// all others of their region.
const lowCapacityDivisor = 2

// Rank returns the live instances that pass all filters, ordered by descending rendezvous hashing weight for the key,
// those of low capacity last. Instances with equal tables compute equal ranks. A suspect instance counts as live,
// because most suspicions are refuted and a change of rank moves work.
func Rank(directory pond.Directory, key string, filters ...Filter) []pond.Instance {
	type ranked struct {
		instance    pond.Instance
		weight      uint64
		lowCapacity bool
	}
	var candidates []ranked
	for _, instance := range directory.Instances() {
		if !rankable(instance.State()) || !matchesAll(instance, filters) {
			continue
		}
		candidates = append(candidates, ranked{instance: instance, weight: Weight(key, instance.ID())})
	}
	largest := uint32(0)
	for _, c := range candidates {
		largest = max(largest, c.instance.Capacity())
	}
	for i := range candidates {
		candidates[i].lowCapacity = candidates[i].instance.Capacity() < largest/lowCapacityDivisor
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(compareBool(a.lowCapacity, b.lowCapacity), cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.instance.ID(), b.instance.ID()))
	})
	instances := make([]pond.Instance, 0, len(candidates))
	for _, c := range candidates {
		instances = append(instances, c.instance)
	}
	return instances
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Weight returns the rendezvous hashing weight of an instance for a key. It does not depend on the incarnation, so a
// restart of an instance does not change ranks.
func Weight(key string, id pond.InstanceID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

func rankable(state pond.InstanceState) bool {
	return state == pond.InstanceLive || state == pond.InstanceSuspect
}

func matchesAll(instance pond.Instance, filters []Filter) bool {
	for _, filter := range filters {
		if !filter(instance) {
			return false
		}
	}
	return true
}
