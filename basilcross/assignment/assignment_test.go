package assignment_test

import (
	"fmt"
	"testing"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/shard"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawAssignment(t *rapid.T, version uint64) *assignment.Assignment {
	a := &assignment.Assignment{Service: "menus", Version: version}
	for i := range rapid.IntRange(0, 4).Draw(t, "targets") {
		a.SetTarget(assignment.Target{ID: fmt.Sprint("t", i), Slots: rapid.IntRange(1, 3).Draw(t, "slots")})
	}
	a.Shards = shard.Split(rapid.IntRange(1, 6).Draw(t, "shards"))
	for i := range a.Shards {
		a.Shards[i].Owner = fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "owner"))
	}
	return a
}

// The delta between any two versions, applied to the first, gives the second.
func TestApplyOfDiffGivesSecondVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawAssignment(t, 1), drawAssignment(t, 2)
		got, err := from.Apply(assignment.Diff(from, to))
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Shards, to.Shards)
		assert.Equal(t, len(got.Targets), len(to.Targets))
		for _, target := range to.Targets {
			have, ok := got.Target(target.ID)
			assert.Assert(t, ok)
			assert.Equal(t, have, target)
		}
	})
}
