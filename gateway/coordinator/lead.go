package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/speed"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
)

// ParseLease decodes the value of the lease's row.
func ParseLease(text []byte) (Lease, error) {
	l := Lease{}
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("parse lease: %w", err)
	}
	return l, nil
}

// lead does the work of a term that is due: heartbeats, orders, and renewals of the lease.
func (c *Coordinator) lead(ctx context.Context) {
	l := c.leadership
	if boottime() >= time.Duration(l.authorityEnd.Load()) {
		c.stepDown("lease expired")
		return
	}
	if l.epochs.UsedUp() {
		c.stepDown("epochs used up")
		return
	}
	now := time.Now()
	if overdue := l.writing && now.Sub(l.writeStarted) > healthyWriteTime; overdue != l.writeOverdue {
		l.writeOverdue = overdue
		c.OnLeading(c.countMembers(now), !overdue)
	}
	c.sendHeartbeat(now)
	if l.resigning {
		return
	}
	c.stepSpeeds(ctx, now)
	if l.recorded == nil {
		c.readAssignments(ctx)
	} else {
		c.checkLinks(ctx, now)
		c.stepManagers(now) //nolint:contextcheck // orders use the context of the term, which cancels them
	}
	c.checkInDoubt(now)
	if c.shouldResignUnlinked() || c.shouldHandOver(ctx, now) || l.epochs.NearlyUsedUp() && !l.writing {
		l.resigning = true
		c.group.Go(func() error {
			c.releaseLease(ctx, l)
			return nil
		})
		return
	}
	interval := renewInterval
	if len(l.pending) > 0 {
		interval = recordInterval
	}
	if !l.writing && now.Sub(l.writeStarted) >= interval {
		c.renewLease(ctx, now)
	}
}

const (
	// handoverAfter is how long a term lasts before it is handed over to an instance with
	// more cores: by then all instances that started at the same time have reported.
	handoverAfter = 1500 * time.Millisecond
	// handoverCoresRatio is the ratio of processor shares above which a handover is worth
	// its cost: all keys are granted again after it.
	handoverCoresRatio = 1.5
)

// handoverState is the state of the search for an instance with more cores.
type handoverState struct {
	asking  bool
	nextAsk time.Time
	// linked is set once an instance with more cores has answered that it reaches the targets.
	linked bool
}

// shouldHandOver reports whether an instance with more cores is available to take over:
// when a fleet starts, the list of instances is incomplete. A small instance that kept the
// lease would lose it as soon as many keys move: its lease writes would be delayed by the
// grants that it renews.
func (c *Coordinator) shouldHandOver(ctx context.Context, now time.Time) bool {
	l := c.leadership
	if l.recorded == nil || l.inDoubt || l.writing || len(l.pending) > 0 || now.Sub(l.started) < handoverAfter {
		return false
	}
	for _, manager := range l.managers {
		if !manager.Settled(now) {
			return false
		}
	}
	for name, known := range c.members {
		other := c.Peers.Find(name)
		if now.Sub(known.received) < memberTimeout && other.Cores > handoverCoresRatio*c.Self.Cores {
			return c.isLinked(ctx, now, other)
		}
	}
	return false
}

// isLinked reports whether an instance with more cores has answered that it reaches the targets
// of all sharded services. If not, it is asked.
func (c *Coordinator) isLinked(ctx context.Context, now time.Time, other peers.Instance) bool {
	h := &c.leadership.handover
	if h.asking || now.Before(h.nextAsk) {
		return h.linked
	}
	h.asking, h.linked, h.nextAsk = true, false, now.Add(linksAskInterval)
	services := slices.Collect(maps.Keys(c.leadership.managers))
	c.group.Go(func() error {
		linked := c.AskLinks(ctx, other, services, true)
		c.enqueue(ctx, func() { h.asking, h.linked = false, linked })
		return nil
	})
	return false
}

func (c *Coordinator) sendHeartbeat(now time.Time) {
	l := c.leadership
	if now.Before(l.nextHeartbeat) {
		return
	}
	l.nextHeartbeat = now.Add(heartbeatInterval)
	c.OnLeading(c.countMembers(now), !l.writeOverdue)
	c.Peers.BroadcastToHubs(c.heartbeat(l))
}

