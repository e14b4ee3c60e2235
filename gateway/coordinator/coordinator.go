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
	// stepEvery is how often due orders are looked for.
	stepEvery = 40 * time.Millisecond
	// beatEvery is the time between two signs of life.
	beatEvery = 250 * time.Millisecond
	// silence is when a coordinator that was heard before counts as silent,
	// and its row is looked at.
	silence = 900 * time.Millisecond
	// firstLook is the longest wait after the start before the row is looked at,
	// of an instance with a whole processor; others wait as much longer as they
	// have less of one. Of a fleet that starts at once a few strong ones look,
	// and the others hear the one that leads.
	firstLook = 150 * time.Millisecond
	mostLook  = 1200 * time.Millisecond
	// lookEvery is the time between two looks at the row.
	lookEvery = 400 * time.Millisecond
	// lookShare is the mean time between two looks of the whole fleet while the
	// store does not answer: each call is paid, and one that is answered is
	// enough.
	lookShare = 100 * time.Millisecond
	// lookSeldom is the same while its holder is seen to renew it.
	lookSeldom = 1500 * time.Millisecond
	// spread is the random wait per member before trying to take over, so that
	// most see the first one's success instead of writing too. Instances with
	// less than the largest share of a processor wait weakDelay longer: the
	// coordinator sends all renewals, which can be more than a small one can do.
	spread    = 10 * time.Millisecond
	weakDelay = 250 * time.Millisecond
	// memberFor is how long an instance counts after its last report.
	memberFor = 2 * time.Second
	// doubtAfter is when a write without an answer makes holds long: early
	// enough that all targets get them within the lease that is left.
	doubtAfter = 800 * time.Millisecond
	// calmWithin is the duration of a write that shows the store to be well.
	calmWithin = 400 * time.Millisecond
	// eventRoom bounds what waits for the duty's goroutine.
	eventRoom = 1024
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
	// Leads is told how many instances report and whether the store answers, with each
	// sign of life and when that changes.
	Leads func(members int, answers bool)
	// Refresh begins the feeds of this instance's copies anew: others compare
	// theirs with them, and feeds may hang that the store took while it did
	// not answer.
	Refresh func()
	// Took is told of recorded changes, Missed of those too large to tell.
	Took   func(n *peers.News)
	Missed func()
	Holds  ownership.Holds
	Log    *slog.Logger
	// Joined tells whether other instances are known, as far as there are any.
	Joined func() bool
}

// Coordinator is the duty. Create it with New.
type Coordinator struct {
	Options

	events chan func()
	group  errgroup.Group

	// The rest belongs to the duty's goroutine.
	seen    seenLease
	heard   time.Time
	lookAt  time.Time
	looking bool
	// turn is the revision of the row for which this instance waits its turn.
	turn    uint64
	leading *leading
	// retired is set once the instance ends: it leads no more.
	retired bool
	members map[string]time.Time
}

// leading is the state of a term. Another term has another one, so answers to
// orders of a former term are known by it.
type leading struct {
	lease    Lease
	revision uint64
	// goodUntil is the end of the authority, by the boot-time clock.
	goodUntil atomic.Int64
	managers  map[string]*ownership.Manager
	// epochs are the term's, for all services.
	epochs *ownership.Epochs
	// recorded is what the store had when the term began; nil until read.
	recorded map[string]*ownership.Assignment
	// store is the store's clock when it was read, at storeAt.
	store   time.Duration
	storeAt time.Time
	reading bool
	writing bool
	wroteAt time.Time
	since   time.Time
	pending map[string]*ownership.Record
	beatAt  time.Time
	told    map[string]toldOf
	inDoubt bool
	// unanswered is set while a write takes longer than the store needs if it is well.
	unanswered bool
	resigning  bool
	cancel     context.CancelFunc
	ctx        context.Context
	// grants and suspects bound the grants under way.
	grants   *semaphore.Weighted
	suspects *semaphore.Weighted
}

// toldOf is what instances were told last of a service.
type toldOf struct {
	assignment *ownership.Assignment
	revision   uint64
}

// New returns a duty.
func New(o Options) *Coordinator {
	return &Coordinator{Options: o, events: make(chan func(), eventRoom), members: map[string]time.Time{}}
}

