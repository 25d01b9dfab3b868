// Package soak holds a randomized test of the real programs as separate processes on one machine.
//
// A run starts instances, a stand-in for the platform's store, engines and replicas, and callers. Faults come from
// outside, by a seed: processes are killed, stopped, paused and told to reload; connections go through proxies that delay,
// reset, silence and cut them one way; the store fails; engines leave with and without notice or crash; keys are revoked. Meanwhile and
// afterwards the run checks what callers and backend servers see.
//
// # Usage
//
//	go test ./internal/soak                                    # a short run with fixed seeds, as in CI
//	go test ./internal/soak -soak.seeds 100-149 -soak.length 20s -v -timeout 1h
package soak
