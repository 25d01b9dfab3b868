// Package quota keeps the requests of all instances to a backend server within what the server says that it bears: a rate, or, if
// it is brittle, its room.
//
// A limit holds for the requests of all instances together, and no instance sees their sum. So one instance, the home
// of the backend server, grants a permit for each request, and the others ask it. An instance that gets no answer sends
// nothing to the server: it uses other servers or refuses the request. A home that has just started or replaces another
// one begins with an empty account, because permits may have been granted elsewhere until then.
//
// A limit holds until an answer to a later request names none. Requests go on within it, so there are such answers.
//
// A brittle server fails when it has to reject requests, and its work then overloads the others of its service. How many
// requests it lets wait is not known, so there are never more at it than it runs at a time. A new server of its service is
// taken for brittle until it answers. Each instance tells the home with each question, and at the end of each request, how many
// it has there. A home that has just begun to count lets nothing through for a moment and learns from the questions; what an
// instance that has ended has there counts until its deadline. A rejection all the same stops permits for a second and makes
// the room smaller for a while.
//
// Table holds what an instance knows, Ledger counts the permits of a home at a rate, Rooms those for room, and Gate combines them with
// the questions to homes. Table, Ledger and Rooms do no I/O and take the time as a parameter.
//
// # Usage
//
//	gate := quota.NewGate(options)
//	permit := gate.Enter(ctx, backend, longest)
//	if !permit.Granted() {
//		return refuse(permit.RetryAt())
//	}
//	sentAt := clock.Now()
//	resp := send(backend)
//	gate.Observe(backend, readingOf(resp), sentAt)
//	gate.Exit(backend, noRoom(resp))
package quota
