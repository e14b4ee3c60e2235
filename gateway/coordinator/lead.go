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
	l := c.leading
	if boottime() >= time.Duration(l.goodUntil.Load()) {
		c.stepDown("the lease ran out")
		return
	}
	now := time.Now()
	if unanswered := l.writing && now.Sub(l.wroteAt) > calmWithin; unanswered != l.unanswered {
		l.unanswered = unanswered
		c.Leads(c.countMembers(now), !unanswered)
	}
	c.beat(now)
	if l.resigning {
		return
	}
	if l.recorded == nil {
		c.readRecorded(ctx)
	} else {
		c.keep(now) //nolint:contextcheck // orders end with the term, whose context is the term's own
	}
	c.noteDoubt(now)
	if c.handsOver(now) {
		l.resigning = true
		c.group.Go(func() error {
			c.giveUp(ctx, l)
			return nil
		})
		return
	}
	gap := renewEvery
	if len(l.pending) > 0 {
		gap = recordEvery
	}
	if !l.writing && now.Sub(l.wroteAt) >= gap {
		c.renew(ctx, now)
	}
}

const (
	// handOverAfter is how long a term lasts before it is handed over to a
	// stronger instance: by then all have been heard that started with it.
	handOverAfter = 1500 * time.Millisecond
	// muchStronger is how much more of a processor is worth a hand-over, after
	// which all keys are granted anew.
	muchStronger = 1.5
)

// handsOver tells whether a stronger instance is there to take over. When a
// fleet starts, nobody knows yet who is strong; a small instance that went on
// would lose its lease behind its own renewals as soon as many keys move.
func (c *Coordinator) handsOver(now time.Time) bool {
	l := c.leading
	if l.recorded == nil || l.inDoubt || l.writing || len(l.pending) > 0 || now.Sub(l.since) < handOverAfter {
		return false
	}
	for _, k := range l.managers {
		if !k.Settled(now) {
			return false
		}
	}
	for name, at := range c.members {
		if now.Sub(at) < memberFor && c.Peers.Find(name).Cores > muchStronger*c.Self.Cores {
			return true
		}
	}
	return false
}

func (c *Coordinator) beat(now time.Time) {
	l := c.leading
	if now.Before(l.beatAt) {
		return
	}
	l.beatAt = now.Add(beatEvery)
	c.Leads(c.countMembers(now), !l.unanswered)
	c.Peers.Broadcast(c.signOfLife(l))
}

func (c *Coordinator) signOfLife(l *leading) *peers.Message {
	return &peers.Message{Revisions: c.Revisions(), Heartbeat: &peers.Heartbeat{
		Term: l.lease.Term, LeaseRevision: l.revision, LeaseMs: l.lease.LeaseMs, Members: c.countMembers(time.Now()), InDoubt: l.inDoubt,
	}}
}

func (c *Coordinator) countMembers(now time.Time) int {
	n := 1
	for name, at := range c.members {
		if now.Sub(at) > memberFor {
			delete(c.members, name)
			continue
		}
		n++
	}
	return n
}

// readRecorded reads what former coordinators recorded. It is read after the
// lease was written, so no former one can write after it.
func (c *Coordinator) readRecorded(ctx context.Context) {
	l := c.leading
	if l.reading {
		return
	}
	l.reading = true
	c.group.Go(func() error {
		callCtx, cancel := context.WithTimeout(l.ctx, attemptTimeout)
		defer cancel()
		recorded, told, store, err := c.allRecorded(callCtx) //nolint:contextcheck // as above
		c.post(ctx, func() {
			l.reading = false
			if err != nil {
				c.storeFailed("read assignments", err)
				return
			}
			l.recorded, l.store, l.storeAt = recorded, store, time.Now()
			// Others know these rows: changes can be told as differences to them.
			l.told = told
		})
		return nil
	})
}

// storeTime is what the store's clock is at least: what it was when it
// answered, and the time since.
func (l *leading) storeTime(now time.Time) time.Duration {
	return l.store + now.Sub(l.storeAt)
}

func (c *Coordinator) allRecorded(ctx context.Context) (map[string]*ownership.Assignment, map[string]toldOf, time.Duration, error) {
	recorded, told := map[string]*ownership.Assignment{}, map[string]toldOf{}
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
			recorded[r.Key], told[r.Key] = a, toldOf{a, r.Revision}
			after = r.Key
		}
		if !rows.More {
			return recorded, told, time.Duration(rows.Now), nil
		}
	}
}

// keep looks after the holders of every sharded service.
func (c *Coordinator) keep(now time.Time) {
	table := c.Table()
	if table == nil {
		return
	}
	l := c.leading
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
				Jitter: rand.N[time.Duration], Inherited: c.inherited(s.Name),
			}
			k.Take(now, l.recorded[s.Name], c.Holds.Long+orderTimeout, l.storeTime(now))
			k.StoreInDoubt(now, l.inDoubt)
			l.managers[s.Name] = k
		}
		c.noteReplaced(k, table, view)
		for _, o := range k.Step(now, view.Services[s.Name]) {
			c.carryOut(k, o)
		}
	}
}

// noteDoubt makes holds long while a write is without an answer.
func (c *Coordinator) noteDoubt(now time.Time) {
	l := c.leading
	if !l.writing || l.inDoubt || now.Sub(l.wroteAt) < doubtAfter {
		return
	}
	l.inDoubt = true
	// Others that rely on its way to the store must not do so any longer.
	l.beatAt = time.Time{}
	event.StoreInDoubt.Log(c.Log, "term", l.lease.Term, "waitedMs", now.Sub(l.wroteAt).Milliseconds())
	for _, k := range l.managers {
		k.StoreInDoubt(now, true)
	}
}

