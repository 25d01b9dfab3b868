package bound

import "slices"

// shareBytes is what each body may take whatever the others hold.
const shareBytes = 16 << 10

// entry is one body that is held in memory.
type entry struct {
	source string
	bytes  int64
	// abort ends a blocked read of the body.
	abort   func()
	evicted bool
	// settled is true for a body that has been read to its end. It is kept until it is released.
	settled bool
}

// excess returns what a body of a size takes beyond its share.
func excess(bytes int64) int64 { return max(0, bytes-shareBytes) }

// ledger decides which bodies are held in memory. Beyond a share for each, all together may take total bytes. When these are used up, the
// largest body of the source whose bodies take most is evicted: a source that sends without an end ends up as that one, and the bodies of
// others are not touched. Its methods do not lock or block.
type ledger struct {
	total   int64
	used    int64 // beyond the shares
	leaving int64 // the part of used that belongs to evicted bodies
	evicted uint64
	entries []*entry
}

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
	more := excess(bytes) - excess(e.bytes)
	for l.used+more > l.total {
		if l.used-l.leaving+more <= l.total {
			return false, victims
		}
		victim := l.victim(e, bytes)
		victim.evicted = true
		l.evicted++
		l.leaving += excess(victim.bytes)
		if victim == e {
			return false, victims
		}
		victims = append(victims, victim)
	}
	l.used += more
	e.bytes = bytes
	return true, victims
}

// victim returns the body to evict if one wants to hold the given number of bytes: that one, if no other has a better claim.
func (l *ledger) victim(growing *entry, bytes int64) *entry {
	size := func(e *entry) int64 {
		if e == growing {
			return excess(bytes)
		}
		return excess(e.bytes)
	}
	held := make(map[string]int64)
	for _, e := range l.entries {
		if !e.evicted && !e.settled {
			held[e.source] += size(e)
		}
	}
	victim := growing
	for _, e := range l.entries {
		if e.evicted || e.settled {
			continue
		}
		if h, most := held[e.source], held[victim.source]; h > most || e.source == victim.source && size(e) > size(victim) {
			victim = e
		}
	}
	return victim
}

// release ends a body.
func (l *ledger) release(e *entry) {
	index := slices.Index(l.entries, e)
	if index < 0 {
		return
	}
	l.entries = slices.Delete(l.entries, index, index+1)
	l.used -= excess(e.bytes)
	if e.evicted {
		l.leaving -= excess(e.bytes)
	}
}
