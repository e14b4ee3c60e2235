// Package coordinator is the duty of the one instance that grants keys. It
// holds a lease in the store, keeps each sharded service's holders, and sends
// grants and releases to targets. Every instance runs it; one leads.
package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/channel"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
)

const (
	// stepInterval is how often due orders are looked for.
	stepInterval = 40 * time.Millisecond
	// heartbeatInterval is the time between two signs of life.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout is when a coordinator that was heard before counts as silent,
	// and its row is looked at.
	heartbeatTimeout = 900 * time.Millisecond
	// baseFirstReadDelay is the longest wait after the start before the row is looked at,
	// of an instance with a whole processor; others wait as much longer as they
	// have less of one. Of a fleet that starts at once a few strong ones look,
	// and the others hear the one that leads.
	baseFirstReadDelay = 150 * time.Millisecond
	maxFirstReadDelay  = 1200 * time.Millisecond
	// leaseReadInterval is the time between two looks at the row.
	leaseReadInterval = 400 * time.Millisecond
	// fleetReadInterval is the mean time between two looks of the whole fleet while the
	// store does not answer: each call is paid, and one that is answered is
	// enough.
	fleetReadInterval = 100 * time.Millisecond
	// renewedReadInterval is the same while its holder is seen to renew it.
	renewedReadInterval = 1500 * time.Millisecond
	// takeoverSpread is the random wait per member before trying to take over, so that
	// most see the first one's success instead of writing too. Instances with
	// less than the largest share of a processor wait weakDelay longer: the
	// coordinator sends all renewals, which can be more than a small one can do.
	takeoverSpread    = 10 * time.Millisecond
	weakTakeoverDelay = 250 * time.Millisecond
	// memberTimeout is how long an instance counts after its last report.
	memberTimeout = 2 * time.Second
	// inDoubtAfter is when a write without an answer makes holds long: early
	// enough that all targets get them within the lease that is left.
	inDoubtAfter = 800 * time.Millisecond
	// healthyWriteTime is the duration of a write that shows the store to be well.
	healthyWriteTime = 400 * time.Millisecond
	// eventQueueSize bounds what waits for the duty's goroutine.
	eventQueueSize = 1024
)

// Options are what a Coordinator needs; all must be set.
type Options struct {
	Self  peers.Instance
	Store *platform.Store
	// Channels are for grants, each of which belongs to one connection, and
	// Releases for what may go to whoever lives at the address.
	Channels *channel.Set
	Releases *platform.GrantClient
	Peers    *peers.Peers
	Roster   *roster.Roster
	// Table returns the routes in force, or nil.
	Table func() *routing.Table
	// Revisions returns how far this instance's copies go.
	Revisions func() map[string]uint64
	// OnLeading is told how many instances report and whether the store answers, with each
	// sign of life and when that changes.
	OnLeading func(members int, answers bool)
	// RestartFeeds begins the feeds of this instance's copies anew: others compare
	// theirs with them, and feeds may hang that the store took while it did
	// not answer.
	RestartFeeds func()
	// OnUpdate is told of recorded changes, Missed of those too large to tell.
	OnUpdate          func(n *peers.AssignmentUpdate)
	OnOversizedUpdate func()
	Holds             ownership.Holds
	Log               *slog.Logger
	// Joined tells whether other instances are known, as far as there are any.
	Joined func() bool
}

// Coordinator is the duty. Create it with New.
type Coordinator struct {
	Options

	events chan func()
	group  errgroup.Group

	// The rest belongs to the duty's goroutine.
	observed        observedLease
	lastHeartbeat   time.Time
	nextLeaseRead   time.Time
	leaseCallActive bool
	// takeoverRevision is the revision of the row for which this instance waits its turn.
	takeoverRevision uint64
	leadership       *leadership
	// stopping is set once the instance ends: it leads no more.
	stopping bool
	members  map[string]time.Time
}

