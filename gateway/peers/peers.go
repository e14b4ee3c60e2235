package peers

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
	"github.com/fxamacker/cbor/v2"
)

// maxDatagram is the size in bytes that fits into one packet of an Ethernet network.
const maxDatagram = 1400

// Peers keeps the list of instances, and sends and receives datagrams. Self, Log and
// Receive must be set.
type Peers struct {
	Self Instance
	Log  *slog.Logger
	// Receive is called for each message, from one goroutine.
	Receive func(m *Message)

	mu     sync.Mutex
	byName map[string]peer
	// all, byZone, broadcastAddrs and hubAddrs are derived from byName on first use.
	all            []Instance
	byZone         map[string]*zoneMembers
	broadcastAddrs []netip.AddrPort
	hubAddrs       []netip.AddrPort
	conn           *net.UDPConn
}

type peer struct {
	instance Instance
	addr     netip.AddrPort
	// left is set once the instance has left; only its rank is still used.
	left bool
	// greeted is set if the instance is known by its own hello.
	greeted bool
}

// Listen opens the UDP socket at Self's datagram address.
func (p *Peers) Listen() error {
	addr, err := net.ResolveUDPAddr("udp4", p.Self.Datagram)
	if err != nil {
		return err
	}
	p.conn, err = net.ListenUDP("udp4", addr)
	return err
}

// Serve receives datagrams until the context ends, and returns the context's error.
func (p *Peers) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buffer := make([]byte, 2*maxDatagram)
	for ctx.Err() == nil {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				event.DatagramFailed.Log(p.Log, "error", err)
			}
			continue
		}
		m := &Message{}
		if err := cbor.Unmarshal(buffer[:n], m); err != nil {
			event.DatagramFailed.Log(p.Log, "error", err)
			continue
		}
		p.Receive(m)
	}
	return ctx.Err()
}

// SetInstances replaces the list of instances. If the own zone is large, those of it that sent
// a hello themselves are kept: thin instances have no rows.
func (p *Peers) SetInstances(list map[string]Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.byName
	p.byName = make(map[string]peer, len(list))
	p.forget()
	for name, i := range list {
		if unchanged, ok := previous[name]; ok && unchanged.instance == i {
			unchanged.left = false
			p.byName[name] = unchanged
			continue
		}
		p.put(name, i)
	}
	if len(p.members(p.Self.Zone).listed) < MaxListed {
		return
	}
	p.forget()
	for name, known := range previous {
		if _, ok := list[name]; !ok && known.greeted && known.instance.Zone == p.Self.Zone {
			p.byName[name] = known
		}
	}
}

// forget drops what is derived from byName.
func (p *Peers) forget() { p.all, p.byZone, p.broadcastAddrs, p.hubAddrs = nil, nil, nil, nil }

// Add adds one instance, or replaces it if it has changed. It reports whether the list
// was changed.
func (p *Peers) Add(i Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous, ok := p.byName[i.Name]
	if ok && previous.instance == i && !previous.left {
		return false
	}
	if p.byName == nil {
		p.byName = map[string]peer{}
	}
	p.put(i.Name, i)
	added := p.byName[i.Name]
	added.greeted = true
	p.byName[i.Name] = added
	p.forget()
	return true
}

func (p *Peers) put(name string, i Instance) {
	resolved, err := net.ResolveUDPAddr("udp4", i.Datagram)
	if err != nil {
		event.DatagramFailed.Log(p.Log, "instance", name, "error", err)
	}
	// An instance whose address does not resolve is listed, but nothing is sent to it.
	addr := resolved.AddrPort()
	p.byName[name] = peer{instance: i, addr: netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())}
}

// Remove removes an instance from the list.
func (p *Peers) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed, ok := p.byName[name]
	if !ok {
		return
	}
	listed.left = true
	p.byName[name] = listed
	p.forget()
}

// Find returns the instance of a name; its Name is empty if it is not listed.
func (p *Peers) Find(name string) Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if listed := p.byName[name]; !listed.left {
		return listed.instance
	}
	return Instance{}
}

// Count returns the number of listed instances, this one included.
func (p *Peers) Count() int {
	return len(p.All())
}

// All returns the listed instances, this one included. The caller must not modify
// the slice.
func (p *Peers) All() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all == nil {
		p.all = make([]Instance, 0, len(p.byName))
		for _, listed := range p.byName {
			if !listed.left {
				p.all = append(p.all, listed.instance)
			}
		}
	}
	return p.all
}

// Zone returns the listed instances of an availability zone. The caller must not
// modify the slice.
func (p *Peers) Zone(zone string) []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members(zone).listed
}

// Send sends a message to one instance, also to one that is leaving: it needs replies until its last
// request has ended. Datagrams may be lost; a sender that needs a response retries.
func (p *Peers) Send(to string, m *Message) {
	p.mu.Lock()
	addr := p.byName[to].addr
	p.mu.Unlock()
	if addr.IsValid() {
		p.write(m, []netip.AddrPort{addr})
	}
}

// SendAll sends a message to several instances, without those that are leaving.
func (p *Peers) SendAll(to []string, m *Message) {
	addrs := make([]netip.AddrPort, 0, len(to))
	p.mu.Lock()
	for _, name := range to {
		if listed := p.byName[name]; listed.addr.IsValid() && !listed.left {
			addrs = append(addrs, listed.addr)
		}
	}
	p.mu.Unlock()
	p.write(m, addrs)
}

// Broadcast sends a message to all other instances.
func (p *Peers) Broadcast(m *Message) {
	p.mu.Lock()
	if p.broadcastAddrs == nil {
		p.broadcastAddrs = make([]netip.AddrPort, 0, len(p.byName))
		for name, listed := range p.byName {
			if name != p.Self.Name && listed.addr.IsValid() && !listed.left {
				p.broadcastAddrs = append(p.broadcastAddrs, listed.addr)
			}
		}
	}
	others := p.broadcastAddrs
	p.mu.Unlock()
	p.write(m, others)
}

func (p *Peers) write(m *Message, addrs []netip.AddrPort) {
	if len(addrs) == 0 {
		return
	}
	m.From, m.Incarnation = p.Self.Name, p.Self.Incarnation
	payload, err := cbor.Marshal(m)
	if err != nil {
		event.DatagramFailed.Log(p.Log, "error", err)
		return
	}
	for _, addr := range addrs {
		if _, err := p.conn.WriteToUDPAddrPort(payload, addr); err != nil {
			event.DatagramFailed.Log(p.Log, "to", addr.String(), "error", err)
		}
	}
}
