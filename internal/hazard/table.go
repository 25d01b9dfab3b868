package hazard

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

const (
	// minCrashes is the number of crashes from which a part is kept off engines. A part of a sound prompt is left of a crash
	// for another cause only if no answer with it has begun before, and of three in a row hardly ever.
	minCrashes = 3

	// maxCrashes and maxParts bound the crashes and the parts of one, maxSound the parts that are known to be sound.
	maxCrashes = 256
	maxParts   = 64
	maxSound   = 8192

	// retention is the time after which a crash is forgotten if no request is refused because of it, and an answer that has
	// begun no longer clears a part of later crashes.
	retention = 10 * time.Minute

	// experimentDelay is the time after the last crash from which one request with the part may run. It doubles with each
	// crash beyond minCrashes, maxDoublings times at most.
	experimentDelay = 10 * time.Minute
	maxDoublings    = 5

	// experimentTime bounds the time of an experiment until its answer begins or its engine ends.
	experimentTime = 3 * time.Second

	// firstRequestDelay is the time after the third crash from which the same request may run once more. A sound one that was at three
	// servers which ended in a row is answered then; another crash makes the next delay experimentDelay.
	firstRequestDelay = 10 * time.Second

	// maxExperiments bounds the experiments with a whole request under which backend servers crash, while another one may be the cause.
	maxExperiments = 2

	// maxRefusalDelay bounds the time after which a refused caller may return. Until then, the part may have been found sound.
	maxRefusalDelay = 30 * time.Second
)

//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=lower -output=verdict_enumer.go

// Verdict tells what may be done with a request.
type Verdict int

// Verdicts.
const (
	VerdictAdmit Verdict = iota
	// VerdictExperiment admits one request at a time.
	VerdictExperiment
	VerdictRefuse
)

// Decision is the verdict about a request and what it is based on.
type Decision struct {
	verdict Verdict
	parts   []string
	crashes int
	retryAt time.Time
}

// Verdict returns the verdict.
func (d Decision) Verdict() Verdict { return d.verdict }

// Parts returns the parts that may be the cause of crashes, in order.
func (d Decision) Parts() []string { return d.parts }

// Crashes returns the number of crashes that led to the verdict.
func (d Decision) Crashes() int { return d.crashes }

// RetryAt returns when the caller of a refused request may return.
func (d Decision) RetryAt() time.Time { return d.retryAt }

type soundKey struct{ part, version string }

// Table holds what one instance knows about crashes and sound parts. It is not safe for concurrent use.
type Table struct {
	crashes map[engineStart]*Crash
	// sound holds when an answer with a part began last, by version of the weights and with the version "" for any; nil if that is
	// not remembered.
	sound *lru.Cache[soundKey, time.Time]
	// experiments holds until when an experiment with a part may run, by permits of this instance.
	experiments map[string]time.Time
}

// NewTable returns an empty table. remembersSound is true if sound parts are not suspected in later crashes.
func NewTable(remembersSound bool) *Table {
	t := &Table{crashes: make(map[engineStart]*Crash), experiments: make(map[string]time.Time)}
	if !remembersSound {
		return t
	}
	sound, err := lru.New[soundKey, time.Time](maxSound)
	if err != nil {
		panic(err) // Only for a size that is not positive.
	}
	t.sound = sound
	return t
}

// Record adds a report and returns the crash, and whether the table has changed.
func (t *Table) Record(r Report, now time.Time) (*Crash, bool) { return t.Merge(r.crash(now), now) }

// Merge adds a crash that this or another instance has seen. It returns the merged crash, and whether that holds more than
// the given one or the table has changed.
func (t *Table) Merge(c *Crash, now time.Time) (merged *Crash, changed bool) {
	known, ok := t.crashes[c.engine]
	if !ok {
		t.evict(now)
		known, changed = c, true
		t.crashes[c.engine] = c
	} else {
		changed = known.merge(c)
	}
	for _, part := range known.candidates() {
		if t.isSound(part, known.version, now) {
			changed = known.clear([]string{part}) || changed
		}
	}
	return known, changed
}

