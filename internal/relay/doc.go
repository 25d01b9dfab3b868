// Package relay passes callers' requests to backend servers and their answers back, unchanged.
//
// Relay matches a request to a route, checks the key of the client account, and hands it to one of two paths. A plain
// request goes to the replica with the least open requests; one that may be repeated is sent to another replica after a
// failure, within the route's attempts and the retry budget of the fleet. A generation is placed on an engine by
// pond.Placer and its events are passed on one by one; when its engine is to leave, the run is copied to another engine
// and goes on there, so that the caller sees each event once and in order.
//
// A refusal states that the request has not run. It is given only if no backend server can have got the request, or if
// the one that got it says that it did not run it. Everything else ends as a failure of unknown outcome.
//
// # Usage
//
//	r := relay.New(relay.Options{Fleet: f, Placer: placer, Protocol: protocol, Log: log})
//	r.Serve(w, request, &relay.Call{ID: id, Key: key, Deadline: deadline})
package relay
