package quota

// Reading is what one response of a backend server says about the limit. The zero value says nothing.
type Reading struct {
	perSecond float64
	kind      readingKind
}

type readingKind int

const (
	readingNone readingKind = iota
	readingLimit
	readingNoLimit
)

// LimitOf returns the reading of a response that names a limit, in requests per second from all instances together.
func LimitOf(perSecond float64) Reading {
	return Reading{kind: readingLimit, perSecond: max(perSecond, 0)}
}

// NoLimit returns the reading of a response that names no limit.
func NoLimit() Reading { return Reading{kind: readingNoLimit} }

// Limit returns the limit in requests per second, and false if the response names none.
func (r Reading) Limit() (perSecond float64, ok bool) { return r.perSecond, r.kind == readingLimit }
