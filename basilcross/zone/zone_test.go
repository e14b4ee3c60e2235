package zone_test

import (
	"testing"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/zone"
	"gotest.tools/v3/assert"
)

const authority = 900 * time.Millisecond

type leaderTest struct {
	leader zone.Leader
	now    time.Time
}

func newLeaderTest() *leaderTest {
	b := &leaderTest{leader: zone.Leader{Zone: "graz"}, now: time.Unix(1000, 0)}
	b.leader.ApplyAssignment(testAssignment(assignment.Active, 1))
	return b
}

func testAssignment(state assignment.State, generation uint64) *assignment.Assignment {
	return &assignment.Assignment{Service: "menus", Version: generation, Targets: []assignment.Target{
		{ID: "t1", Service: "menus", Zone: "graz", State: state, Generation: generation},
	}}
}

func (b *leaderTest) poll(instance string, reports ...zone.TargetReport) zone.Directive {
	r := zone.Report{Instance: instance, Incarnation: "1", Directive: b.leader.Version(), Targets: reports}
	b.leader.ApplyReport(b.now, r)
	b.leader.RecordAuthority(b.now, instance, authority)
	return b.leader.Directive(b.now, instance)
}

func failingReport(left time.Duration) zone.TargetReport {
	return zone.TargetReport{ID: "t1", Failing: true, LeaseLeft: left}
}

// A target dies. Its two renewers report failures; the leader stops the
// renewal, and calls the target released only when the longest lease that a
// renewer gave it has ended.
func TestFailedTargetIsReleasedAfterItsLease(t *testing.T) {
	b := newLeaderTest()
	b.poll("g1")
	b.poll("g2")
	b.poll("g1", failingReport(500*time.Millisecond))
	assert.Equal(t, len(b.leader.Released(b.now)), 0, "one renewer's failure is not enough")
	b.poll("g2", failingReport(300*time.Millisecond))
	b.poll("g1", failingReport(500*time.Millisecond))
	b.poll("g2", failingReport(300*time.Millisecond))
	assert.Equal(t, len(b.leader.Released(b.now)), 0)
	b.now = b.now.Add(510 * time.Millisecond)
	assert.DeepEqual(t, b.leader.Released(b.now), []zone.Release{{Target: "t1", Generation: 1}})
}

// One renewer is cut off from the leader while the target looks dead to the
// other. The silent renewer may still be extending the target's lease, so the
// leader waits out the authority it gave that renewer.
func TestUnresponsiveRenewerDelaysRelease(t *testing.T) {
	b := newLeaderTest()
	b.poll("g1")
	b.poll("g2")
	b.now = b.now.Add(800 * time.Millisecond)
	b.poll("g1", failingReport(0))
	b.poll("g1", failingReport(0))
	assert.Equal(t, len(b.leader.Released(b.now)), 0)
	b.now = b.now.Add(150 * time.Millisecond)
	b.poll("g1", failingReport(0))
	assert.Equal(t, len(b.leader.Released(b.now)), 1)
}

// A target is released and comes back at once. A planner may be moving its
// shards at this moment, so it is not renewed before the assignment shows a
// higher generation.
func TestReleasedTargetIsRenewedOnlyInTheNextGeneration(t *testing.T) {
	b := newLeaderTest()
	b.poll("g1")
	b.poll("g1", failingReport(0))
	b.poll("g1", failingReport(0))
	b.now = b.now.Add(2 * time.Millisecond)
	assert.Equal(t, len(b.leader.Released(b.now)), 1)
	d := b.poll("g1", zone.TargetReport{ID: "t1", Alive: true})
	assert.Equal(t, len(d.Renew), 0)
	assert.Equal(t, len(b.leader.Returned()), 1)
	b.leader.ApplyAssignment(testAssignment(assignment.Active, 2))
	d = b.poll("g1")
	assert.DeepEqual(t, d.Renew, []zone.Renewal{{Target: "t1", Generation: 2}})
	standby := b.poll("g2").Renew[0].Standby || b.poll("g1").Renew[0].Standby
	assert.Assert(t, standby, "one of two renewers stands by")
}

// The leader has just taken a seat that was handed over. Instances still hold
// authority from the earlier leader, unknown to this one, so nothing is
// released before that has ended.
func TestNewTermWaitsForPriorLeases(t *testing.T) {
	b := newLeaderTest()
	b.leader.PriorLeasesEnd = b.now.Add(time.Second)
	b.poll("g1")
	b.poll("g1", failingReport(0))
	b.poll("g1", failingReport(0))
	b.now = b.now.Add(500 * time.Millisecond)
	assert.Equal(t, len(b.leader.Released(b.now)), 0)
	b.now = b.now.Add(600 * time.Millisecond)
	assert.Equal(t, len(b.leader.Released(b.now)), 1)
}

// A shard's revocation is complete at the target, but one instance with
// authority still has the earlier assignment. It could grant the shard again
// to a restarted target, so the drain does not count yet.
func TestDrainIsReportedOnlyWhenAllInstancesHaveTheVersion(t *testing.T) {
	b := newLeaderTest()
	drain := zone.Drain{Service: "menus", First: 7, Epoch: 3, Version: 5}
	poll := func(id string, version uint64, reports ...zone.TargetReport) {
		b.leader.ApplyReport(b.now, zone.Report{
			Instance: id, Incarnation: "1", Targets: reports,
			Versions: map[string]uint64{"menus": version},
		})
		b.leader.RecordAuthority(b.now, id, authority)
	}
	poll("g2", 4)
	poll("g1", 5, zone.TargetReport{ID: "t1", Alive: true, Drained: []zone.Drain{drain}})
	assert.Equal(t, len(b.leader.Drained(b.now)), 0)
	poll("g2", 5)
	assert.DeepEqual(t, b.leader.Drained(b.now), []zone.Drain{drain})
}
