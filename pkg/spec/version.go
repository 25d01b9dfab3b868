package spec

import (
	"cmp"
	"fmt"
)

// Version orders manifests. Number is assigned by the publisher, Revision by the configuration service. The order does
// not depend on clocks.
type Version struct {
	Number   uint64
	Revision uint64
}

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than w.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Number, w.Number), cmp.Compare(v.Revision, w.Revision))
}

// After reports whether v is newer than w.
func (v Version) After(w Version) bool { return v.Compare(w) > 0 }

// String returns "NUMBER@REVISION".
func (v Version) String() string { return fmt.Sprintf("%d@%d", v.Number, v.Revision) }
