package soak

import (
	"flag"
	"net/http"
	"testing"
	"time"
)

// upgradeIntervalFlag sets the load of TestUpgrade: a third of the requests are streams that take 1.2 s of one of 64 slots.
var upgradeIntervalFlag = flag.Duration("soak.upgradeInterval", callInterval, "time between two requests in TestUpgrade")

const (
	// minUpgradeShare is the share of the requests served in an upgrade, relative to that before it. The goal of issue 36.
	minUpgradeShare = 0.99

	// undisturbedTime is the time before the upgrade over which the requests are counted.
	undisturbedTime = 6 * time.Second

	// storeWindow is the time over which the calls to the store are counted.
	storeWindow = 10 * time.Second
)

// upgradeFigures are what callers saw of the requests sent in a span.
type upgradeFigures struct {
	sent, served, cut int
	slowestFirst      time.Duration
	load              float64 // mean share of the slots of engines that streams took
}

func (f upgradeFigures) share() float64 { return float64(f.served) / float64(max(f.sent, 1)) }

func figuresOf(load *loadGenerator, from, until time.Time) upgradeFigures {
	load.mu.Lock()
	defer load.mu.Unlock()
	const engines = 4
	var f upgradeFigures
	var running time.Duration
	for _, o := range load.outcomes {
		if o.sentAt.Before(from) || o.sentAt.After(until) {
			continue
		}
		f.sent++
		if o.status == http.StatusOK && o.complete {
			f.served++
		}
		if o.kind != kindStream || o.status != http.StatusOK {
			continue
		}
		if !o.complete {
			f.cut++
		}
		if !o.firstAt.IsZero() {
			f.slowestFirst = max(f.slowestFirst, o.firstAt.Sub(o.sentAt))
			running += o.endedAt.Sub(o.firstAt)
		}
	}
	f.load = running.Seconds() / until.Sub(from).Seconds() / (engines * slots)
	return f
}

// TestUpgrade guards against callers who notice that all instances are replaced one after the other, each when the one before is ready again.
// With -soak.former and -soak.mix upgrade the instances go from one release to the other.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	c, load, stop := startLoadEvery(t, buildReleases(t), *countFlag, *upgradeIntervalFlag)
	began := time.Now()
	time.Sleep(undisturbedTime)
	var calls []int
	sample := func() {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		calls = append(calls, c.store.calls)
	}
	upgrading := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, i := range c.instances {
			if !i.stop() {
				t.Errorf("%s did not exit within its grace period", i.name)
			}
			for deadline := time.Now().Add(10 * time.Second); !isReady(i.ip); time.Sleep(20 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Errorf("%s is not ready within 10 s", i.name)
					break
				}
			}
		}
	}()
	for running := true; running; {
		sample()
		select {
		case <-done:
			running = false
		case <-ticker.C:
		}
	}
	ended := time.Now()
	stop()
	before, during := figuresOf(load, began, upgrading.Add(-time.Second)), figuresOf(load, upgrading, ended)
	busiest, window := 0, int(storeWindow/time.Second)
	for i := range calls {
		busiest = max(busiest, calls[min(i+window, len(calls)-1)]-calls[i])
	}
	t.Logf("%d instances in %v; load %.2f before, %.2f during; served %.4f of %d before, %.4f of %d during; streams cut %d and %d; slowest first event %v and %v; "+
		"at most %d calls to the store in %v", len(c.instances), ended.Sub(upgrading).Round(time.Second), before.load, during.load, before.share(), before.sent,
		during.share(), during.sent, before.cut, during.cut, before.slowestFirst, during.slowestFirst, busiest, storeWindow)
	if during.share() < minUpgradeShare*before.share() || during.sent == 0 {
		t.Errorf("%.4f of the requests were served during the upgrade, %.4f before", during.share(), before.share())
	}
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	for _, text := range c.recorder.violations {
		t.Error(text)
	}
}
