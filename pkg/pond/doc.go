// Package pond holds the types shared by all packages of dragonflypond: instances, work classes, outcomes, refusals,
// and the small interfaces that connect packages.
//
// The package has no behavior beyond these types. Core logic in other packages takes the current time, a random source
// and a transport as parameters, so that tests can run many instances without a network.
//
// # Usage
//
// A handler is a function from a request to a response; behavior such as authentication, limits or metrics is added
// by decorators that take a handler and return one:
//
//	h := pond.Chain(pond.HandlerFunc[Call, Answer](execute), withLimits, withMetrics)
//	answer, err := h.Handle(ctx, call)
//
// If the system decides not to serve a request, the error is a *Refusal, which states whether the request was run:
//
//	var refusal *pond.Refusal
//	if errors.As(err, &refusal) && refusal.Run() == pond.RunNo {
//		// The request was not run and never will be.
//	}
package pond
