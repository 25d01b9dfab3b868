package order

import (
	"slices"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// shares tells how many loads per minute each region may start. It is a pure function of the manifest.
type shares struct {
	perMinute map[string]int
	// storeRegion is the region of the weight store.
	storeRegion string
	// remainderRegion holds what an equal division leaves over.
	remainderRegion string
}

// newShares divides the rate of the weight store equally between the regions that have engines, so that only a change
// of the rate or of the set of regions changes the shares. The sum is the rate.
func newShares(manifest *spec.Manifest) shares {
	_, dataCentre, rate := manifest.WeightStore()
	s := shares{perMinute: make(map[string]int), storeRegion: manifest.Region(dataCentre)}
	regions := engineRegions(manifest)
	if len(regions) == 0 {
		return s
	}
	for _, region := range regions {
		s.perMinute[region] = rate / len(regions)
	}
	s.remainderRegion = s.storeRegion
	if !slices.Contains(regions, s.storeRegion) {
		s.remainderRegion = regions[0]
	}
	s.perMinute[s.remainderRegion] += rate % len(regions)
	return s
}

func engineRegions(manifest *spec.Manifest) []string {
	var regions []string
	for _, backend := range manifest.Backends() {
		if backend.Kind() == spec.BackendEngine {
			regions = append(regions, backend.Region())
		}
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// granting returns the region whose home grants slots to engines of the given region. If the rate is smaller than the
// number of regions, a region without a share of its own asks the region that holds the remainder.
func (s shares) granting(region string) string {
	if s.perMinute[region] > 0 {
		return region
	}
	return s.remainderRegion
}
