package watch

import (
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

const (
	watchKey              = "watch"
	watchersPerDataCentre = 2
	longPoll              = 30 * time.Second
	// readSpread spreads the first reads after a mass restart and after an outage.
	readSpread = 2 * time.Second
	// minRetry keeps a service that answers at once with the same old value from being read in a tight loop.
	minRetry     = 200 * time.Millisecond
	backstopMin  = 45 * time.Second
	backstopSpan = 30 * time.Second
	// watchCheck is the time between checks whether this instance should watch.
	watchCheck = time.Second
	// readGiveUp ends the wait for a read result that was lost with a cancelled request.
	readGiveUp = longPoll + 10*time.Second
)

// reader schedules reads of the configuration service.
type reader struct {
	next      time.Time
	nextCheck time.Time
	watching  bool
	// busyUntil is the give-up time of a read in progress; zero for none.
	busyUntil time.Time
	// seen is the revision that the service gave last, whether or not the manifest was adopted.
	seen uint64
	// done is true if a read has ended since the confirmation began.
	done bool
}

// read starts a read if one is due.
func (m *Machine) read(now time.Time) {
	r := &m.reader
	if !now.Before(r.nextCheck) {
		r.nextCheck = now.Add(watchCheck)
		m.checkWatch(now)
	}
	if now.Before(r.next) || now.Before(r.busyUntil) {
		return
	}
	r.busyUntil = now.Add(readGiveUp)
	action := Read{After: r.seen}
	if r.watching && m.phase != PhaseStarting {
		action.Wait = longPoll
	}
	m.actions = append(m.actions, action)
}

func (m *Machine) checkWatch(now time.Time) {
	watches := m.watches()
	if watches && !m.reader.watching {
		m.readSoon(now)
	}
	m.reader.watching = watches
}

// readSoon brings the next read forward to a random time within readSpread.
func (m *Machine) readSoon(now time.Time) {
	if soon := now.Add(m.within(readSpread)); soon.Before(m.reader.next) {
		m.reader.next = soon
	}
}

// ReadDone handles the result of a Read.
func (m *Machine) ReadDone(now time.Time, result ReadResult) []Action {
	r := &m.reader
	r.busyUntil = time.Time{}
	r.done = true
	before := m.Current()
	stale := m.see(result)
	if result.Invalid != nil {
		m.reportInvalid(spec.Version{Revision: result.Revision}, 0, result.Invalid)
	}
	if result.Manifest != nil {
		m.adopt(now, result.Manifest)
	}
	useless := result.Err != nil || result.Invalid != nil || stale || result.Manifest != nil && m.Current() == before
	r.next = m.nextRead(now, useless)
	return m.drain()
}

// see stores the revision of the service. A service that lost its state starts again at a small revision, which a read
// after the greater one would never return; so an answer with a smaller revision makes the next read unconditional.
func (m *Machine) see(result ReadResult) (stale bool) {
	r := &m.reader
	if result.Err != nil || result.Revision == 0 {
		return false
	}
	if result.Manifest == nil && result.Invalid == nil && result.Revision < r.seen {
		r.seen = 0
		return true
	}
	r.seen = result.Revision
	return false
}

func (m *Machine) nextRead(now time.Time, useless bool) time.Time {
	// An instance that starts may not know the other members yet and would rank itself as a watcher.
	watching := m.reader.watching && m.phase != PhaseStarting
	switch {
	case !watching && m.Current() != nil:
		return now.Add(backstopMin + m.within(backstopSpan))
	case useless || m.Current() == nil:
		return now.Add(minRetry + m.within(readSpread-minRetry))
	default:
		return now
	}
}
