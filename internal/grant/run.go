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
	timer := time.NewTimer(0)
	defer timer.Stop()
	var maintainAt, reportAt, beatAt time.Time
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		case <-p.wake:
		}
		now := p.options.Now()
		idle := p.viewChanged.Swap(false) || !now.Before(maintainAt)
		if idle {
			maintainAt = now.Add(idleInterval)
			p.maintain(now)
		}
		busy := p.runPools(idle)
		if !now.Before(beatAt) {
			beatAt = now.Add(beatInterval)
			p.beat()
		}
		if !now.Before(reportAt) {
			reportAt = now.Add(reportInterval)
			reports.read(ctx)
		}
		// A wake-up every tickInterval takes 1.5 % of a core even if there is nothing to do.
		wait := maintainAt.Sub(now)
		if busy {
			wait = min(wait, tickInterval)
		}
		timer.Reset(wait)
	}
}

// wakeUp makes Run tick the pools soon, because a request waits.
func (p *Placer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// stopLinks ends all streams. Under the lock, no new one is opened afterwards.
func (p *Placer) stopLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
}

// runPools runs the pools with waiting requests, and with all also the others. It reports whether any request waits.
func (p *Placer) runPools(all bool) (busy bool) {
	p.mu.Lock()
	var due []*pool
	for _, pool := range p.pools {
		idle := pool.idle()
		busy = busy || !idle
		if all || !idle {
			due = append(due, pool)
		}
	}
	p.mu.Unlock()
	for _, pool := range due {
		p.run(pool)
	}
	return busy
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

// Refresh makes Run apply the present view of the engines at once.
func (p *Placer) Refresh() {
	p.viewChanged.Store(true)
	p.wakeUp()
}
