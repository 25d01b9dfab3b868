package once

import (
	"cmp"
	"slices"
	"sync"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// replicas orders the replicas of a service by the calls that this instance has open there. It is safe for concurrent
// use.
type replicas struct {
	view pond.BackendView

	mu   sync.Mutex
	open map[string]int
	turn int
}

func newReplicas(view pond.BackendView) *replicas {
	return &replicas{view: view, open: make(map[string]int)}
}

// order returns the replicas that accept work, the least used first. Equally used ones take turns.
func (p *replicas) order(manifest *spec.Manifest, service spec.Service) []spec.Backend {
	var accepting []spec.Backend
	for _, name := range service.Backends() {
		replica, ok := manifest.Backend(name)
		if ok && !replica.Leaving() && p.view.Accepting(name) {
			accepting = append(accepting, replica)
		}
	}
	if len(accepting) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn = (p.turn + 1) % len(accepting)
	accepting = slices.Concat(accepting[p.turn:], accepting[:p.turn])
	slices.SortStableFunc(accepting, func(a, b spec.Backend) int {
		return cmp.Compare(p.open[a.Name()], p.open[b.Name()])
	})
	return accepting
}

// begin counts an open call to the replica until the returned function is called.
func (p *replicas) begin(name string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[name]++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open[name]--
		if p.open[name] == 0 {
			delete(p.open, name)
		}
	}
}
