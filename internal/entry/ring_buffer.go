package entry

import "sync"

// ringBuffer keeps the values added last, up to its capacity. It is safe for concurrent use.
type ringBuffer[T any] struct {
	mu       sync.Mutex
	values   []T
	next     int
	capacity int
}

func newRingBuffer[T any](capacity int) *ringBuffer[T] { return &ringBuffer[T]{capacity: capacity} }

func (r *ringBuffer[T]) add(value T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.values) < r.capacity {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % r.capacity
}

// snapshot returns the values from the oldest to the newest.
func (r *ringBuffer[T]) snapshot() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]T, 0, len(r.values))
	list = append(list, r.values[r.next:]...)
	return append(list, r.values[:r.next]...)
}
