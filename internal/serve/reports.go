package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/engine"
)

// outageAge is the age of the last confirmation by the store from which engines are asked themselves whether they leave.
// Without disturbance the age stays below 1.7 s.
const outageAge = 2 * time.Second

// reportTimeout bounds one question. A later answer leaves no time to move runs away.
const reportTimeout = 700 * time.Millisecond

// errNotAsked is returned while the store tells which engines leave.
var errNotAsked = errors.New("engines are asked only while the store does not answer")

// outageReports implements grant.Engines. The home of a pool asks its engines only while the store is out of reach: each
// question is billed, and the store's notices come sooner.
type outageReports struct{ instance *Instance }

// Load asks an engine whether it leaves. The home places every request of its pool itself, so the engine's figures are
// not needed and an error is returned in any case.
func (r *outageReports) Load(ctx context.Context, address string) (engine.Load, error) {
	i := r.instance
	if clock.Now().Sub(i.feed.ConfirmedAt()) < outageAge {
		return engine.Load{}, errNotAsked
	}
	backend, ok := i.fleet.ByAddress(address)
	if !ok || !i.fleet.Accepting(backend.ID) {
		return engine.Load{}, errNotAsked
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	leaving, err := i.ports.Engines.Leaving(ctx, backend)
	if err != nil {
		return engine.Load{}, err
	}
	if leaving {
		i.fleet.Refused(backend.ID)
	}
	return engine.Load{}, errNotAsked
}

// Cancel does nothing: an engine ends a generation whose connection is closed by itself.
func (*outageReports) Cancel(context.Context, string, string) error { return errNotAsked }
