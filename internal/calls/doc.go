// Package calls runs calls to plain services. A call whose route is declared idempotent runs on any replica and may be
// retried and hedged. Every other call runs at most once.
//
// An at-most-once call carries a run key. The key names the incarnation of the instance that issued it, and only that
// incarnation, the executor of the call, ever runs it; other instances forward it. The executor records a call before
// it sends it. A repeat attaches to the record and gets the same result. No other instance may run the key, so neither
// divergent membership views nor a paused process can cause a second run.
//
// A refusal with "run: no" is final. Only the executor returns it for a valid key, and it keeps a record or a
// tombstone of the key until the key has expired, so a copy of the request that arrives later is refused as well.
//
// Replicas need not frame their answers. The end of a close-delimited one counts only if the replica still runs, which
// takes another connection and 50 ms; otherwise the outcome of the call is unknown.
//
// The decisions are made by stateMachine, which takes the current time as a parameter and starts no goroutine. Executor
// adds locking, the connections to plain services and the drpc service for forwarded calls.
//
// # Usage
//
//	executor := calls.New(calls.Options{
//		Source:    manifests,
//		Directory: members,
//		Backends:  backends,
//		Conn:      network.Conn,
//		MACKey:    network.MACKey(),
//		Clock:     time.Now,
//		Logger:    logger,
//	})
//	peerpb.DRPCRegisterCalls(server.Mux(), executor)
//
//	prefix := executor.Issue(account, time.Now()) // returned to the caller as runKey
//	answer, err := executor.Handle(ctx, call)     // the error is a *pond.Refusal
//
//	err = executor.Drain(ctx) // at shutdown, before the process exits
package calls
