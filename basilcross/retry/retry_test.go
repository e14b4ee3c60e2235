package retry_test

import (
	"fmt"
	"testing"

	"basilcross.example/basilcross/retry"
	"gotest.tools/v3/assert"
)

func ExampleBudget() {
	var b retry.Budget
	allowed := 0
	for range 100 {
		if b.TryWithdraw() {
			allowed++
		}
	}
	fmt.Println("in a brown-out without successes:", allowed)
	// Output: in a brown-out without successes: 10
}

// Every target fails half of its requests. Repetitions stay within a tenth of
// the successes, so the load on the targets grows by at most a tenth.
func TestBudgetBoundsAmplification(t *testing.T) {
	var b retry.Budget
	const requests = 10_000
	sent := 0
	for i := range requests {
		sent++
		if i%2 == 0 {
			b.Deposit()
			continue
		}
		if b.TryWithdraw() {
			sent++
		}
	}
	assert.Assert(t, float64(sent)/requests <= 1.1)
}
