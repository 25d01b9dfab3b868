package place

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	// homeAnswerTime is the time after which a home in another region that has not answered yet counts as lost for a request that has no other
	// place. To open a stream to it takes up to four round trips of 60 ms.
	homeAnswerTime = 500 * time.Millisecond

	// unreachedRuns is the number of runs in turn that end at engines which are not reached until this instance stops deciding about the pool
	// itself, and unreachedPause the time between two requests that try again whether an engine is reached.
	unreachedRuns  = 2
	unreachedPause = time.Second
)

// unreachedPool counts the runs in turn that ended without a token at engines of another region about which this instance decided itself.
type unreachedPool struct {
	runs    int
	retryAt time.Time
}

// servingTable holds the engines of each model by region, as of one manifest. To go through the 600 engines of a manifest for each request
// takes 270 us.
type servingTable struct {
	manifest *spec.Manifest
	byModel  map[string][]servingRegion
}

// servingRegion is a region with the names of its engines of one model that do not leave.
type servingRegion struct {
	name    string
	engines []string
}

// servingIn returns the regions that have an engine for a model which does not leave, in the order of the manifest. The slice must not be changed.
func (p *Placer) servingIn(manifest *spec.Manifest, model string) []servingRegion {
	table := p.serving.Load()
	if table == nil || table.manifest != manifest {
		table = newServingTable(manifest)
		p.serving.Store(table)
	}
	return table.byModel[model]
}

func newServingTable(manifest *spec.Manifest) *servingTable {
	table := &servingTable{manifest: manifest, byModel: make(map[string][]servingRegion)}
	for _, backend := range manifest.Backends() {
		if backend.Kind() != spec.BackendEngine || backend.Leaving() {
			continue
		}
		model, _ := backend.Model()
		regions := table.byModel[model]
		i := slices.IndexFunc(regions, func(r servingRegion) bool { return r.name == backend.Region() })
		if i < 0 {
			i, regions = len(regions), append(regions, servingRegion{name: backend.Region()})
		}
		regions[i].engines = append(regions[i].engines, backend.Name())
		table.byModel[model] = regions
	}
	return table
}

// allowedRegions returns the regions in which a restricted request can be placed: those that have an engine for its model which accepts work,
// this region first.
func (p *Placer) allowedRegions(manifest *spec.Manifest, req pond.PlaceRequest) []string {
	var regions []string
	for _, r := range p.servingIn(manifest, req.Model) {
		if req.Regions.Allows(r.name) && slices.ContainsFunc(r.engines, p.options.Backends.Accepting) {
			regions = append(regions, r.name)
		}
	}
	if own := slices.Index(regions, p.region()); own > 0 {
		regions[0], regions[own] = regions[own], regions[0]
	}
	return regions
}

// restricts reports whether a request must not be placed in some region that has an engine for its model.
func (p *Placer) restricts(manifest *spec.Manifest, req pond.PlaceRequest) bool {
	return req.Regions.Restricted() &&
		slices.ContainsFunc(p.servingIn(manifest, req.Model), func(r servingRegion) bool { return !req.Regions.Allows(r.name) })
}

// ownDecision reports whether this instance decides itself about a request that may run in some regions only, because no home of the pool
// answers. It may do so in any region: the request has no other place. The lock must be held.
func (p *Placer) ownDecision(key poolKey, s *homeStream, now time.Time) bool {
	lost := s == nil || !s.ready && now.Sub(s.openedAt) > homeAnswerTime
	return lost && !now.Before(p.unreached[key].retryAt)
}

// beginOwnDecision notes that this instance decides about a request whose home is lost. While the engines are not reached, others are refused
// meanwhile. The lock must be held.
func (p *Placer) beginOwnDecision(r *localRequest, now time.Time) {
	local, own := r.coordinator.(localCoordinator)
	r.withoutHome = own && local.key.region != p.region()
	if !r.withoutHome {
		return
	}
	if pool := p.unreached[r.key]; pool.runs >= unreachedRuns {
		pool.retryAt = now.Add(unreachedPause)
		p.unreached[r.key] = pool
	}
	p.options.Log.WithFields(logrus.Fields{logs.Event: "placedWithoutHome", "pool": r.key.rankKey(), "generation": r.req.Generation}).
		Info("no home of the only allowed region answers, this instance decides itself")
}

// mayLackHome reports whether this instance may decide about the request itself in any region. A request that its home has sent to another region
// returns instead.
func (r *localRequest) mayLackHome() bool { return r.restricted && r.sentTo == "" }

// recordOwnDecision records how a run ended about which this instance decided itself. If the engines of another region are not reached, it is
// not only their homes that are lost. The lock must be held.
func (p *Placer) recordOwnDecision(r *localRequest, tokens int, failed bool, now time.Time) {
	switch {
	case !r.withoutHome:
	case tokens > 0:
		delete(p.unreached, r.key)
	case failed:
		pool := p.unreached[r.key]
		if pool.runs++; pool.runs >= unreachedRuns {
			pool.retryAt = now.Add(unreachedPause)
		}
		p.unreached[r.key] = pool
	}
}
