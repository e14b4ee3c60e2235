package coordinator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a coordinator whose epochs run into those of the next term.
func TestCoordinatorHandsOverBeforeItsEpochsEnd(t *testing.T) {
	t.Parallel()
	for name, usedUp := range map[string]bool{"nearly used up": false, "used up": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newSpeedFleet(t).run("one", false)
			term := int64(0)
			c.do(func() {
				e := c.leadership.epochs
				term = e.Term
				for !e.NearlyUsedUp() || usedUp && !e.UsedUp() {
					e.Next()
				}
			})
			c.waitFor("leads again", func() bool { return c.leadership != nil && c.leadership.lease.Term > term })
			c.do(func() { assert.Check(t, !c.leadership.epochs.NearlyUsedUp()) })
		})
	}
}
