package naive

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// retryDelay is the time after which a refused caller is advised to retry.
const retryDelay = time.Second

// Placer places generations round robin over the engines of the manifest that serve the model. It admits every
// generation at once: it has no queue, makes no reservations and checks no deadlines.
type Placer struct {
	manifests spec.Source
	backends  pond.BackendView
	next      atomic.Uint64
}

// NewPlacer returns a placer that reads engines from the manifest in effect and skips those that are not accepting.
func NewPlacer(manifests spec.Source, backends pond.BackendView) *Placer {
	return &Placer{manifests: manifests, backends: backends}
}

// Place returns the next accepting engine that serves the model and that the request does not avoid.
func (p *Placer) Place(ctx context.Context, req pond.PlaceRequest) (pond.Placement, error) {
	if err := ctx.Err(); err != nil {
		return nil, pond.NewRefusal(pond.ReasonCanceled, pond.RunNo, time.Time{}, "the caller gave up")
	}
	manifest := p.manifests.Current()
	if manifest == nil {
		return nil, placeRefusal(pond.ReasonNotReady, "no manifest is in effect")
	}
	engines := p.candidates(manifest, req)
	if len(engines) == 0 {
		return nil, placeRefusal(pond.ReasonNoBackend, "no engine serves model "+req.Model)
	}
	chosen := engines[(p.next.Add(1)-1)%uint64(len(engines))]
	return placement{name: chosen.Name(), address: chosen.Address()}, nil
}

func (p *Placer) candidates(manifest *spec.Manifest, req pond.PlaceRequest) []spec.Backend {
	return slices.DeleteFunc(manifest.Backends(), func(b spec.Backend) bool {
		model, version := b.Model()
		return b.Kind() != spec.BackendEngine || model != req.Model ||
			req.Version != "" && version != req.Version ||
			req.Adapter != "" && !slices.Contains(b.Adapters(), req.Adapter) ||
			!req.Regions.Allows(b.Region()) || b.Leaving() || slices.Contains(req.Avoid, b.Name()) ||
			slices.Contains(req.Exclude, b.Name()) || !p.backends.Accepting(b.Name())
	})
}

func placeRefusal(reason pond.Reason, detail string) *pond.Refusal {
	return pond.NewRefusal(reason, pond.RunNo, time.Now().Add(retryDelay), detail)
}

type placement struct{ name, address string }

func (p placement) Backend() (name, address string) { return p.name, p.address }

func (placement) Progress(int, time.Time) {}

func (placement) Done(pond.PlacementEnd, time.Time) {}
