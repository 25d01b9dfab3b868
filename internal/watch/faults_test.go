package watch

import (
	"testing"
	"time"

	"github.com/dragonflypond/dragonflypond/pkg/pond"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// TestOneWayPartition guards against members that become gone although some other members can reach them.
func TestOneWayPartition(t *testing.T) {
	tests := []struct {
		name         string
		disconnected func(from, to *node) bool
	}{
		{name: "one pair", disconnected: func(from, to *node) bool { return from.id == "entry-000" && to.id == "entry-001" }},
		{name: "one data centre to another", disconnected: func(from, to *node) bool {
			return from.dataCentre == "norte-1" && to.dataCentre == "sul-1"
		}},
		{name: "one instance to its region", disconnected: func(from, to *node) bool {
			return from.id == "entry-000" && to.region == "norte"
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(8) {
				testOneWayPartition(t, newCluster(12, seed), test.disconnected)
			}
		})
	}
}

func testOneWayPartition(t *testing.T, c *cluster, disconnected func(from, to *node) bool) {
	t.Helper()
	c.service.publish(1, "first")
	c.startAll()
	c.run(quietPeriod)
	c.disconnected = disconnected
	for range 120 {
		c.run(time.Second)
		for _, n := range c.nodes {
			if got := len(n.Instances()); got != len(c.nodes) {
				t.Fatalf("%s knows %d instances that are not gone, want %d", n.id, got, len(c.nodes))
			}
		}
	}
	c.service.publish(2, "second")
	c.run(adoptionLimit)
	wantVersion(t, c, 2)
}

// TestDataCentreLoss guards against the members of a lost data centre staying in the table, and against manifests that
// are missed because the watchers of that data centre are gone.
func TestDataCentreLoss(t *testing.T) {
	c := newCluster(30, 4)
	c.service.publish(1, "first")
	c.startAll()
	c.run(quietPeriod)
	for _, n := range c.nodes {
		if n.dataCentre == "norte-2" {
			n.stop()
		}
	}
	c.service.publish(2, "second")
	c.run(adoptionLimit)
	wantVersion(t, c, 2)
	c.run(20 * time.Second)
	for _, n := range c.nodes {
		if got := len(n.Instances()); n.up && got != 20 {
			t.Errorf("%s knows %d instances that are not gone, want 20", n.id, got)
		}
	}
}

// TestRegionPartition guards against regions that do not rediscover each other after a partition of one hour, mark each
// other's members gone while their tables merge, stop serving, or revert their manifest.
func TestRegionPartition(t *testing.T) {
	c := newCluster(24, 5)
	c.service.publish(1, "first")
	c.onAdopt = failOnRevert(t)
	c.startAll()
	c.run(quietPeriod)
	c.disconnected = func(a, b *node) bool { return a.region != b.region }
	c.service.disconnected = func(n *node) bool { return n.region == "sul" }
	for number := uint64(2); number <= 7; number++ {
		c.run(10 * time.Minute)
		c.service.publish(number, "later")
	}
	c.run(adoptionLimit)
	for _, n := range c.nodes {
		want := map[string]uint64{"norte": 7, "sul": 1}[n.region]
		if got := n.source.Current().Version().Number; got != want || !n.source.Confirmed(c.now) {
			t.Errorf("%s has manifest %d, confirmed %t; want %d, true", n.id, got, n.source.Confirmed(c.now), want)
		}
	}
	c.disconnected = func(_, _ *node) bool { return false }
	for range 60 {
		c.run(time.Second)
		for _, n := range c.nodes {
			if seen, want := n.ownRegionCount(), map[string]int{"norte": 16, "sul": 8}[n.region]; seen != want {
				t.Fatalf("%s sees %d members of its own region during the merge, want %d", n.id, seen, want)
			}
		}
	}
	wantVersion(t, c, 7)
	for _, n := range c.nodes {
		if n.liveCount() != len(c.nodes) {
			t.Errorf("%s sees %d live members after the merge, want %d", n.id, n.liveCount(), len(c.nodes))
		}
	}
}

// TestServiceReadRate guards against instances that together use more than a fraction of the configuration service's
// limit of 2,000 reads a second: after a simultaneous restart, in normal operation, when a manifest is published and
// during and after an outage.
func TestServiceReadRate(t *testing.T) {
	const limit = 400
	c := newCluster(350, 6)
	c.service.publish(1, "first")
	c.startAll()
	check := func(situation string, d time.Duration, most int) {
		t.Helper()
		start := c.now
		c.run(d)
		if got := c.service.maxReads(start); got > most {
			t.Errorf("%s: %d reads in one second, want at most %d", situation, got, most)
		} else {
			t.Logf("%s: at most %d reads in one second", situation, got)
		}
	}
	check("simultaneous start", 6*time.Second, limit)
	for _, n := range c.nodes {
		if !n.source.Confirmed(c.now) {
			t.Errorf("%s is not confirmed 6 s after a simultaneous start", n.id)
		}
	}
	check("ordinary", 75*time.Second, 60)
	c.service.publish(2, "second")
	check("publication", adoptionLimit, 100)
	wantVersion(t, c, 2)
	c.service.setMode(false, true)
	check("outage", 8*time.Second, 100)
	c.service.setMode(false, false)
	check("after the outage", 8*time.Second, 100)
	c.startAll()
	check("simultaneous restart", 6*time.Second, limit)
}

func wantVersion(t *testing.T, c *cluster, number uint64) {
	t.Helper()
	for _, n := range c.nodes {
		if n.up && n.source.Current().Version().Number != number {
			t.Errorf("%s has manifest %s, want number %d", n.id, n.source.Current().Version(), number)
		}
	}
}

func failOnRevert(t *testing.T) func(*node, *spec.Manifest) {
	return func(n *node, before *spec.Manifest) {
		if after := n.source.Current(); before != nil && !after.Version().After(before.Version()) {
			t.Errorf("%s went from %s back to %s", n.id, before.Version(), after.Version())
		}
	}
}

// liveCount returns the number of instances that are live in the node's table.
func (n *node) liveCount() int {
	live := 0
	for _, i := range n.Instances() {
		if i.State() == pond.InstanceLive {
			live++
		}
	}
	return live
}

// ownRegionCount returns the number of instances of the node's region that are not gone in its table.
func (n *node) ownRegionCount() int {
	present := 0
	for _, i := range n.Instances() {
		if i.Region() == n.region {
			present++
		}
	}
	return present
}
