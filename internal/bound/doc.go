// Package bound limits what is read from other processes. A faulty one may send bytes without an end, in a head or in a body, until the
// reader closes the connection.
//
// Every HTTP client of the product uses NewTransport, which limits the heads of responses and refuses malformed ones, and reads bodies with
// ReadAll or in parts of limited size. ReadResponse is for a connection that no transport manages, and CheckEnd for one whose bytes are passed on.
// Their connections do not take a reset for the end of a body that has neither a length nor chunks. A limit for each body does not limit the sum of
// many: a Budget does, for bodies that are kept in memory until they are complete.
//
// Callers are limited by a Guard: the memory of request heads, from their first line until their request ends, and the connections of each
// listener. A connection of theirs whose response may be close-delimited, that of HTTP/1.0, ends with a reset until the handler returns. A handler that
// cannot complete its response panics with http.ErrAbortHandler.
//
// # Usage
//
//	client := &http.Client{Transport: bound.NewTransport(dial)}
//	resp, err := client.Do(req)
//	body, err := bound.ReadAll(resp.Body, maxBytes)
//
//	budget := bound.NewBudget(16 << 20)
//	holding := budget.Open(address, cancel) // cancel ends the read if another body needs the memory
//	defer holding.Close()                   // when the body is no longer kept
//	body, err := holding.ReadAll(resp.Body, maxBytes)
//
//	guard := bound.NewGuard(bound.Options{Limits: bound.NewLimits(memory, descriptors), Log: log})
//	group := guard.Callers("callers")
//	group.Install(server) // an http.Server
//	err := server.Serve(group.Listener(listener))
package bound
