package coordinator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"basilcross.example/basilcross/links"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/peers"
	"gotest.tools/v3/assert"
)

// Guards against keys without an owner while a coordinator without links asks its own zone only.
func TestUnlinkedCoordinatorAsksOtherZones(t *testing.T) {
	self := peers.Instance{Name: "graz0", Zone: "graz"}
	p := &peers.Peers{Self: self}
	list := map[string]peers.Instance{"wien": {Name: "wien", Zone: "wien"}, "linz": {Name: "linz", Zone: "linz"}}
	for n := range 40 {
		name := fmt.Sprint("graz", n)
		list[name] = peers.Instance{Name: name, Zone: "graz"}
	}
	p.SetInstances(list)
	c := New(Options{
		Quarantine: &quarantine.List{}, OnQuarantined: func(time.Time, []peers.Quarantined) {}, Self: self, Peers: p,
	})
	for range 20 {
		zones := map[string]int{}
		for _, i := range c.chooseOthers() {
			assert.Assert(t, i.Name != self.Name)
			zones[i.Zone]++
		}
		assert.DeepEqual(t, zones, map[string]int{"graz": linksAsked - 2, "wien": 1, "linz": 1})
	}
}

// Guards against keys without an owner since the next coordinator has no links either.
func TestInstanceProbesItsLinksBeforeTakeover(t *testing.T) {
	for _, reaches := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			targets := &roster.Roster{}
			targets.Replace(time.Now(), []*roster.Target{{ID: "a", Service: "s", Zone: "z"}}, 1)
			table := routing.New(&routing.Config{Version: 1, Services: []routing.Service{{Name: "s", Sharded: true}}})
			c := New(Options{
				Quarantine: &quarantine.List{}, OnQuarantined: func(time.Time, []peers.Quarantined) {},
				Table: func() *routing.Table { return table }, Roster: targets, Peers: &peers.Peers{}, Links: &links.Monitor{},
				Self: peers.Instance{Name: "me", Incarnation: "a"}, Joined: func() bool { return true },
				ReachesTargets: func(context.Context, string) bool { time.Sleep(200 * time.Millisecond); return reaches },
			})
			c.observe(7, Lease{Term: 1, Holder: "other"})
			start := time.Now()
			assert.Assert(t, !c.leaseReadDue(start))
			c.probeBeforeTakeover(t.Context())
			c.step(t.Context())
			assert.Assert(t, c.probing && !c.leaseCallActive, "it waits for the probes")
			(<-c.events)()
			assert.Assert(t, !c.probing)
			assert.Equal(t, c.nextLeaseRead.Sub(start) >= unlinkedTakeoverDelay, !reaches)
		})
	}
}
