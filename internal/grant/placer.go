package grant

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/peerpb"
	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// tickInterval is the time between two runs of the systems of every local scheduler.
const tickInterval = 5 * time.Millisecond

// Placer implements pond.Placer and the Scheduling service of the peer protocol. It is safe for concurrent use.
type Placer struct {
	options Options
	mu      sync.Mutex
	running map[string]int
}

var (
	_ pond.Placer                 = (*Placer)(nil)
	_ peerpb.DRPCSchedulingServer = (*Placer)(nil)
)

// New returns a placer. Requests are decided from the first call of Place on; queues move only while Run is active.
func New(options Options) *Placer {
	return &Placer{options: options, running: make(map[string]int)}
}

// Run reads load reports and runs the schedulers until ctx ends. It returns the cause of the end.
func (p *Placer) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// Drain gives up the homes that this instance holds, so that other instances take them over, and waits until no
// placement of this instance is open or ctx ends.
func (p *Placer) Drain(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for p.Open() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}

// Open returns the number of requests of this instance that wait or run.
func (p *Placer) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, n := range p.running {
		open += n
	}
	return open
}

// Schedule serves the requests of one other instance.
func (p *Placer) Schedule(stream peerpb.DRPCScheduling_ScheduleStream) error {
	<-stream.Context().Done()
	return context.Cause(stream.Context())
}

// Place implements pond.Placer.
func (p *Placer) Place(_ context.Context, req pond.PlaceRequest) (pond.Placement, error) {
	manifest := p.options.Manifests.Current()
	if manifest == nil {
		return nil, pond.NewRefusal(pond.ReasonNotReady, pond.RunNo, time.Now().Add(time.Second), "no manifest is in effect")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var best spec.Backend
	found := false
	for _, b := range manifest.Backends() {
		model, _ := b.Model()
		if b.Kind() != spec.BackendEngine || model != req.Model || b.Leaving() ||
			slices.Contains(req.Avoid, b.Name()) || !p.options.Backends.Accepting(b.Name()) {
			continue
		}
		if !found || p.running[b.Name()] < p.running[best.Name()] {
			best, found = b, true
		}
	}
	if !found {
		return nil, pond.NewRefusal(pond.ReasonNoBackend, pond.RunNo, time.Now().Add(time.Second), "no engine serves model "+req.Model)
	}
	p.running[best.Name()]++
	return &placement{placer: p, name: best.Name(), address: best.Address()}, nil
}

type placement struct {
	placer        *Placer
	name, address string
}

func (p *placement) Backend() (name, address string) { return p.name, p.address }

func (p *placement) Progress(int, time.Time) {}

func (p *placement) Done(pond.PlacementEnd, time.Time) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.placer.running[p.name]--
}
