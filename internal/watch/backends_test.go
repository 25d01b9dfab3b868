package watch

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/member"
)

const leavingBackend = "letter-0"

// leavingCheck checks while a cluster runs that a leaving backend server receives no new work after three seconds
// (property 5). Every 100 ms a random instance sends work to the server if its Backends allows that; the server refuses
// with the notice that it is leaving.
type leavingCheck struct {
	c          *cluster
	violations []string
	leftAt     time.Time
	healedAt   time.Time
	// listLag is the delay until the list shows that the server is leaving; listDown stops reads of the list.
	listLag  time.Duration
	listDown bool
	// informed holds since when the current process of a node has known that the server is leaving.
	informed map[*node]informedState
}

type informedState struct {
	processEpoch int
	since        time.Time
}

func newLeavingCheck(naive bool, seed uint64) *leavingCheck {
	l := &leavingCheck{c: newCluster(9, seed), informed: make(map[*node]informedState)}
	l.c.naive = naive
	l.c.onTick = func(n *node) {
		if n.source.Current() != nil && !n.backends.Accepting(l.c.now, leavingBackend) {
			l.learn(n)
		}
	}
	l.c.service.publish(1, "first")
	l.c.startAll()
	l.c.run(quietPeriod)
	l.readLists()
	l.dispatch()
	return l
}

// readLists periodically applies the lagging list on every instance.
func (l *leavingCheck) readLists() {
	listed := make(map[string]member.BackendState)
	for i := range testBackendCount {
		listed[fmt.Sprintf("letter-%d", i)] = member.BackendAccepting
	}
	if !l.leftAt.IsZero() && l.c.now.Sub(l.leftAt) > l.listLag {
		listed[leavingBackend] = member.BackendLeaving
	}
	for _, n := range l.c.nodes {
		if n.up && !n.paused && !l.listDown {
			n.backends.SetList(listed)
		}
	}
	l.c.schedule(listInterval, l.readLists)
}

func (l *leavingCheck) dispatch() {
	defer l.c.schedule(100*time.Millisecond, l.dispatch)
	now := l.c.now
	n := l.c.nodes[l.c.random.IntN(len(l.c.nodes))]
	if l.leftAt.IsZero() || !n.up || n.paused || !n.source.Confirmed(now) || !n.backends.Accepting(now, leavingBackend) {
		return
	}
	if informed := l.informedNode(n); informed != nil {
		l.violations = append(l.violations, fmt.Sprintf("%s sends work; %s has known for %s that the server is leaving",
			n.id, informed.id, now.Sub(l.informed[informed].since)))
	}
	n.runAfter(time.Millisecond, func() {
		l.learn(n)
		n.backends.MarkLeaving(leavingBackend)
	})
}

func (l *leavingCheck) learn(n *node) {
	if state, ok := l.informed[n]; !ok || state.processEpoch != n.processEpoch {
		l.informed[n] = informedState{processEpoch: n.processEpoch, since: l.c.now}
	}
}

// informedNode returns an instance connected to n that has known for so long that the server is leaving that n must
// know it too, or nil.
func (l *leavingCheck) informedNode(n *node) *node {
	for _, other := range l.c.nodes {
		state, ok := l.informed[other]
		if !ok || state.processEpoch != other.processEpoch || !other.up || other.paused ||
			l.c.disconnected(other, n) || l.c.disconnected(n, other) {
			continue
		}
		if l.c.now.Sub(latest(state.since, other.wokenAt, l.healedAt)) > adoptionLimit {
			return other
		}
	}
	return nil
}

func (l *leavingCheck) run(script []faultStep) {
	for _, step := range script {
		l.apply(step)
		l.c.run(step.delay)
	}
}

func (l *leavingCheck) apply(step faultStep) {
	c, n := l.c, l.c.nodes[step.node]
	switch step.kind {
	case "leave":
		if l.leftAt.IsZero() {
			l.leftAt = c.now
		}
	case "pause":
		n.pause(step.duration)
	case "restart":
		n.start()
	case "platformDown":
		l.listDown = true
		c.service.setMode(false, true)
	case "cutRegion":
		c.disconnected = func(a, b *node) bool { return a.region != b.region }
	case "heal":
		c.disconnected = func(_, _ *node) bool { return false }
		l.healedAt = c.now.Add(rediscoveryLimit)
	case "loss":
		c.loss = 0.1
	}
}