// evict drops the crashes that are forgotten and, if there are too many, the one that was used least recently.
func (t *Table) evict(now time.Time) {
	var oldest *Crash
	for engine, c := range t.crashes {
		if now.Sub(c.usedAt) > retention {
			delete(t.crashes, engine)
			continue
		}
		if oldest == nil || c.usedAt.Before(oldest.usedAt) {
			oldest = c
		}
	}
	if len(t.crashes) >= maxCrashes {
		delete(t.crashes, oldest.engine)
	}
}

// Clear records that an answer to a prompt with the parts has begun, on a version of the weights. It returns the crashes in
// which that clears a part.
func (t *Table) Clear(parts []string, version string, now time.Time) []*Crash {
	t.rememberSound(parts, version, now)
	var changed []*Crash
	for _, c := range t.crashes {
		for _, part := range parts {
			if c.concerns(version) && c.holds(part) && c.clear([]string{part}) && !slices.Contains(changed, c) {
				changed = append(changed, c)
			}
		}
	}
	for _, part := range parts {
		delete(t.experiments, part)
	}
	return changed
}

func (t *Table) rememberSound(parts []string, version string, now time.Time) {
	if t.sound == nil {
		return
	}
	for _, part := range parts {
		t.sound.Add(soundKey{part, ""}, now)
		if version != "" {
			t.sound.Add(soundKey{part, version}, now)
		}
	}
}

func (t *Table) isSound(part, version string, now time.Time) bool {
	if t.sound == nil {
		return false
	}
	at, ok := t.sound.Peek(soundKey{part, version})
	return ok && now.Sub(at) <= retention
}

// Sound reports whether answers with each of the parts have begun, on any version of the weights.
func (t *Table) Sound(parts []string, now time.Time) bool {
	for _, part := range parts {
		if !t.isSound(part, "", now) {
			return false
		}
	}
	return true
}

// Judge decides about a request.
type Judge func(t *Table, parts []string, now time.Time) Decision

var (
	_ Judge = (*Table).Check
	_ Judge = (*Table).CheckRequest
)

// Check decides about a request whose prompt has the parts.
func (t *Table) Check(parts []string, now time.Time) Decision {
	if len(t.crashes) == 0 || len(parts) == 0 {
		return Decision{}
	}
	own := newPartSet(parts)
	var certain []*Crash
	var uncertain [][]string // candidates of the crashes of which the request has some
	convictions := make(map[string]int)
	for _, c := range t.crashes {
		candidates := c.candidates()
		shared := 0
		for _, part := range candidates {
			if own.has(part) {
				shared++
			}
		}
		switch {
		case len(candidates) > 0 && shared == len(candidates):
			certain = append(certain, c)
		case shared > 0:
			uncertain = append(uncertain, candidates)
		}
		if len(candidates) == 1 {
			convictions[candidates[0]]++
		}
	}
	if len(certain) >= minCrashes {
		return t.refuse(certain, experimentDelay<<min(len(certain)-minCrashes, maxDoublings), now)
	}
	return t.suspect(own, certain, uncertain, convictions, now)
}

// CheckRequest decides about a request with one identity that other requests hardly have. Those that ran beside it in a crash may
// never come again and so never be cleared, so what counts is the number of crashes since it was last answered. If another request
// ran beside it in each of them, either may be the cause, and one at a time runs as an experiment, until backend servers have crashed under
// maxExperiments of its own.
func (t *Table) CheckRequest(identity []string, now time.Time) Decision {
	if len(t.crashes) == 0 || len(identity) != 1 {
		return Decision{}
	}
	crashes := t.suspectedIn(identity[0])
	if len(crashes) < minCrashes {
		return Decision{}
	}
	if experimentsIn(crashes, identity[0]) < maxExperiments && companyIn(crashes) {
		return Decision{verdict: VerdictExperiment, parts: identity, crashes: len(crashes), retryAt: now.Add(experimentTime)}
	}
	delay := firstRequestDelay
	if more := len(crashes) - minCrashes; more > 0 {
		delay = experimentDelay << min(more-1, maxDoublings)
	}
	d := t.refuse(crashes, delay, now)
	d.parts = identity
	return d
}

