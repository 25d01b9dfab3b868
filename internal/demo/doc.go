// Package demo runs the whole system in one process on loopback: stand-ins for everything outside it and several entry
// instances in two regions.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout)
package demo
