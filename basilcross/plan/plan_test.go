package plan_test

import (
	"fmt"
	"testing"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/plan"
	"basilcross.example/basilcross/shard"
	"basilcross.example/basilcross/zone"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func listedTarget(id, zone string) plan.ListedTarget {
	return plan.ListedTarget{Target: assignment.Target{ID: id, Service: "menus", Zone: zone, Slots: 3, Fenced: true}}
}

// fourTargets returns an input with two targets in each of two zones.
func fourTargets() plan.Input {
	return plan.Input{Sharded: true, InitialShards: 16, ListComplete: true, StartupDone: true, Listed: []plan.ListedTarget{
		listedTarget("a1", "graz"), listedTarget("a2", "graz"), listedTarget("b1", "wien"), listedTarget("b2", "wien"),
	}}
}

func mustDecide(t *testing.T, a *assignment.Assignment, in plan.Input) *assignment.Assignment {
	t.Helper()
	d := plan.Next(a, in)
	assert.Assert(t, d.Next != nil, "no decision")
	return d.Next
}

func shardsByOwner(a *assignment.Assignment) map[string]int {
	n := map[string]int{}
	for _, s := range a.Shards {
		n[s.Owner]++
	}
	return n
}

func initialAssignment(t *testing.T) *assignment.Assignment {
	t.Helper()
	a := mustDecide(t, &assignment.Assignment{Service: "menus"}, fourTargets())
	assert.DeepEqual(t, shardsByOwner(a), map[string]int{"a1": 4, "a2": 4, "b1": 4, "b2": 4})
	return a
}

func TestSameInputChangesNothing(t *testing.T) {
	a := initialAssignment(t)
	assert.Assert(t, plan.Next(a, fourTargets()).Next == nil)
}

// Guards against changes to other shards when a target's lease has ended, and
// against a report of an earlier generation that is applied again. Its own shards
// must get a new owner and a higher epoch, and the decision must be conditional on
// the term of the zone's leader.
func TestOnlyShardsOfLostTargetAreReassigned(t *testing.T) {
	a := initialAssignment(t)
	in := fourTargets()
	in.Released = []zone.Release{{Target: "a1", Generation: 1}}
	d := plan.Next(a, in)
	assert.DeepEqual(t, d.Zones, []string{"graz"})
	for i, s := range d.Next.Shards {
		before := a.Shards[i]
		if before.Owner == "a1" {
			assert.Assert(t, s.Owner != "a1" && s.Epoch == before.Epoch+1)
			continue
		}
		assert.DeepEqual(t, s, before)
	}
	lost, _ := d.Next.Target("a1")
	assert.Equal(t, lost.State, assignment.Lost)
	assert.Equal(t, lost.GrantsVersion, d.Next.Version)
	assert.Assert(t, plan.Next(d.Next, in).Next == nil, "the report of an earlier generation must be ignored")
	in.Released = nil
	in.Returned = []zone.Release{{Target: "a1", Generation: 2}}
	back, _ := mustDecide(t, d.Next, in).Target("a1")
	assert.Equal(t, back.State, assignment.Active)
	assert.Equal(t, back.Generation, uint64(3))
}

// Guards against two owners of a shard: gateways may still send requests to a
// lost target that is not fenced, so its shards must keep their owner until the
// version is quiet.
func TestUnfencedTargetKeepsShardsUntilQuietVersion(t *testing.T) {
	in := fourTargets()
	in.Listed[0].Target.Fenced = false
	a := mustDecide(t, &assignment.Assignment{Service: "menus"}, in)
	in.Released = []zone.Release{{Target: "a1", Generation: 1}}
	a = mustDecide(t, a, in)
	assert.Equal(t, shardsByOwner(a)["a1"], 4)
	assert.Assert(t, plan.Next(a, in).Next == nil)
	in.QuietVersion = a.Version
	assert.Equal(t, shardsByOwner(mustDecide(t, a, in))["a1"], 0)
}

// Guards against shards that stay in an evicted zone: they must all move in the
// decision that evicts it, without reports of its leader.
func TestShardsOfEvictedZoneMoveInOneDecision(t *testing.T) {
	in := fourTargets()
	in.EvictedZones = map[string]bool{"wien": true}
	in.LedZones = map[string]bool{"graz": true}
	d := plan.Next(initialAssignment(t), in)
	assert.DeepEqual(t, shardsByOwner(d.Next), map[string]int{"a1": 8, "a2": 8})
}

// Guards against a shard that changes owner while the former one still serves it:
// shards of a leaving target must be marked as moving first, and keep their owner
// until their revocation is complete.
func TestDrainingTargetKeepsShardsUntilDrained(t *testing.T) {
	a := initialAssignment(t)
	in := fourTargets()
	in.Listed[0].Leaving = true
	moving := mustDecide(t, a, in)
	assert.Equal(t, shardsByOwner(moving)["a1"], 4)
	for _, s := range moving.OwnedBy("a1") {
		assert.Assert(t, s.MovingTo != "")
		in.Drained = append(in.Drained, zone.Drain{Service: "menus", First: s.First, Epoch: s.Epoch, Version: moving.Version})
	}
	assert.Equal(t, shardsByOwner(mustDecide(t, moving, in))["a1"], 0)
}

// Guards against a shard that is assigned to a target that was lost while the
// shard was moving to it.
func TestMoveToLostTargetGetsAnotherOwner(t *testing.T) {
	in := fourTargets()
	in.Listed[0].Leaving = true
	moving := mustDecide(t, initialAssignment(t), in)
	to := moving.OwnedBy("a1")[0].MovingTo
	for _, s := range moving.OwnedBy("a1") {
		in.Drained = append(in.Drained, zone.Drain{Service: "menus", First: s.First, Epoch: s.Epoch, Version: moving.Version})
	}
	in.Released = []zone.Release{{Target: to, Generation: 1}}
	after := mustDecide(t, moving, in)
	assert.Equal(t, shardsByOwner(after)["a1"]+shardsByOwner(after)[to]+shardsByOwner(after)[""], 0)
}

// Guards, with random reports, against gaps and overlaps of shards, against epochs
// that decrease and against shards on targets that are not active.
func TestDecisionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &assignment.Assignment{Service: "menus"}
		for range rapid.IntRange(1, 12).Draw(t, "decisions") {
			in := randomInput(t, a)
			d := plan.Next(a, in)
			if d.Next == nil {
				continue
			}
			checkDecision(t, a, d.Next)
			a = d.Next
		}
	})
}