// suspectedIn returns the crashes that a part may have caused.
func (t *Table) suspectedIn(part string) []*Crash {
	var crashes []*Crash
	for _, c := range t.crashes {
		if c.suspects(part) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// experimentsIn returns in how many of the crashes that a request may have caused it may have run as an experiment. Requests that were
// already at their servers at the third crash were no experiments, however many servers end with them; the first three are none either,
// also if an instance that does not state experiments has told of them.
func experimentsIn(crashes []*Crash, part string) int {
	none := 0
	for _, c := range crashes {
		if c.excludesExperiment(part) {
			none++
		}
	}
	return len(crashes) - max(none, minCrashes)
}

// companyIn reports whether the crashes have more than one candidate in common.
func companyIn(crashes []*Crash) bool {
	common := 0
	for _, part := range crashes[0].candidates() {
		if !slices.ContainsFunc(crashes[1:], func(c *Crash) bool { return !c.suspects(part) }) {
			common++
		}
	}
	return common > 1
}

// refuse decides about a request that has the cause of several crashes. From a delay after the last one, it is an experiment.
func (t *Table) refuse(certain []*Crash, delay time.Duration, now time.Time) Decision {
	d := Decision{verdict: VerdictRefuse, crashes: len(certain)}
	suspects, last := partSet{}, time.Time{}
	for _, c := range certain {
		suspects.add(c.candidates(), maxParts)
		if c.at.After(last) {
			last = c.at
		}
		c.usedAt = now
	}
	d.parts = suspects.sorted()
	experimentAt := last.Add(delay)
	if !now.Before(experimentAt) {
		d.verdict = VerdictExperiment
	}
	d.retryAt = experimentAt
	if latest := now.Add(maxRefusalDelay); d.retryAt.After(latest) || !now.Before(experimentAt) {
		d.retryAt = latest
	}
	return d
}

// suspect decides about a request that may have the cause of several crashes. Crashes with a part that is the only one left
// of several others are explained by it.
func (t *Table) suspect(own partSet, certain []*Crash, uncertain [][]string, convictions map[string]int, now time.Time) Decision {
	counts := make(map[string]int)
	count := func(candidates []string) {
		for _, part := range candidates {
			if convictions[part] >= minCrashes {
				return
			}
		}
		for _, part := range candidates {
			if own.has(part) {
				counts[part]++
			}
		}
	}
	for _, c := range certain {
		count(c.candidates())
	}
	for _, candidates := range uncertain {
		count(candidates)
	}
	d := Decision{}
	for part, n := range counts {
		if n >= minCrashes {
			d.verdict, d.parts, d.crashes = VerdictExperiment, append(d.parts, part), max(d.crashes, n)
		}
	}
	slices.Sort(d.parts)
	d.retryAt = now.Add(experimentTime)
	return d
}

// Experiment permits a request with the parts to run, unless another one with one of them does.
func (t *Table) Experiment(parts []string, now time.Time) (permitted bool, retryAt time.Time) {
	for part, until := range t.experiments {
		if !now.Before(until) {
			delete(t.experiments, part)
		}
	}
	for _, part := range parts {
		if until, running := t.experiments[part]; running {
			return false, until
		}
	}
	for _, part := range parts {
		t.experiments[part] = now.Add(experimentTime)
	}
	return true, time.Time{}
}

// Crashes returns all crashes.
func (t *Table) Crashes() []*Crash {
	crashes := make([]*Crash, 0, len(t.crashes))
	for _, c := range t.crashes {
		crashes = append(crashes, c)
	}
	return crashes
}
