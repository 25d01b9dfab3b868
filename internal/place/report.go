package place

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/engine"
	"github.com/dragonflypond/dragonflypond/internal/sched"
)

const (
	// reportInterval is the time between two reads of an engine's load report by the home.
	reportInterval = 500 * time.Millisecond

	// assumedReportAge is the age of a report's figures when the home receives it. Engines report with a lag that they do
	// not state. A value that is too large only delays when memory used by requests of other homes is noticed.
	assumedReportAge = 500 * time.Millisecond

	// engineCallTimeout bounds one read of a report together with the cancellations that follow from it.
	engineCallTimeout = 2 * time.Second

	// maxEngineCalls bounds the number of engines that are read, or have generations canceled, at the same time.
	maxEngineCalls = 32
)

// unreadSpan is the time for which load reports have listed a generation as having no reader.
type unreadSpan struct {
	firstSeen time.Time
	lastSeen  time.Time
}

// loadReader reads the load reports of the engines of the pools whose home is this instance.
type loadReader struct {
	placer *Placer
	slots  chan struct{}
	group  sync.WaitGroup

	mu   sync.Mutex
	busy map[string]bool // engines with a read in progress
}

func newLoadReader(placer *Placer) *loadReader {
	return &loadReader{placer: placer, slots: make(chan struct{}, maxEngineCalls), busy: make(map[string]bool)}
}

func (r *loadReader) wait() { r.group.Wait() }

// read starts to read the load report of each engine, unless a read of it is in progress.
func (r *loadReader) read(ctx context.Context) {
	for _, pool := range r.placer.homePools() {
		pool.mu.Lock()
		engines := pool.engines
		pool.mu.Unlock()
		for _, backend := range engines {
			if r.tryBegin(backend.Name()) {
				r.group.Go(func() { r.readEngine(ctx, pool, backend.Name(), backend.Address()) })
			}
		}
	}
}

func (r *loadReader) tryBegin(engine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[engine] {
		return false
	}
	r.busy[engine] = true
	return true
}

func (r *loadReader) end(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, engine)
}

// readEngine reads the load report of one engine, applies it and cancels the engine's orphaned generations.
func (r *loadReader) readEngine(ctx context.Context, pool *pool, name, address string) {
	defer r.end(name)
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	report, err := r.placer.options.Engines.Load(ctx, address)
	if err != nil {
		return // The view of the backend servers and the relays detect dead engines; a missing report changes nothing.
	}
	now := r.placer.options.Now()
	orphans := pool.applyReport(name, report, now, r.placer.liveIncarnations())
	for _, generation := range orphans {
		log := r.placer.options.Log.WithField("generation", generation).WithField("backend", name)
		if err := r.placer.options.Engines.Cancel(ctx, address, generation); err != nil {
			log.WithError(err).Warn("could not cancel a generation without a reader")
			continue
		}
		log.Info("canceled a generation without a reader")
	}
}

// homePools returns the pools of this region whose home is this instance. It creates missing schedulers, so that load
// reports and orphaned generations are handled before the first request.
func (p *Placer) homePools() []*pool {
	manifest := p.manifest()
	if manifest == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var pools []*pool
	for _, model := range manifest.Models() {
		if key := (poolKey{model: model.Name(), region: p.region()}); p.isHome(key) {
			pools = append(pools, p.localPoolLocked(key))
		}
	}
	return pools
}

// isHome reports whether this instance is the home of a pool. The lock must be held.
func (p *Placer) isHome(key poolKey) bool {
	homes := p.ranking(key)
	return len(homes) > 0 && homes[0].ID() == p.options.Directory.Self().ID()
}

// liveIncarnations returns the incarnations of the entry instances that are in the directory.
func (p *Placer) liveIncarnations() map[string]bool {
	refs := make(map[string]bool)
	for _, instance := range p.options.Directory.Instances() {
		refs[instance.Ref().String()] = true
	}
	return refs
}

// applyReport passes an engine's load report to the scheduler and returns the orphaned generations to cancel: those
// that have had no reader for resumeWindow, or for twice as long if their instance is live, which cancels them itself.
func (p *pool) applyReport(name string, report engine.Load, now time.Time, live map[string]bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Report(name, sched.Report{
		Running:     report.Running,
		Waiting:     report.Waiting,
		UsedTokens:  report.UsedTokens,
		Preemptions: int(report.Preemptions),
		Age:         assumedReportAge,
	}, now)
	var orphans []string
	for _, generation := range report.Unread {
		span, ok := p.unread[generation]
		if !ok || now.Sub(span.lastSeen) > unreadExpiry {
			span.firstSeen = now
		}
		span.lastSeen = now
		p.unread[generation] = span
		limit := resumeWindow
		if live[instanceOf(generation)] {
			limit = 2 * resumeWindow
		}
		if now.Sub(span.firstSeen) >= limit {
			orphans = append(orphans, generation)
			delete(p.unread, generation)
		}
	}
	for generation, span := range p.unread {
		if now.Sub(span.lastSeen) > unreadExpiry {
			delete(p.unread, generation)
		}
	}
	return orphans
}

// unreadExpiry is the time after which a generation that load reports no longer list as unread counts as read again.
const unreadExpiry = 3 * reportInterval

// instanceOf returns the "INSTANCE.INCARNATION" part of a generation ID.
func instanceOf(generation string) string {
	if end := strings.LastIndexByte(generation, '.'); end >= 0 {
		return generation[:end]
	}
	return generation
}
