package peers

import (
	"context"
	"log/slog"
	"net"
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

	mu    sync.Mutex
	known map[string]*net.UDPAddr
	all   map[string]Instance
	conn  *net.UDPConn
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
		n, _, err := p.conn.ReadFromUDP(buffer)
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

// Know takes in the list of all instances.
func (p *Peers) Know(list map[string]Instance) {
	known := map[string]*net.UDPAddr{}
	for name, i := range list {
		addr, err := net.ResolveUDPAddr("udp4", i.Datagram)
		if err != nil {
			event.DatagramFailed.Log(p.Log, "instance", name, "error", err)
			continue
		}
		known[name] = addr
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known, p.all = known, list
}

// Add takes in one instance.
func (p *Peers) Add(i Instance) {
	all := map[string]Instance{i.Name: i}
	for name, known := range p.All() {
		if name != i.Name {
			all[name] = known
		}
	}
	p.Know(all)
}

// Remove forgets an instance that ends.
func (p *Peers) Remove(name string) {
	all := map[string]Instance{}
	for other, known := range p.All() {
		if other != name {
			all[other] = known
		}
	}
	p.Know(all)
}

// All returns the instances known, this one included.
func (p *Peers) All() map[string]Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all
}

// Send sends a message to one instance. Datagrams may get lost; whoever needs
// an answer sends again.
func (p *Peers) Send(to string, m *Message) {
	p.mu.Lock()
	addr := p.known[to]
	p.mu.Unlock()
	if addr != nil {
		p.write(m, addr)
	}
}

// Broadcast sends a message to all other instances.
func (p *Peers) Broadcast(m *Message) {
	p.mu.Lock()
	addrs := make([]*net.UDPAddr, 0, len(p.known))
	for name, a := range p.known {
		if name != p.Self.Name {
			addrs = append(addrs, a)
		}
	}
	p.mu.Unlock()
	p.write(m, addrs...)
}

func (p *Peers) write(m *Message, addrs ...*net.UDPAddr) {
	m.From, m.Life = p.Self.Name, p.Self.Life
	text, err := cbor.Marshal(m)
	if err != nil {
		event.DatagramFailed.Log(p.Log, "error", err)
		return
	}
	for _, a := range addrs {
		if _, err := p.conn.WriteToUDP(text, a); err != nil {
			event.DatagramFailed.Log(p.Log, "to", a.String(), "error", err)
		}
	}
}