// renew writes the lease, together with the assignments to be recorded.
func (c *Coordinator) renew(ctx context.Context, now time.Time) {
	l := c.leading
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
	l.writing, l.wroteAt = true, now
	sent := boottime()
	on := l.revision
	c.group.Go(func() error {
		s := c.write(l.ctx, &next, on, writes) //nolint:contextcheck // as above
		c.post(ctx, func() { c.renewed(l, next, sent, s, records) })
		return nil
	})
}

func (c *Coordinator) renewed(l *leading, next Lease, sent time.Duration, s settled, records map[string]*ownership.Record) {
	if c.leading != l {
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
		c.observe(s.revision, s.present)
		c.stepDown("the lease's row was changed by " + s.present.Holder)
		return
	}
	l.lease, l.revision = next, s.revision
	if s.store > 0 {
		for _, k := range l.managers {
			// At the answer's arrival it is later than told by the way at most.
			k.SetClock(s.at, s.store+s.took)
		}
	}
	l.goodUntil.Store(int64(sent + time.Duration(next.LeaseMs)*time.Millisecond - orderMargin))
	c.observe(s.revision, next)
	if l.inDoubt && s.took < calmWithin {
		l.inDoubt = false
		c.Refresh()
		for _, k := range l.managers {
			k.StoreInDoubt(now, false)
		}
	}
	for name, r := range records {
		moved := ownership.Moved{}
		if k := l.managers[name]; k != nil {
			moved = k.Moved
			k.Recorded(now, true)
		}
		event.KeysRecorded.Log(c.Log, "service", name, "term", next.Term, "revision", s.revision,
			"pieces", len(r.Assignment.Pieces), "tookMs", s.took.Milliseconds(),
			"movedLeaving", moved.Leaving, "movedLost", moved.Lost, "movedBalance", moved.Balance)
		c.spread(l, name, r.Assignment, s.revision)
	}
}

const (
	// recordEvery is the least time between two writes with assignments: what
	// changes together costs one call and one datagram.
	recordEvery = 100 * time.Millisecond
	// newsPieces bounds the pieces in one datagram, newsParts the datagrams of
	// one change; larger ones are read from the store.
	newsPieces = 36
	newsParts  = 8
)

// spread tells all instances what has changed. Those that miss it learn from
// the next beat that their copy is old, and read the store.
func (c *Coordinator) spread(l *leading, service string, a *ownership.Assignment, revision uint64) {
	last := l.told[service]
	l.told[service] = toldOf{a, revision}
	if last.assignment != nil {
		changed := last.assignment.Differences(a)
		if parts := (len(changed) + newsPieces - 1) / newsPieces; parts <= newsParts {
			c.tell(&peers.AssignmentUpdate{Service: service, Term: a.Term, Base: last.revision, Revision: revision, Parts: max(1, parts)}, changed)
			return
		}
	}
	c.Missed()
	l.beatAt = time.Time{}
}

// tell sends a change in as many datagrams as it needs.
func (c *Coordinator) tell(whole *peers.AssignmentUpdate, changed []ownership.Piece) {
	for part := range whole.Parts {
		n := *whole
		n.Part = part
		n.Pieces = named(changed[min(part*newsPieces, len(changed)):min((part+1)*newsPieces, len(changed))])
		c.Peers.Broadcast(&peers.Message{AssignmentUpdate: &n})
		c.Took(&n)
	}
}

// named returns pieces with nothing but their owners' names: instances know the
// owners' addresses from the platform, and whoever coordinates next reads the
// rows. That is half of what a change costs between regions.
func named(pieces []ownership.Piece) []ownership.Piece {
	list := make([]ownership.Piece, len(pieces))
	for i, p := range pieces {
		list[i] = ownership.Piece{First: p.First, Last: p.Last, Owner: p.Owner, FreeAt: p.FreeAt}
	}
	return list
}

// Resign gives the lease up, so that another instance takes over at once.
func (c *Coordinator) Resign(ctx context.Context) {
	done := make(chan struct{})
	c.post(ctx, func() {
		c.retired = true
		l := c.leading
		if l == nil || l.recorded == nil {
			close(done)
			return
		}
		l.resigning = true
		c.group.Go(func() error {
			defer close(done)
			c.giveUp(ctx, l)
			return nil
		})
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// resignPause lets orders and writes under way end; new ones are not sent.
const resignPause = 150 * time.Millisecond

// giveUp writes that the lease is over.
func (c *Coordinator) giveUp(ctx context.Context, l *leading) {
	timer := time.NewTimer(resignPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	free := make(chan uint64, 1)
	c.post(ctx, func() {
		if c.leading == l && !l.writing {
			free <- l.revision
			return
		}
		l.resigning = l.resigning && c.retired
		close(free)
	})
	select {
	case on, ok := <-free:
		if !ok {
			return
		}
		given := Lease{Term: l.lease.Term, Holder: c.Self.Name, Life: c.Self.Incarnation, Seq: l.lease.Seq + 1}
		s := c.write(ctx, &given, on, nil)
		if s.ok {
			event.LeadResigned.Log(c.Log, "term", given.Term)
			c.Peers.Broadcast(&peers.Message{Heartbeat: &peers.Heartbeat{Term: given.Term, LeaseRevision: s.revision, Resigned: true}})
		}
		c.post(ctx, func() {
			if c.leading == l {
				c.stepDown("resigned")
				c.heard = time.Now()
			}
		})
	case <-ctx.Done():
	}
}
