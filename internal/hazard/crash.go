package hazard

import (
	"maps"
	"slices"
	"time"
)

// engineStart identifies one start of an engine.
type engineStart struct {
	id              string
	startedAtMillis int64
}

// partSet is a set of parts of prompts.
type partSet map[string]struct{}

func newPartSet(parts []string) partSet {
	set := make(partSet, len(parts))
	set.add(parts, len(parts))
	return set
}

// add adds parts until the set has limit of them, and reports whether the set has changed.
func (s partSet) add(parts []string, limit int) bool {
	former := len(s)
	for _, part := range parts {
		if len(s) < limit {
			s[part] = struct{}{}
		}
	}
	return len(s) > former
}

func (s partSet) has(part string) bool {
	_, ok := s[part]
	return ok
}

func (s partSet) sorted() []string { return slices.Sorted(maps.Keys(s)) }

// Crash is the end of an engine without a notice. It only grows: parts are added and cleared.
type Crash struct {
	engine engineStart
	at     time.Time
	// usedAt is when a request was last refused because of the crash.
	usedAt time.Time
	// version is the version of the engine's weights; empty if it is not known.
	version string
	// writing holds the parts of the requests that the engine had begun to answer, waiting those of requests that were there
	// without an answer.
	writing partSet
	waiting partSet
	// cleared holds the parts that were found sound.
	cleared partSet
	// experiments holds the parts of the requests that were admitted as an experiment.
	experiments partSet
	// unstated is true if an instance that does not state experiments has told of the crash.
	unstated bool
}

// Report is what one instance knows about the end of an engine when a request there broke off.
type Report struct {
	engine  engineStart
	version string
	writing bool
	parts   []string
	// experiment is true if the request was admitted as an experiment.
	experiment bool
}

// NewReport returns a report of a request that broke off at an engine. writing is true if the head of its answer had come.
func NewReport(engine string, startedAtMillis int64, version string, writing bool, parts []string) Report {
	return Report{engine: engineStart{engine, startedAtMillis}, version: version, writing: writing, parts: parts}
}

// InExperiment returns the report of a request that was admitted as an experiment, or not.
func (r Report) InExperiment(experiment bool) Report {
	r.experiment = experiment
	return r
}

// Engine returns the ID of the engine.
func (r Report) Engine() string { return r.engine.id }

func (r Report) crash(now time.Time) *Crash {
	c := &Crash{
		engine: r.engine, at: now, usedAt: now, version: r.version,
		writing: partSet{}, waiting: partSet{}, cleared: partSet{}, experiments: partSet{},
	}
	if r.experiment {
		c.experiments.add(r.parts, maxParts)
	}
	if r.writing {
		c.writing.add(r.parts, maxParts)
	} else {
		c.waiting.add(r.parts, maxParts)
	}
	return c
}

// merge adds what another record of the same crash holds and reports whether anything but usedAt has changed.
func (c *Crash) merge(other *Crash) bool {
	changed := c.writing.add(other.writing.sorted(), maxParts)
	changed = c.waiting.add(other.waiting.sorted(), maxParts) || changed
	changed = c.clear(other.cleared.sorted()) || changed
	changed = c.experiments.add(other.experiments.sorted(), maxParts) || changed
	if other.unstated && !c.unstated {
		c.unstated, changed = true, true
	}
	if c.version == "" && other.version != "" {
		c.version, changed = other.version, true
	}
	if other.usedAt.After(c.usedAt) {
		c.usedAt = other.usedAt
	}
	return changed
}

// clear removes parts from the candidates and reports whether the crash has changed.
func (c *Crash) clear(parts []string) bool {
	const all = 2 * maxParts // Those that write and those that wait.
	return c.cleared.add(parts, all)
}

// candidates returns the parts of which one may be the cause. Requests without an answer count only if no other request is
// known: an engine crashes when it begins to answer.
func (c *Crash) candidates() []string {
	from := c.writing
	if len(from) == 0 {
		from = c.waiting
	}
	var parts []string
	for part := range from {
		if !c.cleared.has(part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// suspects reports whether a part is one of the candidates.
func (c *Crash) suspects(part string) bool {
	from := c.writing
	if len(from) == 0 {
		from = c.waiting
	}
	return from.has(part) && !c.cleared.has(part)
}

// excludesExperiment reports whether the request with a part is known not to have been an experiment.
func (c *Crash) excludesExperiment(part string) bool { return !c.unstated && !c.experiments.has(part) }

// concerns reports whether an answer on a version of the weights says something about the crash.
func (c *Crash) concerns(version string) bool {
	return c.version == "" || version == "" || c.version == version
}

// holds reports whether the crash has a part, cleared or not.
func (c *Crash) holds(part string) bool { return c.writing.has(part) || c.waiting.has(part) }
