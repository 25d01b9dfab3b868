// Package soak holds a randomized fault-injection test that runs the real program as separate processes on one machine.
//
// A run starts instances, stand-ins for the platform's store, engines and service replicas, and a load generator. It
// injects faults from outside, chosen by a seed: processes are killed, stopped, paused and told to reload; connections
// go through proxies that delay, reset or pause them, in one or both directions; the store fails or comes back from an older
// copy; backend servers crash or leave with and without notice, name limits, ask for back-offs or are brittle; prompts and whole requests
// crash backend servers; instances are cut off from all backend servers; configurations change and keys are revoked; backend servers are cold; data centres are evacuated. During and after
// the faults the run checks what callers and backend servers observe, and asks each instance for the newest configuration. It ends
// with changes of configurations and settings in quick series, which lose no request; TestCalmChanges plays these alone.
//
// TestRegions plays the same faults in two regions, with routes and an account that name regions: the stand-ins check where each request arrives,
// and through which instance.
//
// TestOrder plays long streams on stand-ins for engines that write their answers byte by byte, with or without framing, and end them in order or by a
// reset: after the last event, for a move, at the deadline, with their process. It compares each event that callers get with what the engines made,
// and prints the story of each stream that is wrong. With -soak.logs the stories of all streams are beside the logs of the instances.
//
// # Usage
//
//	go test ./internal/soak                                    # a short run with fixed seeds, as in CI
//	go test ./internal/soak -soak.seeds 100-149 -soak.length 20s -v -timeout 1h
//	go test ./internal/soak -run TestSoak -soak.seeds 1101-1101 -soak.kinds 20 # a seed that failed with fewer kinds of faults
//	go test ./internal/soak -run TestOrder -soak.orderSeeds 1001-1006 -soak.orderLength 20s -soak.orderModes all,-exit,-deadline -soak.logs DIR -v
package soak