// Serve runs the duty until the context ends.
func (c *Coordinator) Serve(ctx context.Context) error {
	tick := time.NewTicker(stepEvery)
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

// firstLookAfter is the wait before the first look. Whoever knows a stronger
// instance lets it take over and be heard first.
func firstLookAfter(self peers.Instance, all []peers.Instance) time.Duration {
	longest := longestFirstLook(self.Cores)
	for _, i := range all {
		if i.Cores > self.Cores {
			return longest/2 + rand.N(longest/2)
		}
	}
	return rand.N(longest)
}

func longestFirstLook(cores float64) time.Duration {
	if cores <= 0 {
		return 2 * firstLook
	}
	return min(mostLook, time.Duration(float64(firstLook)/cores))
}

// post brings something to the duty's goroutine. Losing it could leave a call
// open for ever, so it waits; the duty never waits for its callers.
func (c *Coordinator) post(ctx context.Context, f func()) {
	select {
	case c.events <- f:
	case <-ctx.Done():
	}
}

// offer is like post for what may be lost.
func (c *Coordinator) offer(f func()) {
	select {
	case c.events <- f:
	default:
	}
}

// Hear takes in another instance's message.
func (c *Coordinator) Hear(m *peers.Message) {
	c.offer(func() {
		now := time.Now()
		c.members[m.From] = now
		if m.Beat != nil {
			c.hearBeat(now, m)
		}
		if m.Report != nil && c.leading != nil {
			c.takeLoads(now, m.Report)
		}
		if m.Hello != nil && c.leading != nil {
			// It need not look at the lease's row, which is a call.
			c.Peers.Send(m.From, c.signOfLife(c.leading))
		}
	})
}

func (c *Coordinator) hearBeat(now time.Time, m *peers.Message) {
	if m.Beat.Resigned {
		c.heard, c.lookAt = time.Time{}, now
		c.observe(m.Beat.Lease, Lease{Term: m.Beat.Term, Holder: m.From, Life: m.Life})
		return
	}
	if m.Beat.Term < c.seen.lease.Term {
		return
	}
	c.heard = now
	c.observe(m.Beat.Lease, Lease{Term: m.Beat.Term, Holder: m.From, Life: m.Life, LeaseMs: m.Beat.LeaseMs})
}

// observe notes a row of the lease.
func (c *Coordinator) observe(revision uint64, l Lease) {
	if c.seen.known && revision <= c.seen.revision && revision != 0 {
		return
	}
	c.seen = seenLease{revision: revision, lease: l, since: boottime(), known: true}
}

// TakeLoads takes in this instance's own loads.
func (c *Coordinator) TakeLoads(r *peers.Report) {
	c.offer(func() {
		if c.leading != nil {
			c.takeLoads(time.Now(), r)
		}
	})
}

func (c *Coordinator) takeLoads(now time.Time, r *peers.Report) {
	for _, l := range r.Loads {
		if k := c.leading.managers[l.Service]; k != nil {
			k.Load.Add(now, l.Key, float64(l.Ms)/1000)
		}
	}
	for _, s := range r.Speeds {
		if k := c.leading.managers[s.Service]; k != nil {
			k.Speed(s.Target, time.Duration(s.Ms)*time.Millisecond)
		}
	}
}

func (c *Coordinator) step(ctx context.Context) {
	if c.leading != nil {
		c.lead(ctx)
		return
	}
	if c.retired {
		return
	}
	now := time.Now()
	if c.lookAt.IsZero() && c.Joined() {
		c.lookAt = now.Add(firstLookAfter(c.Self, c.Peers.All()))
	}
	if c.lookAt.IsZero() || now.Sub(c.heard) < silence || c.looking || now.Before(c.lookAt) || !c.isDue(now) {
		return
	}
	c.look(ctx)
}

// isDue tells whether a look at the row is worth its call: what is known of it
// says that its holder's time has passed. Then each instance waits its turn, so
// that most hear the next coordinator before they look.
func (c *Coordinator) isDue(now time.Time) bool {
	if !c.seen.known {
		return true
	}
	if !c.seen.over(boottime(), c.Self.Name, c.Self.Life) {
		return false
	}
	if c.turn == c.seen.revision {
		return true
	}
	c.turn = c.seen.revision
	c.lookAt = now
	if c.seen.lease.Holder != c.Self.Name {
		c.lookAt = now.Add(takeOverDelay(c.Self, c.Peers.All()))
	}
	return !now.Before(c.lookAt)
}

// look reads the lease's row and takes over if its holder's time has passed.
func (c *Coordinator) look(ctx context.Context) {
	c.looking = true
	c.group.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		row, err := c.Store.Get(callCtx, LeaseTable, LeaseKey)
		c.post(ctx, func() { c.looked(ctx, row, err) })
		return nil
	})
}

