package sched

import "github.com/dragonflypond/dragonflypond/internal/table"

// prefixEntries is a power of two. The table takes 32 KB per pool; a collision only loses an affinity.
const prefixEntries = 2048

type prefixEntry struct {
	hash   uint64
	engine table.Slot
}

// prefixTable maps a prompt prefix to the engine that last got it. It is a direct-mapped cache that does not allocate.
type prefixTable []prefixEntry

func (t prefixTable) get(hash uint64) table.Slot {
	if entry := t[hash%prefixEntries]; hash != 0 && entry.hash == hash {
		return entry.engine
	}
	return table.None
}

func (t prefixTable) set(hash uint64, engine table.Slot) {
	if hash != 0 {
		t[hash%prefixEntries] = prefixEntry{hash: hash, engine: engine}
	}
}
