// Package coordinator elects the one instance that grants keys to targets. The
// coordinator holds a lease in the store, keeps the assignment of each sharded
// service, and sends grants and releases to targets. Every instance runs it; one leads.
package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/links"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/channel"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
)

const (
	// stepInterval is the time between two checks for due orders and calls.
	stepInterval      = 40 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout is the time after the last heartbeat at which a coordinator
	// counts as unresponsive, and the lease's row is read.
	heartbeatTimeout = 900 * time.Millisecond
	// baseFirstReadDelay is the longest delay between the start and the first read of
	// the row, for an instance with one whole processor. The delay is inversely
	// proportional to the share of a processor, at most maxFirstReadDelay. In a fleet
	// that starts at once, a few with many cores read the row, and the others receive
	// the heartbeat of the one that leads.
	baseFirstReadDelay = 150 * time.Millisecond
	maxFirstReadDelay  = 1200 * time.Millisecond
	// leaseReadInterval is the mean time between two reads of the row.
	leaseReadInterval = 400 * time.Millisecond
	// fleetReadInterval is the mean time between two reads by the whole fleet while the
	// store does not answer: each call is billed, and one that is answered is enough.
	fleetReadInterval = 100 * time.Millisecond
	// renewedReadInterval is the time to the next read after a read has shown that the
	// holder renews the row.
	renewedReadInterval = 1500 * time.Millisecond
	// takeoverSpread is the random takeover delay per instance with as many cores, so that
	// most see the first one succeed instead of writing too. Instances with fewer cores than
	// others wait fewerCoresTakeoverDelay longer: the coordinator sends all renewals, which
	// can be more than a small instance can do.
	takeoverSpread          = 10 * time.Millisecond
	fewerCoresTakeoverDelay = 250 * time.Millisecond
	// memberTimeout is how long an instance counts as a member after its last message.
	memberTimeout = 2 * time.Second
	// inDoubtAfter is the time without a response to a write after which longer holds
	// are granted: early enough for all targets to receive them within the rest of the
	// lease.
	inDoubtAfter = 800 * time.Millisecond
	// healthyWriteTime is the longest duration of a write to a healthy store.
	healthyWriteTime = 400 * time.Millisecond
	// eventQueueSize bounds the events that wait for the coordinator's goroutine.
	eventQueueSize = 1024
)

// Options are what a Coordinator needs; all must be set.
type Options struct {
	Self  peers.Instance
	Store *platform.Store
	// Channels are for grants, each of which is bound to one connection. ReleaseClient is
	// for releases, which any target at the address may receive; see NewReleaseClient.
	Channels      *channel.Set
	ReleaseClient *platform.GrantClient
	// Links tells this instance's own broken links from targets that are down.
	Links *links.Monitor
	// ReachesTargets reports whether this instance reaches targets of a service; it probes some if
	// none has answered of late.
	ReachesTargets func(ctx context.Context, service string) bool
	// Quarantine has the requests that end targets, and OnQuarantined receives those of the lease's
	// row.
	Quarantine    *quarantine.List
	OnQuarantined func(now time.Time, list []peers.Quarantined)
	// AskLinks reports whether another instance reaches the services' targets. One whose version
	// does not know the question counts as assumed.
	AskLinks func(ctx context.Context, other peers.Instance, services []string, assumed bool) bool
	Peers    *peers.Peers
	Roster   *roster.Roster
	// Table returns the routing table in force, or nil, and Placement the policy in force.
	Table     func() *routing.Table
	Placement func() *placement.Policy
	// Revisions returns the newest revisions of this instance's mirrors, by table.
	Revisions func() map[string]uint64
	// OnLeading is called while this instance leads, with each heartbeat and when storeAnswers
	// changes. It gets the number of instances that report, and whether the store answers.
	OnLeading func(members int, storeAnswers bool)
	// RestartFeeds restarts the feeds of this instance's mirrors: others compare theirs
	// with them, and feeds that the store accepted while it was unresponsive may hang.
	RestartFeeds func()
	// OnUpdate is called for each recorded change of an assignment, and OnOversizedUpdate
	// for each one that is too large to be sent in datagrams.
	OnUpdate          func(u *peers.AssignmentUpdate)
	OnOversizedUpdate func()
	Holds             ownership.Holds
	Log               *slog.Logger
	// Speeds is set if the targets' speeds are estimated and kept in the store. OnSpeeds then gets those
	// that this instance, as a scheduler, receives.
	Speeds   bool
	OnSpeeds func(known []peers.TargetSpeed)
	// Joined reports whether this instance has tried to load the list of other instances.
	Joined func() bool
}

