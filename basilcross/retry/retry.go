// Package retry limits the load that retries add.
package retry

import "sync"

const (
	// defaultRatio is what each deposit adds to the budget if none is set.
	defaultRatio = 0.1
	// defaultReserve is the default largest balance: the number of retries in a burst.
	defaultReserve = 10.0
)

// Budget limits retries to a ratio of the deposits plus a small reserve: in any span of time at most
// the reserve and the ratio of the deposits in it. Without it every gateway would multiply its load on
// targets at the moment when they fail. The zero value starts with a full reserve and allows at most
// one retry per ten deposits. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	set     bool
	ratio   float64
	reserve float64
	// balance counts only once started is set; before, the reserve is full.
	started bool
	balance float64
}

// Set changes ratio and reserve. A larger reserve adds nothing to the balance.
func (b *Budget) Set(ratio, reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.reserve, b.set = ratio, reserve, true
	b.balance = min(b.balance, reserve)
}

// Clear makes the balance zero: what was saved must not be spent any more, or was perhaps spent by an
// earlier incarnation of the process.
func (b *Budget) Clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started, b.balance = true, 0
}

// Deposit adds the ratio to the budget. It is called for each success or request,
// whichever the retries are to be limited by.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.balance = min(b.reserve, b.balance+b.ratio)
}

// CanWithdraw reports whether the budget has a retry.
func (b *Budget) CanWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	return b.balance >= 1
}

// TryWithdraw withdraws one retry from the budget, and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// start fills the reserve on first use. b.mu must be held.
func (b *Budget) start() {
	if !b.set {
		b.ratio, b.reserve, b.set = defaultRatio, defaultReserve, true
	}
	if !b.started {
		b.started, b.balance = true, b.reserve
	}
}
