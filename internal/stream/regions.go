package stream

import (
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// regions returns the regions in which the generations of an account by a model may run, by the manifest in effect.
func (r *Relay) regions(model, account string) pond.Regions {
	manifest := r.options.Manifest()
	if manifest == nil {
		return pond.Regions{}
	}
	return manifest.RequestRegions(model, account)
}

// allows reports whether a generation may be started on a backend server. It is asked directly before the start, because the request may
// have waited.
func (r *Relay) allows(model, account, backend string) bool {
	regions := r.regions(model, account)
	if !regions.Restricted() {
		return true
	}
	server, ok := r.options.Manifest().Backend(backend)
	return ok && regions.Allows(server.Region())
}
