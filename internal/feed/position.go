package feed

import "cmp"

// Position is a place in the order of the store's changes. The store may come back from an older copy, which begins a new era:
// revisions are given out again, so they order changes only within an era.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare returns -1, 0 or 1 as p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Cursor is what a follower states about its replica.
type Cursor struct {
	Position
	// Number is the greatest number of the numbered records; see Options.Number. A source sends those with a greater one whatever
	// the position is.
	Number uint64
	// Offered holds numbered records that the source lacked in its last response.
	Offered []Record
	// Inquires is true for one that only asks for numbered records with a greater number. The source answers at once.
	Inquires bool
}
