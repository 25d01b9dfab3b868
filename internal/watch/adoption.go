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

	lastInvalid  manifestID
	lastConflict manifestID
	lastRollback manifestID
}

// reported identifies what was reported last, because the same value arrives again with each read.
type manifestID struct {
	version spec.Version
	hash    uint64
}

// adopt puts a manifest into effect if its version is greater than the one in effect.
func (m *Machine) adopt(now time.Time, candidate *spec.Manifest) {
	current := m.Current()
	if current == nil {
		m.install(now, candidate)
		return
	}
	m.reportInconsistency(candidate.Version(), candidate.Hash())
	if candidate.Version().After(current.Version()) {
		m.install(now, candidate)
	}
}

func (m *Machine) install(now time.Time, manifest *spec.Manifest) {
	m.retained = append([]*spec.Manifest{manifest}, m.retained...)
	m.retained = m.retained[:min(len(m.retained), maxRetained)]
	// A read after the adopted revision saves the transfer of a body that is already here.
	m.reader.lastRevision = max(m.reader.lastRevision, manifest.Version().Revision)
	m.pruneSources()
	m.announce(now)
	if m.phase == PhaseStarting {
		m.tryConfirm(now)
	}
}

// compare reports what is wrong with a version next to the one in effect.
func (m *Machine) reportInconsistency(v spec.Version, hash uint64) {
	current := m.Current()
	own := current.Version()
	id := manifestID{version: v, hash: hash}
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
	id := manifestID{version: v, hash: hash}
	if m.reports.lastInvalid == id {
		return
	}
	m.reports.lastInvalid = id
	m.reports.Invalid++
	m.reports.LastInvalid = "manifest at revision " + v.String() + ": " + reason.Error()
}
