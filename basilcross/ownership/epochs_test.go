package ownership_test

import (
	"testing"

	"basilcross.example/basilcross/ownership"
	"gotest.tools/v3/assert"
)

// Guards against a term that issues epochs of the next one, which are then lower than some that targets have seen.
func TestTermEndsBeforeItsEpochs(t *testing.T) {
	e, next := ownership.Epochs{Term: 5}, ownership.Epochs{Term: 6}
	lowest, last, warned := next.Next(), int64(0), int64(0)
	for !e.UsedUp() {
		if last = e.Next(); warned == 0 && e.NearlyUsedUp() {
			warned = last
		}
	}
	assert.Assert(t, warned > 0 && last-warned > 50_000, "%d epochs are left for the handover", last-warned)
	// What one round of a coordinator may issue beyond: an epoch for each key at most.
	assert.Assert(t, lowest-last >= ownership.KeyCount, "%d epochs are left", lowest-last)
}
