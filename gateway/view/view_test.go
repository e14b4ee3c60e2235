package view_test

import (
	"errors"
	"testing"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/shard"
	"basilcross.example/gateway/view"
	"gotest.tools/v3/assert"
)

func delta(from, to uint64, owner string) assignment.Delta {
	return assignment.Delta{
		Service: "menus", From: from, To: to,
		Targets: []assignment.Target{{ID: owner, Service: "menus", State: assignment.Active}},
		Shards:  []shard.Shard{{Last: ^uint64(0), Owner: owner, Epoch: to}},
	}
}

// A stale peer offers an older configuration than the one in force, or the same
// one again. Neither is taken, and those who wait for news are not woken.
func TestOlderConfigIsRejected(t *testing.T) {
	v := view.View{Zone: "graz"}
	assert.NilError(t, v.SetConfig(&config.Document{Version: 7}))
	changed := v.Load().Changed
	for _, version := range []uint64{6, 7} {
		var stale *view.StaleError
		assert.Assert(t, errors.As(v.SetConfig(&config.Document{Version: version}), &stale))
	}
	select {
	case <-changed:
		t.Error("woken by an older configuration")
	default:
	}
	assert.Equal(t, v.Load().Config.Version, uint64(7))
}

// A delta was missed. The next one does not fit and changes nothing; a follower
// that asks from the version it has gets what it lacks, or everything.
func TestFollowerCatchesUpAfterMissedDelta(t *testing.T) {
	var leader, follower view.View
	assert.NilError(t, leader.ApplyDelta(delta(0, 1, "t1")))
	assert.NilError(t, follower.ApplyDelta(delta(0, 1, "t1")))
	assert.NilError(t, leader.ApplyDelta(delta(1, 2, "t2")))
	assert.NilError(t, leader.ApplyDelta(delta(2, 3, "t3")))
	var wrong *assignment.VersionError
	assert.Assert(t, errors.As(follower.ApplyDelta(delta(2, 3, "t3")), &wrong))
	for _, d := range leader.DeltasSince("menus", 1) {
		assert.NilError(t, follower.ApplyDelta(d))
	}
	assert.DeepEqual(t, follower.Load().Versions(), leader.Load().Versions())
	var late view.View
	assert.NilError(t, late.ApplyDelta(assignment.Diff(&assignment.Assignment{Service: "menus"}, leader.Load().Services["menus"].Assignment)))
	s, _ := late.Load().Services["menus"].ShardMap.Find(5)
	assert.Equal(t, s.Owner, "t3")
}

// An old delta arrives late, after newer ones. It is passed over.
func TestLateDeltaIsIgnored(t *testing.T) {
	var v view.View
	assert.NilError(t, v.ApplyDelta(delta(0, 1, "t1")))
	assert.NilError(t, v.ApplyDelta(delta(1, 2, "t2")))
	assert.NilError(t, v.ApplyDelta(delta(0, 1, "t1")))
	s, _ := v.Load().Services["menus"].ShardMap.Find(5)
	assert.Equal(t, s.Owner, "t2")
}
