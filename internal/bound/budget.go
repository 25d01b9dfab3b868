package bound

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// firstBytes is the size of a body's first buffer.
const firstBytes = 4 << 10

// ErrNoRoom is returned for a body that was dropped because the bodies that are held take the memory of their budget.
var ErrNoRoom = errors.New("the memory for bodies is used up")

// Budget limits the sum of the bodies that are held in memory. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ledger  ledger
	changed sync.Cond
}

// NewBudget returns a budget of the given number of bytes beyond a small share for each body.
func NewBudget(bytes int64) *Budget {
	b := &Budget{ledger: ledger{total: bytes, share: shareBytes}}
	b.changed.L = &b.mu
	return b
}

// Usage returns the bytes that are held beyond the shares, and the number of bodies that have been dropped.
func (b *Budget) Usage() (bytes int64, dropped uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.used, b.ledger.evicted
}

// Open begins a body of a source, such as the address of a server. abort makes a blocked read of the body return with an error. It may not
// use the budget.
func (b *Budget) Open(source string, abort func()) *Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Holding{budget: b, entry: b.ledger.open(source, abort)}
}

// Holding is the part of a budget that one body takes. It must be closed once the body is no longer held.
type Holding struct {
	budget *Budget
	entry  *entry
}

// ReadAll reads a body of at most limit bytes. The error is ErrNoRoom if the body was dropped, and wraps ErrTooLarge for a longer one.
func (h *Holding) ReadAll(body io.Reader, limit int64) ([]byte, error) {
	var content []byte
	for {
		if int64(len(content)) > limit {
			return nil, tooLarge(limit)
		}
		if len(content) == cap(content) {
			size := min(max(firstBytes, int64(cap(content))*3/2), limit+1)
			if !h.grow(size) {
				return nil, ErrNoRoom
			}
			content = append(make([]byte, 0, size), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == nil {
			continue
		}
		if !h.settle() {
			return nil, ErrNoRoom
		}
		if !errors.Is(err, io.EOF) {
			return nil, err
		}
		if int64(len(content)) > limit {
			return nil, tooLarge(limit)
		}
		return content, nil
	}
}

// Hold takes memory for a body of which the given number of bytes is held, in all. The error is ErrNoRoom if the body was dropped.
func (h *Holding) Hold(bytes int64) error {
	if !h.grow(bytes) {
		return ErrNoRoom
	}
	return nil
}

// Settle records that the body is complete, and is not to be dropped any more. The error is ErrNoRoom if it was dropped.
func (h *Holding) Settle() error {
	if !h.settle() {
		return ErrNoRoom
	}
	return nil
}

// grow waits until the body may hold the given number of bytes. It returns false if the body was evicted.
func (h *Holding) grow(bytes int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		ok, victims := b.ledger.grow(h.entry, bytes)
		for _, victim := range victims {
			victim.abort()
		}
		if len(victims) > 0 {
			b.changed.Broadcast() // A victim may wait for room.
		}
		if ok || h.entry.evicted {
			return ok
		}
		b.changed.Wait()
	}
}

// settle records that the body is complete. It returns false if the body was evicted.
func (h *Holding) settle() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.entry.settled = !h.entry.evicted
	return h.entry.settled
}

// Reset gives the memory back of a body that is no longer held, so that the holding can be used for the next one of the same source.
func (h *Holding) Reset() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.entry.bytes > h.budget.ledger.share {
		h.budget.changed.Broadcast()
	}
	h.budget.ledger.reset(h.entry)
}

// Close gives the memory back. It may be called more than once.
func (h *Holding) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.release(h.entry)
	h.budget.changed.Broadcast()
}
