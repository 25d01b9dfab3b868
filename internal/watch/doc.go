// Package watch distributes manifests to entry instances and tracks which backend servers accept work.
//
// Machine implements the distribution protocol as a state machine without goroutines: it takes the current time, a
// random source and the results of earlier actions, and returns the next actions. Watch runs one Machine against the
// configuration service and other instances. Backends combines the manifest, the instance list of the platform and the
// notices of other instances.
//
// A manifest is adopted only if its version is greater than the one in effect. In each data centre two instances, the
// watchers, long-poll the configuration service. The others learn of a new version from membership datagrams and fetch
// the body from the instance that announced it, compressed with the manifest in effect as dictionary. Every instance
// also polls the service about once a minute.
//
// An instance accepts new work only while its manifest is confirmed. After a start or a pause of the process it first
// queries other instances for their versions. If no instance with a confirmed manifest responds in time, it adopts the
// highest version seen and accepts work in PhaseAlone.
//
// # Usage
//
//	w, err := watch.New(watch.Options{Member: m, Network: network, ServiceURL: "http://127.0.0.1:7300"})
//	if err := w.Register(server.Mux()); err != nil {
//		return err
//	}
//	go w.Run(ctx)
//
//	if manifest := w.Current(); manifest != nil && w.Confirmed(time.Now()) && w.Accepting("letters-3") {
//		// Dispatch to letters-3.
//	}
package watch
