package broker_test

import (
	"errors"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

// startLeaving starts a scheduler and another instance, each with a list of its own, and takes all slots of the
// target t until the test ends.
func startLeaving(t *testing.T) (all map[string]*testInstance, req schedule.Request) {
	t.Helper()
	all = startInstances(t, "a", "b")
	req = request(20*time.Second, time.Minute)
	req.Target, req.Key = "t", 5
	if all["a"].broker.Scheduler(&req) != "b" {
		all["a"], all["b"] = all["b"], all["a"]
	}
	own := &roster.Roster{}
	own.Replace(time.Now(), []*roster.Target{{ID: "t", Started: 1, Service: "s", Zone: "z", Slots: 1}}, 1)
	all["a"].roster, all["a"].broker.Roster, all["a"].dispatcher.Roster = own, own, own
	res, err := all["b"].broker.Acquire(t.Context(), req)
	assert.NilError(t, err)
	t.Cleanup(func() { res.Release(schedule.Answered) })
	return all, req
}

// leave lists the target t as draining.
func (n *testInstance) leave() {
	n.roster.Apply(time.Now(), []roster.Change{{ID: "t", Target: &roster.Target{
		ID: "t", Started: 1, Seq: 2, Service: "s", Zone: "z", Slots: 1, Draining: true,
	}}}, 2)
}

// drainAim is half of the time after which the users accept no request at a target that leaves.
const drainAim = time.Second

// Guards against requests for keys that wait for the slot of an owner which leaves: at its scheduler, and at an
// instance whose scheduler does not know yet.
func TestWaitForLeavingOwnerEnds(t *testing.T) {
	for _, knows := range []string{"a", "b"} {
		t.Run(map[string]string{"a": "requester knows", "b": "scheduler knows"}[knows], func(t *testing.T) {
			all, req := startLeaving(t)
			left := make(chan time.Time, 1)
			time.AfterFunc(200*time.Millisecond, func() { left <- time.Now(); all[knows].leave() })
			_, err := all["a"].broker.Acquire(t.Context(), req)
			var none *schedule.NoTargetError
			assert.Assert(t, errors.As(err, &none), "%v", err)
			waited := time.Since(<-left)
			assert.Assert(t, waited <= drainAim+drainAim/4, "waited %v", waited)
		})
	}
}

// Guards against a thin instance's request that its hub lets wait for an owner which leaves, and sends there.
func TestHubEndsWaitForLeavingOwner(t *testing.T) {
	all, req := startLeaving(t)
	hub, thin := all["b"], all["a"]
	thin.thin.Store(true)
	hub.owner.Store("t")
	key := req.Key
	delegated := req
	delegated.Target = ""
	left := make(chan time.Time, 1)
	time.AfterFunc(200*time.Millisecond, func() { left <- time.Now(); hub.leave() })
	res, err := thin.broker.AcquireByHub(t.Context(), delegated, &key)
	if err == nil {
		res.Release(schedule.Abandoned)
	}
	assert.Assert(t, err != nil)
	waited := time.Since(<-left)
	assert.Assert(t, waited <= drainAim+drainAim/4, "waited %v", waited)
}
