package place

import (
	"fmt"
	"testing"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// BenchmarkRank measures one ranking of the 117 instances of a region for 34 pools.
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
