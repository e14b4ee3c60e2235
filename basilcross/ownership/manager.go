package ownership

import (
	"slices"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// maxClockDrift is the factor by which a target's clock may run slow.
	maxClockDrift = 1.02
	// holdMargin covers the time between an answer's arrival and its processing, on
	// an instance that is slowed down several times.
	holdMargin = 50 * time.Millisecond
	// maxArrivalDelay is how long after the reset of its connection a call without
	// an answer may still arrive: its bytes may wait in the queue of a congested
	// link, with the reset behind them. The users consider a link congested at half
	// a second.
	maxArrivalDelay = 500 * time.Millisecond
	// grantRetryDelay is the pause after a grant that failed.
	grantRetryDelay = 100 * time.Millisecond
	// unresponsiveTimeout is how long a target may leave renewals unanswered
	// before its keys are given to others. It is shorter than the hold, since
	// the wait for the hold's end starts only then.
	unresponsiveTimeout = 1200 * time.Millisecond
	// maxReleaseAttempts bounds the attempts to release a piece, counting a failed
	// grant before the release. After them the end of the hold is awaited.
	maxReleaseAttempts = 2
)

// Holds are the durations of holds, and the intervals that go with them.
type Holds struct {
	// Normal is the hold while the store answers. It outlasts the loss of the
	// coordinator, but lengthens the outage of a lost target's keys.
	Normal time.Duration
	// Long is the hold while the store does not answer, when possibly no instance
	// is authorized to renew.
	Long time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// AddressReuse is the minimum time between a target's end and the start of
	// another service's target at its address; 0 if the platform guarantees none.
	AddressReuse time.Duration
}

// Manager manages the ownership of one service's keys while its instance is
// coordinator. All calls must come from one goroutine.
type Manager struct {
	Service string
	Term    int64
	Holds   Holds
	Load    Load
	// Epochs, if set, is shared with the managers of other services, whose targets
	// may use the same addresses one after the other.
	Epochs *Epochs
	// Jitter, if set, returns a random duration below the given one, to spread
	// renewals.
	Jitter func(below time.Duration) time.Duration

	pieces []*piece
	// dirty is set while the pieces differ from what is recorded.
	dirty       bool
	writing     bool
	nextBalance time.Time
	// loadShiftedAt is when the set of busy keys was last seen to have changed.
	loadShiftedAt time.Time
	owners        map[roster.Incarnation]*ownerState
	latencies     map[string]time.Duration
	// speeds are the targets' relative speeds; latencies are used if there are none.
	speeds map[roster.Incarnation]float64
	// latencySum is the sum of latencies.
	latencySum time.Duration
	storeClock storeClockSample
	paths      map[string]*zonePath
	// longHolds is set while the store is in doubt.
	longHolds bool
	// unlinked is set while this instance's own links to the targets are down.
	unlinked      bool
	unlinkedSince time.Time
	Moves         MoveCounts
	// OnInherit, if set, is called for each piece that a younger target inherits at
	// its owner's address.
	OnInherit func(p Piece, to roster.Incarnation)
}

// MoveCounts counts pieces given to another owner, by cause.
type MoveCounts struct {
	Leaving int
	Lost    int
	Balance int
}

type phase int

const (
	// held: the piece is granted to its owner, and the grant is renewed.
	held phase = iota
	// releaseDue: the piece is released as soon as no grant is in flight.
	releaseDue
	// releasing: a release is in flight.
	releasing
	// awaitingExpiry: the piece is free at the end of the hold.
	awaitingExpiry
	// free: no target holds the piece, and it has no owner yet.
	free
	// recording: the next owner is being written to the store.
	recording
)

// piece is a range of keys with the state of its owner's grants.
type piece struct {
	Piece
	phase phase
	epoch int64
	// channel is the connection on which the epoch was sent; 0 if it was not sent
	// yet.
	channel uint64
	// heldUntil is the latest time at which any target at the owner's address may
	// hold the piece, misdirectedUntil the same for another service's target. After
	// long unbroken answers the owner holds the piece until its last grant ends;
	// once another service has its address, only orders that may not have reached
	// this service count, mostly none.
	heldUntil        time.Time
	misdirectedUntil time.Time
	// inDoubtUntil is the latest time at which a grant without an answer may be
	// in effect, and inDoubtEpoch the highest epoch of such a grant.
	inDoubtUntil time.Time
	inDoubtEpoch int64
	// unproven is set while a grant without an answer may still be on its way.
	unproven unprovenGrant
	// usableUntil is when the owner stops using the piece, counted from when its
	// last answered grant was sent.
	usableUntil time.Time
	// confirmedEpoch is the highest epoch of the answered grants.
	confirmedEpoch int64
	inFlight       bool
	renewAt        time.Time
	attempts       int
	// releaseUnanswered is set if a release got no answer. A later release may
	// be answered at once although the work on the keys has not ended.
	releaseUnanswered bool
	handover          string
	cause             MoveCause
	// destination is the target to which balancing moves the piece.
	destination string
}

// MoveCause is the reason why a piece changes its owner.
type MoveCause int

// The causes of moves.
const (
	OwnerLeaving MoveCause = iota
	OwnerLost
	Rebalance
)

func (c MoveCause) String() string {
	return [...]string{"ownerLeaving", "ownerLost", "balance"}[c]
}

type storeClockSample struct {
	at    time.Time
	store time.Duration
	known bool
}

