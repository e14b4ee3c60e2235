package ownership

import (
	"sort"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// maxClockDrift is how much slower a target's clock may run.
	maxClockDrift = 1.02
	// holdMargin covers the time between an answer's arrival and our noting
	// it, on an instance that is slowed down several times.
	holdMargin = 50 * time.Millisecond
	// maxArrivalDelay is how much later than the reset of its connection a call without
	// an answer may still arrive: its bytes may wait in the queue of a full
	// link, with the reset behind them. The users take a link for full at half
	// a second.
	maxArrivalDelay = 500 * time.Millisecond
	// grantRetryDelay is the pause after a grant that was not carried out.
	grantRetryDelay = 100 * time.Millisecond
	// unresponsiveTimeout is how long a target may leave renewals unanswered before
	// its keys are given to others. It is less than the hold, since the wait
	// for its end begins only then.
	unresponsiveTimeout = 1200 * time.Millisecond
	// maxReleaseAttempts is how often a release without an answer is sent again
	// before the hold's end is waited for.
	maxReleaseAttempts = 2
)

// Holds are the times for which keys are granted.
type Holds struct {
	// Normal rides out the loss of the coordinator; long after the loss of a
	// target it costs service.
	Normal time.Duration
	// Long is for when the store does not answer: nobody might be allowed to
	// renew for as long as that lasts.
	Long time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// AddressReuse is the least time between a target's end and the start of another
	// service's at its address; 0 if the platform promises none.
	AddressReuse time.Duration
}

// Manager keeps the holders of one service's keys, for as long as its instance
// coordinates. All calls come from one goroutine.
type Manager struct {
	Service string
	Term    int64
	Holds   Holds
	Load    Load
	// Epochs, if set, are shared with the managers of other services, which may
	// have the same targets' addresses one after the other.
	Epochs *Epochs
	// Jitter, if set, returns a random duration below the given one, by which
	// renewals are spread.
	Jitter func(below time.Duration) time.Duration

	pieces []*piece
	// dirty is set while pieces differ from what is recorded.
	dirty   bool
	writing bool
	// nextBalance is when balance is looked at next.
	nextBalance time.Time
	// loadShiftedAt is when busy keys were last seen to have changed.
	loadShiftedAt time.Time
	owners        map[roster.Incarnation]*ownerState
	latencies     map[string]time.Duration
	storeClock    storeClockSample
	// longHolds is set while the store is in doubt.
	longHolds bool
	// Moves counts keys given to another owner, by cause.
	Moves MoveCounts
	// OnInherit, if set, is told of pieces that a younger target at their
	// owner's address gets.
	OnInherit func(p Piece, to roster.Incarnation)
}

// MoveCounts counts pieces that were given to another owner.
type MoveCounts struct {
	Leaving int
	Lost    int
	Balance int
}

type phase int

const (
	// held: the owner is granted the piece, and the grant is renewed.
	held phase = iota
	// releaseDue: the piece is to be released as soon as no grant is under way.
	releaseDue
	// releasing: a release is under way.
	releasing
	// awaitingExpiry: the end of the hold is waited for.
	awaitingExpiry
	// free: nobody holds the piece; it has no owner yet.
	free
	// recording: the next owner is being written to the store.
	recording
)

// piece is a range in the manager's care.
type piece struct {
	Piece
	phase phase
	epoch int64
	// channel is the connection on which the epoch was sent; 0 if it was not.
	channel uint64
	// heldUntil is the latest time at which whoever lives at the address may still
	// hold the piece, and stray the same if that is another service's target. An
	// owner that has answered for long holds until the end of its last grant;
	// once another service has its address, only orders that nobody of this
	// service is known to have received still count, mostly none.
	heldUntil        time.Time
	misdirectedUntil time.Time
	// inDoubtUntil is the latest time at which a grant without an answer may hold, and
	// doubtEpoch the highest epoch of such a one.
	inDoubtUntil time.Time
	inDoubtEpoch int64
	// usableUntil is when the owner stops using it, counted from the sending.
	usableUntil time.Time
	// confirmedEpoch is the epoch of the last answered grant.
	confirmedEpoch int64
	// inFlight is set while a call about the piece is under way.
	inFlight bool
	renewAt  time.Time
	attempts int
	// releaseUnanswered is set if a release got no answer. A later one may be
	// answered at once, though the work has not ended.
	releaseUnanswered bool
	handover          string
	cause             MoveCause
	// destination is the target that balance wants the piece to go to.
	destination string
}

// MoveCause is why a piece changes its owner.
type MoveCause int

// The causes.
const (
	OwnerLeaving MoveCause = iota
	OwnerLost
	Rebalance
)

func (c MoveCause) String() string {
	return [...]string{"ownerLeaving", "ownerLost", "balance"}[c]
}

