package soak

import (
	"net/http"
	"testing"
	"time"
)

// The users' bounds for brittle backend servers: from contactLimit after they begin to say so they may let nothing wait, and one that has
// to reject more requests in a second than it says crashes. They crash at most brittleSlack times and brittleShare of their number more
// often. A crash counts if most of what was rejected came from instances without a fault of their own.
const (
	brittleSlack = 2
	brittleShare = 0.1

	// brittleServiceTime makes callInterval more work than the replicas of the plain service can do.
	brittleServiceTime = 1200 * time.Millisecond
)

// brittlePhase is a time in which the replicas of the plain service are slow and brittle.
type brittlePhase struct {
	tolerance int // rejections in a second
	replicas  int
	disturbance
	crashes int // that count
}

// shortage is a request that a replica had no room for.
type shortage struct {
	at        time.Time
	disturbed bool
}

// beBrittle makes all replicas of the plain service brittle until the returned function is called.
func (c *cluster) beBrittle(tolerance int) (end func()) {
	replicas := 0
	for _, b := range c.allBackends() {
		if !b.isEngine {
			replicas++
		}
	}
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	phase := &brittlePhase{tolerance: tolerance, replicas: replicas, disturbance: disturbance{from: time.Now()}}
	c.recorder.brittle = append(c.recorder.brittle, phase)
	return func() {
		c.recorder.mu.Lock()
		defer c.recorder.mu.Unlock()
		phase.until = time.Now()
	}
}

// brittlePhase returns the latest phase that is not over, or nil. The lock must be held.
func (r *recorder) brittlePhase() *brittlePhase {
	for i := len(r.brittle) - 1; i >= 0; i-- {
		if r.brittle[i].until.IsZero() {
			return r.brittle[i]
		}
	}
	return nil
}

// enterPlain counts a request at a replica of the plain service. It returns the phase in which the replica is brittle, nil for none,
// whether it has room for the request, and whether it crashes because it has none.
func (b *backend) enterPlain(client string) (phase *brittlePhase, room, crashes bool) {
	disturbed := b.disturbed(client+frontPort, time.Now())
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	now := time.Now()
	phase = b.recorder.brittlePhase()
	if phase == nil || now.Sub(phase.from) < contactLimit || b.plainRunning < slots {
		b.plainRunning++
		return phase, true, false
	}
	b.shortages = append(b.shortages, shortage{now, disturbed})
	for now.Sub(b.shortages[0].at) >= time.Second {
		b.shortages = b.shortages[1:]
	}
	if len(b.shortages) <= phase.tolerance || b.crashed {
		return phase, false, false
	}
	b.crashed = true
	counted := 0
	for _, s := range b.shortages {
		if !s.disturbed {
			counted++
		}
	}
	if 2*counted > len(b.shortages) {
		phase.crashes++
	}
	return phase, false, true
}

func (b *backend) exitPlain() {
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	b.plainRunning--
}

// checkBrittle fails the test if brittle replicas crashed too often. The lock of the recorder must be held.
func checkBrittle(t *testing.T, c *cluster) {
	for _, phase := range c.recorder.brittle {
		t.Logf("%d replicas were brittle, with %d rejections in a second, from %v on: %d crashes", phase.replicas, phase.tolerance,
			contactLimit, phase.crashes)
		if allowed := brittleSlack + int(brittleShare*float64(phase.replicas)); phase.crashes > allowed {
			t.Errorf("%d brittle replicas crashed %d times, want at most %d", phase.replicas, phase.crashes, allowed)
		}
	}
}

// TestBrittleReplicasCrash guards against instances that together send brittle replicas more than they have room for, so that they
// crash one after the other.
func TestBrittleReplicasCrash(t *testing.T) {
	t.Parallel()
	c, load, stop := startLoad(t, buildReleases(t), *countFlag)
	end := c.beBrittle(1)
	time.Sleep(contactLimit)
	measuredFrom := time.Now()
	time.Sleep(8 * time.Second)
	measuredUntil := time.Now()
	end()
	stop()
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	checkBrittle(t, c)
	for _, text := range c.recorder.violations {
		t.Error(text)
	}
	served, refused, failed, slow := 0, 0, 0, 0
	for _, o := range load.outcomes {
		switch {
		case o.kind == kindStream || o.sentAt.Before(measuredFrom) || o.sentAt.After(measuredUntil):
		case o.status == http.StatusOK && o.complete:
			served++
		case o.status == http.StatusServiceUnavailable:
			refused++
			if o.endedAt.Sub(o.sentAt) > time.Second {
				slow++
			}
		default:
			failed++
		}
	}
	capacity := float64(2*slots) * measuredUntil.Sub(measuredFrom).Seconds() / brittleServiceTime.Seconds()
	t.Logf("%d requests served, of %.0f that the replicas can serve, %d refused, %d of them after more than a second, %d failed", served,
		capacity, refused, slow, failed)
	if slow > 0 {
		t.Errorf("%d requests refused after more than a second", slow)
	}
}
