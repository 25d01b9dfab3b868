package watch

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/member"
)

const leavingName = "letter-0"

// leaveCheck checks property 5 while a cluster runs: a leaving backend server receives no new work after three seconds.
// Every tenth of a second one instance sends work to the server if its view allows that; the server refuses by saying
// that it leaves.
type leaveCheck struct {
	c          *cluster
	violations []string
	left       time.Time
	healed     time.Time
	// listLag is how late the list shows that the server leaves; listDown stops reads of the list.
	listLag  time.Duration
	listDown bool
	// known holds since when the current process of a node has known that the server leaves.
	known map[*node]knowledge
}

type knowledge struct {
	life  int
	since time.Time
}

func newLeaveCheck(naive bool, seed uint64) *leaveCheck {
	l := &leaveCheck{c: newCluster(9, seed), known: make(map[*node]knowledge)}
	l.c.naive = naive
	l.c.onTick = func(n *node) {
		if n.source.Current() != nil && !n.backends.Accepting(l.c.now, leavingName) {
			l.learn(n)
		}
	}
	l.c.service.publish(1, "first")
	l.c.startAll()
	l.c.run(calm)
	l.readLists()
	l.dispatch()
	return l
}

// readLists gives the lagging list to every instance at intervals.
func (l *leaveCheck) readLists() {
	listed := make(map[string]member.BackendState)
	for i := range testBackends {
		listed[fmt.Sprintf("letter-%d", i)] = member.BackendAccepting
	}
	if !l.left.IsZero() && l.c.now.Sub(l.left) > l.listLag {
		listed[leavingName] = member.BackendLeaving
	}
	for _, n := range l.c.nodes {
		if n.up && !n.paused && !l.listDown {
			n.backends.SetList(listed)
		}
	}
	l.c.at(listInterval, l.readLists)
}

func (l *leaveCheck) dispatch() {
	defer l.c.at(100*time.Millisecond, l.dispatch)
	now := l.c.now
	n := l.c.nodes[l.c.random.IntN(len(l.c.nodes))]
	if l.left.IsZero() || !n.up || n.paused || !n.source.Confirmed(now) || !n.backends.Accepting(now, leavingName) {
		return
	}
	if holder := l.holder(n); holder != nil {
		l.violations = append(l.violations, fmt.Sprintf("%s sends work; %s has known for %s that the server leaves",
			n.id, holder.id, now.Sub(l.known[holder].since)))
	}
	n.deliver(time.Millisecond, func() {
		l.learn(n)
		n.backends.Leaving(leavingName)
	})
}

func (l *leaveCheck) learn(n *node) {
	if k, ok := l.known[n]; !ok || k.life != n.life {
		l.known[n] = knowledge{life: n.life, since: l.c.now}
	}
}

// holder returns an instance within reach of n that has known for so long that n must know too.
func (l *leaveCheck) holder(n *node) *node {
	for _, h := range l.c.nodes {
		k, ok := l.known[h]
		if !ok || k.life != h.life || !h.up || h.paused || l.c.cut(h, n) || l.c.cut(n, h) {
			continue
		}
		if l.c.now.Sub(latest(k.since, h.awake, l.healed)) > inForce {
			return h
		}
	}
	return nil
}

func (l *leaveCheck) run(script []op) {
	for _, o := range script {
		l.apply(o)
		l.c.run(o.delay)
	}
}

func (l *leaveCheck) apply(o op) {
	c, n := l.c, l.c.nodes[o.node]
	switch o.kind {
	case "leave":
		if l.left.IsZero() {
			l.left = c.now
		}
	case "pause":
		n.pause(o.length)
	case "restart":
		n.start()
	case "platformDown":
		l.listDown = true
		c.service.setMode(false, true)
	case "cutRegion":
		c.cut = func(a, b *node) bool { return a.region != b.region }
	case "heal":
		c.cut = func(_, _ *node) bool { return false }
		l.healed = c.now.Add(healTime)
	case "loss":
		c.loss = 0.1
	}
}

