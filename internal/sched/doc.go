// Package sched decides which engine of one pool runs which request, and when.
//
// The package is a pure core: tables of engines, requests, accounts and learned lengths, and systems that run over
// them in a fixed order at each tick: expire, observe, grow, dispatch, refuse. It has no goroutine, no I/O and no
// clock; the current time and the random source are parameters. A Scheduler is not safe for concurrent use.
//
// Admission is by reserved memory: each running request holds what it is expected to take up at its peak, learned from
// finished outputs of the same account and class and conditioned on what it has already shown, and each engine keeps a
// margin for the deviation of the sum. Work is
// short or long. Short work goes first and has a share of every engine that long work may not use; long work that
// waited for the aging limit goes before short work on the rest. Within a queue, accounts share by start-time fair
// queueing, and one account's requests go by deadline. A request that cannot finish in time is refused at once.
//
// # Usage
//
//	s := sched.New(policy, rand.New(rand.NewPCG(seed, 0)))
//	s.SetEngines([]sched.Engine{{Name: "engine-a", MemoryTokens: 60_000, MaxRunning: 64, Accepting: true}})
//	decision := s.Offer(sched.Request{ID: id, Account: "acme", PromptTokens: 200, MaxTokens: 1000}, now)
//	// VerdictWait: the final decision of this request is returned by a later Tick.
//	for _, decision := range s.Tick(now) {
//		deliver(decision)
//	}
//	s.Progress(id, sched.Progress{Tokens: 10, Gap: 20 * time.Millisecond}, now)
//	s.Finish(id, sched.End{Tokens: 180, Complete: true}, now)
package sched
