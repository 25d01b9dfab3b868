package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// The users' bounds for the requests to a backend server that names a limit: from limitGrace after it was first named,
// limitFactor times the limit plus limitSlack in any limitWindow, counting instances that had passed on an answer with the
// limit limitNotice before.
const (
	limitGrace  = 4 * time.Second
	limitWindow = 4 * time.Second
	limitNotice = 500 * time.Millisecond
	limitFactor = 1.5
	limitSlack  = 5
)

// rateLimit is a limit that a backend server names for a while, with the requests that arrive meanwhile.
type rateLimit struct {
	backend   string
	perSecond float64
	namedAt   time.Time
	arrivals  []arrival
}

// arrival is a request that reached a backend server.
type arrival struct {
	request string
	at      time.Time
}

// nameLimit makes the backend server name a limit until the returned function is called.
func (b *backend) nameLimit(perSecond float64) (lift func()) {
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	limit := &rateLimit{backend: b.id, perSecond: perSecond, namedAt: time.Now()}
	b.limit = limit
	b.recorder.limits = append(b.recorder.limits, limit)
	return func() {
		b.recorder.mu.Lock()
		defer b.recorder.mu.Unlock()
		if b.limit == limit {
			b.limit = nil
		}
	}
}

// recordArrival records a request under the limit that is named now and returns that limit, or nil. The lock of the
// recorder must be held.
func (b *backend) recordArrival(request string) *rateLimit {
	if b.limit != nil {
		b.limit.arrivals = append(b.limit.arrivals, arrival{request, time.Now()})
	}
	return b.limit
}

// checkLimits fails the test if the instances together sent more to a backend server than the limit that it had named.
// Instances with a fault of their own shortly before do not count.
func checkLimits(t *testing.T, c *cluster, load *loadGenerator) {
	addressOf := make(map[string]string)
	for _, o := range load.outcomes {
		addressOf[o.id] = o.address
	}
	for _, limit := range c.recorder.limits {
		toldAt := make(map[string]time.Time) // by address of the instance
		var counted []time.Time
		for _, a := range limit.arrivals {
			address := addressOf[a.request]
			told, ok := toldAt[address]
			if !ok {
				toldAt[address] = a.at
			}
			if ok && a.at.Sub(told) > limitNotice && !c.disturbed(address, a.at) {
				counted = append(counted, a.at)
			}
		}
		worst, allowed := 0, int(limitFactor*limit.perSecond*limitWindow.Seconds())+limitSlack
		for i, end := range counted {
			if end.Sub(limit.namedAt) < limitGrace {
				continue
			}
			first, _ := slices.BinarySearchFunc(counted, end.Add(-limitWindow), time.Time.Compare)
			worst = max(worst, i-first+1)
		}
		t.Logf("%s named a limit of %.1f/s and got %d requests, at most %d in %v", limit.backend, limit.perSecond,
			len(limit.arrivals), worst, limitWindow)
		if worst > allowed {
			t.Errorf("%s named a limit of %.1f/s and got %d requests in %v from instances that it had told, want at most %d",
				limit.backend, limit.perSecond, worst, limitWindow, allowed)
		}
	}
}

// TestLimitExceededByAllInstancesTogether guards against instances that each keep a limit for themselves, or not at all.
func TestLimitExceededByAllInstancesTogether(t *testing.T) {
	t.Parallel()
	c := newCluster(t, buildReleases(t), 0, *countFlag)
	if !c.waitReady(10 * time.Second) {
		t.Fatal("not every instance is ready within 10 s")
	}
	load := newLoadGenerator(c)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { load.run(ctx, rand.New(rand.NewPCG(1, 2)), callInterval) })
	perSecond := 3.4
	for _, b := range c.allBackends() {
		if !b.isEngine {
			b.nameLimit(perSecond)
			perSecond *= 3
		}
	}
	time.Sleep(limitGrace + limitWindow)
	stop()
	group.Wait()
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	checkLimits(t, c, load)
	for _, text := range c.recorder.violations {
		t.Error(text)
	}
	served, refused := 0, 0
	for _, o := range load.outcomes {
		switch {
		case o.status == 200 && o.complete:
			served++
		case o.status == 503 && c.recorder.requests[o.id] == nil:
			refused++
		default:
			t.Errorf("request %s of kind %d: status %d, complete %v", o.id, o.kind, o.status, o.complete)
		}
	}
	t.Logf("%d served, %d refused", served, refused)
	for _, limit := range c.recorder.limits {
		if least := int(limit.perSecond * limitWindow.Seconds()); len(limit.arrivals) < least {
			t.Errorf("%s got %d requests in %v, want at least %d", limit.backend, len(limit.arrivals),
				limitGrace+limitWindow, least)
		}
	}
}