func randomInput(t *rapid.T, a *assignment.Assignment) plan.Input {
	in := fourTargets()
	in.Balance = rapid.Bool().Draw(t, "balance")
	in.Loads = map[uint64]float64{}
	for _, s := range a.Shards {
		in.Loads[s.First] = rapid.Float64Range(0, 100).Draw(t, "load")
		if s.MovingTo != "" && rapid.Bool().Draw(t, "drained") {
			in.Drained = append(in.Drained, zone.Drain{Service: "menus", First: s.First, Epoch: s.Epoch})
		}
	}
	for i, target := range a.Targets {
		report := zone.Release{Target: target.ID, Generation: target.Generation}
		switch rapid.IntRange(0, 5).Draw(t, "fate") {
		case 0:
			in.Released = append(in.Released, report)
		case 1:
			in.Returned = append(in.Returned, report)
		case 2:
			in.Listed[i%4].Leaving = true
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "evict") == 0 {
		in.EvictedZones = map[string]bool{"graz": true}
	}
	in.HotKeys = []plan.HotKey{{Hash: rapid.Uint64().Draw(t, "hot"), Work: rapid.Float64Range(0, 500).Draw(t, "work")}}
	return in
}

func checkDecision(t *rapid.T, before, after *assignment.Assignment) {
	if len(after.Shards) == 0 {
		return
	}
	m, err := shard.New(after.Shards)
	assert.NilError(t, err)
	old, _ := shard.New(before.Shards)
	for _, s := range after.Shards {
		was, known := old.Find(s.First)
		if known && (s.Epoch < was.Epoch || s.Owner != was.Owner && s.Epoch == was.Epoch) {
			t.Fatalf("epoch %d of shard %v is not valid after %v", s.Epoch, s, was)
		}
		owner, ok := after.Target(s.Owner)
		if known && s.Owner != was.Owner && (!ok && s.Owner != "" || ok && owner.State != assignment.Active) {
			t.Fatalf("shard %v was assigned to target %v, which is not active", s, owner)
		}
	}
	_ = m
}

func ExampleNext() {
	in := plan.Input{Sharded: true, InitialShards: 4, StartupDone: true, Listed: []plan.ListedTarget{
		{Target: assignment.Target{ID: "t1", Slots: 3}}, {Target: assignment.Target{ID: "t2", Slots: 3}},
	}}
	d := plan.Next(&assignment.Assignment{Service: "menus"}, in)
	for _, s := range d.Next.Shards {
		fmt.Printf("%016x %s\n", s.First, s.Owner)
	}
	// Output:
	// 0000000000000000 t1
	// 4000000000000000 t2
	// 8000000000000000 t1
	// c000000000000000 t2
}

// Guards against grants that are sent again without a change: when a target
// drains, only its own grants change until its shards have moved.
func TestGrantsVersionChangesOnlyForTargetsWithOtherGrants(t *testing.T) {
	in := fourTargets()
	in.Listed[0].Leaving = true
	before := initialAssignment(t)
	after := mustDecide(t, before, in)
	for _, target := range after.Targets {
		was, _ := before.Target(target.ID)
		assert.Equal(t, target.GrantsVersion != was.GrantsVersion, target.ID == "a1", "%s", target.ID)
	}
}
