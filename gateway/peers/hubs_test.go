package peers

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func zoneOf(n int, cores float64) map[string]Instance {
	list := map[string]Instance{}
	for k := range n {
		name := fmt.Sprintf("i%d", k)
		list[name] = Instance{Name: name, Zone: "z", Cores: cores, Datagram: "127.0.0.1:9"}
	}
	return list
}

func TestAllInstancesOfSmallZoneAreHubs(t *testing.T) {
	p := &Peers{Self: Instance{Name: "i0", Zone: "z"}}
	p.SetInstances(zoneOf(largeZone, 0.2))
	assert.Equal(t, len(p.Hubs("z")), largeZone)
	assert.Assert(t, !p.SelfIsThin())
}

// Guards against restarts that make other instances hubs, which would copy all tables each time.
func TestRestartOfHubChangesNoOtherRole(t *testing.T) {
	p := &Peers{Self: Instance{Name: "i0", Zone: "z", Cores: 0.1}}
	p.SetInstances(zoneOf(100, 0.2))
	hubs := slices.Clone(p.Hubs("z"))
	assert.Equal(t, len(hubs), HubsPerZone)
	assert.Assert(t, p.SelfIsThin())
	p.Remove(hubs[3].Name)
	assert.DeepEqual(t, p.Hubs("z"), slices.Delete(slices.Clone(hubs), 3, 4))
	assert.Assert(t, p.SelfIsThin())
	p.Add(hubs[3])
	assert.DeepEqual(t, p.Hubs("z"), hubs)
}

// Guards against an instance that takes another one for a hub than the others do: the first rows
// of a zone in the store must be its hubs.
func TestRowsAreInOrderOfRank(t *testing.T) {
	var list []Instance
	for _, i := range zoneOf(50, 0.16) {
		list = append(list, i)
	}
	for k := range 5 {
		list = append(list, Instance{Name: fmt.Sprintf("strong%d", k), Zone: "z", Cores: 1.6}, Instance{Name: fmt.Sprintf("unknown%d", k), Zone: "z"})
	}
	slices.SortFunc(list, CompareRank)
	assert.Assert(t, slices.IsSortedFunc(list, func(a, b Instance) int {
		if a.RowKey() < b.RowKey() {
			return -1
		}
		return 1
	}))
}

// Guards against thin instances that a hub forgets when it reads the rows, of which they have none.
func TestInstancesWithoutRowsAreKept(t *testing.T) {
	p := &Peers{Self: Instance{Name: "i0", Zone: "z"}}
	p.SetInstances(zoneOf(40, 0.2))
	thin := Instance{Name: "thin", Zone: "z", Cores: 0.1, Datagram: "127.0.0.1:9"}
	far := Instance{Name: "far", Zone: "y", Cores: 0.1, Datagram: "127.0.0.1:9"}
	p.Add(thin)
	p.Add(far)
	p.SetInstances(zoneOf(40, 0.2))
	assert.Equal(t, p.Find("thin"), thin)
	assert.Equal(t, p.Find("far").Name, "", "of other zones only the rows count")
	assert.Assert(t, !slices.Contains(p.Hubs("z"), thin))
}

// Guards against small instances that must do what grows with the fleet although the zone has
// large ones.
func TestStrongInstancesAloneAreHubs(t *testing.T) {
	p := &Peers{Self: Instance{Name: "i0", Zone: "z", Cores: 0.1}}
	list := zoneOf(100, 0.16)
	for k := range 10 {
		name := fmt.Sprintf("strong%d", k)
		list[name] = Instance{Name: name, Zone: "z", Cores: 1.6, Datagram: "127.0.0.1:9"}
	}
	p.SetInstances(list)
	assert.Equal(t, len(p.Hubs("z")), 10)
	for _, h := range p.Hubs("z") {
		assert.Equal(t, h.Cores, 1.6)
	}
	for k := range 8 {
		delete(list, fmt.Sprintf("strong%d", k))
	}
	p.SetInstances(list)
	assert.Equal(t, len(p.Hubs("z")), HubsPerZone, "two are too few")
}
