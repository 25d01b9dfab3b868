package bound

import "slices"

// shareBytes is what each body may take whatever the others hold.
const shareBytes = 16 << 10

// entry is one body, or one head of a request, that is held in memory.
type entry struct {
	source string
	bytes  int64
	// abort ends a blocked read of the body.
	abort   func()
	evicted bool
	// settled is true for a body that has been read to its end. It is kept until it is released.
	settled bool
}

// ledger decides which bodies are held in memory. Beyond a share for each, all together may take total bytes. When these are used up, the
// largest body of the source whose bodies take most is evicted: a source that sends without an end ends up as that one, and the bodies of
// others are not touched. Its methods do not lock or block.
type ledger struct {
	total int64
	// share is what each body may take in any case, and sourceTotal what the bodies of one source may take beyond that; 0 for no limit.
	share, sourceTotal int64

	used    int64 // beyond the shares
	leaving int64 // the part of used that belongs to evicted bodies
	evicted uint64
	entries []*entry
}

// excess returns what a body of a size takes beyond its share.
func (l *ledger) excess(bytes int64) int64 { return max(0, bytes-l.share) }

func (l *ledger) open(source string, abort func()) *entry {
	e := &entry{source: source, abort: abort}
	l.entries = append(l.entries, e)
	return e
}

// grow decides whether a body may hold the given number of bytes, and returns those that it evicts for it. If it may not and has not been
// evicted itself, it asks again after the next release.
func (l *ledger) grow(e *entry, bytes int64) (ok bool, victims []*entry) {
	if e.evicted {
		return false, nil
	}
	more := l.excess(bytes) - l.excess(e.bytes)
	for more > 0 {
		total, source := l.used+more-l.total, l.overSource(e.source, more)
		if total <= 0 && source.held <= 0 {
			break
		}
		if total-l.leaving <= 0 && source.held-source.leaving <= 0 {
			return false, victims
		}
		victim := l.victim(e, bytes, total-l.leaving <= 0)
		victim.evicted = true
		l.evicted++
		l.leaving += l.excess(victim.bytes)
		if victim == e {
			return false, victims
		}
		victims = append(victims, victim)
	}
	l.used += more
	e.bytes = bytes
	return true, victims
}

// sourceUsage is what the bodies of a source hold beyond its limit, and the part of it that belongs to evicted ones.
type sourceUsage struct{ held, leaving int64 }

// overSource returns by how much a source exceeds its limit if it takes more.
func (l *ledger) overSource(source string, more int64) sourceUsage {
	if l.sourceTotal == 0 {
		return sourceUsage{}
	}
	usage := sourceUsage{held: more - l.sourceTotal}
	for _, e := range l.entries {
		if e.source != source {
			continue
		}
		usage.held += l.excess(e.bytes)
		if e.evicted {
			usage.leaving += l.excess(e.bytes)
		}
	}
	return usage
}

// victim returns the body to evict if one wants to hold the given number of bytes: that one, if no other has a better claim. With ownSource,
// only bodies of its source are evicted.
func (l *ledger) victim(growing *entry, bytes int64, ownSource bool) *entry {
	size := func(e *entry) int64 {
		if e == growing {
			return l.excess(bytes)
		}
		return l.excess(e.bytes)
	}
	held := make(map[string]int64)
	for _, e := range l.entries {
		if !e.evicted && !e.settled {
			held[e.source] += size(e)
		}
	}
	victim := growing
	for _, e := range l.entries {
		if e.evicted || e.settled || ownSource && e.source != growing.source {
			continue
		}
		if h, most := held[e.source], held[victim.source]; h > most || e.source == victim.source && size(e) > size(victim) {
			victim = e
		}
	}
	return victim
}

// reset records that nothing of an entry is held any more, and that it may be evicted again.
func (l *ledger) reset(e *entry) {
	l.used -= l.excess(e.bytes)
	if e.evicted {
		l.leaving -= l.excess(e.bytes)
	}
	e.bytes, e.settled = 0, false
}

// release ends a body.
func (l *ledger) release(e *entry) {
	index := slices.Index(l.entries, e)
	if index < 0 {
		return
	}
	l.entries = slices.Delete(l.entries, index, index+1)
	l.reset(e)
}
