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

// settled is an instance that is home of all engines, which have their desired state.
type settled struct {
	*node
	live []pond.Instance
}

func (s *settled) Instances() []pond.Instance { return s.live }

func (s *settled) State(_ context.Context, engine spec.Backend) (Report, error) {
	desired, _ := Desired(engine)
	return Report{Order: Order{Fence: 1, State: desired}, Phase: "ready"}, nil
}

// Home computes the hashes of a ranking, so that their cost counts, and returns this instance.
func (s *settled) Home(key, _ string) (pond.Instance, bool) {
	var highest uint64
	for _, instance := range s.live {
		highest = max(highest, xxhash.Sum64String(key+string(instance.ID())))
	}
	return s.instance, highest > 0
}

// BenchmarkRound measures one reconcile round over engines in their desired state without the network, with 350
// instances: when nothing changed, and after a change of the membership, which ranks all engines again.
func BenchmarkRound(b *testing.B) {
	const instances = 350
	for _, engines := range []int{10, 50, 150, 600} {
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/changes=%t", engines, changes), func(b *testing.B) {
				w := newWorld(b, 0)
				s := &settled{node: w.nodes[0]}
				for i := range instances {
					ref := pond.InstanceRef{ID: pond.InstanceID("instance-" + strconv.Itoa(i))}
					s.live = append(s.live, pond.NewInstance(ref, pond.InstanceLive, "", "", "a1", "a"))
				}
				var docs []object
				for i := range engines {
					docs = append(docs, engineDoc(fmt.Sprintf("e%d", i), "a1", "1", true))
				}
				s.current = manifestOf(b, 1, 0, docs...)
				options := s.reconciler.options
				options.Source, options.Directory, options.Ranking, options.Engines = s, s, s, s
				r := New(options)
				b.ReportAllocs()
				for b.Loop() {
					w.now = w.now.Add(DefaultInterval)
					if changes {
						r.homes.manifest = nil
					}
					r.Round(context.Background())
				}
				b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(engines)/float64(time.Microsecond), "µs/engine")
			})
		}
	}
}
