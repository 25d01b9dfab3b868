package quota

// Reading is what one response of a backend server says about the requests of all instances. The zero value says nothing.
type Reading struct {
	said  bool
	terms Terms
}

// Terms are what a backend server asks of all instances together. The zero value asks for nothing.
type Terms struct {
	perSecond float64
	limited   bool
	brittle   bool
	// cold is true while the backend server has a limit because it is cold. No response says so: it is not part of a notice.
	cold bool
}

// LimitOf returns the reading of a response that names a limit, in requests per second from all instances together.
func LimitOf(perSecond float64) Reading {
	return Reading{said: true, terms: Terms{limited: true, perSecond: max(perSecond, 0)}}
}

// NoLimit returns the reading of a response that names no limit.
func NoLimit() Reading { return Reading{said: true} }

// WithBrittle returns the reading of a response that says in addition whether the backend server fails if it has to reject requests.
func (r Reading) WithBrittle(brittle bool) Reading {
	r.terms.brittle = brittle
	r.said = r.said || brittle
	return r
}

// Limit returns the limit in requests per second, and false if the response names none.
func (r Reading) Limit() (perSecond float64, ok bool) { return r.terms.perSecond, r.terms.limited }

// Brittle reports whether the response says that the backend server fails if it has to reject requests.
func (r Reading) Brittle() bool { return r.terms.brittle }

// none reports whether nothing is asked for.
func (t Terms) none() bool { return !t.limited && !t.brittle && !t.cold }

// dropsFrom reports whether the terms lack something that former ones have.
func (t Terms) dropsFrom(former Terms) bool {
	return former.limited && !t.limited || former.brittle && !t.brittle
}
