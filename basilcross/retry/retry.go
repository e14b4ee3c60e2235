// Package retry bounds how much work repeated requests may add.
package retry

import "sync"

const (
	// share is what each success adds to the budget, in requests.
	share = 0.1
	// reserve is the largest balance: what may be repeated in a burst.
	reserve = 10.0
)

// Budget lets through at most one repetition per ten successes, after a small
// reserve. Without it every gateway would multiply its load on targets at the
// moment when they fail. The zero value starts with a full reserve.
type Budget struct {
	mu    sync.Mutex
	spent float64
}

// Success pays into the budget.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-share)
}

// Take tells whether a request may be repeated, and books it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > reserve {
		return false
	}
	b.spent++
	return true
}
