package quota

import "time"

// Notice is the newest that an instance knows about what a backend server asks of all instances.
type Notice struct {
	backend string
	terms   Terms
	asOf    time.Time
}

// NewNotice returns a notice of a limit in requests per second.
func NewNotice(backend string, perSecond float64, asOf time.Time) Notice {
	return Notice{backend: backend, terms: Terms{limited: true, perSecond: perSecond}, asOf: asOf}
}

// NewLiftedNotice returns a notice that a backend server asks for nothing any more.
func NewLiftedNotice(backend string, asOf time.Time) Notice {
	return Notice{backend: backend, asOf: asOf}
}

// WithBrittle returns the notice with whether the backend server fails if it has to reject requests.
func (n Notice) WithBrittle(brittle bool) Notice {
	n.terms.brittle = brittle
	return n
}

// Backend returns the ID of the backend server.
func (n Notice) Backend() string { return n.backend }

// PerSecond returns the limit in requests per second from all instances together; 0 if it was lifted.
func (n Notice) PerSecond() float64 { return n.terms.perSecond }

// Lifted reports whether the backend server asks for nothing any more.
func (n Notice) Lifted() bool { return n.terms.none() }

// AsOf returns the time for which the notice is known to hold.
func (n Notice) AsOf() time.Time { return n.asOf }

// Table holds what one instance knows. It is not safe for concurrent use.
type Table struct {
	notices map[string]Notice
	known   func(backend string) bool
}

// NewTable returns an empty table. It drops the notices of backend servers that are no longer known.
func NewTable(known func(backend string) bool) *Table {
	return &Table{notices: make(map[string]Notice), known: known}
}

// Observe applies the reading of a response. A response that lacks what is known ends it only if its request was sent after that was
// last said: responses may overtake each other. It returns the notice and whether it changes anything.
func (t *Table) Observe(backend string, reading Reading, sentAt, now time.Time) (notice Notice, changed bool) {
	former, ok := t.notices[backend]
	if !reading.said || reading.terms.none() && (!ok || former.Lifted()) {
		return Notice{}, false
	}
	asOf := now
	if reading.terms.dropsFrom(former.terms) {
		asOf = sentAt
	}
	return t.apply(Notice{backend: backend, terms: reading.terms, asOf: asOf})
}

// Merge applies a notice of another instance and reports whether it changes anything.
func (t *Table) Merge(n Notice) bool {
	if former, ok := t.notices[n.backend]; n.Lifted() && (!ok || former.Lifted()) {
		return false
	}
	_, changed := t.apply(n)
	return changed
}

// InferBrittle takes a server that is not known yet for brittle if one of the same service is, and reports whether it did.
func (t *Table) InferBrittle(backend string, service func(backend string) string) (inferred Notice, ok bool) {
	if _, heard := t.notices[backend]; heard {
		return Notice{}, false
	}
	for other, notice := range t.notices {
		if notice.terms.brittle && t.known(other) && service(other) == service(backend) && !notice.asOf.Before(inferred.asOf) {
			inferred, ok = Notice{backend: backend, terms: Terms{brittle: true}, asOf: notice.asOf}, true
		}
	}
	if ok {
		t.apply(inferred)
	}
	return inferred, ok
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
	return n, former.terms != n.terms
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
	terms := t.notices[backend].terms
	return terms.perSecond, terms.limited
}

// Terms returns what a backend server asks of all instances together.
func (t *Table) Terms(backend string) Terms { return t.notices[backend].terms }

// newest returns the newest notice about a backend server, or one that it asks for nothing, which is older than any other.
func (t *Table) newest(backend string) Notice {
	if n, ok := t.notices[backend]; ok {
		return n
	}
	return Notice{backend: backend}
}
