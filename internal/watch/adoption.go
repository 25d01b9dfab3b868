package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// ManifestFaults counts faulty manifests received and describes the last one of each kind for operators.
type ManifestFaults struct {
	// Invalid counts manifests that failed validation.
	Invalid     int
	LastInvalid string
	// Conflicts counts manifests with the same number as the one in effect but different content.
	Conflicts    int
	LastConflict string
	// Rollbacks counts manifests with a lower number than the one in effect at a higher revision.
	Rollbacks    int
	LastRollback string

	lastInvalid  manifestID
	lastConflict manifestID
	lastRollback manifestID
}

// manifestID identifies a manifest. A fault is counted once for each manifest, although the same one arrives again with
// every read.
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
	m.recordInconsistency(candidate.Version(), candidate.Hash())
	if candidate.Version().After(current.Version()) {
		m.install(now, candidate)
	}
}

func (m *Machine) install(now time.Time, manifest *spec.Manifest) {
	m.retained = append([]*spec.Manifest{manifest}, m.retained...)
	m.retained = m.retained[:min(len(m.retained), maxRetained)]
	// The next read asks for revisions after the adopted one, so that its body is not transferred again.
	m.reader.lastRevision = max(m.reader.lastRevision, manifest.Version().Revision)
	m.pruneSources()
	m.announce(now)
	if m.phase == PhaseStarting {
		m.tryConfirm(now)
	}
}

// recordInconsistency counts a conflict or rollback between a received version and the one in effect.
func (m *Machine) recordInconsistency(v spec.Version, hash uint64) {
	current := m.Current()
	own := current.Version()
	id := manifestID{version: v, hash: hash}
	faults := &m.faults
	switch {
	case v.Number == own.Number && hash != current.Hash() && faults.lastConflict != id:
		faults.lastConflict = id
		faults.Conflicts++
		faults.LastConflict = "manifest " + v.String() + " has the number of " + own.String() + " but other content"
	case v.Number < own.Number && v.Revision > own.Revision && faults.lastRollback != id:
		faults.lastRollback = id
		faults.Rollbacks++
		faults.LastRollback = "manifest " + v.String() + " has a lower number than " + own.String() + " at a higher revision"
	}
}

func (m *Machine) recordInvalid(v spec.Version, hash uint64, reason error) {
	id := manifestID{version: v, hash: hash}
	if m.faults.lastInvalid == id {
		return
	}
	m.faults.lastInvalid = id
	m.faults.Invalid++
	m.faults.LastInvalid = "manifest at revision " + v.String() + ": " + reason.Error()
}
