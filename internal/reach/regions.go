package reach

import (
	"context"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

type regionsKey struct{}

// WithRegions restricts the helpers that may carry a connection to those in allowed regions. What is sent on the connection passes through its
// helper, wherever the backend server is.
func WithRegions(ctx context.Context, regions pond.Regions) context.Context {
	if !regions.Restricted() {
		return ctx
	}
	return context.WithValue(ctx, regionsKey{}, regions)
}

// RegionsOf returns the regions that WithRegions has set.
func RegionsOf(ctx context.Context) pond.Regions {
	regions, _ := ctx.Value(regionsKey{}).(pond.Regions)
	return regions
}

// allowedHelpers returns the helpers in allowed regions. It does not change the slice.
func allowedHelpers(helpers []Helper, regions pond.Regions) []Helper {
	if !regions.Restricted() {
		return helpers
	}
	var allowed []Helper
	for _, h := range helpers {
		if regions.Allows(h.region) {
			allowed = append(allowed, h)
		}
	}
	return allowed
}
