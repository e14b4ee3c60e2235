package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
)

// ParseLease reads the row.
func ParseLease(text []byte) (Lease, error) {
	l := Lease{}
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("parse lease: %w", err)
	}
	return l, nil
}

// lead does what is due in a term.
func (c *Coordinator) lead(ctx context.Context) {
	l := c.leadership
	if boottime() >= time.Duration(l.authorityEnd.Load()) {
		c.stepDown("the lease ran out")
		return
	}
	now := time.Now()
	if unanswered := l.writing && now.Sub(l.writeStarted) > healthyWriteTime; unanswered != l.writeOverdue {
		l.writeOverdue = unanswered
		c.OnLeading(c.countMembers(now), !unanswered)
	}
	c.sendHeartbeat(now)
	if l.resigning {
		return
	}
	if l.recorded == nil {
		c.readAssignments(ctx)
	} else {
		c.stepManagers(now) //nolint:contextcheck // orders end with the term, whose context is the term's own
	}
	c.checkInDoubt(now)
	if c.shouldHandOver(now) {
		l.resigning = true
		c.group.Go(func() error {
			c.releaseLease(ctx, l)
			return nil
		})
		return
	}
	gap := renewInterval
	if len(l.pending) > 0 {
		gap = recordInterval
	}
	if !l.writing && now.Sub(l.writeStarted) >= gap {
		c.renewLease(ctx, now)
	}
}

const (
	// handoverAfter is how long a term lasts before it is handed over to a
	// stronger instance: by then all have been heard that started with it.
	handoverAfter = 1500 * time.Millisecond
	// handoverCoresRatio is how much more of a processor is worth a hand-over, after
	// which all keys are granted anew.
	handoverCoresRatio = 1.5
)

// shouldHandOver tells whether a stronger instance is there to take over. When a
// fleet starts, nobody knows yet who is strong; a small instance that went on
// would lose its lease behind its own renewals as soon as many keys move.
func (c *Coordinator) shouldHandOver(now time.Time) bool {
	l := c.leadership
	if l.recorded == nil || l.inDoubt || l.writing || len(l.pending) > 0 || now.Sub(l.started) < handoverAfter {
		return false
	}
	for _, k := range l.managers {
		if !k.Settled(now) {
			return false
		}
	}
	for name, at := range c.members {
		if now.Sub(at) < memberTimeout && c.Peers.Find(name).Cores > handoverCoresRatio*c.Self.Cores {
			return true
		}
	}
	return false
}

func (c *Coordinator) sendHeartbeat(now time.Time) {
	l := c.leadership
	if now.Before(l.nextHeartbeat) {
		return
	}
	l.nextHeartbeat = now.Add(heartbeatInterval)
	c.OnLeading(c.countMembers(now), !l.writeOverdue)
	c.Peers.Broadcast(c.heartbeat(l))
}

func (c *Coordinator) heartbeat(l *leadership) *peers.Message {
	return &peers.Message{Revisions: c.Revisions(), Heartbeat: &peers.Heartbeat{
		Term: l.lease.Term, LeaseRevision: l.revision, LeaseMs: l.lease.LeaseMs, Members: c.countMembers(time.Now()), InDoubt: l.inDoubt,
	}}
}

func (c *Coordinator) countMembers(now time.Time) int {
	n := 1
	for name, at := range c.members {
		if now.Sub(at) > memberTimeout {
			delete(c.members, name)
			continue
		}
		n++
	}
	return n
}

// readAssignments reads what former coordinators recorded. It is read after the
// lease was written, so no former one can write after it.
func (c *Coordinator) readAssignments(ctx context.Context) {
	l := c.leadership
	if l.reading {
		return
	}
	l.reading = true
	c.group.Go(func() error {
		callCtx, cancel := context.WithTimeout(l.ctx, attemptTimeout)
		defer cancel()
		recorded, told, store, err := c.loadAssignments(callCtx) //nolint:contextcheck // as above
		c.enqueue(ctx, func() {
			l.reading = false
			if err != nil {
				c.logStoreFailure("read assignments", err)
				return
			}
			l.recorded, l.storeClock, l.storeClockAt = recorded, store, time.Now()
			// Others know these rows: changes can be told as differences to them.
			l.announced = told
		})
		return nil
	})
}

