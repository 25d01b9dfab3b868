// Package reach connects one instance to backend servers, through another instance if it does not reach them itself.
//
// A failed connection does not tell whether the server or the way to it is at fault. So an attempt that fails, or takes longer
// than a connection should, is repeated through another instance, a helper, while the own attempt goes on. What the helper
// finds decides: if it reaches the server, this instance's way is broken and later connections go through helpers at once; if
// helpers that reach other servers fail too, the server is at fault. An instance that finds several ways broken and none whole
// is cut off, and uses helpers for all servers. Helpers that connected are preferred, the more so the more others failed, and a
// helper that is cut off itself names the one that it uses. An instance that is cut off probes its own ways without requests,
// at most one connection a second to each server in use, and returns to them when probes succeed. If helpers are cut off as
// well, connections to servers that have failed fail at once for half a second, and there are four probes a second.
//
// A helper that has not reached a server for a while watches a new connection for a moment before it says that it is connected: the
// first request on a connection that is reset would be in doubt.
//
// A helper that shuts down states when it ends, and the instance that serves the caller uses it for what ends before. What does not fit gets another
// way or an EndsError, with which nothing was sent.
//
// A helper forwards the bytes of one connection and knows nothing of the requests on it, so attempts, budgets, permits and
// deadlines are counted by the instance that serves the caller, once. A helper uses only its own way to the server. A
// connection that breaks on either side of the helper is broken for both: nothing is sent again.
//
// Table holds the decisions and does no I/O, Dialer connects, Server carries the connections of other instances.
//
// # Usage
//
//	dialer := reach.NewDialer(options)
//	transport := engine.NewUnpooledTransport(dialer.DialContext)
//	peerpb.DRPCRegisterTunnels(mux, reach.NewServer(dialer, serverOptions))
package reach
