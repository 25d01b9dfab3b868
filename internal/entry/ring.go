package entry

import "sync"

// ring keeps the last values added to it. It is safe for concurrent use.
type ring[T any] struct {
	mu     sync.Mutex
	values []T
	next   int
	size   int
}

func newRing[T any](size int) *ring[T] { return &ring[T]{size: size} }

func (r *ring[T]) add(value T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.values) < r.size {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % r.size
}

// list returns the values from the oldest to the newest.
func (r *ring[T]) list() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]T, 0, len(r.values))
	list = append(list, r.values[r.next:]...)
	return append(list, r.values[:r.next]...)
}
