package roster_test

import (
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"gotest.tools/v3/assert"
)

func target(id string, born, seq int64) *roster.Target {
	return &roster.Target{ID: id, Born: born, Seq: seq, Service: "s"}
}

func TestApply(t *testing.T) {
	now := time.Unix(1000, 0)
	var r roster.Roster
	came, left := r.Replace(now, []*roster.Target{target("a", 1, 1), target("b", 1, 1)}, 10)
	assert.Equal(t, len(came), 2)
	assert.Equal(t, len(left), 0)

	draining := target("a", 1, 2)
	draining.Draining = true
	_, left = r.Apply(now.Add(time.Second), []roster.Change{{ID: "a", Target: draining}}, 11)
	assert.Equal(t, len(left), 1)
	assert.Equal(t, r.Load().Targets["a"].Left, now.Add(time.Second))
	assert.Equal(t, r.Load().Targets["a"].Seen, now)

	_, left = r.Replace(now, []*roster.Target{target("a", 2, 1)}, 12)
	assert.Equal(t, len(left), 1, "b is gone")
	assert.Equal(t, r.Load().Targets["a"].Born, int64(2))
	assert.Assert(t, r.Load().Targets["a"].Left.IsZero(), "another lifetime does not leave")
}

// A report that was overtaken comes late, or another writer repeats an old one.
// Taken in, it would bring a target back that is leaving.
func TestOlderReportsChangeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	var r roster.Roster
	newest := target("a", 5, 7)
	newest.Draining = true
	r.Replace(now, []*roster.Target{newest}, 10)
	for _, old := range []*roster.Target{target("a", 5, 6), target("a", 4, 99)} {
		r.Apply(now, []roster.Change{{ID: "a", Target: old}}, 11)
		assert.Assert(t, r.Load().Targets["a"].Draining)
	}
}