// storeClockSample tells the store's clock at a moment of ours.
type storeClockSample struct {
	at    time.Time
	store time.Duration
	known bool
}

// SetStoreClock notes what the store's clock is at most at a moment of ours.
func (m *Manager) SetStoreClock(at time.Time, store time.Duration) {
	m.storeClock = storeClockSample{at, store, true}
}

// freeAt tells on the store's clock when a wait is over, not too early.
func (m *Manager) freeAt(until time.Time) int64 {
	left := time.Duration(float64(until.Sub(m.storeClock.at)) * maxClockDrift)
	return max(1, (m.storeClock.store+left).Milliseconds()+1)
}

// BeginTerm begins a term with what is recorded; recorded may be nil. Every piece
// may be held under grants of a former coordinator for the longest hold, except
// those that it had given up. The store's clock is now at least store.
func (m *Manager) BeginTerm(now time.Time, recorded *Assignment, longest, store time.Duration) {
	if m.Epochs == nil {
		m.Epochs = &Epochs{Term: m.Term}
	}
	m.owners = map[roster.Incarnation]*ownerState{}
	until := now.Add(maxHoldTime(longest))
	if recorded == nil {
		m.pieces = []*piece{{Piece: Piece{First: 0, Last: KeyCount - 1}, phase: free}}
		return
	}
	for _, p := range recorded.Pieces {
		// All grants in doubt are a former coordinator's, under lower epochs.
		kept := &piece{Piece: p, phase: held, epoch: m.Epochs.Next(), heldUntil: until, misdirectedUntil: until, inDoubtUntil: until}
		switch {
		case p.Owner == "":
			m.markFree(kept)
		case p.FreeAt > 0:
			left := time.Duration(p.FreeAt)*time.Millisecond - store
			kept.phase, kept.cause = awaitingExpiry, OwnerLost
			kept.heldUntil = now.Add(time.Duration(float64(max(0, left)) * maxClockDrift))
			kept.misdirectedUntil, kept.inDoubtUntil = kept.heldUntil, kept.heldUntil
		}
		kept.FreeAt = 0
		m.pieces = append(m.pieces, kept)
	}
}

// assignEpoch gives a piece a new epoch, which belongs to no channel yet.
func (m *Manager) assignEpoch(p *piece) { p.epoch, p.channel = m.Epochs.Next(), 0 }

// maxHoldTime is the longest time that a hold may last, measured by our clock from
// the moment at which the call was answered or reset.
func maxHoldTime(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*maxClockDrift) + holdMargin
}

// Assignment returns what is to be recorded.
func (m *Manager) Assignment() *Assignment {
	a := &Assignment{Service: m.Service, Term: m.Term}
	for _, p := range m.pieces {
		r := p.Piece
		if p.phase == awaitingExpiry && m.storeClock.known {
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

// Settled tells whether every piece is held and confirmed.
func (m *Manager) Settled(now time.Time) bool {
	for _, p := range m.pieces {
		if p.phase != held || !now.Before(p.usableUntil) {
			return false
		}
	}
	return true
}

// sortPieces keeps the pieces in order after a cut.
func (m *Manager) sortPieces() {
	sort.Slice(m.pieces, func(i, j int) bool { return m.pieces[i].First < m.pieces[j].First })
}

// splitOff splits a piece so that one of the results is exactly first to last, and
// returns that one. All results keep epoch and bounds.
func (m *Manager) splitOff(p *piece, first, last int) *piece {
	if first > p.First {
		rest := *p
		rest.Last = first - 1
		p.First = first
		m.pieces = append(m.pieces, &rest)
	}
	if last < p.Last {
		rest := *p
		rest.First = last + 1
		p.Last = last
		m.pieces = append(m.pieces, &rest)
	}
	m.sortPieces()
	return p
}

// coalesce merges neighbouring pieces of one owner, under a new epoch.
func (m *Manager) coalesce() {
	joined := m.pieces[:0]
	for _, p := range m.pieces {
		n := len(joined)
		if n == 0 || !canCoalesce(joined[n-1], p) {
			joined = append(joined, p)
			continue
		}
		q := joined[n-1]
		q.Last = p.Last
		m.assignEpoch(q)
		q.heldUntil = later(q.heldUntil, p.heldUntil)
		q.misdirectedUntil = later(q.misdirectedUntil, p.misdirectedUntil)
		q.inDoubtUntil = later(q.inDoubtUntil, p.inDoubtUntil)
		q.inDoubtEpoch = max(q.inDoubtEpoch, p.inDoubtEpoch)
		q.usableUntil = earlier(q.usableUntil, p.usableUntil)
		q.renewAt = time.Time{}
	}
	m.pieces = joined
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
