package order

import (
	"slices"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// homeEngineCache caches the engines of which this instance is home. Ranking all engines takes time proportional to
// engines times instances, and the result changes only with the manifest or the membership.
type homeEngineCache struct {
	manifest *spec.Manifest
	members  []member
	engines  []spec.Backend
}

// member is the part of an instance that affects the ranking.
type member struct {
	ref   pond.InstanceRef
	state pond.InstanceState
}

// refresh recomputes the engines if the manifest or the membership changed, and reports whether one of them did.
func (h *homeEngineCache) refresh(manifest *spec.Manifest, directory pond.Directory, ranking Ranking) bool {
	current := members(directory)
	if h.manifest == manifest && slices.Equal(h.members, current) {
		return false
	}
	h.manifest = manifest
	h.members = current
	h.engines = h.engines[:0]
	for _, backend := range manifest.Backends() {
		if _, ok := Desired(backend); ok && isHome(ranking, backend, directory.Self().Ref()) {
			h.engines = append(h.engines, backend)
		}
	}
	return true
}

func members(directory pond.Directory) []member {
	instances := directory.Instances()
	result := make([]member, 0, len(instances))
	for _, instance := range instances {
		result = append(result, member{ref: instance.Ref(), state: instance.State()})
	}
	return result
}

func isHome(ranking Ranking, engine spec.Backend, self pond.InstanceRef) bool {
	home, ok := ranking.Home("backend/"+engine.Name(), "")
	return ok && home.Ref() == self
}
