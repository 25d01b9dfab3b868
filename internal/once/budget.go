package once

import "sync"

// budgetBurst is the number of extra attempts that a budget saves up while nothing fails.
const budgetBurst = 10

// budget limits extra attempts to a share of first attempts, so that retries do not multiply load when many calls fail.
// It is safe for concurrent use.
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

// withdraw takes one extra attempt, or reports false.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
