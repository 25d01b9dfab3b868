package front

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
)

// TestFormerManifestIsFreed guards against requests that keep the manifest of their arrival in memory until they end: a large one that changes while
// long generations are open takes the memory of all instances.
func TestFormerManifestIsFreed(t *testing.T) {
	tests := []struct{ name, path, body string }{
		{"streamed", "/v1/completions", `{"model":"letters","prompt":"hello","stream":true}`},
		{"not streamed", "/v1/completions", `{"model":"letters","prompt":"hello"}`},
		{"call", "/services/portal/schedule/1", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			options := testOptions(t, 1)
			place, entered, release := options.Placer, make(chan struct{}), make(chan struct{})
			options.Placer = pond.PlacerFunc(func(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
				close(entered)
				<-release
				return place.Place(ctx, req)
			})
			options.Executor = pond.HandlerFunc[pond.Call, pond.Answer](func(context.Context, pond.Call) (pond.Answer, error) {
				close(entered)
				<-release
				return pond.Answer{Status: http.StatusOK}, nil
			})
			source := options.Source.(*fixedSource)
			former := weak.Make(source.manifest)
			f, done := New(options), make(chan int)
			go func() {
				method := http.MethodGet
				if test.body != "" {
					method = http.MethodPost
				}
				done <- sendRequest(f, method, test.path, test.body).Code
			}()
			select {
			case <-entered:
			case status := <-done:
				t.Fatalf("status %d", status)
			}
			source.manifest = unlimitedManifest(t)
			sendRequest(f, http.MethodGet, "/v1/entries", "") // The index of the keys is that of the manifest in effect.
			for deadline := time.Now().Add(time.Second); former.Value() != nil && time.Now().Before(deadline); {
				runtime.GC()
			}
			if former.Value() != nil {
				t.Error("the former manifest is held")
			}
			close(release)
			if status := <-done; status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
}
