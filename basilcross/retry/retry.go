// Package retry bounds how much work repeated requests may add.
package retry

import "sync"

const (
	// defaultRatio is what each success or request adds to the budget where
	// Share is zero.
	defaultRatio = 0.1
	// defaultReserve is the largest balance where Reserve is zero: what may be
	// repeated in a burst.
	defaultReserve = 10.0
)

// Budget lets through a share of repetitions, after a small reserve. Without
// it every gateway would multiply its load on targets at the moment when they
// fail. The zero value starts with a full reserve, and lets through at most
// one repetition per ten earned.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	spent   float64
}

// Set changes share and reserve; zero is the default.
func (b *Budget) Set(share, reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.reserve = share, reserve
}

// Deposit pays into the budget.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.ratio
	if share == 0 {
		share = defaultRatio
	}
	b.spent = max(0, b.spent-share)
}

// TryWithdraw tells whether a request may be repeated, and books it.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reserve := b.reserve
	if reserve == 0 {
		reserve = defaultReserve
	}
	if b.spent+1 > reserve {
		return false
	}
	b.spent++
	return true
}
