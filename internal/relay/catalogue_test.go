package relay

import (
	"net/http"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/dragonflypond/dragonflypond/internal/feed"
	"github.com/dragonflypond/dragonflypond/internal/route"
)

// TestFormerConfigurationsAreFreed guards against requests that keep the configuration of their arrival in memory until they end: a large one that
// changes while long streams are open takes the memory of all instances.
func TestFormerConfigurationsAreFreed(t *testing.T) {
	const changes = 20
	for _, way := range routeKinds {
		t.Run(way.name, func(t *testing.T) {
			begun, end := make(chan struct{}, changes), make(chan struct{})
			backend := newFakeBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvent(w, 1)
				begun <- struct{}{}
				<-end
				writeEvent(w, 2)
			})
			bed := newTestBed(t, way.kind, way.engine, backend)
			publish := func(current *route.Catalogue, revision int) {
				bed.decoder.catalogue = route.New(route.Content{
					Version: current.Version() + 1, Services: current.Services(), Accounts: current.Accounts(),
					Routes: []route.Route{current.Routes()[0], {Name: "other", Host: "other", Prefix: "/"}},
				})
				bed.fleet.Apply([]feed.Record{{Key: "catalogue", Revision: uint64(revision)}}, feed.Knowledge{})
			}
			publish(bed.fleet.Catalogue(), 100)
			ended := make(chan int, changes)
			var former []weak.Pointer[route.Catalogue]
			var formerRoutes []weak.Pointer[route.Route]
			for n := range changes {
				go func() {
					status, _ := bed.post(t, "key")
					ended <- status
				}()
				<-begun
				current := bed.fleet.Catalogue()
				former, formerRoutes = append(former, weak.Make(current)), append(formerRoutes, weak.Make(&current.Routes()[1]))
				publish(current, 101+n)
			}
			if held := awaitFreed(former[:changes-1]); held > 0 {
				t.Errorf("%d of %d former configurations are held", held, changes-1)
			}
			if held := awaitFreed(formerRoutes[:changes-1]); held > 0 {
				t.Errorf("the routes of %d of %d former configurations are held", held, changes-1)
			}
			close(end)
			for range changes {
				if status := <-ended; status != http.StatusOK {
					t.Errorf("status %d", status)
				}
			}
		})
	}
}

// awaitFreed collects garbage until no value is left, for a second at most, and returns how many are.
func awaitFreed[T any](values []weak.Pointer[T]) (held int) {
	for deadline := time.Now().Add(time.Second); ; {
		runtime.GC()
		held = 0
		for _, value := range values {
			if value.Value() != nil {
				held++
			}
		}
		if held == 0 || time.Now().After(deadline) {
			return held
		}
	}
}
