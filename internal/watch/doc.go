// Package watch finds the manifest in effect, reads the platform's list and tells which backend servers accept work.
//
// Machine holds the rules: a state machine without goroutines that takes the current time, a random source and the
// results of earlier actions, and returns the next actions. Watch runs one machine against the configuration service
// and other instances.
//
// A manifest is adopted only if its version is greater than the one in effect. Two instances of each data centre hold
// a long-poll watch on the service; the others learn of a new version by the membership's datagrams and fetch the body
// from the instance that announced it, compressed with the manifest in effect as dictionary. Every instance also reads
// the service about once a minute.
//
// An instance accepts new work only while its manifest is confirmed: after a start or a pause of the process it asks
// other instances for their version first. Without a confirmed answer it waits for a settle deadline, adopts the highest
// version seen and is confirmed alone.
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