func (c *Coordinator) heartbeat(l *leadership) *peers.Message {
	return &peers.Message{Revisions: c.Revisions(), Heartbeat: &peers.Heartbeat{
		Term: l.lease.Term, LeaseRevision: l.revision, LeaseMs: l.lease.LeaseMs, Members: c.countMembers(time.Now()), InDoubt: l.inDoubt,
		Quarantined: peers.EncodeQuarantined(time.Now(), c.Quarantine.Entries(time.Now())),
	}}
}

// countMembers returns the number of instances that report, this one included, and
// removes those past memberTimeout.
func (c *Coordinator) countMembers(now time.Time) int {
	n := 1
	for name, known := range c.members {
		if now.Sub(known.received) > memberTimeout {
			delete(c.members, name)
			continue
		}
		n += 1 + known.thin
	}
	return n
}

// readAssignments reads the assignments that earlier coordinators recorded. They are read
// after the lease was written, so no earlier coordinator can change them any more.
func (c *Coordinator) readAssignments(ctx context.Context) {
	l := c.leadership
	if l.reading {
		return
	}
	l.reading = true
	c.group.Go(func() error {
		loaded, err := c.loadAssignments(l.ctx) //nolint:contextcheck // as above
		c.enqueue(ctx, func() {
			l.reading = false
			if err != nil {
				c.logStoreFailure("read assignments", err)
				return
			}
			l.recorded, l.rows, l.storeClock, l.storeClockAt = loaded.recorded, loaded.rows, loaded.clock, time.Now()
			// The other instances have these rows: updates can be sent as differences to them.
			l.announced = loaded.announced
		})
		return nil
	})
}

// storeTime returns a lower bound of the store's clock: its value in the response, plus the
// time since the response arrived.
func (l *leadership) storeTime(now time.Time) time.Duration {
	return l.storeClock + now.Sub(l.storeClockAt)
}

// loadedAssignments are the recorded assignments, the same with their revisions, both by
// service, their rows, and the store's clock.
type loadedAssignments struct {
	recorded  map[string]*ownership.Assignment
	announced map[string]announcement
	rows      ownership.Rows
	clock     time.Duration
}

func (c *Coordinator) loadAssignments(ctx context.Context) (*loadedAssignments, error) {
	after := ""
	rows, revisions := ownership.Rows{}, map[string]uint64{}
	for {
		response, err := c.Store.Range(ctx, attemptTimeout, AssignmentTable, "", after)
		if err != nil {
			return nil, err
		}
		for _, r := range response.Rows {
			rows[r.Key], revisions[r.Key] = r.Value, r.Revision
			after = r.Key
		}
		if response.More {
			continue
		}
		recorded, err := rows.Assemble()
		if err != nil {
			return nil, err
		}
		loaded := &loadedAssignments{recorded: recorded, rows: rows, announced: map[string]announcement{}, clock: time.Duration(response.Now)}
		for service, a := range recorded {
			loaded.announced[service] = announcement{a, revisions[service]}
		}
		return loaded, nil
	}
}

// stepManagers runs the manager of each sharded service and executes its orders.
func (c *Coordinator) stepManagers(now time.Time) {
	table := c.Table()
	if table == nil {
		return
	}
	l := c.leadership
	view := c.Roster.Load()
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if !s.Sharded {
			continue
		}
		manager := l.managers[s.Name]
		if manager == nil {
			manager = &ownership.Manager{
				Service: s.Name, Term: l.lease.Term, Epochs: l.epochs, Holds: c.Holds,
				Jitter: rand.N[time.Duration], OnInherit: c.inheritedLogger(s.Name),
			}
			manager.BeginTerm(now, l.recorded[s.Name], c.Holds.Long+orderTimeout, l.storeTime(now))
			manager.SetStoreInDoubt(now, l.inDoubt)
			l.managers[s.Name] = manager
		}
		c.detectReplacedOwners(manager, table, view)
		for _, o := range manager.Step(now, l.targetsOf(s.Name, view, c.Placement(), table)) {
			c.execute(manager, o)
		}
	}
}

