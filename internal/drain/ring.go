package drain

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// ring keeps the values added last, up to its capacity.
type ring[T any] struct {
	values   []T
	next     int
	capacity int
}

func newRing[T any](capacity int) *ring[T] { return &ring[T]{capacity: capacity} }

func (r *ring[T]) add(value T) {
	if len(r.values) < r.capacity {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % r.capacity
}

// latest returns the values with their numbers, the one added last first.
func (r *ring[T]) latest() iter.Seq2[int, T] {
	return func(yield func(int, T) bool) {
		size := len(r.values)
		for n := range size {
			if !yield(n, r.values[(r.next+size-1-n)%size]) {
				return
			}
		}
	}
}

// quantile returns the value that a share q of the values do not exceed, or fallback without values.
func quantile[T cmp.Ordered](values []T, q float64, fallback T) T {
	if len(values) == 0 {
		return fallback
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}
