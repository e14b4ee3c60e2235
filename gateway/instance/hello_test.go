package instance

import (
	"fmt"
	"net"
	"testing"
	"time"

	"basilcross.example/gateway/peers"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// receiver is a socket that counts the hellos that it receives.
type receiver struct {
	conn net.PacketConn
	self peers.Instance
}

func newReceiver(t *testing.T, name, zone string) *receiver {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &receiver{conn, peers.Instance{Name: name, Zone: zone, Incarnation: "1", Datagram: conn.LocalAddr().String()}}
}

// hellos returns the names in the hellos received so far.
func (r *receiver) hellos(t *testing.T) (names []string) {
	t.Helper()
	buffer := make([]byte, 2000)
	for {
		assert.NilError(t, r.conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		n, _, err := r.conn.ReadFrom(buffer)
		if err != nil {
			return names
		}
		m := &peers.Message{}
		assert.NilError(t, cbor.Unmarshal(buffer[:n], m))
		if m.Hello != nil {
			names = append(names, m.Hello.Name)
		}
	}
}

// Guards against links between regions that fill up when a large fleet starts, because
// each instance sends its hello to every other one; and against instances of another zone
// that do not get it.
func TestHelloIsRelayedInOtherZones(t *testing.T) {
	i := testInstance()
	i.peers.Self.Datagram = "127.0.0.1:0"
	assert.NilError(t, i.peers.Listen())
	list := map[string]peers.Instance{i.settings.Instance: i.peers.Self}
	var own, others []*receiver
	for n := range 20 {
		near, far := newReceiver(t, fmt.Sprintf("near%d", n), i.settings.Zone), newReceiver(t, fmt.Sprintf("far%d", n), "far")
		own, others = append(own, near), append(others, far)
		list[near.self.Name], list[far.self.Name] = near.self, far.self
	}
	i.peers.SetInstances(list)
	(&announcer{i}).sendHello()
	reached := 0
	for n := range own {
		assert.Equal(t, len(own[n].hellos(t)), 1)
		reached += len(others[n].hellos(t))
	}
	assert.Equal(t, reached, helloRelays)

	stranger := peers.Instance{Name: "stranger", Zone: "far", Incarnation: "1", Datagram: "127.0.0.1:9"}
	for range 2 {
		i.receive(&peers.Message{From: "stranger", Hello: &stranger})
	}
	i.receive(&peers.Message{From: "other", Hello: &peers.Instance{Name: "relayed", Zone: "far", Datagram: "127.0.0.1:9"}})
	for _, r := range own {
		assert.DeepEqual(t, r.hellos(t), []string{"stranger"})
	}
}
