// Package link simulates the network between zones: an egress proxy per gateway adds
// latency, bandwidth limits, partitions and lost bytes.
package link

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/duplex"
	"basilcross.example/basilcross/grant"
	"basilcross.example/standin/deployment"
)

const (
	// maxQueuedChunks bounds the chunks in flight in one direction of a connection.
	maxQueuedChunks = 256
	chunkSize       = 16 << 10
	// repeatEvery is how many responses of targets there are to one that is sent twice, and maxRepeated the size in
	// bytes up to which one is.
	repeatEvery = 20
	maxRepeated = 64 << 10
	// cutConnectDelay is how long a connection attempt across a cut hangs before it fails.
	cutConnectDelay = 5 * time.Second
)

// Network holds the zone of every address and the faults between zones.
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
	// extraDelay is added to the one-way delay between any two zones.
	extraDelay time.Duration

	// repeating is set while some responses of targets are sent twice; responses counts them.
	repeating atomic.Bool
	responses atomic.Int64
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

// PlatformZone is a name for the platform that is used in cuts, as if it had a zone of its own.
const PlatformZone = "platform"

// AddAddress sets the zone of an address. Bytes from and to control addresses are counted.
func (n *Network) AddAddress(address string, zone deployment.Zone, control bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
	n.isControl[address] = control
	n.controlBytes[address] = &atomic.Int64{}
}

// ControlBytes returns the bytes sent over control connections to an address, in both directions.
func (n *Network) ControlBytes(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if count, ok := n.controlBytes[address]; ok {
		return count.Load()
	}
	return 0
}

// SetCut begins or ends a cut between two zones, in both directions.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

// SetOneWayCut begins or ends a cut in the direction from one zone to another.
func (n *Network) SetOneWayCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = cut
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

// SetExtraDelay sets a delay that is added to the one-way delay between any two zones.
func (n *Network) SetExtraDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraDelay = d
}

// SetRepeating begins or ends that some responses of targets, to orders too, are sent a second time: when the next
// request is sent on the connection, before the response to that one.
func (n *Network) SetRepeating(on bool) { n.repeating.Store(on) }

// repeatsNext reports whether the next response is sent twice.
func (n *Network) repeatsNext() bool {
	return n.repeating.Load() && n.responses.Add(1)%repeatEvery == 0
}

// ResetConnections closes all open connections with a TCP reset.
func (n *Network) ResetConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		for _, end := range c.ends {
			// After a regular close the bytes in flight would still arrive.
			closeLike(end, true)
		}
	}
}

// BlackholeConnections drops all further bytes of the connections that are open now.
func (n *Network) BlackholeConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.blackholed.Store(true)
	}
}

// IsCut reports whether the direction from a to b is cut.
func (n *Network) IsCut(a, b string) bool {
	cut, _ := n.cutState(a, b)
	return cut
}

// cutState is IsCut with a channel that is closed when any cut changes.
func (n *Network) cutState(a, b string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{a, b}], n.cutsChanged
}

// arrivalTime returns when size bytes that are sent now from one zone to another arrive.
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
	freeAt := n.linkFreeAt[from.Region]
	if freeAt.Before(now) {
		freeAt = now
	}
	freeAt = freeAt.Add(time.Duration(size) * time.Second / time.Duration(n.Deployment.LinkBytesPerSecond))
	n.linkFreeAt[from.Region] = freeAt
	return freeAt.Add(n.Deployment.RegionDelay)
}

// Egress holds the zone and the counters of one gateway's egress proxy.
type Egress struct {
	Zone deployment.Zone
	// ControlBytes counts bytes from and to the platform and other gateways, and those of grants.
	ControlBytes  atomic.Int64
	ControlChunks atomic.Int64
}

// Serve runs the egress proxy of one gateway until the listener is closed.
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