// leadership is the state of a term. Another term has another one, so answers to
// orders of a former term are known by it.
type leadership struct {
	lease    Lease
	revision uint64
	// authorityEnd is the end of the authority, by the boot-time clock.
	authorityEnd atomic.Int64
	managers     map[string]*ownership.Manager
	// epochs are the term's, for all services.
	epochs *ownership.Epochs
	// recorded is what the store had when the term began; nil until read.
	recorded map[string]*ownership.Assignment
	// storeClock is the store's clock when it was read, at storeAt.
	storeClock    time.Duration
	storeClockAt  time.Time
	reading       bool
	writing       bool
	writeStarted  time.Time
	started       time.Time
	pending       map[string]*ownership.Record
	nextHeartbeat time.Time
	announced     map[string]announcement
	inDoubt       bool
	// writeOverdue is set while a write takes longer than the store needs if it is well.
	writeOverdue bool
	resigning    bool
	cancel       context.CancelFunc
	ctx          context.Context
	// grantLimit and suspects bound the grants under way.
	grantLimit   *semaphore.Weighted
	suspectLimit *semaphore.Weighted
}

// announcement is what instances were told last of a service.
type announcement struct {
	assignment *ownership.Assignment
	revision   uint64
}

// New returns a duty.
func New(o Options) *Coordinator {
	return &Coordinator{Options: o, events: make(chan func(), eventQueueSize), members: map[string]time.Time{}}
}

// Serve runs the duty until the context ends.
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

// firstReadDelay is the wait before the first look. Whoever knows a stronger
// instance lets it take over and be heard first.
func firstReadDelay(self peers.Instance, all []peers.Instance) time.Duration {
	longest := firstReadDelayLimit(self.Cores)
	for _, i := range all {
		if i.Cores > self.Cores {
			return longest/2 + rand.N(longest/2)
		}
	}
	return rand.N(longest)
}

func firstReadDelayLimit(cores float64) time.Duration {
	if cores <= 0 {
		return 2 * baseFirstReadDelay
	}
	return min(maxFirstReadDelay, time.Duration(float64(baseFirstReadDelay)/cores))
}

// enqueue brings something to the duty's goroutine. Losing it could leave a call
// open for ever, so it waits; the duty never waits for its callers.
func (c *Coordinator) enqueue(ctx context.Context, f func()) {
	select {
	case c.events <- f:
	case <-ctx.Done():
	}
}

// tryEnqueue is like post for what may be lost.
func (c *Coordinator) tryEnqueue(f func()) {
	select {
	case c.events <- f:
	default:
	}
}

