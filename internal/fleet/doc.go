// Package fleet holds what an instance believes about the configuration and the backend servers.
//
// Fleet applies published records in order. It answers which catalogue is in effect, which backend servers of a service
// take new work, and which are leaving. It also puts the engines together as a manifest for the placement.
//
// A backend server whose entry says that it is leaving, or whose entry is gone, gets no new work from that moment on; it
// stays known for a while, because running work may have to move away from it. An entry that is removed while the store
// was disturbed may only have expired. Such a backend server keeps its work for the time in which it can register again.
//
// # Usage
//
//	f := fleet.New(fleet.Options{Decoder: decoder, Regions: regions, Clock: clock.Now, Log: log})
//	f.Apply(records, disturbedAt)
//	if f.Accepting(id) {
//		backend, _ := f.Backend(id)
//	}
package fleet