// storeTime is what the store's clock is at least: what it was when it
// answered, and the time since.
func (l *leadership) storeTime(now time.Time) time.Duration {
	return l.storeClock + now.Sub(l.storeClockAt)
}

func (c *Coordinator) loadAssignments(ctx context.Context) (map[string]*ownership.Assignment, map[string]announcement, time.Duration, error) {
	recorded, told := map[string]*ownership.Assignment{}, map[string]announcement{}
	after := ""
	for {
		rows, err := c.Store.Range(ctx, AssignmentTable, "", after)
		if err != nil {
			return nil, nil, 0, err
		}
		for _, r := range rows.Rows {
			a, err := ownership.Parse(r.Value)
			if err != nil {
				return nil, nil, 0, fmt.Errorf("service %s: %w", r.Key, err)
			}
			recorded[r.Key], told[r.Key] = a, announcement{a, r.Revision}
			after = r.Key
		}
		if !rows.More {
			return recorded, told, time.Duration(rows.Now), nil
		}
	}
}

// stepManagers looks after the holders of every sharded service.
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
		k := l.managers[s.Name]
		if k == nil {
			k = &ownership.Manager{
				Service: s.Name, Term: l.lease.Term, Epochs: l.epochs, Holds: c.Holds,
				Jitter: rand.N[time.Duration], OnInherit: c.inheritedLogger(s.Name),
			}
			k.BeginTerm(now, l.recorded[s.Name], c.Holds.Long+orderTimeout, l.storeTime(now))
			k.SetStoreInDoubt(now, l.inDoubt)
			l.managers[s.Name] = k
		}
		c.detectReplacedOwners(k, table, view)
		for _, o := range k.Step(now, view.ByService[s.Name]) {
			c.execute(k, o)
		}
	}
}

// checkInDoubt makes holds long while a write is without an answer.
func (c *Coordinator) checkInDoubt(now time.Time) {
	l := c.leadership
	if !l.writing || l.inDoubt || now.Sub(l.writeStarted) < inDoubtAfter {
		return
	}
	l.inDoubt = true
	// Others that rely on its way to the store must not do so any longer.
	l.nextHeartbeat = time.Time{}
	event.StoreInDoubt.Log(c.Log, "term", l.lease.Term, "waitedMs", now.Sub(l.writeStarted).Milliseconds())
	for _, k := range l.managers {
		k.SetStoreInDoubt(now, true)
	}
}

// renewLease writes the lease, together with the assignments to be recorded.
func (c *Coordinator) renewLease(ctx context.Context, now time.Time) {
	l := c.leadership
	next := l.lease
	next.Seq++
	var writes []platform.Write
	records := l.pending
	l.pending = map[string]*ownership.Record{}
	for name, r := range records {
		text, err := json.Marshal(r.Assignment)
		if err != nil {
			panic("coordinator: assignment does not encode: " + err.Error())
		}
		writes = append(writes, platform.Write{Table: AssignmentTable, Key: name, Value: text})
	}
	l.writing, l.writeStarted = true, now
	sent := boottime()
	on := l.revision
	c.group.Go(func() error {
		s := c.writeLease(l.ctx, &next, on, writes) //nolint:contextcheck // as above
		c.enqueue(ctx, func() { c.onLeaseRenewed(l, next, sent, s, records) })
		return nil
	})
}

