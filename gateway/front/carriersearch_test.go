package front

import (
	"fmt"
	"testing"
	"time"

	"basilcross.example/gateway/peers"
	"gotest.tools/v3/assert"
)

// newSearch returns the search of an instance in zone z, whose region has zone y too.
func newSearch(list ...peers.Instance) *carrierSearch {
	p := &peers.Peers{Self: peers.Instance{Name: "self", Zone: "z", Cores: 0.1}}
	listed := map[string]peers.Instance{}
	for _, i := range list {
		i.Control = "127.0.0.1:1"
		listed[i.Name] = i
	}
	p.SetInstances(listed)
	regions := map[string]string{"z": "ost", "y": "ost", "x": "west"}
	return &carrierSearch{service: "s", forwarder: &Forwarder{Self: p.Self, Peers: p, Region: func(zone string) string { return regions[zone] }}}
}

// askAll returns the zones of the instances asked until there are no more.
func (s *carrierSearch) askAll() (zones string) {
	for {
		i, ok := s.next(time.Now())
		if !ok {
			return zones
		}
		zones += i.Zone
	}
}

func instances(zone string, n int, cores float64) (list []peers.Instance) {
	for k := range n {
		list = append(list, peers.Instance{Name: fmt.Sprint(zone, cores, "-", k), Zone: zone, Cores: cores})
	}
	return list
}

// Guards against refusals where all instances asked have lost their links with their zone or region.
func TestCarriersOfSeveralZonesAreAsked(t *testing.T) {
	all := append(append(instances("z", 20, 0.2), instances("y", 20, 0.2)...), instances("x", 20, 0.2)...)
	assert.Equal(t, newSearch(all...).askAll(), "zzyx")
	assert.Equal(t, newSearch(instances("z", 3, 0.2)...).askAll(), "zzz")
	assert.Equal(t, newSearch(instances("x", 5, 0.2)...).askAll(), "xxxx")
}

// Guards against an endless search, when others suggest the same instances again and again.
func TestSuggestedCarriersAreAskedNextAndOnce(t *testing.T) {
	s := newSearch(instances("z", 20, 0.2)...)
	first, _ := s.next(time.Now())
	other := peers.Instance{Name: "other", Zone: "x", Control: "127.0.0.1:1"}
	s.suggest([]peers.Instance{first, other})
	next, ok := s.next(time.Now())
	assert.Assert(t, ok && next.Name == "other")
	for n := range 100 {
		s.suggest([]peers.Instance{other, {Name: fmt.Sprint("more", n), Zone: "x", Control: "127.0.0.1:1"}})
	}
	assert.Equal(t, s.askAll(), "xxxzzz")
}

// Guards against thin instances being asked, which may be gone and reserve slots through the hubs.
func TestHubsOfLargeZoneAreAsked(t *testing.T) {
	s := newSearch(append(instances("z", 40, 0.1), instances("z", 8, 0.8)...)...)
	for range 4 {
		i, ok := s.next(time.Now())
		assert.Assert(t, ok && i.Cores == 0.8, "%v", i)
	}
}

// Guards against an instance that serves being unknown to those that have no other way.
func TestDecliningInstanceSuggestsOneThatServes(t *testing.T) {
	s := newSearch(append(instances("z", 20, 0.2), instances("x", 3, 0.2)...)...)
	fw, now := s.forwarder, time.Now()
	serving := peers.Instance{Name: "serving", Zone: "y", Control: "127.0.0.1:1"}
	fw.recordServed(now, &serving, "s")
	list := fw.suggestions(now, "s", nil)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0], serving)
	assert.Equal(t, list[1].Zone, "x", "another one")
	assert.Equal(t, fw.suggestions(now, "s", []string{"west"})[0].Zone, "x", "permitted regions only")
	assert.Equal(t, len(fw.suggestions(now.Add(servedTTL+1), "s", nil)), 1)
}
