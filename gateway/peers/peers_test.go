package peers

import (
	"fmt"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"
)

func testInstance(n int) Instance {
	return Instance{
		Name: fmt.Sprintf("gw-%04d", n), Incarnation: "abcdefgh", Zone: fmt.Sprintf("z%d", n%8),
		Datagram: fmt.Sprintf("10.0.%d.%d:7660", n/250, n%250), Control: "10.0.0.1:8146", Cores: 0.16,
	}
}

func newPeers(n int) *Peers {
	p := &Peers{Self: testInstance(0), Log: slog.New(slog.DiscardHandler)}
	for k := range n {
		p.Add(testInstance(k))
	}
	return p
}

// Guards against lists of instances that are out of date after one comes, moves
// to another availability zone, or ends.
func TestListsAreUpdatedOnChange(t *testing.T) {
	p := newPeers(16)
	count := func(all, zone int) {
		t.Helper()
		assert.Equal(t, len(p.All()), all)
		assert.Equal(t, p.Count(), all)
		assert.Equal(t, len(p.Zone("z1")), zone)
	}
	count(16, 2)
	p.Add(testInstance(17))
	count(17, 3)
	moved := testInstance(17)
	moved.Zone = "z2"
	p.Add(moved)
	count(17, 2)
	assert.Equal(t, len(p.Zone("z2")), 3)
	p.Remove(testInstance(1).Name)
	count(16, 1)
	p.Remove("nobody")
	count(16, 1)
	assert.Equal(t, p.Find(moved.Name), moved)
	assert.Equal(t, p.Find("nobody").Name, "")
	p.SetInstances(map[string]Instance{moved.Name: moved})
	count(1, 0)
}

// Guards against an address that cannot be read: its instance counts, and nothing
// is sent there.
func TestInstanceWithUnresolvableAddressIsListed(t *testing.T) {
	p := newPeers(2)
	bad := testInstance(5)
	bad.Datagram = "nowhere"
	p.Add(bad)
	assert.Equal(t, p.Count(), 3)
	p.Send(bad.Name, &Message{})
}

// Guards against work for a hello, of which a fleet that starts sends several from
// each instance to each other one, that grows with the fleet.
func TestRepeatedHelloAllocatesNothing(t *testing.T) {
	p := newPeers(300)
	p.All()
	p.Zone("z1")
	again := testInstance(1)
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		p.Add(again)
		p.All()
		p.Zone("z1")
	}), 0.0)
}

// All instances of a fleet become known, each by three hellos.
func BenchmarkAddInstances(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p := newPeers(n)
				for range 2 {
					for k := range n {
						p.Add(testInstance(k))
					}
				}
			}
		})
	}
}
