package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/engine"
)

// outageCheckAge is the age of the last confirmation by the store from which engines themselves are asked whether they
// leave. Without an outage the age stays below 1.7 s.
const outageCheckAge = 2 * time.Second

// checkTimeout bounds one request to an engine. A later response leaves package relay no time to move the engine's runs
// to other engines.
const checkTimeout = 700 * time.Millisecond

// errNoLoadReport is returned instead of a load report.
var errNoLoadReport = errors.New("load reports are not used; engines are only checked during a store outage")

// outageChecker implements place.Engines. The home of a pool asks its engines whether they leave only during a store
// outage: each request is billed, and otherwise the store's notices come sooner.
type outageChecker struct{ instance *Instance }

// Load asks an engine whether it leaves. The home places every request of its pool itself, so it does not need the load
// of the engine. Load always returns an error.
func (c *outageChecker) Load(ctx context.Context, address string) (engine.Load, error) {
	i := c.instance
	if clock.Now().Sub(i.feed.ConfirmedAt()) < outageCheckAge {
		return engine.Load{}, errNoLoadReport
	}
	backend, ok := i.fleet.ByAddress(address)
	if !ok || !i.fleet.Accepting(backend.ID) {
		return engine.Load{}, errNoLoadReport
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	leaving, err := i.adapters.Engines.Leaving(ctx, backend)
	if err != nil {
		return engine.Load{}, err
	}
	if leaving {
		i.fleet.MarkLeaving(backend.ID)
	}
	return engine.Load{}, errNoLoadReport
}

// Cancel does nothing: an engine ends a generation by itself when the connection is closed.
func (*outageChecker) Cancel(context.Context, string, string) error { return errNoLoadReport }