// Receive takes in another instance's message.
func (c *Coordinator) Receive(m *peers.Message) {
	c.tryEnqueue(func() {
		now := time.Now()
		c.members[m.From] = now
		if m.Heartbeat != nil {
			c.receiveHeartbeat(now, m)
		}
		if m.Report != nil && c.leadership != nil {
			c.applyReport(now, m.Report)
		}
		if m.Hello != nil && c.leadership != nil {
			// It need not look at the lease's row, which is a call.
			c.Peers.Send(m.From, c.heartbeat(c.leadership))
		}
	})
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

// observe notes a row of the lease.
func (c *Coordinator) observe(revision uint64, l Lease) {
	if c.observed.known && revision <= c.observed.revision && revision != 0 {
		return
	}
	c.observed = observedLease{revision: revision, lease: l, firstSeen: boottime(), known: true}
}

// ApplyReport takes in this instance's own loads.
func (c *Coordinator) ApplyReport(r *peers.Report) {
	c.tryEnqueue(func() {
		if c.leadership != nil {
			c.applyReport(time.Now(), r)
		}
	})
}

func (c *Coordinator) applyReport(now time.Time, r *peers.Report) {
	for _, l := range r.Loads {
		if k := c.leadership.managers[l.Service]; k != nil {
			k.Load.Add(now, l.Key, float64(l.Ms)/1000)
		}
	}
	for _, s := range r.Latencies {
		if k := c.leadership.managers[s.Service]; k != nil {
			k.SetLatency(s.Target, time.Duration(s.Ms)*time.Millisecond)
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
	if c.nextLeaseRead.IsZero() && c.Joined() {
		c.nextLeaseRead = now.Add(firstReadDelay(c.Self, c.Peers.All()))
	}
	if c.nextLeaseRead.IsZero() || now.Sub(c.lastHeartbeat) < heartbeatTimeout || c.leaseCallActive || now.Before(c.nextLeaseRead) || !c.leaseReadDue(now) {
		return
	}
	c.readLease(ctx)
}

// leaseReadDue tells whether a look at the row is worth its call: what is known of it
// says that its holder's time has passed. Then each instance waits its turn, so
// that most hear the next coordinator before they look.
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

// readLease reads the lease's row and takes over if its holder's time has passed.
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
	}
	if renewed := c.observed.known && row.Revision > c.observed.revision; renewed {
		// It is alive and does not reach us; perhaps it does not know us.
		c.nextLeaseRead = time.Now().Add(renewedReadInterval)
		c.Peers.Send(l.Holder, &peers.Message{Hello: &c.Self})
	}
	c.observe(row.Revision, l)
	if c.leadership != nil || c.stopping || !c.observed.hasEnded(boottime(), c.Self.Name, c.Self.Incarnation) {
		return
	}
	c.acquireLease(ctx)
}

// takeoverDelay is the wait before an instance tries to take over. The wait is
// spread over those that are as strong as itself.
func takeoverDelay(self peers.Instance, all []peers.Instance) time.Duration {
	alike, weak := 1, false
	for _, i := range all {
		if i.Name == self.Name {
			continue
		}
		weak = weak || i.Cores > self.Cores
		if i.Cores == self.Cores {
			alike++
		}
	}
	delay := rand.N(takeoverSpread * time.Duration(alike))
	if weak {
		delay += weakTakeoverDelay
	}
	return delay
}

// acquireLease writes the lease's row for the next term.
func (c *Coordinator) acquireLease(ctx context.Context) {
	c.leaseCallActive = true
	sent := boottime()
	mine := Lease{Term: c.observed.lease.Term + 1, Holder: c.Self.Name, Incarnation: c.Self.Incarnation, LeaseMs: leaseDuration.Milliseconds(), Seq: 1}
	on := c.observed.revision
	c.group.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, leaseDuration)
		defer cancel()
		s := c.writeLease(callCtx, &mine, on, nil)
		c.enqueue(ctx, func() { c.onLeaseAcquired(ctx, mine, sent, s) })
		return nil
	})
}

func (c *Coordinator) onLeaseAcquired(ctx context.Context, mine Lease, sent time.Duration, s writeResult) {
	c.leaseCallActive = false
	if !s.ok {
		if s.revision != 0 {
			c.observe(s.revision, s.current)
		}
		return
	}
	termCtx, cancel := context.WithCancel(ctx)
	c.observe(s.revision, mine)
	c.leadership = newLeadership(termCtx, cancel, mine, s.revision)
	c.leadership.authorityEnd.Store(int64(sent + leaseDuration - orderMargin))
	c.RestartFeeds()
	event.LeadGained.Log(c.Log, "term", mine.Term, "revision", s.revision)
	c.lead(ctx)
}

func newLeadership(ctx context.Context, cancel context.CancelFunc, mine Lease, revision uint64) *leadership {
	return &leadership{
		lease: mine, revision: revision, writeStarted: time.Now(), started: time.Now(),
		announced: map[string]announcement{},
		epochs:    &ownership.Epochs{Term: mine.Term}, managers: map[string]*ownership.Manager{}, pending: map[string]*ownership.Record{},
		grantLimit: semaphore.NewWeighted(maxConcurrentGrants), suspectLimit: semaphore.NewWeighted(maxConcurrentSuspects),
		ctx: ctx, cancel: cancel,
	}
}

func (c *Coordinator) stepDown(why string) {
	if c.leadership == nil {
		return
	}
	event.LeadLost.Log(c.Log, "term", c.leadership.lease.Term, "reason", why)
	c.leadership.cancel()
	c.leadership = nil
	c.Channels.Close()
	c.lastHeartbeat = time.Time{}
}

func (c *Coordinator) logStoreFailure(call string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	event.StoreCallFailed.Log(c.Log, "call", call, "error", err)
}
