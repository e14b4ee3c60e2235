package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"gotest.tools/v3/assert"
)

func target(id string, born, seq int64) *roster.Target {
	return &roster.Target{ID: id, Started: born, Seq: seq, Service: "s"}
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
	assert.Equal(t, r.Load().Targets["a"].LeavingSince, now.Add(time.Second))
	assert.Equal(t, r.Load().Targets["a"].FirstSeen, now)

	_, left = r.Replace(now, []*roster.Target{target("a", 2, 1)}, 12)
	assert.Equal(t, len(left), 1, "b is gone")
	assert.Equal(t, r.Load().Targets["a"].Started, int64(2))
	assert.Assert(t, r.Load().Targets["a"].LeavingSince.IsZero(), "another lifetime does not leave")
}

// A report that was overtaken comes late, or another writer repeats an old one.
// Taken in, it would bring a target back that is leaving.
func TestOutdatedReportsAreIgnored(t *testing.T) {
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

// Guards against a view that, change by change, becomes unlike the one made of
// the same targets at once.
func TestApplyAndReplaceAgree(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	var r roster.Roster
	present := map[string]*roster.Target{}
	for revision := range uint64(500) {
		var changes []roster.Change
		for range random.IntN(4) {
			id := fmt.Sprintf("t%d", random.IntN(20))
			if present[id] != nil && random.IntN(4) == 0 {
				delete(present, id)
				changes = append(changes, roster.Change{ID: id})
				continue
			}
			next := target(id, int64(revision)/7, int64(revision))
			next.Address = fmt.Sprintf("10.0.0.%d:80", random.IntN(12))
			next.Service = fmt.Sprintf("s%d", random.IntN(3))
			if old := present[id]; old != nil && (old.Started > next.Started || old.Started == next.Started && old.Seq > next.Seq) {
				continue
			}
			present[id] = next
			changes = append(changes, roster.Change{ID: id, Target: next})
		}
		r.Apply(now, changes, revision)
		var whole roster.Roster
		var list []*roster.Target
		for _, p := range present {
			list = append(list, p)
		}
		whole.Replace(now, list, revision)
		assertSameView(t, r.Load(), whole.Load())
	}
}

func assertSameView(t *testing.T, got, want *roster.View) {
	t.Helper()
	assert.Equal(t, got.Digest, want.Digest)
	assert.Equal(t, got.Revision, want.Revision)
	assert.Equal(t, len(got.Targets), len(want.Targets))
	for id, w := range want.Targets {
		assert.Equal(t, got.Targets[id].Seq, w.Seq)
	}
	for _, service := range []string{"s0", "s1", "s2"} {
		assert.Equal(t, len(got.ByService[service]), len(want.ByService[service]))
		for _, g := range got.ByService[service] {
			assert.Assert(t, g == got.Targets[g.ID] && g.Service == service)
		}
	}
	assert.Equal(t, len(got.ByAddress), len(want.ByAddress))
	for address, w := range want.ByAddress {
		g := got.ByAddress[address]
		assert.Assert(t, g == got.Targets[g.ID])
		assert.Equal(t, g.Started, w.Started)
	}
}
