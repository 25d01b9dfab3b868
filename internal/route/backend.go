package route

import "time"

// Backend is one backend server as the platform lists it.
type Backend struct {
	// ID is unique for one life of the backend server, unless it starts again under its former ID.
	ID         string
	Service    string
	Address    string // IP:PORT
	DataCentre string
	Slots      int
	Leaving    bool
	// Born is the start of this life in Unix milliseconds as the backend server states it; 0 if it does not.
	Born int64
	// ColdUntil is the time until which the backend server is slow after its start.
	ColdUntil time.Time
	Models    []string
}
