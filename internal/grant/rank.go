package grant

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// RendezvousRank orders instances by the hash of key and name, the greatest first. The incarnation is left out, so
// that a restarted instance gets the same pools again.
func RendezvousRank(key string, instances []pond.Instance) []pond.Instance {
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b pond.Instance) int {
		return cmp.Or(
			cmp.Compare(rendezvousScore(key, b.ID()), rendezvousScore(key, a.ID())),
			cmp.Compare(a.ID(), b.ID()),
		)
	})
	return ranked
}

func rendezvousScore(key string, id pond.InstanceID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}
