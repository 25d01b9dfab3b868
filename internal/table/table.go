package table

import (
	"cmp"
	"iter"
	"slices"
)

// Slot is the position of a row in its table.
type Slot int32

// None is returned instead of a slot if there is no row.
const None Slot = -1

type row[K cmp.Ordered, V any] struct {
	key   K
	value V
	used  bool
}

// Table is a dense table of values keyed by ID. It is not safe for concurrent use.
type Table[K cmp.Ordered, V any] struct {
	index      map[K]Slot
	rows       []row[K, V]
	free       []Slot
	order      []Slot
	orderValid bool
}

// New returns an empty table with room for capacity rows.
func New[K cmp.Ordered, V any](capacity int) *Table[K, V] {
	return &Table[K, V]{index: make(map[K]Slot, capacity), rows: make([]row[K, V], 0, capacity)}
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.index) }

// Insert adds a zero row for key, or returns the existing one. The pointer is valid until the next insertion.
func (t *Table[K, V]) Insert(key K) (Slot, *V) {
	if slot, ok := t.index[key]; ok {
		return slot, &t.rows[slot].value
	}
	slot := t.allocateSlot()
	t.index[key] = slot
	t.rows[slot].key = key
	t.rows[slot].used = true
	t.orderValid = false
	return slot, &t.rows[slot].value
}

func (t *Table[K, V]) allocateSlot() Slot {
	if last := len(t.free) - 1; last >= 0 {
		slot := t.free[last]
		t.free = t.free[:last]
		return slot
	}
	t.rows = append(t.rows, row[K, V]{})
	return Slot(len(t.rows) - 1)
}

// Slot returns the slot of a key.
func (t *Table[K, V]) Slot(key K) (Slot, bool) {
	slot, ok := t.index[key]
	if !ok {
		return None, false
	}
	return slot, true
}

// At returns the row in a used slot. The pointer is valid until the next insertion.
func (t *Table[K, V]) At(slot Slot) *V { return &t.rows[slot].value }

// Key returns the key of the row in a used slot.
func (t *Table[K, V]) Key(slot Slot) K { return t.rows[slot].key }

// Used reports whether a slot holds a row.
func (t *Table[K, V]) Used(slot Slot) bool {
	return slot >= 0 && int(slot) < len(t.rows) && t.rows[slot].used
}

// Cap returns one more than the greatest slot used so far. Together with Used it allows a scan without an iterator.
func (t *Table[K, V]) Cap() Slot { return Slot(len(t.rows)) }

// Get returns the row of a key. The pointer is valid until the next insertion.
func (t *Table[K, V]) Get(key K) (*V, bool) {
	slot, ok := t.index[key]
	if !ok {
		return nil, false
	}
	return &t.rows[slot].value, true
}

// Remove deletes the row of a key and reports whether it existed.
func (t *Table[K, V]) Remove(key K) bool {
	slot, ok := t.index[key]
	if !ok {
		return false
	}
	delete(t.index, key)
	t.rows[slot] = row[K, V]{}
	t.free = append(t.free, slot)
	t.orderValid = false
	return true
}

// All iterates in ascending order of keys. The loop may remove rows but must not insert any.
func (t *Table[K, V]) All() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		t.sortOrder()
		for _, slot := range t.order {
			if t.rows[slot].used && !yield(t.rows[slot].key, &t.rows[slot].value) {
				return
			}
		}
	}
}

func (t *Table[K, V]) sortOrder() {
	if t.orderValid {
		return
	}
	t.order = t.order[:0]
	for slot := range t.rows {
		if t.rows[slot].used {
			t.order = append(t.order, Slot(slot))
		}
	}
	slices.SortFunc(t.order, func(a, b Slot) int { return cmp.Compare(t.rows[a].key, t.rows[b].key) })
	t.orderValid = true
}
