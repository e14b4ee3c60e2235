// Package link stands in for the network: an egress proxy per gateway that
// delays, limits, cuts and silences what passes between zones.
package link

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/grant"
	"basilcross.example/standin/deployment"
)

const (
	// maxQueuedChunks is how many pieces one direction of a connection holds under way.
	maxQueuedChunks = 256
	chunkSize       = 16 << 10
	// cutConnectDelay is how long a connection attempt across a cut hangs.
	cutConnectDelay = 5 * time.Second
)

// Network knows where every address is and what is wrong between places.
type Network struct {
	Deployment deployment.Deployment

	mu           sync.Mutex
	zones        map[string]deployment.Zone
	isControl    map[string]bool
	cuts         map[[2]string]bool
	cutsChanged  chan struct{}
	linkFreeAt   map[string]time.Time
	controlBytes map[string]*atomic.Int64
	conns        map[*connection]bool
	// extraDelay is added to the way between any two zones.
	extraDelay time.Duration
}

// New returns a network without faults.
func New(d deployment.Deployment) *Network {
	return &Network{
		Deployment:   d,
		zones:        map[string]deployment.Zone{},
		isControl:    map[string]bool{},
		cuts:         map[[2]string]bool{},
		cutsChanged:  make(chan struct{}),
		linkFreeAt:   map[string]time.Time{},
		controlBytes: map[string]*atomic.Int64{},
		conns:        map[*connection]bool{},
	}
}

// PlatformZone is the platform's place for cuts.
const PlatformZone = "platform"

// AddAddress tells where an address is. Control addresses are counted as such.
func (n *Network) AddAddress(address string, zone deployment.Zone, control bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
	n.isControl[address] = control
	n.controlBytes[address] = &atomic.Int64{}
}

// ControlBytes returns the control bytes of connections to an address, both ways.
func (n *Network) ControlBytes(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if count, ok := n.controlBytes[address]; ok {
		return count.Load()
	}
	return 0
}

// SetCut separates two places, both ways, or joins them again.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

// SetOneWayCut lets nothing pass from one place to another, or lets it pass again.
func (n *Network) SetOneWayCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

// SetExtraDelay adds a delay to the way between any two zones.
func (n *Network) SetExtraDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraDelay = d
}

// ResetConnections breaks off all open connections.
func (n *Network) ResetConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.conns {
		for _, end := range p.ends {
			if tcp, ok := end.(*net.TCPConn); ok {
				// Without it the bytes under way would still arrive, and the close in order.
				_ = tcp.SetLinger(0)
			}
			_ = end.Close()
		}
	}
}

// BlackholeConnections makes all open connections lose everything from now on, while new
// ones work.
func (n *Network) BlackholeConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.conns {
		p.blackholed.Store(true)
	}
}

// IsCut tells whether two places are separated.
func (n *Network) IsCut(a, b string) bool {
	cut, _ := n.cutState(a, b)
	return cut
}

func (n *Network) cutState(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{a, b}], n.cutsChanged
}

// arrivalTime is when size bytes sent now from one zone to another are there.
func (n *Network) arrivalTime(from, to deployment.Zone, size int) time.Time {
	now := time.Now()
	if from.Name == to.Name {
		return now
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now = now.Add(n.extraDelay)
	if from.Region == to.Region {
		return now.Add(n.Deployment.ZoneDelay)
	}
	free := n.linkFreeAt[from.Region]
	if free.Before(now) {
		free = now
	}
	free = free.Add(time.Duration(size) * time.Second / time.Duration(n.Deployment.LinkBytesPerSecond))
	n.linkFreeAt[from.Region] = free
	return free.Add(n.Deployment.RegionDelay)
}

// Egress is one gateway's way out.
type Egress struct {
	Zone deployment.Zone
	// ControlBytes counts both ways with the platform and other gateways.
	ControlBytes  atomic.Int64
	ControlChunks atomic.Int64
}

// Serve proxies for one gateway until the listener closes.
func (n *Network) Serve(l net.Listener, e *Egress) {
	var group sync.WaitGroup
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		group.Go(func() { n.handle(c, e) })
	}
}

func (n *Network) handle(c net.Conn, e *Egress) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	req, err := http.ReadRequest(reader)
	if err != nil || req.Method != http.MethodConnect {
		return
	}
	n.mu.Lock()
	to, known := n.zones[req.Host]
	control := n.isControl[req.Host]
	received := n.controlBytes[req.Host]
	n.mu.Unlock()
	if !known {
		_, _ = io.WriteString(c, "HTTP/1.1 502 Bad Gateway\r\n\r\n")
		return
	}
	if n.IsCut(e.Zone.Name, to.Name) || n.IsCut(to.Name, e.Zone.Name) {
		time.Sleep(cutConnectDelay)
		return
	}
	time.Sleep(2 * time.Until(n.arrivalTime(e.Zone, to, 1)))
	target, err := net.Dial("tcp", req.Host)
	if err != nil {
		_, _ = io.WriteString(c, "HTTP/1.1 502 Bad Gateway\r\n\r\n")
		return
	}
	defer func() { _ = target.Close() }()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
	p := &connection{network: n, egress: e, controlBytes: received, ends: [2]net.Conn{c, target}}
	p.isControl.Store(control)
	n.forward(p, c, target, to)
}

// connection is one open connection through the network.
type connection struct {
	network      *Network
	egress       *Egress
	controlBytes *atomic.Int64
	isControl    atomic.Bool
	blackholed   atomic.Bool
	ends         [2]net.Conn
}

func (n *Network) forward(p *connection, c, target net.Conn, to deployment.Zone) {
	n.mu.Lock()
	n.conns[p] = true
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, p)
		n.mu.Unlock()
	}()
	var group sync.WaitGroup
	group.Go(func() { p.forward(c, target, p.egress.Zone, to) })
	group.Go(func() { p.forward(target, c, to, p.egress.Zone) })
	group.Wait()
}

type chunk struct {
	data    []byte
	arrival time.Time
}

// forward carries bytes one way. When either end is gone, both are closed, which
// ends the other direction too.
func (p *connection) forward(from, to net.Conn, a, b deployment.Zone) {
	queue := make(chan chunk, maxQueuedChunks)
	var group sync.WaitGroup
	group.Go(func() {
		p.deliver(queue, to, a, b)
		_ = from.Close()
	})
	for {
		buffer := make([]byte, chunkSize)
		count, err := from.Read(buffer)
		if count > 0 {
			if bytes.HasPrefix(buffer[:count], []byte("POST "+grant.Path)) {
				p.isControl.Store(true)
			}
			if p.isControl.Load() {
				p.controlBytes.Add(int64(count))
				p.egress.ControlBytes.Add(int64(count))
				p.egress.ControlChunks.Add(1)
			}
			queue <- chunk{buffer[:count], p.network.arrivalTime(a, b, count)}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	group.Wait()
}

func (p *connection) deliver(queue <-chan chunk, to net.Conn, a, b deployment.Zone) {
	failed := false
	for item := range queue {
		time.Sleep(time.Until(item.arrival))
		p.awaitCutEnd(a, b)
		if p.blackholed.Load() || failed {
			continue
		}
		_, err := to.Write(item.data)
		failed = err != nil
	}
	if !p.blackholed.Load() {
		_ = to.Close()
	}
}

// awaitCutEnd holds bytes back during a cut, as TCP's retransmissions would.
func (p *connection) awaitCutEnd(a, b deployment.Zone) {
	for {
		cut, changed := p.network.cutState(a.Name, b.Name)
		if !cut {
			return
		}
		<-changed
	}
}
