package grant

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

	// assumedReportAge is the age of a report's figures when the home gets it. Engines report with a lag that they do
	// not state. Too large a value only makes memory of other homes' requests show up later.
	assumedReportAge = 500 * time.Millisecond

	// engineCallTimeout bounds one read of a report with the cancels that follow from it.
	engineCallTimeout = 2 * time.Second

	// maxReports bounds the reads and cancels that are in progress.
	maxReports = 32
)

// unreadSince is a generation without a reader.
type unreadSince struct {
	first time.Time
	last  time.Time
}

// reporter reads the load reports of the engines whose pools have their home here.
type reporter struct {
	placer *Placer
	slots  chan struct{}
	group  sync.WaitGroup

	mu   sync.Mutex
	busy map[string]bool // engines with a read in progress
}

func newReporter(placer *Placer) *reporter {
	return &reporter{placer: placer, slots: make(chan struct{}, maxReports), busy: make(map[string]bool)}
}

func (r *reporter) wait() { r.group.Wait() }

// read starts a read of each engine that has none in progress.
func (r *reporter) read(ctx context.Context) {
	for _, pool := range r.placer.homePools() {
		pool.mu.Lock()
		engines := pool.engines
		pool.mu.Unlock()
		for _, backend := range engines {
			if r.begin(backend.Name()) {
				r.group.Go(func() { r.readEngine(ctx, pool, backend.Name(), backend.Address()) })
			}
		}
	}
}

func (r *reporter) begin(engine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[engine] {
		return false
	}
	r.busy[engine] = true
	return true
}

func (r *reporter) end(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, engine)
}

func (r *reporter) readEngine(ctx context.Context, pool *pool, name, address string) {
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
		return // The membership view and the relays tell about dead engines; a missing report decides nothing.
	}
	now := r.placer.options.Now()
	orphans := pool.report(name, report, now, r.placer.present())
	for _, generation := range orphans {
		log := r.placer.options.Log.WithField("generation", generation).WithField("backend", name)
		if err := r.placer.options.Engines.Cancel(ctx, address, generation); err != nil {
			log.WithError(err).Warn("cancel of a generation without a reader failed")
			continue
		}
		log.Info("cancelled a generation without a reader")
	}
}

// homePools returns the pools of this region whose home is this instance. It opens the scheduler of each, so that
// reports and orphans are handled before the first request.
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

func (p *Placer) isHome(key poolKey) bool {
	homes := p.ranked(key)
	return len(homes) > 0 && homes[0].ID() == p.options.Directory.Self().ID()
}

// present returns the incarnations of the entry instances that are not gone.
func (p *Placer) present() map[string]bool {
	refs := make(map[string]bool)
	for _, instance := range p.options.Directory.Instances() {
		refs[instance.Ref().String()] = true
	}
	return refs
}

// report passes an engine's report to the scheduler and returns the generations to cancel: those that have had no
// reader for longer than the resume limit, or twice that while their instance is present and cancels them itself.
func (p *pool) report(name string, report engine.Load, now time.Time, present map[string]bool) []string {
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
		seen, ok := p.unread[generation]
		if !ok || now.Sub(seen.last) > unreadGap {
			seen.first = now
		}
		seen.last = now
		p.unread[generation] = seen
		limit := resumeLimit
		if present[instanceOf(generation)] {
			limit = 2 * resumeLimit
		}
		if now.Sub(seen.first) >= limit {
			orphans = append(orphans, generation)
			delete(p.unread, generation)
		}
	}
	for generation, seen := range p.unread {
		if now.Sub(seen.last) > unreadGap {
			delete(p.unread, generation)
		}
	}
	return orphans
}

// unreadGap is the time without mention after which a generation counts as read again.
const unreadGap = 3 * reportInterval

// instanceOf returns the "INSTANCE.INCARNATION" part of a generation ID.
func instanceOf(generation string) string {
	if end := strings.LastIndexByte(generation, '.'); end >= 0 {
		return generation[:end]
	}
	return generation
}
