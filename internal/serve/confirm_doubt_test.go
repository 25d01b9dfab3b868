package serve

import (
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestConfirmEndOfRunningEngine guards against sound streams that are broken off because the question did not get through, although nothing shows that the
// engine has ended: it resets connections that are too many, or the fault is this instance's own, which engineChecker.ask tells apart.
func TestConfirmEndOfRunningEngine(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		blamed bool
	}{
		{"resets a connection too many", errors.Wrap(syscall.ECONNRESET, "read"), true},
		{"own way is broken", errors.New("no way to the engine"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			instance := newCheckedInstance(&scriptedEngines{err: test.err}, time.Now())
			instance.fleet = fleet.New(fleet.Options{
				Decoder: catalogueDecoder{}, Regions: map[string][]string{"north": {"north-a"}}, Clock: clock.Now, Log: logs.New(io.Discard),
			})
			instance.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 1}, {Key: "e1", Revision: 2}}, feed.Knowledge{})
			checker := newEngineChecker(instance)
			checker.blames = func(string) bool { return test.blamed }
			backend := route.Backend{ID: "e1", Service: "llm", Address: "e1", DataCentre: "north-a"}
			if err := checker.confirmEnd(t.Context(), backend); err != nil {
				t.Error(err)
			}
		})
	}
}
