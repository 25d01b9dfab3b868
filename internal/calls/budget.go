package calls

import "sync"

// budgetBurst is the maximum number of extra attempts that a budget accumulates while nothing fails.
const budgetBurst = 10

// budget limits retries or hedges to a share of first attempts, so that they do not multiply the load when many calls
// fail. It is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: 1} }

// deposit adds the share for one first attempt.
func (b *budget) deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+share)
}

// withdraw takes one token for an extra attempt. It returns false if less than one is left.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
