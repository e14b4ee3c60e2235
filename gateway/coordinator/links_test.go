package coordinator

import (
	"fmt"
	"testing"

	"basilcross.example/gateway/peers"
	"gotest.tools/v3/assert"
)

// Guards against keys without an owner because a coordinator whose whole zone has lost its links
// asks that zone only, and goes on coordinating.
func TestUnlinkedCoordinatorAsksOtherZones(t *testing.T) {
	self := peers.Instance{Name: "graz0", Zone: "graz"}
	p := &peers.Peers{Self: self}
	list := map[string]peers.Instance{"wien": {Name: "wien", Zone: "wien"}, "linz": {Name: "linz", Zone: "linz"}}
	for n := range 40 {
		name := fmt.Sprint("graz", n)
		list[name] = peers.Instance{Name: name, Zone: "graz"}
	}
	p.SetInstances(list)
	c := New(Options{Self: self, Peers: p})
	for range 20 {
		zones := map[string]int{}
		for _, i := range c.chooseOthers() {
			assert.Assert(t, i.Name != self.Name)
			zones[i.Zone]++
		}
		assert.DeepEqual(t, zones, map[string]int{"graz": linksAsked - 2, "wien": 1, "linz": 1})
	}
}
