package watch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflypond/dragonflypond/internal/repro"
	"github.com/dragonflypond/dragonflypond/pkg/spec"
)

// TestMain fixes what the property tests draw.
func TestMain(m *testing.M) { repro.Main(m, repro.Draws{Seed: 7}) }

const (
	// adoptionLimit is the time within which an accepted manifest must be in effect on all instances.
	adoptionLimit = 3 * time.Second
	// rediscoveryLimit is the time within which the sides of a healed partition must find each other: one interval of
	// probes of gone members and one synchronisation.
	rediscoveryLimit = 12 * time.Second
	// confirmationLimit is the time within which an instance must be confirmed after a start or a pause.
	confirmationLimit = 10 * time.Second
	// quietPeriod is the time without faults after which a published manifest must be adopted within adoptionLimit.
	quietPeriod = 15 * time.Second
)

// faultStep is one step of a fault script.
type faultStep struct {
	kind string
	node int
	// duration is the duration of a pause, delay the time until the next step.
	duration, delay time.Duration
}

var stepKinds = []string{
	"publish", "publish", "publish", "republish", "publishOld", "stale", "down", "serviceOK", "serviceOK",
	"pause", "pause", "restart", "restart", "restartAll", "cutRegion", "cutDataCentre", "heal", "heal", "loss",
}

func faultScripts() *rapid.Generator[[]faultStep] {
	one := rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			kind:     rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			node:     rapid.IntRange(0, 8).Draw(t, "node"),
			duration: rapid.SampledFrom([]time.Duration{1, 3, 10, 60}).Draw(t, "length") * time.Second,
			delay:    rapid.SampledFrom([]time.Duration{50, 300, 1500, 4000, 20000}).Draw(t, "delay") * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 4, 14)
}

// adoptionCheck checks while a cluster runs that an accepted manifest is in effect on all instances within three
// seconds and is never reverted (property 7).
type adoptionCheck struct {
	c          *cluster
	violations []string
	number     uint64
	// healedAt is rediscoveryLimit after the last time that a partition was made or healed; the limits count from then.
	// lastFaultAt is the time of the last fault or repair.
	healedAt, lastFaultAt time.Time
	publishedAt           time.Time
}

func newAdoptionCheck(naive bool, seed uint64) *adoptionCheck {
	a := &adoptionCheck{c: newCluster(9, seed), number: 1}
	a.c.naive = naive
	a.c.onTick = a.check
	a.c.onAdopt = a.checkAdoption
	a.c.service.publish(1, "first")
	a.c.startAll()
	a.c.run(quietPeriod)
	return a
}

func (a *adoptionCheck) recordViolation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

func (a *adoptionCheck) checkAdoption(n *node, before *spec.Manifest) {
	if after := n.source.Current(); before != nil && !after.Version().After(before.Version()) {
		a.recordViolation("%s went from %s back to %s", n.id, before.Version(), after.Version())
	}
}

func (a *adoptionCheck) check(n *node) {
	now := a.c.now
	current := n.source.Current()
	confirmed := n.source.Confirmed(now)
	for _, holder := range a.c.nodes {
		if !a.mustHaveReached(holder, n) {
			continue
		}
		version := holder.source.Current().Version()
		if confirmed && version.After(current.Version()) {
			a.recordViolation("%s accepts work under %s; %s has %s for %s", n.id, current.Version(), holder.id, version,
				now.Sub(holder.adoptedAt))
		}
		if !confirmed && now.Sub(latest(n.wokenAt, a.healedAt)) > confirmationLimit {
			a.recordViolation("%s is not confirmed %s after its start", n.id, now.Sub(n.wokenAt))
		}
	}
	published := a.c.service.published.Version()
	healthy := !a.c.service.stale && !a.c.service.down
	quiet := healthy && now.Sub(a.lastFaultAt) > quietPeriod+adoptionLimit && now.Sub(a.publishedAt) > adoptionLimit
	if quiet && confirmed && published.Number == a.number && published.After(current.Version()) {
		a.recordViolation("%s has %s, the service has %s", n.id, current.Version(), published)
	}
}

// mustHaveReached reports whether holder has had its manifest for so long that n must have it too.
func (a *adoptionCheck) mustHaveReached(holder, n *node) bool {
	if !holder.up || holder.paused || holder.source.Current() == nil || a.c.disconnected(holder, n) || a.c.disconnected(n, holder) {
		return false
	}
	return a.c.now.Sub(latest(holder.adoptedAt, holder.wokenAt, a.healedAt)) > adoptionLimit
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

func (a *adoptionCheck) run(script []faultStep) {
	for _, step := range script {
		a.apply(step)
		a.c.run(step.delay)
	}
	a.apply(faultStep{kind: "heal"})
	a.apply(faultStep{kind: "serviceOK"})
	a.c.run(2 * quietPeriod)
	a.apply(faultStep{kind: "publish"})
	a.c.run(2 * adoptionLimit)
}

func (a *adoptionCheck) apply(step faultStep) {
	c, n := a.c, a.c.nodes[step.node]
	switch step.kind {
	case "publish":
		a.number++
		c.service.publish(a.number, "new")
		a.publishedAt = c.now
		return
	case "republish":
		c.service.publish(a.number, fmt.Sprint("other at ", c.service.revision))
		a.publishedAt = c.now
		return
	case "publishOld":
		c.service.publish(max(1, a.number-1), "crossed")
		a.publishedAt = c.now
		return
	case "stale":
		c.service.setMode(true, false)
	case "down":
		c.service.setMode(c.service.stale, true)
	case "serviceOK":
		c.service.setMode(false, false)
	case "pause":
		n.pause(step.duration)
	case "restart":
		n.start()
	case "restartAll":
		c.startAll()
	case "cutRegion":
		c.disconnected = func(a, b *node) bool { return a.region != b.region }
		a.healedAt = c.now.Add(rediscoveryLimit)
	case "cutDataCentre":
		c.disconnected = func(a, b *node) bool { return (a.dataCentre == "norte-2") != (b.dataCentre == "norte-2") }
		a.healedAt = c.now.Add(rediscoveryLimit)
	case "heal":
		c.disconnected = func(_, _ *node) bool { return false }
		c.loss = 0
		a.healedAt = c.now.Add(rediscoveryLimit)
	case "loss":
		c.loss = 0.1
	}
	a.lastFaultAt = c.now
}

// TestManifestAdoption guards against a manifest that is reverted, and against an instance that accepts new work under
// an older manifest than the one that a reachable instance has had for three seconds.
func TestManifestAdoption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdoptionCheck(false, rapid.Uint64().Draw(t, "seed"))
		a.run(faultScripts().Draw(t, "script"))
		if len(a.violations) > 0 {
			t.Fatalf("%d violations, first: %s", len(a.violations), a.violations[0])
		}
	})
}

// TestManifestAdoptionNaive guards against a check that cannot fail: the naive implementation must fail it.
func TestManifestAdoptionNaive(t *testing.T) {
	failed := 0
	for seed := range 20 {
		a := newAdoptionCheck(true, uint64(seed))
		a.run(faultScripts().Example(seed))
		if len(a.violations) > 0 {
			failed++
			t.Logf("script %d: %d violations, first: %s", seed, len(a.violations), a.violations[0])
		}
	}
	if failed == 0 {
		t.Error("the naive implementation passes the check of manifest adoption")
	}
}
