package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	watchKey              = "watch"
	watchersPerDataCentre = 2
	longPollTimeout       = 30 * time.Second
	// readSpread spreads the first reads after a mass restart and after an outage.
	readJitter = 2 * time.Second
	// minRetry keeps a service that answers at once with the same old value from being read in a tight loop.
	minRetryDelay      = 200 * time.Millisecond
	pollIntervalMin    = 45 * time.Second
	pollIntervalJitter = 30 * time.Second
	// watchCheck is the time between checks whether this instance should watch.
	watchCheckInterval = time.Second
	// readGiveUp ends the wait for a read result that was lost with a cancelled request.
	readTimeout = longPollTimeout + 10*time.Second
)

// reader schedules reads of the configuration service.
type reader struct {
	next      time.Time
	nextCheck time.Time
	watching  bool
	// busyUntil is the give-up time of a read in progress; zero for none.
	inFlightUntil time.Time
	// seen is the revision that the service gave last, whether or not the manifest was adopted.
	lastRevision uint64
	// done is true if a read has ended since the confirmation began.
	readSinceStart bool
}

// read starts a read if one is due.
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

// readSoon brings the next read forward to a random time within readSpread.
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
		m.reportInvalid(spec.Version{Revision: result.Revision}, 0, result.Invalid)
	}
	if result.Manifest != nil {
		m.adopt(now, result.Manifest)
	}
	noProgress := result.Err != nil || result.Invalid != nil || stale || result.Manifest != nil && m.Current() == before
	r.next = m.nextRead(now, noProgress)
	return m.takeActions()
}

// see stores the revision of the service. A service that lost its state starts again at a small revision, which a read
// after the greater one would never return; so an answer with a smaller revision makes the next read unconditional.
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
	// An instance that starts may not know the other members yet and would rank itself as a watcher.
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
