package quota

import "time"

// Notice is the newest that an instance knows about the limit of a backend server.
type Notice struct {
	backend   string
	perSecond float64
	lifted    bool
	asOf      time.Time
}

// NewNotice returns a notice of a limit in requests per second.
func NewNotice(backend string, perSecond float64, asOf time.Time) Notice {
	return Notice{backend: backend, perSecond: perSecond, asOf: asOf}
}

// NewLiftedNotice returns a notice that a backend server names no limit any more.
func NewLiftedNotice(backend string, asOf time.Time) Notice {
	return Notice{backend: backend, lifted: true, asOf: asOf}
}

// Backend returns the ID of the backend server.
func (n Notice) Backend() string { return n.backend }

// PerSecond returns the limit in requests per second from all instances together; 0 if it was lifted.
func (n Notice) PerSecond() float64 { return n.perSecond }

// Lifted reports whether the backend server names no limit any more.
func (n Notice) Lifted() bool { return n.lifted }

// AsOf returns the time for which the notice is known to hold.
func (n Notice) AsOf() time.Time { return n.asOf }

// Table holds the limits that one instance knows. It is not safe for concurrent use.
type Table struct {
	notices map[string]Notice
	known   func(backend string) bool
}

// NewTable returns an empty table. It drops the limits of backend servers that are no longer known.
func NewTable(known func(backend string) bool) *Table {
	return &Table{notices: make(map[string]Notice), known: known}
}

// Observe applies the reading of a response. A response that names no limit lifts one only if its request was sent after
// the limit was last named: responses may overtake each other. It returns the notice and whether it changes the limit.
func (t *Table) Observe(backend string, reading Reading, sentAt, now time.Time) (notice Notice, changed bool) {
	switch reading.kind {
	case readingLimit:
		return t.apply(NewNotice(backend, reading.perSecond, now))
	case readingNoLimit:
		if _, limited := t.Limit(backend); limited {
			return t.apply(NewLiftedNotice(backend, sentAt))
		}
	}
	return Notice{}, false
}

// Merge applies a notice of another instance and reports whether it changes the limit.
func (t *Table) Merge(n Notice) bool {
	if n.lifted {
		if _, limited := t.Limit(n.backend); !limited {
			return false
		}
	}
	_, changed := t.apply(n)
	return changed
}

func (t *Table) apply(n Notice) (Notice, bool) {
	former, ok := t.notices[n.backend]
	if ok && !n.asOf.After(former.asOf) {
		return former, false
	}
	if !ok {
		t.evict()
	}
	t.notices[n.backend] = n
	return n, !ok || former.lifted != n.lifted || former.perSecond != n.perSecond
}

// evict drops the notices of backend servers that are no longer known.
func (t *Table) evict() {
	for backend := range t.notices {
		if !t.known(backend) {
			delete(t.notices, backend)
		}
	}
}

// Limit returns the limit of a backend server in requests per second, and false if it has none.
func (t *Table) Limit(backend string) (perSecond float64, limited bool) {
	n, ok := t.notices[backend]
	return n.perSecond, ok && !n.lifted
}

// Notice returns the newest notice about a backend server, and false if there is none.
func (t *Table) Notice(backend string) (Notice, bool) {
	n, ok := t.notices[backend]
	return n, ok
}
