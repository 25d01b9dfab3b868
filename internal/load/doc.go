// Package load is an open-loop load generator for running entry instances, with the request mixes of both deployments.
//
// Arrivals are drawn from a seed before a run, so that the same requests at the same times can be sent to several sets
// of entry addresses. Each request is sent at its intended time, whatever the state of earlier ones, and latencies
// count from the intended time. Callers are well behaved: they cache the response of GET /v1/entries until it expires,
// resume dropped streams at another instance, honour Retry-After, and repeat a call that may not run twice only under
// its idempotency key. Every answer is checked for lost, repeated and reordered tokens.
//
// The package reads preemptions and stall time from stand-in engines and executions from stand-in services, and it
// slows engines through their fault interface.
//
// # Usage
//
//	plan := load.Plan{Mix: "dosis", Profile: "deadlineDay", Seed: 1, Duration: time.Minute, Rate: 20, Accounts: 10}
//	report, err := load.Run(ctx, plan, load.Target{
//		Name:     "current",
//		Entries:  []string{"127.0.0.1:7001"},
//		Engines:  []string{"127.0.0.1:7201"},
//		Services: []string{"127.0.0.1:7301"},
//	})
//	if err != nil {
//		return err
//	}
//	return load.WriteTable(os.Stdout, report)
package load