func leavingScripts() *rapid.Generator[[]faultStep] {
	kinds := []string{"leave", "leave", "pause", "restart", "platformDown", "cutRegion", "heal", "loss"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			node:     rapid.IntRange(0, 8).Draw(t, "node"),
			duration: rapid.SampledFrom([]time.Duration{1, 3, 10, 60}).Draw(t, "length") * time.Second,
			delay:    rapid.SampledFrom([]time.Duration{50, 300, 1500, 4000, 20000}).Draw(t, "delay") * time.Millisecond,
		}
	}), 4, 14)
}

// TestLeavingBackend guards against new work for a leaving backend server while the list lags or the platform is down.
func TestLeavingBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLeavingCheck(false, rapid.Uint64().Draw(t, "seed"))
		l.listLag = rapid.SampledFrom([]time.Duration{5, 60, 600}).Draw(t, "lag") * time.Second
		l.run(leavingScripts().Draw(t, "script"))
		if len(l.violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(l.violations), l.violations[0])
		}
	})
}

// TestLeavingBackendNaive guards against a check that cannot fail: an implementation that uses only the list must fail
// it.
func TestLeavingBackendNaive(t *testing.T) {
	failed := 0
	for seed := range 20 {
		l := newLeavingCheck(true, uint64(seed))
		l.listLag = time.Minute
		l.run(leavingScripts().Example(seed))
		if len(l.violations) > 0 {
			failed++
			t.Logf("script %d: %d violations, first: %s", seed, len(l.violations), l.violations[0])
		}
	}
	if failed == 0 {
		t.Error("the naive implementation passes the check of leaving backend servers")
	}
}

// TestLeavingBackendFaults guards against two faults in the dissemination of notices: pushes that mostly go to members
// behind a partition that is not yet detected, and a restarted instance that regards the table of another restarted
// instance as complete.
func TestLeavingBackendFaults(t *testing.T) {
	tests := []struct {
		name   string
		script []faultStep
	}{
		{name: "partition just before", script: []faultStep{
			{kind: "cutRegion", delay: 300 * time.Millisecond},
			{kind: "leave", delay: 6 * time.Second},
		}},
		{name: "restart next to a restart", script: []faultStep{
			{kind: "cutRegion", delay: 300 * time.Millisecond},
			{kind: "leave", delay: 10 * time.Second},
			{kind: "restart", node: 6, delay: 50 * time.Millisecond},
			{kind: "restart", node: 1, delay: 10 * time.Second},
		}},
		{name: "loss", script: []faultStep{
			{kind: "loss", delay: time.Second},
			{kind: "leave", delay: 6 * time.Second},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range 60 {
				l := newLeavingCheck(false, uint64(seed))
				l.listLag = time.Hour
				l.run(test.script)
				if len(l.violations) > 0 {
					t.Errorf("seed %d: %d violations, first: %s", seed, len(l.violations), l.violations[0])
				}
			}
		})
	}
}

// TestBackendReturns guards against a backend server that still gets no work after it has returned, which shows in the
// list or as a new address in the manifest.
func TestBackendReturns(t *testing.T) {
	tests := []struct {
		name string
		back func(c *cluster)
	}{
		{name: "list", back: func(c *cluster) {
			states := []member.BackendState{member.BackendAccepting, member.BackendLeaving, member.BackendAccepting}
			for _, state := range states {
				c.nodes[0].backends.SetList(map[string]member.BackendState{leavingBackend: state})
			}
		}},
		{name: "address", back: func(c *cluster) {
			c.service.publishBody(bytes.Replace(testBody(2, "moved"), []byte("127.0.0.1:8000"), []byte("127.0.0.1:8100"), 1))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(9, 1)
			c.service.publish(1, "first")
			c.startAll()
			c.run(quietPeriod)
			c.nodes[4].backends.MarkLeaving(leavingBackend)
			c.run(adoptionLimit)
			for _, n := range c.nodes {
				if n.backends.Accepting(c.now, leavingBackend) {
					t.Errorf("%s accepts a leaving backend server", n.id)
				}
			}
			test.back(c)
			c.run(adoptionLimit)
			for _, n := range c.nodes {
				if !n.backends.Accepting(c.now, leavingBackend) {
					t.Errorf("%s does not accept a backend server that returned", n.id)
				}
			}
		})
	}
}
