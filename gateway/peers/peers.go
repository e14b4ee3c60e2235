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

// maxDatagram is what fits into one packet of an ordinary network.
const maxDatagram = 1400

// Peers sends and receives datagrams. Self, Log and Receive must be set.
type Peers struct {
	Self Instance
	Log  *slog.Logger
	// Receive is called for each message, from one goroutine.
	Receive func(m *Message)

	mu     sync.Mutex
	byName map[string]peer
	// all, zones and others are made from known when they are asked for.
	all            []Instance
	byZone         map[string][]Instance
	broadcastAddrs []netip.AddrPort
	conn           *net.UDPConn
}

// peer is an instance that can be sent to.
type peer struct {
	instance Instance
	addr     netip.AddrPort
}

// Listen opens the socket.
func (p *Peers) Listen() error {
	addr, err := net.ResolveUDPAddr("udp4", p.Self.Datagram)
	if err != nil {
		return err
	}
	p.conn, err = net.ListenUDP("udp4", addr)
	return err
}

// Serve receives until the context ends.
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

// SetInstances takes in the list of all instances.
func (p *Peers) SetInstances(list map[string]Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byName
	p.byName = make(map[string]peer, len(list))
	p.all, p.byZone, p.broadcastAddrs = nil, nil, nil
	for name, i := range list {
		if same, ok := old[name]; ok && same.instance == i {
			p.byName[name] = same
			continue
		}
		p.put(name, i)
	}
}

// Add takes in one instance.
func (p *Peers) Add(i Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.byName[i.Name]
	if ok && old.instance == i {
		return
	}
	if p.byName == nil {
		p.byName = map[string]peer{}
	}
	p.put(i.Name, i)
	p.all, p.broadcastAddrs = nil, nil
	delete(p.byZone, i.Zone)
	delete(p.byZone, old.instance.Zone)
}

// put notes an instance and its address.
func (p *Peers) put(name string, i Instance) {
	addr, err := net.ResolveUDPAddr("udp4", i.Datagram)
	if err != nil {
		event.DatagramFailed.Log(p.Log, "instance", name, "error", err)
	}
	// Without an address it counts as known, and nothing is sent to it.
	at := addr.AddrPort()
	p.byName[name] = peer{instance: i, addr: netip.AddrPortFrom(at.Addr().Unmap(), at.Port())}
}

// Remove forgets an instance that ends.
func (p *Peers) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byZone, p.byName[name].instance.Zone)
	delete(p.byName, name)
	p.all, p.broadcastAddrs = nil, nil
}

// Find returns an instance; its name is empty if it is not known.
func (p *Peers) Find(name string) Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name].instance
}

// Count returns the number of instances known, this one included.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byName)
}

// All returns the instances known, this one included. The list must not be changed.
func (p *Peers) All() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all == nil {
		p.all = make([]Instance, 0, len(p.byName))
		for _, known := range p.byName {
			p.all = append(p.all, known.instance)
		}
	}
	return p.all
}

// Zone returns those of an availability zone. The list must not be changed.
func (p *Peers) Zone(zone string) []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, ok := p.byZone[zone]
	if ok {
		return list
	}
	for _, known := range p.byName {
		if known.instance.Zone == zone {
			list = append(list, known.instance)
		}
	}
	if p.byZone == nil {
		p.byZone = map[string][]Instance{}
	}
	p.byZone[zone] = list
	return list
}

// Send sends a message to one instance. Datagrams may get lost; whoever needs
// an answer sends again.
func (p *Peers) Send(to string, m *Message) { p.SendAll([]string{to}, m) }

// SendAll sends a message to several instances.
func (p *Peers) SendAll(to []string, m *Message) {
	addrs := make([]netip.AddrPort, 0, len(to))
	p.mu.Lock()
	for _, name := range to {
		if known := p.byName[name]; known.addr.IsValid() {
			addrs = append(addrs, known.addr)
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
		for name, known := range p.byName {
			if name != p.Self.Name && known.addr.IsValid() {
				p.broadcastAddrs = append(p.broadcastAddrs, known.addr)
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
	text, err := cbor.Marshal(m)
	if err != nil {
		event.DatagramFailed.Log(p.Log, "error", err)
		return
	}
	for _, a := range addrs {
		if _, err := p.conn.WriteToUDPAddrPort(text, a); err != nil {
			event.DatagramFailed.Log(p.Log, "to", a.String(), "error", err)
		}
	}
}
