package mirror_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"

	"basilcross.example/gateway/mirror"
	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// passiveMirror is a mirror that gets its changes from other instances.
func passiveMirror(rows map[string]string) *mirror.Mirror {
	m := &mirror.Mirror{Table: "t", Log: slog.New(slog.DiscardHandler), OnUpdate: func(u mirror.Update) {
		if u.Full {
			clear(rows)
		}
		for _, r := range u.Rows {
			rows[r.Key] = string(r.Value)
			if r.Removed {
				delete(rows, r.Key)
			}
		}
	}}
	m.SetPassive(true)
	return m
}

func full(revision uint64) mirror.Snapshot { return mirror.Snapshot{Table: "t", Revision: revision} }

// Guards against an instance that catches up by changes alone and lacks a row, keeps a
// removed one, or goes back to an earlier value.
func TestChangesLeadToTheSameRows(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	source, follower := map[string]string{}, map[string]string{}
	from, to := passiveMirror(source), passiveMirror(follower)
	from.ApplySnapshot(full(1))
	to.ApplySnapshot(full(1))
	for revision := uint64(2); revision < 3000; revision++ {
		row := platform.Row{Key: fmt.Sprint(random.IntN(40)), Value: fmt.Append(nil, revision), Revision: revision, Removed: random.IntN(3) == 0}
		assert.Assert(t, from.ApplyForwarded(mirror.ForwardedUpdate{From: revision - 1, To: revision, Rows: []platform.Row{row}}))
		if random.IntN(20) > 0 {
			continue
		}
		s, _ := from.Snapshot(to.Revision())
		assert.Assert(t, s.ChangedAfter > 0)
		assert.Assert(t, to.ApplySnapshot(s))
		assert.DeepEqual(t, source, follower)
	}
}

// Guards against changes that leave out removals which are no longer remembered, or those
// before the mirror was read.
func TestAllRowsAreSentIfRemovalsWereForgotten(t *testing.T) {
	m := passiveMirror(map[string]string{})
	m.ApplySnapshot(full(10))
	for revision := uint64(11); revision < 10000; revision++ {
		row := platform.Row{Key: fmt.Sprint(revision), Revision: revision, Removed: true}
		m.ApplyForwarded(mirror.ForwardedUpdate{From: revision - 1, To: revision, Rows: []platform.Row{row}})
	}
	s, _ := m.Snapshot(11)
	assert.Equal(t, s.ChangedAfter, uint64(0))
	s, _ = m.Snapshot(9000)
	assert.Equal(t, len(s.Removed), 999)
	s, _ = m.Snapshot(9)
	assert.Equal(t, s.ChangedAfter, uint64(0))
}

// Guards against a feed reader that the store does not answer: it fetched the same changes from the
// coordinator again and again, and its zone did not get a configuration until the outage ended.
func TestPollingMirrorAppliesFetchedChanges(t *testing.T) {
	rows := map[string]string{}
	m := passiveMirror(rows)
	m.SetPassive(false)
	m.ApplySnapshot(full(3))
	row := platform.Row{Key: "config", Value: []byte("next"), Revision: 5}
	assert.Assert(t, m.ApplySnapshot(mirror.Snapshot{Table: "t", Revision: 6, ChangedAfter: 3, Rows: []platform.Row{row}}))
	assert.Equal(t, rows["config"], "next")
	assert.Equal(t, m.Revision(), uint64(6))
}
