package route

import "time"

// Backend is one backend server as the platform lists it.
type Backend struct {
	// ID usually identifies one start of the backend server, but a restarted server may keep its ID.
	ID         string
	Service    string
	Address    string // IP:PORT
	DataCentre string
	Slots      int
	Leaving    bool
	// StartedAtMillis is the start time in Unix milliseconds that the backend server reports; 0 if it reports none.
	StartedAtMillis int64
	// ColdUntil is the end of the warm-up, during which a backend server that has just started is slow.
	ColdUntil time.Time
	Models    []string
}