// SetStoreClock records an upper bound of the store's clock at a local time.
func (m *Manager) SetStoreClock(at time.Time, store time.Duration) {
	m.storeClock = storeClockSample{at, store, true}
}

// freeAt returns when a wait until the given local time is over, on the store's
// clock in milliseconds, and never too early.
func (m *Manager) freeAt(until time.Time) int64 {
	remaining := time.Duration(float64(until.Sub(m.storeClock.at)) * maxClockDrift)
	return max(1, (m.storeClock.store+remaining).Milliseconds()+1)
}

// BeginTerm starts a term from the recorded assignment, which may be nil. Every
// piece may be held under grants of a former coordinator for the longest hold,
// except pieces with FreeAt, which are held until then. The store's clock is now at
// least at store.
func (m *Manager) BeginTerm(now time.Time, recorded *Assignment, longestHold, store time.Duration) {
	if m.Epochs == nil {
		m.Epochs = &Epochs{Term: m.Term}
	}
	m.owners = map[roster.Incarnation]*ownerState{}
	until := now.Add(maxHoldTime(longestHold))
	if recorded == nil {
		m.pieces = []*piece{{Piece: Piece{First: 0, Last: KeyCount - 1}, phase: free}}
		return
	}
	for _, p := range recorded.Pieces {
		// All grants in doubt are a former coordinator's, under lower epochs.
		restored := &piece{Piece: p, phase: held, epoch: m.Epochs.Next(), heldUntil: until, misdirectedUntil: until, inDoubtUntil: until}
		switch {
		case p.Owner == "":
			m.markFree(restored)
		case p.FreeAt > 0:
			remaining := time.Duration(p.FreeAt)*time.Millisecond - store
			restored.phase, restored.cause = awaitingExpiry, OwnerLost
			restored.heldUntil = now.Add(time.Duration(float64(max(0, remaining)) * maxClockDrift))
			restored.misdirectedUntil, restored.inDoubtUntil = restored.heldUntil, restored.heldUntil
		}
		restored.FreeAt = 0
		m.pieces = append(m.pieces, restored)
	}
}

// assignEpoch gives a piece a new epoch, which is not bound to a channel yet.
func (m *Manager) assignEpoch(p *piece) { p.epoch, p.channel = m.Epochs.Next(), 0 }

// maxHoldTime is the longest time that a hold may last on the local clock after the
// call was answered or reset.
func maxHoldTime(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*maxClockDrift) + holdMargin
}

// Assignment returns the assignment to be recorded.
func (m *Manager) Assignment() *Assignment {
	a := &Assignment{Service: m.Service, Term: m.Term}
	for _, p := range m.pieces {
		r := p.Piece
		if p.phase == awaitingExpiry && m.storeClock.known && p.unproven.reset.IsZero() {
			r.FreeAt = m.freeAt(p.heldUntil)
		}
		n := len(a.Pieces)
		if n > 0 && a.Pieces[n-1].Incarnation() == r.Incarnation() && a.Pieces[n-1].Address == r.Address && a.Pieces[n-1].FreeAt == r.FreeAt {
			a.Pieces[n-1].Last = r.Last
			continue
		}
		a.Pieces = append(a.Pieces, r)
	}
	return a
}

// Settled reports whether every piece is held under an unexpired, answered grant.
func (m *Manager) Settled(now time.Time) bool {
	for _, p := range m.pieces {
		if p.phase != held || !now.Before(p.usableUntil) {
			return false
		}
	}
	return true
}

// indexOf returns the index of the piece that begins at a key, and whether there is one.
// The pieces are in the order of their keys.
func (m *Manager) indexOf(first int) (int, bool) {
	return slices.BinarySearchFunc(m.pieces, first, func(p *piece, first int) int { return p.First - first })
}

// splitOff splits a piece and returns the part that is exactly first to last. All
// parts keep the epoch and the time limits.
func (m *Manager) splitOff(p *piece, first, last int) *piece {
	at, _ := m.indexOf(p.First)
	if first > p.First {
		rest := *p
		rest.Last = first - 1
		p.First = first
		m.pieces = slices.Insert(m.pieces, at, &rest)
		at++
	}
	if last < p.Last {
		rest := *p
		rest.First = last + 1
		p.Last = last
		m.pieces = slices.Insert(m.pieces, at+1, &rest)
	}
	return p
}

// coalesce merges adjacent pieces of one owner, under a new epoch.
func (m *Manager) coalesce() {
	merged := m.pieces[:0]
	for _, p := range m.pieces {
		n := len(merged)
		if n == 0 || !canCoalesce(merged[n-1], p) {
			merged = append(merged, p)
			continue
		}
		q := merged[n-1]
		q.Last = p.Last
		m.assignEpoch(q)
		q.heldUntil = later(q.heldUntil, p.heldUntil)
		q.misdirectedUntil = later(q.misdirectedUntil, p.misdirectedUntil)
		q.inDoubtUntil = later(q.inDoubtUntil, p.inDoubtUntil)
		q.inDoubtEpoch = max(q.inDoubtEpoch, p.inDoubtEpoch)
		q.unproven = q.unproven.join(p.unproven)
		q.usableUntil = earlier(q.usableUntil, p.usableUntil)
		q.renewAt = time.Time{}
	}
	m.pieces = merged
}

func canCoalesce(a, b *piece) bool {
	return a.phase == held && b.phase == held && !a.inFlight && !b.inFlight &&
		a.Incarnation() == b.Incarnation() && a.Address == b.Address && a.handover == "" && b.handover == ""
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
