package relay

import (
	"context"
	"net"
	"sync"
	"weak"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/route"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

var (
	errEvacuated = errors.New("the data centre of the backend server is evacuated")
	errRegion    = errors.New("the request may not run in the region of the backend server")
)

// allowedRegions caches the regions in which a request may run, as of one configuration. A move asks beside the stream that it moves.
type allowedRegions struct {
	mu        sync.Mutex
	catalogue weak.Pointer[route.Catalogue]
	// route and account hold the regions of each; regions those that both allow.
	route, account, regions pond.Regions
}

// apply applies a configuration. A route or an account that it lacks keeps its regions.
func (a *allowedRegions) apply(catalogue *route.Catalogue, call *Call) {
	a.catalogue = weak.Make(catalogue)
	if matched, ok := catalogue.Match(call.Host, call.Path); ok {
		a.route = matched.Regions
	}
	// A key that a caller sends counts on a route without authentication too.
	if account, ok := catalogue.Account(call.Key); ok {
		a.account = account.Regions
	}
	a.regions = a.route.And(a.account)
}

// isForbidden reports whether a request was not sent because it must not run in the data centre or region of the backend server, which says
// nothing about the server.
func isForbidden(err error) bool { return errors.Is(err, errEvacuated) || errors.Is(err, errRegion) }

// regions returns the regions in which the request may run. The newest configuration applies, because the request may have waited; a route or
// an account that it lacks keeps the regions of the configuration before, at first those of the one in which the route was found.
func (x *exchange) regions() pond.Regions {
	newest := x.relay.options.Fleet.Catalogue()
	x.allowed.mu.Lock()
	defer x.allowed.mu.Unlock()
	if x.catalogue != nil {
		x.allowed.apply(x.catalogue, x.call)
	}
	if x.allowed.catalogue != weak.Make(newest) {
		x.allowed.apply(newest, x.call)
	}
	return x.allowed.regions
}

// forbids returns why the request must not be sent to a backend server, or nil. It is asked directly before each send, and again by checkedDial,
// because the request may have waited since the server was chosen.
func (x *exchange) forbids(backend route.Backend) error {
	fleet := x.relay.options.Fleet
	switch {
	case fleet.Evacuated(backend.DataCentre):
		return errEvacuated
	case !x.regions().Allows(fleet.Region(backend.DataCentre)):
		return errRegion
	default:
		return nil
	}
}

type sendCheckKey struct{}

// withSendCheck marks the context of a request with a check that its connection has to pass before the request is sent on it.
func withSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// checkedDial returns a dial function that applies the check of withSendCheck to a new connection. A connection takes up to a second to make, in
// which a configuration or an evacuation may become known. Its error means that nothing was sent.
func checkedDial(dial engine.DialFunc) engine.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if check, ok := ctx.Value(sendCheckKey{}).(func() error); ok {
			if err := check(); err != nil {
				_ = conn.Close()
				return nil, err
			}
		}
		return conn, nil
	}
}

// nothingAllowed returns a detail for a request that no backend server is left for, with the regions that it may run in.
func (x *exchange) nothingAllowed(detail string) string {
	if regions := x.regions(); regions.Restricted() {
		return detail + " in the allowed regions: " + regions.String()
	}
	return detail
}
