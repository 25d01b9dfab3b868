package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// Reports counts faults of received manifests. The last fault of each kind is described for operators.
type Reports struct {
	// Invalid counts values that are no valid manifest.
	Invalid     int
	LastInvalid string
	// Conflicts counts manifests with the number of another one but other content.
	Conflicts    int
	LastConflict string
	// Rollbacks counts manifests with a lower number at a higher revision.
	Rollbacks    int
	LastRollback string

	lastInvalid  reported
	lastConflict reported
	lastRollback reported
}

// reported identifies what was reported last, because the same value arrives again with each read.
type reported struct {
	version spec.Version
	hash    uint64
}

// adopt puts a manifest into effect if its version is greater than the one in effect.
func (m *Machine) adopt(now time.Time, candidate *spec.Manifest) {
	current := m.Current()
	if current == nil {
		m.keep(now, candidate)
		return
	}
	m.compare(candidate.Version(), candidate.Hash())
	if candidate.Version().After(current.Version()) {
		m.keep(now, candidate)
	}
}

func (m *Machine) keep(now time.Time, manifest *spec.Manifest) {
	m.kept = append([]*spec.Manifest{manifest}, m.kept...)
	m.kept = m.kept[:min(len(m.kept), keptManifests)]
	// A read after the adopted revision saves the transfer of a body that is already here.
	m.reader.seen = max(m.reader.seen, manifest.Version().Revision)
	m.prune()
	m.announce(now)
	if m.phase == PhaseStarting {
		m.settle(now)
	}
}

// compare reports what is wrong with a version next to the one in effect.
func (m *Machine) compare(v spec.Version, hash uint64) {
	current := m.Current()
	own := current.Version()
	id := reported{version: v, hash: hash}
	r := &m.reports
	switch {
	case v.Number == own.Number && hash != current.Hash() && r.lastConflict != id:
		r.lastConflict = id
		r.Conflicts++
		r.LastConflict = "manifest " + v.String() + " has the number of " + own.String() + " but other content"
	case v.Number < own.Number && v.Revision > own.Revision && r.lastRollback != id:
		r.lastRollback = id
		r.Rollbacks++
		r.LastRollback = "manifest " + v.String() + " has a lower number than " + own.String() + " at a higher revision"
	}
}

func (m *Machine) reportInvalid(v spec.Version, hash uint64, reason error) {
	id := reported{version: v, hash: hash}
	if m.reports.lastInvalid == id {
		return
	}
	m.reports.lastInvalid = id
	m.reports.Invalid++
	m.reports.LastInvalid = "manifest at revision " + v.String() + ": " + reason.Error()
}