// Coordinator takes part in the election and, while it leads, manages the owners of keys.
// Create it with New.
type Coordinator struct {
	Options

	events chan func()
	group  errgroup.Group

	// The fields below are used by the goroutine of Serve alone.
	observed        observedLease
	lastHeartbeat   time.Time
	nextLeaseRead   time.Time
	leaseCallActive bool
	// takeoverRevision is the revision of the row for which the takeover delay was set.
	takeoverRevision uint64
	// probedRevision is the revision of the row before whose takeover the links to targets were
	// probed, and probing is set meanwhile.
	probedRevision uint64
	probing        bool
	leadership     *leadership
	// stopping is set once the instance shuts down: it does not take over any more.
	stopping bool
	// members holds the instances that send messages.
	members map[string]member
	speeds  speedState
}

// member is an instance that sends messages.
type member struct {
	// received is when the last one was received.
	received time.Time
	// thin is the number of thin instances that report to it.
	thin int
}

func (c *Coordinator) recordMember(now time.Time, m *peers.Message) {
	known := c.members[m.From]
	known.received = now
	if m.Report != nil {
		known.thin = m.Report.Members
	}
	c.members[m.From] = known
}

// leadership is the state of one term. Each term has its own, so that responses to orders
// of an earlier term can be recognized.
type leadership struct {
	lease    Lease
	revision uint64
	// authorityEnd is when the authority to send orders ends, by the boot-time clock.
	authorityEnd atomic.Int64
	managers     map[string]*ownership.Manager
	// epochs issues the epochs of the term, for all services.
	epochs *ownership.Epochs
	// recorded holds the assignments in the store when the term began; nil until read.
	recorded map[string]*ownership.Assignment
	// rows are the assignments' rows in the store.
	rows ownership.Rows
	// storeClock is the store's clock in the response that arrived at storeClockAt.
	storeClock   time.Duration
	storeClockAt time.Time
	reading      bool
	writing      bool
	writeStarted time.Time
	started      time.Time
	// pending holds the assignments that the next write records, by service.
	pending       map[string]*ownership.Record
	nextHeartbeat time.Time
	announced     map[string]announcement
	inDoubt       bool
	// writeOverdue is set while a write takes longer than healthyWriteTime.
	writeOverdue bool
	resigning    bool
	links        linkState
	// handover is the state of the search for an instance with more cores.
	handover handoverState
	cancel   context.CancelFunc
	ctx      context.Context
	// placed are the targets of each service that may own keys.
	placed map[string]*placedService
	// grantLimit and suspectLimit bound the grants in flight.
	grantLimit   *semaphore.Weighted
	suspectLimit *semaphore.Weighted
}

// announcement is the last assignment of a service that was sent to the instances.
type announcement struct {
	assignment *ownership.Assignment
	revision   uint64
}

// New returns a Coordinator that does not lead.
func New(o Options) *Coordinator {
	return &Coordinator{Options: o, events: make(chan func(), eventQueueSize), members: map[string]member{}}
}

// Serve runs the coordinator until the context ends, and returns the context's error.
func (c *Coordinator) Serve(ctx context.Context) error {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.stepDown("stopped")
			return ctx.Err()
		case <-tick.C:
			c.step(ctx)
		case f := <-c.events:
			f()
		}
	}
}

// firstReadDelay returns the random delay before the first read of the lease. An instance
// that lists one with more cores waits long enough for that one to take over and send a
// heartbeat.
func firstReadDelay(self peers.Instance, all []peers.Instance) time.Duration {
	longest := FirstReadDelayLimit(self.Cores)
	for _, i := range all {
		if i.Cores > self.Cores {
			return longest/2 + rand.N(longest/2)
		}
	}
	return rand.N(longest)
}

// FirstReadDelayLimit is the longest delay before an instance's first calls that all make when a
// fleet starts. It is inversely proportional to the cores.
func FirstReadDelayLimit(cores float64) time.Duration {
	if cores <= 0 {
		return 2 * baseFirstReadDelay
	}
	return min(maxFirstReadDelay, time.Duration(float64(baseFirstReadDelay)/cores))
}

