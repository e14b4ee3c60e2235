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
	lt := &leaderTest{leader: zone.Leader{Zone: "graz"}, now: time.Unix(1000, 0)}
	lt.leader.ApplyAssignment(testAssignment(assignment.Active, 1))
	return lt
}

func testAssignment(state assignment.State, generation uint64) *assignment.Assignment {
	return &assignment.Assignment{Service: "menus", Version: generation, Targets: []assignment.Target{
		{ID: "t1", Service: "menus", Zone: "graz", State: state, Generation: generation},
	}}
}

func (lt *leaderTest) poll(instance string, reports ...zone.TargetReport) zone.Directive {
	r := zone.Report{Instance: instance, Incarnation: "1", Directive: lt.leader.Version(), Targets: reports}
	lt.leader.ApplyReport(lt.now, r)
	lt.leader.RecordAuthority(lt.now, instance, authority)
	return lt.leader.Directive(lt.now, instance)
}

func failingReport(left time.Duration) zone.TargetReport {
	return zone.TargetReport{ID: "t1", Failing: true, LeaseLeft: left}
}

// Guards against a target that is released while it has a lease: after both
// renewers report it as failing, the longest lease that one of them gave it must
// end first.
func TestFailedTargetIsReleasedAfterItsLease(t *testing.T) {
	lt := newLeaderTest()
	lt.poll("g1")
	lt.poll("g2")
	lt.poll("g1", failingReport(500*time.Millisecond))
	assert.Equal(t, len(lt.leader.Released(lt.now)), 0, "one renewer's failure is not enough")
	lt.poll("g2", failingReport(300*time.Millisecond))
	lt.poll("g1", failingReport(500*time.Millisecond))
	lt.poll("g2", failingReport(300*time.Millisecond))
	assert.Equal(t, len(lt.leader.Released(lt.now)), 0)
	lt.now = lt.now.Add(510 * time.Millisecond)
	assert.DeepEqual(t, lt.leader.Released(lt.now), []zone.Release{{Target: "t1", Generation: 1}})
}

// Guards against a release while a renewer that the leader can't reach may still
// extend the target's lease: its authority must end first.
func TestUnresponsiveRenewerDelaysRelease(t *testing.T) {
	lt := newLeaderTest()
	lt.poll("g1")
	lt.poll("g2")
	lt.now = lt.now.Add(800 * time.Millisecond)
	lt.poll("g1", failingReport(0))
	lt.poll("g1", failingReport(0))
	assert.Equal(t, len(lt.leader.Released(lt.now)), 0)
	lt.now = lt.now.Add(150 * time.Millisecond)
	lt.poll("g1", failingReport(0))
	assert.Equal(t, len(lt.leader.Released(lt.now)), 1)
}

// Guards against a lease for a target whose shards a planner may be moving: a
// released target that responds again must not be renewed before the assignment
// has a higher generation.
func TestReleasedTargetIsRenewedOnlyInTheNextGeneration(t *testing.T) {
	lt := newLeaderTest()
	lt.poll("g1")
	lt.poll("g1", failingReport(0))
	lt.poll("g1", failingReport(0))
	lt.now = lt.now.Add(2 * time.Millisecond)
	assert.Equal(t, len(lt.leader.Released(lt.now)), 1)
	d := lt.poll("g1", zone.TargetReport{ID: "t1", Alive: true})
	assert.Equal(t, len(d.Renew), 0)
	assert.Equal(t, len(lt.leader.Returned()), 1)
	lt.leader.ApplyAssignment(testAssignment(assignment.Active, 2))
	d = lt.poll("g1")
	assert.DeepEqual(t, d.Renew, []zone.Renewal{{Target: "t1", Generation: 2}})
	standby := lt.poll("g2").Renew[0].Standby || lt.poll("g1").Renew[0].Standby
	assert.Assert(t, standby, "one of two renewers must be the standby")
}

// Guards against a release in a new term while instances have authority from
// the former leader, of which the new one has no record.
func TestNewTermWaitsForPriorLeases(t *testing.T) {
	lt := newLeaderTest()
	lt.leader.PriorLeasesEnd = lt.now.Add(time.Second)
	lt.poll("g1")
	lt.poll("g1", failingReport(0))
	lt.poll("g1", failingReport(0))
	lt.now = lt.now.Add(500 * time.Millisecond)
	assert.Equal(t, len(lt.leader.Released(lt.now)), 0)
	lt.now = lt.now.Add(600 * time.Millisecond)
	assert.Equal(t, len(lt.leader.Released(lt.now)), 1)
}

// Guards against a drain that is reported too early: an instance with the
// earlier assignment could grant the shard again to a restarted target.
func TestDrainIsReportedOnlyWhenAllInstancesHaveTheVersion(t *testing.T) {
	lt := newLeaderTest()
	drain := zone.Drain{Service: "menus", First: 7, Epoch: 3, Version: 5}
	poll := func(id string, version uint64, reports ...zone.TargetReport) {
		lt.leader.ApplyReport(lt.now, zone.Report{
			Instance: id, Incarnation: "1", Targets: reports,
			Versions: map[string]uint64{"menus": version},
		})
		lt.leader.RecordAuthority(lt.now, id, authority)
	}
	poll("g2", 4)
	poll("g1", 5, zone.TargetReport{ID: "t1", Alive: true, Drained: []zone.Drain{drain}})
	assert.Equal(t, len(lt.leader.Drained(lt.now)), 0)
	poll("g2", 5)
	assert.DeepEqual(t, lt.leader.Drained(lt.now), []zone.Drain{drain})
}