func (n *Network) handle(client net.Conn, e *Egress) {
	defer func() { _ = client.Close() }()
	reader := bufio.NewReader(client)
	req, err := http.ReadRequest(reader)
	if err != nil || req.Method != http.MethodConnect {
		return
	}
	n.mu.Lock()
	zone, known := n.zones[req.Host]
	isControl := n.isControl[req.Host]
	controlBytes := n.controlBytes[req.Host]
	n.mu.Unlock()
	if !known {
		_, _ = io.WriteString(client, "HTTP/1.1 502 Bad Gateway\r\n\r\n")
		return
	}
	if n.IsCut(e.Zone.Name, zone.Name) || n.IsCut(zone.Name, e.Zone.Name) {
		time.Sleep(cutConnectDelay)
		return
	}
	time.Sleep(2 * time.Until(n.arrivalTime(e.Zone, zone, 1)))
	target, err := net.Dial("tcp", req.Host)
	if err != nil {
		_, _ = io.WriteString(client, "HTTP/1.1 502 Bad Gateway\r\n\r\n")
		return
	}
	defer func() { _ = target.Close() }()
	_, _ = io.WriteString(client, "HTTP/1.1 200 OK\r\n\r\n")
	c := &connection{network: n, egress: e, controlBytes: controlBytes, ends: [2]net.Conn{&duplex.Conn{Conn: client}, &duplex.Conn{Conn: target}}}
	c.isControl.Store(isControl)
	c.toTarget = !isControl
	n.forward(c, c.ends[0], c.ends[1], zone)
}

type connection struct {
	network      *Network
	egress       *Egress
	controlBytes *atomic.Int64
	isControl    atomic.Bool
	blackholed   atomic.Bool
	ends         [2]net.Conn
	// toTarget is set if the other end is a target, whose last response is kept then.
	toTarget bool
	response response
}

// response is what a target has sent since the last request.
type response struct {
	mu   sync.Mutex
	data []byte
	// long is set if it is not kept whole.
	long bool
}

func (r *response) add(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.long = r.long || len(r.data)+len(data) > maxRepeated; !r.long {
		r.data = append(r.data, data...)
	}
}

// take returns the response and begins the next one; nothing if it is not kept.
func (r *response) take() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	data := r.data
	if r.long {
		data = nil
	}
	r.data, r.long = nil, false
	return data
}

// repeatResponse sends the last response once more when a request begins.
func (c *connection) repeatResponse() {
	data := c.response.take()
	if len(data) > 0 && c.network.repeatsNext() {
		_, _ = c.ends[0].Write(data)
	}
}

func (n *Network) forward(c *connection, client, target net.Conn, zone deployment.Zone) {
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	var group sync.WaitGroup
	group.Go(func() { c.forward(client, target, c.egress.Zone, zone) })
	group.Go(func() { c.forward(target, client, zone, c.egress.Zone) })
	group.Wait()
}

type chunk struct {
	data    []byte
	arrival time.Time
}

// forward copies bytes in one direction. When either end is closed, both are, which also
// ends the other direction.
func (c *connection) forward(src, dst net.Conn, from, to deployment.Zone) {
	queue := make(chan chunk, maxQueuedChunks)
	var broken atomic.Bool
	var group sync.WaitGroup
	group.Go(func() {
		c.deliver(queue, dst, from, to)
		if !c.blackholed.Load() {
			closeLike(dst, broken.Load())
		}
		_ = src.Close()
	})
	for {
		buffer := make([]byte, chunkSize)
		count, err := src.Read(buffer)
		if count > 0 {
			switch {
			case c.toTarget && src == c.ends[0]:
				c.repeatResponse()
			case c.toTarget:
				c.response.add(buffer[:count])
			}
			if bytes.HasPrefix(buffer[:count], []byte("POST "+grant.Path)) {
				c.isControl.Store(true)
			}
			if c.isControl.Load() {
				c.controlBytes.Add(int64(count))
				c.egress.ControlBytes.Add(int64(count))
				c.egress.ControlChunks.Add(1)
			}
			queue <- chunk{buffer[:count], c.network.arrivalTime(from, to, count)}
		}
		if err != nil {
			broken.Store(!errors.Is(err, io.EOF))
			break
		}
	}
	close(queue)
	group.Wait()
}

func (c *connection) deliver(queue <-chan chunk, dst net.Conn, from, to deployment.Zone) {
	failed := false
	for item := range queue {
		time.Sleep(time.Until(item.arrival))
		c.awaitCutEnd(from, to)
		if c.blackholed.Load() || failed {
			continue
		}
		_, err := dst.Write(item.data)
		failed = err != nil
	}
}

// closeLike closes a connection as its other side was: with a reset if that was broken.
func closeLike(c net.Conn, broken bool) {
	if d, ok := c.(*duplex.Conn); ok {
		c = d.Conn
	}
	if tcp, ok := c.(*net.TCPConn); ok && broken {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// awaitCutEnd delays bytes until a cut ends, as TCP's retransmissions would.
func (c *connection) awaitCutEnd(from, to deployment.Zone) {
	for {
		cut, changed := c.network.cutState(from.Name, to.Name)
		if !cut {
			return
		}
		<-changed
	}
}
