package grant

import (
	"context"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/engine"
)

// errNoReports is returned for engines whose reports are not read.
var errNoReports = errors.New("reports of engines are not read")

// NoReports is an Engines for platforms on which reading a report costs more than it tells: the home places every
// request of its pool itself, and a generation without a reader is ended by its engine.
type NoReports struct{}

// Load returns an error, which the home ignores.
func (NoReports) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{}, errNoReports
}

// Cancel returns an error.
func (NoReports) Cancel(context.Context, string, string) error { return errNoReports }
