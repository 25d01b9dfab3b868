// Package naive holds the simplest version of each mechanism behind the same interfaces as the real ones. Differential
// tests and measurements compare the real mechanisms with it.
//
// # Usage
//
//	var placer pond.Placer = naive.NewPlacer(manifests, backends)
//	placement, err := placer.Place(ctx, req)
package naive