func (c *Coordinator) looked(ctx context.Context, row platform.Row, err error) {
	c.looking = false
	c.lookAt = time.Now().Add(lookEvery/2 + rand.N(lookEvery))
	if err != nil {
		c.lookAt = time.Now().Add(lookEvery/2 + rand.N(max(lookEvery, 2*lookShare*time.Duration(c.Peers.Count()))))
		c.storeFailed("read lease", err)
		return
	}
	l := Lease{}
	if row.Revision != 0 {
		if l, err = ParseLease(row.Value); err != nil {
			c.storeFailed("parse lease", err)
			return
		}
	}
	if renewed := c.seen.known && row.Revision > c.seen.revision; renewed {
		// It is alive and does not reach us; perhaps it does not know us.
		c.lookAt = time.Now().Add(lookSeldom)
		c.Peers.Send(l.Holder, &peers.Message{Hello: &c.Self})
	}
	c.observe(row.Revision, l)
	if c.leading != nil || c.retired || !c.seen.over(boottime(), c.Self.Name, c.Self.Life) {
		return
	}
	c.acquire(ctx)
}

// takeOverDelay is the wait before an instance tries to take over. The wait is
// spread over those that are as strong as itself.
func takeOverDelay(self peers.Instance, all []peers.Instance) time.Duration {
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
	delay := rand.N(spread * time.Duration(alike))
	if weak {
		delay += weakDelay
	}
	return delay
}

// acquire writes the lease's row for the next term.
func (c *Coordinator) acquire(ctx context.Context) {
	c.looking = true
	sent := boottime()
	mine := Lease{Term: c.seen.lease.Term + 1, Holder: c.Self.Name, Life: c.Self.Life, LeaseMs: leaseFor.Milliseconds(), Seq: 1}
	on := c.seen.revision
	c.group.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, leaseFor)
		defer cancel()
		s := c.write(callCtx, &mine, on, nil)
		c.post(ctx, func() { c.acquired(ctx, mine, sent, s) })
		return nil
	})
}

func (c *Coordinator) acquired(ctx context.Context, mine Lease, sent time.Duration, s settled) {
	c.looking = false
	if !s.ok {
		if s.revision != 0 {
			c.observe(s.revision, s.present)
		}
		return
	}
	termCtx, cancel := context.WithCancel(ctx)
	c.observe(s.revision, mine)
	c.leading = newLeading(termCtx, cancel, mine, s.revision)
	c.leading.goodUntil.Store(int64(sent + leaseFor - orderMargin))
	c.Refresh()
	event.LeadGained.Log(c.Log, "term", mine.Term, "revision", s.revision)
	c.lead(ctx)
}

func newLeading(ctx context.Context, cancel context.CancelFunc, mine Lease, revision uint64) *leading {
	return &leading{
		lease: mine, revision: revision, wroteAt: time.Now(), since: time.Now(),
		told:   map[string]toldOf{},
		epochs: &ownership.Epochs{Term: mine.Term}, managers: map[string]*ownership.Manager{}, pending: map[string]*ownership.Record{},
		grants: semaphore.NewWeighted(grantsAtOnce), suspects: semaphore.NewWeighted(suspectsAtOnce),
		ctx: ctx, cancel: cancel,
	}
}

func (c *Coordinator) stepDown(why string) {
	if c.leading == nil {
		return
	}
	event.LeadLost.Log(c.Log, "term", c.leading.lease.Term, "reason", why)
	c.leading.cancel()
	c.leading = nil
	c.Channels.Close()
	c.heard = time.Time{}
}

func (c *Coordinator) storeFailed(call string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	event.StoreCallFailed.Log(c.Log, "call", call, "error", err)
}
