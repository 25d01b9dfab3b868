package order

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// settledInstance is an instance that is home of all engines, which are in their desired state.
type settledInstance struct {
	*simNode
	live []pond.Instance
}

func (s *settledInstance) Instances() []pond.Instance { return s.live }

func (s *settledInstance) ReadState(_ context.Context, engine spec.Backend) (Report, error) {
	desired, _ := Desired(engine)
	return Report{Order: Order{Fence: 1, State: desired}, Phase: "ready"}, nil
}

// Home returns this instance, after computing the hashes of a ranking, so that the benchmark includes their cost.
func (s *settledInstance) Home(key, _ string) (pond.Instance, bool) {
	var highest uint64
	for _, instance := range s.live {
		highest = max(highest, xxhash.Sum64String(key+string(instance.ID())))
	}
	return s.instance, highest > 0
}

// BenchmarkRound measures one reconcile round over engines in their desired state, with 350 instances and no network:
// without changes, and after a membership change, which ranks all engines again.
func BenchmarkRound(b *testing.B) {
	const instances = 350
	for _, engines := range []int{10, 50, 150, 600} {
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/changes=%t", engines, changes), func(b *testing.B) {
				sim := newSimulation(b, 0)
				instance := &settledInstance{simNode: sim.nodes[0]}
				for i := range instances {
					ref := pond.InstanceRef{ID: pond.InstanceID("instance-" + strconv.Itoa(i))}
					instance.live = append(instance.live, pond.NewInstance(ref, pond.InstanceLive, "", "", "a1", "a"))
				}
				var configs []object
				for i := range engines {
					configs = append(configs, engineConfig(fmt.Sprintf("e%d", i), "a1", "1", true))
				}
				instance.current = manifestOf(b, 1, 0, configs...)
				options := instance.reconciler.options
				options.Source, options.Directory, options.Ranking, options.Engines = instance, instance, instance, instance
				r := New(options)
				b.ReportAllocs()
				for b.Loop() {
					sim.now = sim.now.Add(DefaultInterval)
					if changes {
						r.homeEngines.manifest = nil
					}
					r.Round(context.Background())
				}
				b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(engines)/float64(time.Microsecond), "µs/engine")
			})
		}
	}
}
