package grant

import (
	"fmt"
	"testing"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// BenchmarkRank measures one ranking of the homes of 34 pools over the 117 instances of a region.
func BenchmarkRank(b *testing.B) {
	var instances []pond.Instance
	for i := range 117 {
		ref := pond.InstanceRef{ID: pond.InstanceID(fmt.Sprintf("entry-%d", i))}
		instances = append(instances, pond.NewInstance(ref, pond.InstanceLive, "", "", "north-1", "north"))
	}
	for b.Loop() {
		for i := range 34 {
			RendezvousRank(poolKey{model: fmt.Sprintf("model-%d", i), region: "north"}.rankKey(), instances)
		}
	}
}
