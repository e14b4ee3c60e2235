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

// Guards against retries that amplify the load while targets fail half of their
// requests: retries must stay within a tenth of the successes, besides the reserve, so
// that the load grows by at most a tenth.
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