func (c *Coordinator) onLeaseRenewed(l *leadership, next Lease, sent time.Duration, s writeResult, records map[string]*ownership.Record) {
	if c.leadership != l {
		return
	}
	l.writing = false
	now := time.Now()
	if s.invalid && len(records) > 0 {
		// The lease must not be lost over it.
		for name := range records {
			if k := l.managers[name]; k != nil {
				k.Recorded(now, false)
			}
		}
		return
	}
	if !s.ok {
		c.observe(s.revision, s.current)
		c.stepDown("the lease's row was changed by " + s.current.Holder)
		return
	}
	l.lease, l.revision = next, s.revision
	if s.storeClock > 0 {
		for _, k := range l.managers {
			// At the answer's arrival it is later than told by the way at most.
			k.SetStoreClock(s.storeClockAt, s.storeClock+s.took)
		}
	}
	l.authorityEnd.Store(int64(sent + time.Duration(next.LeaseMs)*time.Millisecond - orderMargin))
	c.observe(s.revision, next)
	if l.inDoubt && s.took < healthyWriteTime {
		l.inDoubt = false
		c.RestartFeeds()
		for _, k := range l.managers {
			k.SetStoreInDoubt(now, false)
		}
	}
	for name, r := range records {
		moved := ownership.MoveCounts{}
		if k := l.managers[name]; k != nil {
			moved = k.Moves
			k.Recorded(now, true)
		}
		event.KeysRecorded.Log(c.Log, "service", name, "term", next.Term, "revision", s.revision,
			"pieces", len(r.Assignment.Pieces), "tookMs", s.took.Milliseconds(),
			"movedLeaving", moved.Leaving, "movedLost", moved.Lost, "movedBalance", moved.Balance)
		c.announce(l, name, r.Assignment, s.revision)
	}
}

const (
	// recordInterval is the least time between two writes with assignments: what
	// changes together costs one call and one datagram.
	recordInterval = 100 * time.Millisecond
	// piecesPerDatagram bounds the pieces in one datagram, newsParts the datagrams of
	// one change; larger ones are read from the store.
	piecesPerDatagram = 36
	maxUpdateParts    = 8
)

// announce tells all instances what has changed. Those that miss it learn from
// the next beat that their copy is old, and read the store.
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

// sendUpdate sends a change in as many datagrams as it needs.
func (c *Coordinator) sendUpdate(whole *peers.AssignmentUpdate, changed []ownership.Piece) {
	for part := range whole.Parts {
		n := *whole
		n.Part = part
		n.Pieces = withOwnersOnly(changed[min(part*piecesPerDatagram, len(changed)):min((part+1)*piecesPerDatagram, len(changed))])
		c.Peers.Broadcast(&peers.Message{AssignmentUpdate: &n})
		c.OnUpdate(&n)
	}
}

// withOwnersOnly returns pieces with nothing but their owners' names: instances know the
// owners' addresses from the platform, and whoever coordinates next reads the
// rows. That is half of what a change costs between regions.
func withOwnersOnly(pieces []ownership.Piece) []ownership.Piece {
	list := make([]ownership.Piece, len(pieces))
	for i, p := range pieces {
		list[i] = ownership.Piece{First: p.First, Last: p.Last, Owner: p.Owner, FreeAt: p.FreeAt}
	}
	return list
}

// Resign gives the lease up, so that another instance takes over at once.
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

// resignDelay lets orders and writes under way end; new ones are not sent.
const resignDelay = 150 * time.Millisecond

// releaseLease writes that the lease is over.
func (c *Coordinator) releaseLease(ctx context.Context, l *leadership) {
	timer := time.NewTimer(resignDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	free := make(chan uint64, 1)
	c.enqueue(ctx, func() {
		if c.leadership == l && !l.writing {
			free <- l.revision
			return
		}
		l.resigning = l.resigning && c.stopping
		close(free)
	})
	select {
	case on, ok := <-free:
		if !ok {
			return
		}
		given := Lease{Term: l.lease.Term, Holder: c.Self.Name, Incarnation: c.Self.Incarnation, Seq: l.lease.Seq + 1}
		s := c.writeLease(ctx, &given, on, nil)
		if s.ok {
			event.LeadResigned.Log(c.Log, "term", given.Term)
			c.Peers.Broadcast(&peers.Message{Heartbeat: &peers.Heartbeat{Term: given.Term, LeaseRevision: s.revision, Resigned: true}})
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
