package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	watchKey              = "watch"
	watchersPerDataCentre = 2
	longPollTimeout       = 30 * time.Second
	// readJitter spreads the first reads after a simultaneous restart of many instances and after an outage.
	readJitter = 2 * time.Second
	// minRetryDelay prevents a tight loop of reads if the service responds at once with the same old value.
	minRetryDelay      = 200 * time.Millisecond
	pollIntervalMin    = 45 * time.Second
	pollIntervalJitter = 30 * time.Second
	// watchCheckInterval is the time between checks whether this instance should be a watcher.
	watchCheckInterval = time.Second
	// readTimeout bounds the wait for a read whose result was lost because its request was cancelled.
	readTimeout = longPollTimeout + 10*time.Second
)

// reader schedules reads of the configuration service.
type reader struct {
	next      time.Time
	nextCheck time.Time
	watching  bool
	// inFlightUntil is the deadline of the read in progress; zero for none.
	inFlightUntil time.Time
	// lastRevision is the last revision returned by the service, whether or not the manifest was adopted.
	lastRevision uint64
	// readSinceStart is true if a read has completed since the confirmation started.
	readSinceStart bool
}

// startRead starts a read of the configuration service if one is due.
func (m *Machine) startRead(now time.Time) {
	r := &m.reader
	if !now.Before(r.nextCheck) {
		r.nextCheck = now.Add(watchCheckInterval)
		m.checkWatch(now)
	}
	if now.Before(r.next) || now.Before(r.inFlightUntil) {
		return
	}
	r.inFlightUntil = now.Add(readTimeout)
	action := Read{After: r.lastRevision}
	if r.watching && m.phase != PhaseStarting {
		action.Wait = longPollTimeout
	}
	m.actions = append(m.actions, action)
}

func (m *Machine) checkWatch(now time.Time) {
	shouldWatch := m.shouldWatch()
	if shouldWatch && !m.reader.watching {
		m.hastenRead(now)
	}
	m.reader.watching = shouldWatch
}

// hastenRead moves the next read forward to a random time within readJitter.
func (m *Machine) hastenRead(now time.Time) {
	if soon := now.Add(m.randomDuration(readJitter)); soon.Before(m.reader.next) {
		m.reader.next = soon
	}
}

// ReadDone handles the result of a Read.
func (m *Machine) ReadDone(now time.Time, result ReadResult) []Action {
	r := &m.reader
	r.inFlightUntil = time.Time{}
	r.readSinceStart = true
	before := m.Current()
	stale := m.recordRevision(result)
	if result.Invalid != nil {
		m.recordInvalid(spec.Version{Revision: result.Revision}, 0, result.Invalid)
	}
	if result.Manifest != nil {
		m.adopt(now, result.Manifest)
	}
	noProgress := result.Err != nil || result.Invalid != nil || stale || result.Manifest != nil && m.Current() == before
	r.next = m.nextRead(now, noProgress)
	return m.takeActions()
}

// recordRevision stores the revision of the service. A service that lost its state restarts at a small revision, which
// a read after a greater one never returns. A response with a smaller revision therefore makes the next read
// unconditional.
func (m *Machine) recordRevision(result ReadResult) (stale bool) {
	r := &m.reader
	if result.Err != nil || result.Revision == 0 {
		return false
	}
	if result.Manifest == nil && result.Invalid == nil && result.Revision < r.lastRevision {
		r.lastRevision = 0
		return true
	}
	r.lastRevision = result.Revision
	return false
}

func (m *Machine) nextRead(now time.Time, noProgress bool) time.Time {
	// An instance that has just started may not know the other members yet and would rank itself as a watcher.
	watching := m.reader.watching && m.phase != PhaseStarting
	switch {
	case !watching && m.Current() != nil:
		return now.Add(pollIntervalMin + m.randomDuration(pollIntervalJitter))
	case noProgress || m.Current() == nil:
		return now.Add(minRetryDelay + m.randomDuration(readJitter-minRetryDelay))
	default:
		return now
	}
}
