package bound

import "time"

// connState tells what a connection of a caller does.
type connState int

const (
	// connWaiting connections are between two requests.
	connWaiting connState = iota
	// connReading connections have sent a part of the head of a request.
	connReading
	// connServing connections have a request in progress.
	connServing
)

// connEntry is one open connection.
type connEntry struct {
	source *connSource
	state  connState
	since  time.Time // of state
	// evicted is true for a connection that is being closed.
	evicted bool
	conn    *Conn
}

// connSource counts the open connections of one address that are not being closed.
type connSource struct {
	address string
	open    int
}

// connTable decides which connections are open. When there are too many, one without a request in progress is evicted: of the address with the
// most connections, the one that has waited longest for a request, else the one whose head has taken longest. Its methods do not lock or block.
type connTable struct {
	// max bounds the connections, and maxOfSource those of one address; 0 for no limit.
	max, maxOfSource int
	entries          map[*connEntry]struct{}
	sources          map[string]*connSource
	evicted          int
}

func newConnTable(limit int) *connTable {
	const shareParts = 8 // One address may have all but one part: all ordinary callers may share it.
	t := &connTable{max: limit, entries: make(map[*connEntry]struct{}), sources: make(map[string]*connSource)}
	if limit > 0 {
		t.maxOfSource = max(1, limit-limit/shareParts)
	}
	return t
}

// admit decides whether a new connection is opened, and which one is closed for it. It returns a nil entry for one that is refused.
func (t *connTable) admit(address string, now time.Time) (e, victim *connEntry) {
	source := t.sources[address]
	if source == nil {
		source = &connSource{address: address}
	}
	full := false
	switch {
	case t.max == 0:
	case source.open >= t.maxOfSource:
		full, victim = true, t.victim(source)
	case len(t.entries)-t.evicted >= t.max:
		full, victim = true, t.victim(nil)
	}
	// Connections that are being closed still have their descriptors: the sum may exceed max by a part only.
	const leavingParts = 8
	if full && (victim == nil || t.evicted > t.max/leavingParts) {
		return nil, nil
	}
	if victim != nil {
		t.evict(victim)
	}
	t.sources[address] = source
	source.open++
	e = &connEntry{source: source, since: now}
	t.entries[e] = struct{}{}
	return e, victim
}

// victim returns the connection to close, of the given source if it is not nil; nil for none.
func (t *connTable) victim(source *connSource) *connEntry {
	var victim *connEntry
	for e := range t.entries {
		if e.evicted || e.state == connServing || source != nil && e.source != source {
			continue
		}
		if victim == nil || e.closesBefore(victim) {
			victim = e
		}
	}
	return victim
}

// closesBefore reports whether e is closed rather than other.
func (e *connEntry) closesBefore(other *connEntry) bool {
	switch {
	case e.source.open != other.source.open:
		return e.source.open > other.source.open
	case e.state != other.state:
		return e.state < other.state
	default:
		return e.since.Before(other.since)
	}
}

// evict records that a connection is being closed.
func (t *connTable) evict(e *connEntry) {
	e.evicted = true
	t.evicted++
	t.leave(e.source)
}

// remove ends a connection.
func (t *connTable) remove(e *connEntry) {
	if _, open := t.entries[e]; !open {
		return
	}
	delete(t.entries, e)
	if e.evicted {
		t.evicted--
		return
	}
	t.leave(e.source)
}

func (t *connTable) leave(source *connSource) {
	if source.open--; source.open == 0 {
		delete(t.sources, source.address)
	}
}
