package serve

import (
	"net/http"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/relay"
)

// Adapters holds the adapters to a platform.
type Adapters struct {
	// Store is the source of the published records.
	Store   feed.Source
	Decoder fleet.Decoder
	// Number returns the number that the publisher has assigned to a record; see feed.Options.
	Number  func(record feed.Record) uint64
	Ingress Ingress
	// NewBackends returns the adapter to the backend servers. Its control calls use connections of the dial function, and
	// it passes what their responses say about later requests to hear.
	NewBackends func(dial engine.DialFunc, applySignal SignalFunc) Backends
}

// SignalFunc records what a backend server says about later requests.
type SignalFunc func(backend string, s fleet.Signal)

// Backends speaks the protocol of the backend servers.
type Backends interface {
	relay.Protocol
	relay.Copier
	relay.Inspector
}

// LookupResult is the response to an address lookup by a caller.
type LookupResult struct {
	Addresses []string
	// Validity is the time for which callers may cache the response.
	Validity time.Duration
}

// Ingress returns the HTTP handlers of the listeners for callers' requests, readiness checks and address lookups.
type Ingress interface {
	Requests(r *relay.Relay) http.Handler
	Ready(ready func() bool) http.Handler
	Lookup(lookup func(LookupRequest) LookupResult) http.Handler
}
