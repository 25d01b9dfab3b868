package serve

import (
	"net/http"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/relay"
)

// Ports are the adapters to a platform.
type Ports struct {
	// Store gives the published records.
	Store    feed.Source
	Decoder  fleet.Decoder
	Ingress  Ingress
	Protocol relay.Protocol
	Copier   relay.Copier
	Engines  relay.Inspector
}

// Entries is an answer to a caller's question for addresses.
type Entries struct {
	Addresses []string
	// Validity is the time for which callers may keep the answer.
	Validity time.Duration
}

// Ingress makes the handlers of the listeners.
type Ingress interface {
	Requests(r *relay.Relay) http.Handler
	Ready(ready func() bool) http.Handler
	Lookup(lookup func(region, dataCentre string) Entries) http.Handler
}
