// Package fleetstart models how a fleet starts at once: links with a rate and a queue, a store
// that writes the rows of one part one after the other, processors, and a configuration that is
// written during the start. It compares ways to spread what instances must know, at sizes
// that cannot be played.
package fleetstart

import (
	"math/rand/v2"
	"time"

	"basilcross.example/standin/eventloop"
)

// Way is a way to spread what the instances must know: Copies or Hubs.
type Way interface{ way() }

// Copies gives each instance the list of all instances and all targets.
type Copies struct {
	// PausedPages is set if feed readers pause after full pages of changes too, and CopiedView
	// if each datagram with targets costs a copy of the whole list of them.
	PausedPages, CopiedView bool
}

// Hubs gives these to PerZone instances of each zone; the others know their zone's hubs.
type Hubs struct{ PerZone int }

func (Copies) way() {}
func (Hubs) way()   {}

// Fleet is what is simulated. All fields must be set.
type Fleet struct {
	Instances, Zones, Targets int
	// Strong is the number of instances with StrongCores in each zone; the others have Cores.
	Strong             int
	Cores, StrongCores float64
	// LinkMbps and StrongLinkMbps are the links of instances, RegionMbps each direction of the
	// link between the two regions. The store is in the first one.
	LinkMbps, StrongLinkMbps, RegionMbps float64
	// ConfigAt is when a configuration is written.
	ConfigAt time.Duration
}

// Result is what a start costs and how long it takes.
type Result struct {
	// RegionMB crossed the link to the region without the store.
	RegionMB float64
	// StoreMB were read from the store, by StoreCalls calls.
	StoreMB    float64
	StoreCalls int
	// BusiestMB and MiddleMB were received or sent by an instance, BusiestCPU and MiddleCPU
	// are its processor time.
	BusiestMB, MiddleMB   float64
	BusiestCPU, MiddleCPU time.Duration
	// Listed is when the last instance knew what it needs of the other instances, and Targets
	// the same of the targets.
	Listed, Targets time.Duration
	// ConfigDelay is the time until the configuration was in force everywhere.
	ConfigDelay time.Duration
}

const (
	listRowBytes   = 330
	targetRowBytes = 350
	configBytes    = 80_000
	rowsPerPage    = 500
	// rowsPerDatagram is what fits into a datagram, with its header.
	rowsPerDatagram = 3
	datagramBytes   = 1150
	// partWriteTime is the time of a write to one part of the store, of which maxPartQueue may
	// wait.
	partWriteTime = 5 * time.Millisecond
	maxPartQueue  = 200
	writeRetry    = 500 * time.Millisecond
	// datagramCPU is the processor time for a datagram with targets, and viewCopyCPU the same
	// for each target in a list that is copied.
	datagramCPU = 60 * time.Microsecond
	viewCopyCPU = 275 * time.Nanosecond
	readers     = 2
	batchDelay  = 400 * time.Millisecond
	// registerTime is the time over which the targets register.
	registerTime = 2 * time.Second
	storeDelay   = 4 * time.Millisecond
	maxRowsRead  = 33
	// minStrongHubs is the number of strong instances above which they alone are the hubs.
	minStrongHubs = 6
)

// queue is a link or a processor: what is put into it is done one after the other.
type queue struct {
	free time.Duration
	sum  float64
}

func (q *queue) add(now, takes time.Duration, amount float64) time.Duration {
	q.free = max(q.free, now) + takes
	q.sum += amount
	return q.free
}

type node struct {
	zone    int
	strong  bool
	hub     bool
	link    queue
	cpu     queue
	listed  time.Duration
	targets time.Duration
	config  time.Duration
}

type run struct {
	eventloop.Loop
	Fleet
	way    Way
	random *rand.Rand
	nodes  []*node
	byZone [][]*node
	region queue
	parts  map[int]*queue
	result Result
}

// Simulate plays the start of a fleet.
func (f Fleet) Simulate(w Way, seed uint64) Result {
	r := &run{Fleet: f, way: w, random: rand.New(rand.NewPCG(seed, 1)), byZone: make([][]*node, f.Zones), parts: map[int]*queue{}}
	for n := range f.Instances {
		i := &node{zone: n % f.Zones, strong: n/f.Zones < f.Strong}
		i.hub = r.isHub(n / f.Zones)
		r.nodes = append(r.nodes, i)
		r.byZone[i.zone] = append(r.byZone[i.zone], i)
	}
	for _, i := range r.nodes {
		r.After(time.Duration(r.random.Int64N(int64(300*time.Millisecond))), func() { r.register(i) })
	}
	for _, zone := range r.byZone {
		for _, reader := range zone[:min(readers, len(zone))] {
			r.After(300*time.Millisecond, func() { r.readTargets(reader, 0) })
			r.After(f.ConfigAt, func() { r.readConfig(reader) })
		}
	}
	r.Run()
	return r.summary()
}