func leaveScripts() *rapid.Generator[[]op] {
	kinds := []string{"leave", "leave", "pause", "restart", "platformDown", "cutRegion", "heal", "loss"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		return op{
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			node:   rapid.IntRange(0, 8).Draw(t, "node"),
			length: rapid.SampledFrom([]time.Duration{1, 3, 10, 60}).Draw(t, "length") * time.Second,
			delay:  rapid.SampledFrom([]time.Duration{50, 300, 1500, 4000, 20000}).Draw(t, "delay") * time.Millisecond,
		}
	}), 4, 14)
}

// TestLeavingBackend guards against new work for a leaving backend server while the list lags or the platform is down.
func TestLeavingBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLeaveCheck(false, rapid.Uint64().Draw(t, "seed"))
		l.listLag = rapid.SampledFrom([]time.Duration{5, 60, 600}).Draw(t, "lag") * time.Second
		l.run(leaveScripts().Draw(t, "script"))
		if len(l.violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(l.violations), l.violations[0])
		}
	})
}

// TestLeavingBackendNaive guards against a check that cannot fail: a version that believes the list must break it.
func TestLeavingBackendNaive(t *testing.T) {
	failed := 0
	for seed := range 20 {
		l := newLeaveCheck(true, uint64(seed))
		l.listLag = time.Minute
		l.run(leaveScripts().Example(seed))
		if len(l.violations) > 0 {
			failed++
			t.Logf("script %d: %d violations, first: %s", seed, len(l.violations), l.violations[0])
		}
	}
	if failed == 0 {
		t.Error("the naive version passes the check of property 5")
	}
}

// TestLeavingBackendFaults guards against two faults in the spread of notices: pushes that mostly go to members behind a
// partition that is not yet noticed, and a restarted instance that takes the table of another restarted instance for
// complete.
func TestLeavingBackendFaults(t *testing.T) {
	tests := []struct {
		name   string
		script []op
	}{
		{name: "partition directly before", script: []op{
			{kind: "cutRegion", delay: 300 * time.Millisecond},
			{kind: "leave", delay: 6 * time.Second},
		}},
		{name: "restart next to a restart", script: []op{
			{kind: "cutRegion", delay: 300 * time.Millisecond},
			{kind: "leave", delay: 10 * time.Second},
			{kind: "restart", node: 6, delay: 50 * time.Millisecond},
			{kind: "restart", node: 1, delay: 10 * time.Second},
		}},
		{name: "loss", script: []op{
			{kind: "loss", delay: time.Second},
			{kind: "leave", delay: 6 * time.Second},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range 60 {
				l := newLeaveCheck(false, uint64(seed))
				l.listLag = time.Hour
				l.run(test.script)
				if len(l.violations) > 0 {
					t.Errorf("seed %d: %d violations, first: %s", seed, len(l.violations), l.violations[0])
				}
			}
		})
	}
}

// TestBackendReturns guards against a backend server that stays closed after it came back: the list shows the change, or
// the manifest gives the name a new address.
func TestBackendReturns(t *testing.T) {
	tests := []struct {
		name string
		back func(c *cluster)
	}{
		{name: "list", back: func(c *cluster) {
			states := []member.BackendState{member.BackendAccepting, member.BackendLeaving, member.BackendAccepting}
			for _, state := range states {
				c.nodes[0].backends.SetList(map[string]member.BackendState{leavingName: state})
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
			c.run(calm)
			c.nodes[4].backends.Leaving(leavingName)
			c.run(inForce)
			for _, n := range c.nodes {
				if n.backends.Accepting(c.now, leavingName) {
					t.Errorf("%s accepts a leaving backend server", n.id)
				}
			}
			test.back(c)
			c.run(inForce)
			for _, n := range c.nodes {
				if !n.backends.Accepting(c.now, leavingName) {
					t.Errorf("%s does not accept a backend server that returned", n.id)
				}
			}
		})
	}
}
