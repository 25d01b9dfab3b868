package pond

import (
	"slices"
	"strings"
)

// Regions is the set of regions in which a request may run, be copied and be stored. It is immutable, and its zero value
// allows every region.
type Regions struct {
	names      []string // sorted, without duplicates
	restricted bool
}

// NewRegions returns the set of the named regions. No names mean no restriction.
func NewRegions(names []string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Regions{names: slices.Compact(sorted), restricted: true}
}

// Restricted reports whether some regions are not allowed.
func (r Regions) Restricted() bool { return r.restricted }

// Allows reports whether a region is allowed. An unknown region, "", is allowed only without a restriction.
func (r Regions) Allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.names, region)
}

// And returns the regions that both sets allow, which may be none.
func (r Regions) And(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	both := Regions{restricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// Names returns the allowed regions, sorted; nil without a restriction. The caller must not change the slice.
func (r Regions) Names() []string { return r.names }

// String returns the names separated by commas, "any" without a restriction and "none" if no region is allowed.
func (r Regions) String() string {
	switch {
	case !r.restricted:
		return "any"
	case len(r.names) == 0:
		return "none"
	default:
		return strings.Join(r.names, ",")
	}
}
