package place

import (
	"context"
	"time"

	"github.com/dragonflypond/dragonflypond/internal/sched"
)

// handoverEnd ends a request at one coordinator because another one decides about it from now on.
var handoverEnd = sched.End{}

// Run ticks the schedulers, reads load reports and maintains the streams to homes until ctx ends. It returns the cause
// of the end and must be called once.
func (p *Placer) Run(ctx context.Context) error {
	defer p.group.Wait()
	defer p.closeStreams()
	reader := newLoadReader(p)
	defer reader.wait()
	exchange := newExchange(p)
	defer exchange.wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var maintainAt, reportsReadAt, heartbeatAt time.Time
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		case <-p.wake:
		}
		now := p.options.Now()
		maintenanceDue := p.viewChanged.Swap(false) || !now.Before(maintainAt)
		if maintenanceDue {
			maintainAt = now.Add(maintenanceInterval)
			p.maintain(now)
		}
		busy := p.tickPools(maintenanceDue)
		exchange.ask(ctx, now)
		if !now.Before(heartbeatAt) {
			heartbeatAt = now.Add(heartbeatInterval)
			p.sendHeartbeats()
		}
		if now.Sub(reportsReadAt) >= p.options.ReportInterval() {
			reportsReadAt = now
			reader.read(ctx)
		}
		// Without waiting requests, sleep until maintenance: waking every tickInterval costs 1.5 % of a core even when idle.
		wait := maintainAt.Sub(now)
		if busy {
			wait = min(wait, tickInterval)
		}
		timer.Reset(wait)
	}
}

// wakeUp makes Run tick the pools soon.
func (p *Placer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// closeStreams ends all home streams. It holds the lock, so that none is opened afterwards.
func (p *Placer) closeStreams() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelStreams()
}

// tickPools ticks the pools with waiting requests, or all pools if all is set. It reports whether any request waits.
func (p *Placer) tickPools(all bool) (busy bool) {
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
		p.tickPool(pool)
	}
	return busy
}

// idle reports whether no request waits.
func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Idle()
}

func (p *Placer) sendHeartbeats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		s.queueHeartbeat()
	}
}

// Drain makes this instance stop being a home, so that other instances take over its pools, and waits until it has no
// open requests or ctx ends.
func (p *Placer) Drain(ctx context.Context) error {
	p.mu.Lock()
	if !p.draining {
		p.draining = true
		close(p.drainStarted)
	}
	p.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for p.OpenRequests() > 0 {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
	return nil
}

// Refresh makes Run apply the current view of the engines at once.
func (p *Placer) Refresh() {
	p.viewChanged.Store(true)
	p.wakeUp()
}
