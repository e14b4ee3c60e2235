// Package retry limits the load that retries add.
package retry

import "sync"

const (
	// defaultRatio is what each deposit adds to the budget if no ratio is set.
	defaultRatio = 0.1
	// defaultReserve is the default largest balance: the number of retries in a burst.
	defaultReserve = 10.0
)

// Budget limits retries to a ratio of the deposits plus a small reserve. Without it every
// gateway would multiply its load on targets at the moment when they fail. The zero value
// starts with a full reserve and allows at most one retry per ten deposits. It is safe
// for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	// spent is how much of the reserve is used up.
	spent float64
}

// Set changes ratio and reserve; zero means the default of 0.1 and 10.
func (b *Budget) Set(ratio, reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.reserve = ratio, reserve
}

// Deposit adds the ratio to the budget. It is called for each success or request,
// whichever the retries are to be limited by.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	ratio := b.ratio
	if ratio == 0 {
		ratio = defaultRatio
	}
	b.spent = max(0, b.spent-ratio)
}

// TryWithdraw withdraws one retry from the budget, and reports whether there was one.
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
