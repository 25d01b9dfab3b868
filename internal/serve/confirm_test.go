package serve

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflypond/dragonflypond/internal/clock"
	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/fleet"
	"github.com/dragonflypond/dragonflypond/internal/logs"
	"github.com/dragonflypond/dragonflypond/internal/relay"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// catalogueDecoder decodes a configuration with an engine service and a plain one.
type catalogueDecoder struct{ listDecoder }

func (catalogueDecoder) Catalogue(record feed.Record) (*route.Catalogue, error) {
	if record.Key != "catalogue" {
		return nil, nil
	}
	return route.New(route.Content{Version: 1, Services: []route.Service{{Name: "llm", Engine: &route.EngineSpec{}}, {Name: "shop"}}}), nil
}

// TestConfirmEnd guards against the end of a process that passes for that of its answer, and against sound answers that are broken off because their server
// could not be asked.
func TestConfirmEnd(t *testing.T) {
	const startedAt = 1000
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	ending, err := net.Listen("tcp", "127.0.0.1:0") // It has connections that nobody has accepted.
	if err != nil {
		t.Fatal(err)
	}
	defer ending.Close()
	tests := []struct {
		name       string
		service    string
		address    string // that the test listens at, or has listened at
		engines    scriptedEngines
		backingOff bool
		wantError  bool
		wantAsked  int
	}{
		{"engine runs", "llm", "e1", scriptedEngines{startedAt: startedAt}, false, false, 1},
		{"engine states no start", "llm", "e1", scriptedEngines{}, false, false, 1},
		{"engine has started anew", "llm", "e1", scriptedEngines{startedAt: startedAt + 1}, false, true, 1},
		{"engine is gone", "llm", "e1", scriptedEngines{err: errors.Wrap(syscall.ECONNREFUSED, "dial")}, false, true, 1},
		{"engine does not answer", "llm", "e1", scriptedEngines{err: errors.New("silent")}, false, false, maxConfirmAttempts},
		{"engine answers without its state", "llm", "e1", scriptedEngines{err: relay.ErrUnreadableStatus}, false, false, 1},
		{"engine wants no requests", "llm", listener.Addr().String(), scriptedEngines{}, true, false, 0},
		{"engine wants no requests and is gone", "llm", closed.Addr().String(), scriptedEngines{}, true, true, 0},
		{"replica runs", "shop", listener.Addr().String(), scriptedEngines{}, false, false, 0},
		{"replica ends", "shop", ending.Addr().String(), scriptedEngines{}, false, true, 0},
		{"replica is gone", "shop", closed.Addr().String(), scriptedEngines{}, false, true, 0},
	}
	for i := range tests {
		test := &tests[i]
		t.Run(test.name, func(t *testing.T) {
			instance := newCheckedInstance(&test.engines, time.Now())
			instance.fleet = fleet.New(fleet.Options{
				Decoder: catalogueDecoder{}, Regions: map[string][]string{"north": {"north-a"}}, Clock: clock.Now, Log: logs.New(io.Discard),
			})
			instance.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: 1}, {Key: "e1", Revision: 2}}, feed.Knowledge{})
			if test.address == ending.Addr().String() {
				time.AfterFunc(endWatchTime/2, func() { _ = ending.Close() })
			}
			if test.backingOff {
				instance.fleet.ApplySignal("e1", fleet.Signal{Backoff: time.Minute}, fleet.SourceRequest)
			}
			backend := route.Backend{ID: "e1", Service: test.service, Address: test.address, DataCentre: "north-a", StartedAtMillis: startedAt}
			err := newEngineChecker(instance).confirmEnd(t.Context(), backend)
			if (err != nil) != test.wantError || test.engines.askedCount() != test.wantAsked {
				t.Errorf("error %v, asked %d times, want error %v, %d times", err, test.engines.askedCount(), test.wantError, test.wantAsked)
			}
		})
	}
}
