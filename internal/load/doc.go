// Package load is an open-loop load generator for running entry instances, with the mixes of work of both deployments.
//
// Arrivals are drawn from a seed before a run, so that the same requests at the same times can be sent to several sets
// of entry addresses. Each request is sent at its intended time, whatever the state of earlier ones, and latencies
// count from the intended time. Callers behave properly: they keep the answer of GET /v1/entries until it ends, resume
// dropped streams at another instance, honour Retry-After, and repeat a call that may not run twice only under its
// idempotency key. Every token of every answer is checked for order and wholeness.
//
// The package reads preemptions and stall time from stand-in engines and executions from stand-in services, and it
// switches slow engines over their fault interface.
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
