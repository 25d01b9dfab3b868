// Package fleet tracks the configuration in effect and the backend servers of one instance.
//
// A Fleet applies published records in order. It returns the catalogue in effect, the backend servers of a service that
// take new work, and those that are leaving. It also builds a manifest of the engines for placement.
//
// A backend server whose entry says that it is leaving, or whose entry is gone, gets no new work from that moment on.
// It stays known for a while, because running work may have to move away from it. An entry that is removed during or
// shortly after a store outage may only have expired, so its backend server still gets new work until the time in
// which it should register again is over.
//
// # Usage
//
//	f := fleet.New(fleet.Options{Decoder: decoder, Regions: regions, Clock: clock.Now, Log: log})
//	f.Apply(records, storeOutageAt)
//	if f.Accepting(id) {
//		backend, _ := f.Backend(id)
//	}
package fleet