// checkInDoubt makes the managers grant longer holds once a write has been without a
// response for inDoubtAfter.
func (c *Coordinator) checkInDoubt(now time.Time) {
	l := c.leadership
	if !l.writing || l.inDoubt || now.Sub(l.writeStarted) < inDoubtAfter {
		return
	}
	l.inDoubt = true
	// Send a heartbeat at once: the other instances must no longer rely on this one's
	// connection to the store.
	l.nextHeartbeat = time.Time{}
	event.StoreInDoubt.Log(c.Log, "term", l.lease.Term, "waitedMs", now.Sub(l.writeStarted).Milliseconds())
	for _, manager := range l.managers {
		manager.SetStoreInDoubt(now, true)
	}
}

// renewLease writes the lease, together with the assignments to be recorded.
func (c *Coordinator) renewLease(ctx context.Context, now time.Time) {
	l := c.leadership
	next := l.lease
	next.Seq++
	records := l.pending
	l.pending = map[string]*ownership.Record{}
	rows := l.rows
	for _, r := range records {
		rows = rows.With(r.Assignment)
	}
	set, removed := l.rows.Change(rows)
	tx := platform.Transaction{}
	for key, text := range set {
		tx.Set = append(tx.Set, platform.Write{Table: AssignmentTable, Key: key, Value: text})
	}
	for _, key := range removed {
		tx.Remove = append(tx.Remove, platform.RowName{Table: AssignmentTable, Key: key})
	}
	speeds, kept := c.speedRows(now)
	tx.Set = append(tx.Set, speeds...)
	l.writing, l.writeStarted = true, now
	sent := boottime()
	expected := l.revision
	c.group.Go(func() error {
		result := c.writeLease(l.ctx, &next, expected, tx) //nolint:contextcheck // as above
		c.enqueue(ctx, func() { c.onLeaseRenewed(l, next, sent, result, records, rows, kept) })
		return nil
	})
}

// onLeaseRenewed applies the result of a write. sent is the boot time at which the write
// was started.
func (c *Coordinator) onLeaseRenewed(l *leadership, next Lease, sent time.Duration, result writeResult, records map[string]*ownership.Record, rows ownership.Rows, kept map[string][]speed.Estimate) {
	if c.leadership != l {
		return
	}
	l.writing = false
	now := time.Now()
	c.onSpeedsWritten(now, kept, result)
	if result.invalid && len(records)+len(kept) > 0 {
		// The store never accepts this transaction. The records are reported as failed, so
		// that the lease is renewed without them and not lost.
		for name := range records {
			if manager := l.managers[name]; manager != nil {
				manager.Recorded(now, false)
			}
		}
		return
	}
	if !result.ok {
		c.observe(result.revision, result.current)
		c.stepDown("lease row was changed by " + result.current.Holder)
		return
	}
	l.lease, l.revision, l.rows = next, result.revision, rows
	if result.storeClock > 0 {
		for _, manager := range l.managers {
			// When the response arrives, the store's clock is ahead of the value in it by no
			// more than the duration of the write.
			manager.SetStoreClock(result.storeClockAt, result.storeClock+result.took)
		}
	}
	l.authorityEnd.Store(int64(sent + time.Duration(next.LeaseMs)*time.Millisecond - orderMargin))
	c.observe(result.revision, next)
	if l.inDoubt && result.took < healthyWriteTime {
		l.inDoubt = false
		c.RestartFeeds()
		for _, manager := range l.managers {
			manager.SetStoreInDoubt(now, false)
		}
	}
	for name, r := range records {
		moved := ownership.MoveCounts{}
		if manager := l.managers[name]; manager != nil {
			moved = manager.Moves
			manager.Recorded(now, true)
		}
		event.KeysRecorded.Log(c.Log, "service", name, "term", next.Term, "revision", result.revision,
			"pieces", len(r.Assignment.Pieces), "tookMs", result.took.Milliseconds(),
			"movedLeaving", moved.Leaving, "movedLost", moved.Lost, "movedBalance", moved.Balance)
		c.announce(l, name, r.Assignment, result.revision)
	}
}

