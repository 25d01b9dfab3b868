// Package quota keeps the rate of requests to a backend server within the limit that the server names.
//
// A limit holds for the requests of all instances together, and no instance sees their sum. So one instance, the home
// of the backend server, grants a permit for each request, and the others ask it. An instance that gets no answer sends
// nothing to the server: it uses other servers or refuses the request. A home that has just started or replaces another
// one begins with an empty account, because permits may have been granted elsewhere until then.
//
// A limit holds until an answer to a later request names none. Requests go on within it, so there are such answers.
//
// Table holds the limits that an instance knows, Ledger counts the permits of a home, and Gate combines both with the
// questions to homes. Table and Ledger do no I/O and take the time as a parameter.
//
// # Usage
//
//	gate := quota.NewGate(options)
//	permit := gate.Permit(ctx, backend)
//	if !permit.Granted() {
//		return refuse(permit.RetryAt())
//	}
//	sentAt := clock.Now()
//	resp := send(backend)
//	gate.Observe(backend, readingOf(resp), sentAt)
package quota