func (r *run) isHub(rank int) bool {
	h, is := r.way.(Hubs)
	if !is || r.Instances/r.Zones < maxRowsRead {
		return true
	}
	if r.Strong >= minStrongHubs {
		return rank < min(r.Strong, h.PerZone)
	}
	return rank < h.PerZone
}

// register writes the instance's row, and then reads the list.
func (r *run) register(i *node) {
	if !i.hub {
		r.readList(i, maxRowsRead)
		return
	}
	part := r.parts[0]
	if part == nil {
		part = &queue{}
		r.parts[0] = part
	}
	r.result.StoreCalls++
	if part.free-r.Now > maxPartQueue*partWriteTime {
		r.After(writeRetry/2+time.Duration(r.random.Int64N(int64(writeRetry))), func() { r.register(i) })
		return
	}
	done := part.add(r.Now, partWriteTime, 1)
	r.After(done-r.Now+storeDelay, func() {
		rows := r.Instances
		if h, is := r.way.(Hubs); is {
			rows = min(rows, r.Zones*max(h.PerZone, maxRowsRead))
			r.result.StoreCalls++
		}
		r.readList(i, rows)
	})
}

func (r *run) readList(i *node, rows int) {
	r.result.StoreCalls++
	r.fromStore(i, rows*listRowBytes, func() { i.listed = r.Now })
}

// fromStore sends bytes from the store to an instance.
func (r *run) fromStore(i *node, bytes int, then func()) {
	r.result.StoreMB += float64(bytes) / 1e6
	at := r.Now + storeDelay
	if i.zone%2 == 1 {
		at = r.region.add(at, transfer(bytes, r.RegionMbps), float64(bytes))
	}
	r.After(at-r.Now, func() { r.receive(i, bytes, 0, then) })
}

// receive delivers bytes over the instance's link, and then takes processor time.
func (r *run) receive(i *node, bytes int, work time.Duration, then func()) {
	at := i.link.add(r.Now, transfer(bytes, r.linkOf(i)), float64(bytes))
	r.After(at-r.Now, func() {
		done := i.cpu.add(r.Now, time.Duration(float64(work)/r.coresOf(i)), float64(work))
		r.After(done-r.Now, then)
	})
}

// readTargets reads the next page of the targets that have registered, and forwards it.
func (r *run) readTargets(reader *node, known int) {
	registered := int(min(1, float64(r.Now)/float64(registerTime)) * float64(r.Targets))
	rows := min(registered-known, rowsPerPage)
	if rows <= 0 {
		if known < r.Targets {
			r.After(batchDelay, func() { r.readTargets(reader, known) })
		}
		return
	}
	r.result.StoreCalls++
	r.fromStore(reader, rows*targetRowBytes, func() {
		known += rows
		r.forwardTargets(reader, known, rows)
		pause := batchDelay
		if c, is := r.way.(Copies); rows == rowsPerPage && (!is || !c.PausedPages) {
			pause = 0
		}
		r.After(pause, func() { r.readTargets(reader, known) })
	})
}

func (r *run) forwardTargets(reader *node, known, rows int) {
	work := datagramCPU
	if c, is := r.way.(Copies); is && c.CopiedView {
		work += time.Duration(known) * viewCopyCPU
	}
	reader.targets = r.Now
	datagrams := (rows + rowsPerDatagram - 1) / rowsPerDatagram
	for _, i := range r.byZone[reader.zone] {
		if i == reader || !i.hub {
			continue
		}
		sent := reader.link.add(r.Now, transfer(datagrams*datagramBytes, r.linkOf(reader)), float64(datagrams*datagramBytes))
		r.After(sent-r.Now, func() {
			r.receive(i, datagrams*datagramBytes, time.Duration(datagrams)*work, func() {
				i.targets = max(i.targets, r.Now)
			})
		})
	}
}

// readConfig reads the configuration, which the zone's other instances copy from the reader.
func (r *run) readConfig(reader *node) {
	r.result.StoreCalls++
	r.fromStore(reader, configBytes, func() {
		reader.config = max(reader.config, r.Now)
		for n, i := range r.byZone[reader.zone] {
			if i == reader || n%readers != r.indexOf(reader) {
				continue
			}
			sent := reader.link.add(r.Now, transfer(configBytes, r.linkOf(reader)), configBytes)
			r.After(sent-r.Now, func() {
				r.receive(i, configBytes, time.Millisecond, func() { i.config = r.Now })
			})
		}
	})
}

func (r *run) indexOf(reader *node) int {
	for n, i := range r.byZone[reader.zone] {
		if i == reader {
			return n
		}
	}
	return 0
}

func (r *run) linkOf(i *node) float64 {
	if i.strong {
		return r.StrongLinkMbps
	}
	return r.LinkMbps
}

func (r *run) coresOf(i *node) float64 {
	if i.strong {
		return r.StrongCores
	}
	return r.Cores
}

func transfer(bytes int, mbps float64) time.Duration {
	return time.Duration(float64(bytes) * 8 / mbps * float64(time.Microsecond))
}
