package ownership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against moves between targets that differ in load only by chance.
func TestKeysAreNotMovedByChance(t *testing.T) {
	const targets, seconds = 100, 10
	s := newShift(targets)
	s.spread(0.6*3*targets, 0, 0, 0)
	s.play(seconds * time.Second)
	before := s.keeper.Moved.Balance
	s.play(seconds * time.Second)
	moved := s.keeper.Moved.Balance - before
	t.Logf("%d pieces moved in %d s", moved, seconds)
	assert.Assert(t, moved <= targets, "each target's keys move once in %d s and more", seconds)
}