// enqueue passes a function to the goroutine of Serve. Dropping it could leave a call
// pending forever, so enqueue blocks while the queue is full; Serve itself never waits
// for the callers.
func (c *Coordinator) enqueue(ctx context.Context, f func()) {
	select {
	case c.events <- f:
	case <-ctx.Done():
	}
}

// tryEnqueue is like enqueue, but drops the function if the queue is full.
func (c *Coordinator) tryEnqueue(f func()) {
	select {
	case c.events <- f:
	default:
	}
}

// Receive processes another instance's message. It does not block.
func (c *Coordinator) Receive(m *peers.Message) {
	c.tryEnqueue(func() {
		now := time.Now()
		c.recordMember(now, m)
		c.recordHeard(now, m.From)
		if m.Heartbeat != nil {
			c.receiveHeartbeat(now, m)
		}
		if m.Report != nil && c.leadership != nil {
			c.applyReport(now, m.From, m.Report)
		}
		if m.Hello != nil && c.leadership != nil {
			// This saves the new instance a read of the lease, which is a store call.
			c.Peers.Send(m.Hello.Name, c.heartbeat(c.leadership))
			c.tellSpeeds(*m.Hello)
		}
	})
}

// recordHeard records in all managers that the instance's zone has sent a message.
func (c *Coordinator) recordHeard(now time.Time, instance string) {
	if c.leadership == nil {
		return
	}
	zone := c.Peers.Find(instance).Zone
	for _, manager := range c.leadership.managers {
		manager.RecordHeard(now, zone)
	}
}

func (c *Coordinator) receiveHeartbeat(now time.Time, m *peers.Message) {
	if m.Heartbeat.Resigned {
		c.lastHeartbeat, c.nextLeaseRead = time.Time{}, now
		c.observe(m.Heartbeat.LeaseRevision, Lease{Term: m.Heartbeat.Term, Holder: m.From, Incarnation: m.Incarnation})
		return
	}
	if m.Heartbeat.Term < c.observed.lease.Term {
		return
	}
	c.lastHeartbeat = now
	c.observe(m.Heartbeat.LeaseRevision, Lease{Term: m.Heartbeat.Term, Holder: m.From, Incarnation: m.Incarnation, LeaseMs: m.Heartbeat.LeaseMs})
}

// observe stores a state of the lease's row, unless it is not newer than the stored one.
// Revision 0, which means that there is no row, is always stored.
func (c *Coordinator) observe(revision uint64, l Lease) {
	if c.observed.known && revision <= c.observed.revision && revision != 0 {
		return
	}
	c.observed = observedLease{revision: revision, lease: l, firstSeen: boottime(), known: true}
}

// ApplyReport applies this instance's own report, if it leads. It does not block.
func (c *Coordinator) ApplyReport(r *peers.Report) {
	c.tryEnqueue(func() {
		if c.leadership != nil {
			c.applyReport(time.Now(), c.Self.Name, r)
		}
	})
}

func (c *Coordinator) applyReport(now time.Time, from string, r *peers.Report) {
	c.recordSpeeds(now, from, r.Speeds)
	for _, load := range r.Loads {
		if manager := c.leadership.managers[load.Service]; manager != nil {
			manager.Load.Add(now, load.Key, float64(load.Ms)/1000)
		}
	}
	for _, latency := range r.Latencies {
		if manager := c.leadership.managers[latency.Service]; manager != nil {
			manager.SetLatency(latency.Target, time.Duration(latency.Ms)*time.Millisecond)
		}
	}
}

func (c *Coordinator) step(ctx context.Context) {
	if c.leadership != nil {
		c.lead(ctx)
		return
	}
	if c.stopping {
		return
	}
	now := time.Now()
	if !c.Joined() {
		return
	}
	if c.nextLeaseRead.IsZero() {
		c.nextLeaseRead = now.Add(firstReadDelay(c.Self, c.Peers.All()))
	}
	if c.nextLeaseRead.IsZero() || now.Sub(c.lastHeartbeat) < heartbeatTimeout || c.leaseCallActive || c.probing || now.Before(c.nextLeaseRead) {
		return
	}
	if !c.leaseReadDue(now) {
		c.probeBeforeTakeover(ctx)
		return
	}
	c.readLease(ctx)
}