const (
	// recordInterval is the least time between two writes with assignments: changes within
	// it share one call and one datagram.
	recordInterval = 100 * time.Millisecond
	// piecesPerDatagram bounds the pieces in one datagram, and maxUpdateParts the datagrams
	// of one update; larger changes are read from the store.
	piecesPerDatagram = 36
	maxUpdateParts    = 8
)

// announce sends the change of an assignment to all instances. Those that miss it detect
// from the revision in the next heartbeat that their mirror is out of date, and read the
// store.
func (c *Coordinator) announce(l *leadership, service string, a *ownership.Assignment, revision uint64) {
	last := l.announced[service]
	l.announced[service] = announcement{a, revision}
	if last.assignment != nil {
		changed := last.assignment.Diff(a)
		if parts := (len(changed) + piecesPerDatagram - 1) / piecesPerDatagram; parts <= maxUpdateParts {
			c.sendUpdate(&peers.AssignmentUpdate{Service: service, Term: a.Term, Base: last.revision, Revision: revision, Parts: max(1, parts)}, changed)
			return
		}
	}
	c.OnOversizedUpdate()
	l.nextHeartbeat = time.Time{}
}

func (c *Coordinator) sendUpdate(update *peers.AssignmentUpdate, changed []ownership.Piece) {
	for part := range update.Parts {
		u := *update
		u.Part = part
		u.Pieces = withOwnersOnly(changed[min(part*piecesPerDatagram, len(changed)):min((part+1)*piecesPerDatagram, len(changed))])
		c.Peers.BroadcastToHubs(&peers.Message{AssignmentUpdate: &u})
		c.OnUpdate(&u)
	}
}

// withOwnersOnly returns the pieces without the owners' start times and addresses: instances
// have those from the platform, and the next coordinator reads the rows. It saves half of
// what an update costs between regions.
func withOwnersOnly(pieces []ownership.Piece) []ownership.Piece {
	list := make([]ownership.Piece, len(pieces))
	for i, p := range pieces {
		list[i] = ownership.Piece{First: p.First, Last: p.Last, Owner: p.Owner, FreeAt: p.FreeAt}
	}
	return list
}

// Resign releases the lease, so that another instance takes over at once. It returns when
// the lease is released or the context ends.
func (c *Coordinator) Resign(ctx context.Context) {
	done := make(chan struct{})
	c.enqueue(ctx, func() {
		c.stopping = true
		l := c.leadership
		if l == nil || l.recorded == nil {
			close(done)
			return
		}
		l.resigning = true
		c.group.Go(func() error {
			defer close(done)
			c.releaseLease(ctx, l)
			return nil
		})
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// resignDelay lets orders and writes in flight end; new ones are not sent.
const resignDelay = 150 * time.Millisecond

// releaseLease writes a lease without a duration, and announces it.
func (c *Coordinator) releaseLease(ctx context.Context, l *leadership) {
	timer := time.NewTimer(resignDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	written := make(chan uint64, 1)
	c.enqueue(ctx, func() {
		if c.leadership == l && !l.writing {
			written <- l.revision
			return
		}
		l.resigning = l.resigning && c.stopping
		close(written)
	})
	select {
	case expected, ok := <-written:
		if !ok {
			return
		}
		released := Lease{Term: l.lease.Term, Holder: c.Self.Name, Incarnation: c.Self.Incarnation, Seq: l.lease.Seq + 1}
		result := c.writeLease(ctx, &released, expected, platform.Transaction{})
		if result.ok {
			event.LeadResigned.Log(c.Log, "term", released.Term)
			c.Peers.BroadcastToHubs(&peers.Message{Heartbeat: &peers.Heartbeat{Term: released.Term, LeaseRevision: result.revision, Resigned: true}})
		}
		c.enqueue(ctx, func() {
			if c.leadership == l {
				c.stepDown("resigned")
				c.lastHeartbeat = time.Now()
			}
		})
	case <-ctx.Done():
	}
}
