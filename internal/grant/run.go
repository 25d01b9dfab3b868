package grant

import (
	"context"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/sched"
)

// endOfMove ends a request at one holder because another one decides about it from now on.
var endOfMove = sched.End{}

// Run runs the schedulers, reads load reports and keeps streams to homes until ctx ends. It returns the cause of the
// end. It must be called once.
func (p *Placer) Run(ctx context.Context) error {
	defer p.group.Wait()
	defer p.stopLinks()
	reports := newReporter(p)
	defer reports.wait()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var maintainAt, reportAt, beatAt time.Time
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-tick.C:
		}
		now := p.options.Now()
		idle := !now.Before(maintainAt)
		if idle {
			maintainAt = now.Add(idleInterval)
			p.maintain(now)
		}
		p.runPools(idle)
		if !now.Before(beatAt) {
			beatAt = now.Add(beatInterval)
			p.beat()
		}
		if !now.Before(reportAt) {
			reportAt = now.Add(reportInterval)
			reports.read(ctx)
		}
	}
}

// stopLinks ends all streams. Under the lock, no new one is opened afterwards.
func (p *Placer) stopLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
}

// runPools runs the pools with waiting requests, and with all also the others.
func (p *Placer) runPools(all bool) {
	p.mu.Lock()
	var due []*pool
	for _, pool := range p.pools {
		if all || !pool.idle() {
			due = append(due, pool)
		}
	}
	p.mu.Unlock()
	for _, pool := range due {
		p.run(pool)
	}
}

func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Idle()
}

func (p *Placer) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.outlets {
		o.heartbeat()
	}
}

// Drain gives up the homes that this instance holds, so that other instances take them over, and waits until no
// placement of this instance is open or ctx ends.
func (p *Placer) Drain(ctx context.Context) error {
	p.mu.Lock()
	if !p.draining {
		p.draining = true
		close(p.drained)
	}
	p.mu.Unlock()
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
