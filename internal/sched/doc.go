// Package sched decides when each request of a pool runs and on which engine.
//
// It holds tables of engines, requests, accounts and output length sketches. Each Tick runs the same steps over them:
// refuse expired requests, evaluate engine latency, update predictions, plan moves, dispatch, refuse requests that can
// no longer finish in time. It has no goroutines, no I/O and no clock; the current time and the random source are
// parameters. A Scheduler is not safe for concurrent use. A request that runs on an engine is also called a run.
//
// Admission reserves engine memory, counted in tokens. A request reserves its expected peak, predicted from finished
// outputs of the same account and class given the tokens already emitted. Each engine keeps a margin for the variance
// of the sum. Requests are short or long. Short requests are dispatched first, and a share of every engine is closed to
// long ones. On the rest, a long request goes before short ones once it has waited for the aging limit since it was
// offered and since its account's last long request was dispatched. Within a queue, accounts share by start-time fair
// queueing, and requests of one account are ordered by deadline. A request that cannot finish before its deadline is
// refused at once.
//
// OfferOr and Offload let a caller send requests to another region. They predict the first event of a request that has not
// run, and Outlook that of new requests.
//
// # Usage
//
//	s := sched.New(policy, rand.New(rand.NewPCG(seed, 0)))
//	s.SetEngines([]sched.Engine{{Name: "engine-a", MemoryTokens: 60_000, MaxRunning: 64, Accepting: true}})
//	decision := s.Offer(sched.Request{ID: id, Account: "acme", PromptTokens: 200, MaxTokens: 1000}, now)
//	// VerdictWait: a later Tick returns the final decision.
//	for _, decision := range s.Tick(now) {
//		deliver(decision)
//	}
//	s.Progress(id, sched.Progress{Tokens: 10, Gap: 20 * time.Millisecond}, now)
//	s.Finish(id, sched.End{Tokens: 180, Complete: true}, now)
package sched
