// Package relay forwards callers' requests to backend servers and returns their responses unchanged.
//
// Relay matches a request to a route, checks the key of the client account, and takes one of two paths. A request to a
// service without engines goes to the replica with the lowest cost, mainly its open requests per slot; an idempotent
// one is sent to another replica after a failure, within the route's attempts and the retry budget of the fleet. A
// generation is placed on an engine by pond.Placer and its events are forwarded one by one; when the engine is leaving
// or slow, the run is moved to another engine, so that the caller sees each event once and in order.
//
// A refusal states that the request has not run. It is sent only if no backend server can have received the request, or
// if the one that received it says that it did not run it. Everything else ends as a failure of unknown outcome.
//
// # Usage
//
//	r := relay.New(relay.Options{Fleet: f, Placer: placer, Protocol: protocol, Log: log})
//	r.Serve(w, request, &relay.Call{ID: id, Key: key, Deadline: deadline})
package relay