// leaseReadDue reports whether the lease should be read: no row was observed yet, or the
// observed row says that it has ended, so that the store call is worth its price. In the
// latter case each instance first waits for its takeover delay, so that most receive the
// next coordinator's heartbeat before they read.
func (c *Coordinator) leaseReadDue(now time.Time) bool {
	if !c.observed.known {
		return true
	}
	if !c.observed.hasEnded(boottime(), c.Self.Name, c.Self.Incarnation) {
		return false
	}
	if c.takeoverRevision == c.observed.revision {
		return true
	}
	c.takeoverRevision = c.observed.revision
	c.nextLeaseRead = now
	if c.observed.lease.Holder != c.Self.Name {
		c.nextLeaseRead = now.Add(takeoverDelay(c.Self, c.Peers.All()))
	}
	return !now.Before(c.nextLeaseRead)
}

// readLease reads the lease's row, and acquires the lease if it has ended.
func (c *Coordinator) readLease(ctx context.Context) {
	c.leaseCallActive = true
	c.group.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		row, err := c.Store.Get(callCtx, LeaseTable, LeaseKey)
		c.enqueue(ctx, func() { c.onLeaseRead(ctx, row, err) })
		return nil
	})
}

func (c *Coordinator) onLeaseRead(ctx context.Context, row platform.Row, err error) {
	c.leaseCallActive = false
	c.nextLeaseRead = time.Now().Add(leaseReadInterval/2 + rand.N(leaseReadInterval))
	if err != nil {
		c.nextLeaseRead = time.Now().Add(leaseReadInterval/2 + rand.N(max(leaseReadInterval, 2*fleetReadInterval*time.Duration(c.Peers.Count()))))
		c.logStoreFailure("read lease", err)
		return
	}
	l := Lease{}
	if row.Revision != 0 {
		if l, err = ParseLease(row.Value); err != nil {
			c.logStoreFailure("parse lease", err)
			return
		}
		if list, err := ParseQuarantined(row.Value); err != nil {
			c.logStoreFailure("parse lease", err)
		} else {
			c.OnQuarantined(time.Now(), list)
		}
	}
	if renewed := c.observed.known && row.Revision > c.observed.revision; renewed {
		// The holder is running, but its heartbeats do not arrive; it may not have this
		// instance in its list.
		c.nextLeaseRead = time.Now().Add(renewedReadInterval)
		c.Peers.Send(l.Holder, &peers.Message{Hello: &c.Self})
	}
	c.observe(row.Revision, l)
	if c.leadership != nil || c.stopping || !c.observed.hasEnded(boottime(), c.Self.Name, c.Self.Incarnation) {
		return
	}
	c.acquireLease(ctx)
}

// takeoverDelay returns the random delay before an instance tries to take over. Its range
// grows with the number of instances with as many cores.
func takeoverDelay(self peers.Instance, all []peers.Instance) time.Duration {
	equal, hasFewer := 1, false
	for _, i := range all {
		if i.Name == self.Name {
			continue
		}
		hasFewer = hasFewer || i.Cores > self.Cores
		if i.Cores == self.Cores {
			equal++
		}
	}
	delay := rand.N(takeoverSpread * time.Duration(equal))
	if hasFewer {
		delay += fewerCoresTakeoverDelay
	}
	return delay
}

func newLeadership(ctx context.Context, cancel context.CancelFunc, lease Lease, revision uint64, cores float64) *leadership {
	return &leadership{
		lease: lease, revision: revision, writeStarted: time.Now(), started: time.Now(),
		announced: map[string]announcement{},
		epochs:    &ownership.Epochs{Term: lease.Term}, managers: map[string]*ownership.Manager{}, placed: map[string]*placedService{}, pending: map[string]*ownership.Record{},
		grantLimit: semaphore.NewWeighted(concurrentGrants(cores)), suspectLimit: semaphore.NewWeighted(maxConcurrentSuspects),
		ctx: ctx, cancel: cancel,
	}
}

func (c *Coordinator) stepDown(reason string) {
	if c.leadership == nil {
		return
	}
	event.LeadLost.Log(c.Log, "term", c.leadership.lease.Term, "reason", reason)
	c.leadership.cancel()
	c.leadership = nil
	c.speeds.end(time.Now())
	c.Channels.Close()
	c.lastHeartbeat = time.Time{}
}

// logStoreFailure logs a failed store call, unless it was canceled.
func (c *Coordinator) logStoreFailure(call string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	event.StoreCallFailed.Log(c.Log, "call", call, "error", err)
}
