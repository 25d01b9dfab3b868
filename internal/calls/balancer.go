package calls

import (
	"cmp"
	"slices"
	"sync"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// balancer ranks the replicas of a service by the number of calls that this instance has open on them. It is safe for
// concurrent use.
type balancer struct {
	backends pond.BackendView

	mu        sync.Mutex
	openCalls map[string]int
	rotation  int
}

func newBalancer(backends pond.BackendView) *balancer {
	return &balancer{backends: backends, openCalls: make(map[string]int)}
}

// candidates returns the replicas in allowed regions that accept work, those with the fewest open calls first. Equally
// loaded replicas take turns.
func (lb *balancer) candidates(manifest *spec.Manifest, service spec.Service, regions pond.Regions) []spec.Backend {
	var accepting []spec.Backend
	for _, name := range service.Backends() {
		replica, ok := manifest.Backend(name)
		if ok && !replica.Leaving() && regions.Allows(replica.Region()) && lb.backends.Accepting(name) {
			accepting = append(accepting, replica)
		}
	}
	if len(accepting) == 0 {
		return nil
	}
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.rotation = (lb.rotation + 1) % len(accepting)
	accepting = slices.Concat(accepting[lb.rotation:], accepting[:lb.rotation])
	slices.SortStableFunc(accepting, func(a, b spec.Backend) int {
		return cmp.Compare(lb.openCalls[a.Name()], lb.openCalls[b.Name()])
	})
	return accepting
}

// beginCall counts an open call to the replica until the returned function is called.
func (lb *balancer) beginCall(name string) (end func()) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.openCalls[name]++
	return func() {
		lb.mu.Lock()
		defer lb.mu.Unlock()
		lb.openCalls[name]--
		if lb.openCalls[name] == 0 {
			delete(lb.openCalls, name)
		}
	}
}
