// Package naive holds a baseline implementation of each mechanism behind the same interface as the real one.
// Differential tests and measurements compare the real mechanisms with it.
//
// # Usage
//
//	var placer pond.Placer = naive.NewPlacer(manifests, backends)
//	placement, err := placer.Place(ctx, req)
package naive
