package order

import (
	"slices"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// regionShares holds the number of loads per minute that each region may start. It is a pure function of the manifest.
type regionShares struct {
	perMinute map[string]int
	// storeRegion is the region of the weight store.
	storeRegion string
	// remainderRegion is the region that gets the remainder of the division.
	remainderRegion string
}

// newRegionShares divides the rate of the weight store equally between the regions that have engines, so that the
// shares change only with the rate or the regions. Their sum is the rate.
func newRegionShares(manifest *spec.Manifest) regionShares {
	_, dataCentre, rate := manifest.WeightStore()
	s := regionShares{perMinute: make(map[string]int), storeRegion: manifest.Region(dataCentre)}
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

// grantingRegion returns the region whose home grants slots to engines of the given region. If the rate is smaller than
// the number of regions, regions without a share use the slots of remainderRegion.
func (s regionShares) grantingRegion(region string) string {
	if s.perMinute[region] > 0 {
		return region
	}
	return s.remainderRegion
}
