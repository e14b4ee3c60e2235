package ownership

import (
	"sort"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// clockDrift is how much slower a target's clock may run.
	clockDrift = 1.02
	// boundMargin covers the time between an answer's arrival and our noting
	// it, on an instance that is slowed down several times.
	boundMargin = 50 * time.Millisecond
	// transit is how much later than the reset of its connection a call without
	// an answer may still arrive: its bytes may wait in the queue of a full
	// link, with the reset behind them. The users take a link for full at half
	// a second.
	transit = 500 * time.Millisecond
	// retryAfter is the pause after a grant that was not carried out.
	retryAfter = 100 * time.Millisecond
	// silentAfter is how long a target may leave renewals unanswered before
	// its keys are given to others. It is less than the hold, since the wait
	// for its end begins only then.
	silentAfter = 1200 * time.Millisecond
	// releaseTries is how often a release without an answer is sent again
	// before the hold's end is waited for.
	releaseTries = 2
)

// Holds are the times for which keys are granted.
type Holds struct {
	// Usual rides out the loss of the coordinator; long after the loss of a
	// target it costs service.
	Usual time.Duration
	// Long is for when the store does not answer: nobody might be allowed to
	// renew for as long as that lasts.
	Long time.Duration
	// Every is the time between two renewals.
	Every time.Duration
	// Reuse is the least time between a target's end and the start of another
	// service's at its address; 0 if the platform promises none.
	Reuse time.Duration
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
	// balanceAt is when balance is looked at next.
	balanceAt time.Time
	// shifted is when busy keys were last seen to have changed.
	shifted time.Time
	holders map[roster.Incarnation]*holder
	speeds  map[string]time.Duration
	clock   storeClock
	// long is set while the store is in doubt.
	long bool
	// Moved counts keys given to another owner, by cause.
	Moved Moved
	// Inherited, if set, is told of pieces that a younger target at their
	// owner's address gets.
	Inherited func(p Piece, to roster.Incarnation)
}

// Moved counts pieces that were given to another owner.
type Moved struct {
	Leaving int
	Lost    int
	Balance int
}

type phase int

const (
	// held: the owner is granted the piece, and the grant is renewed.
	held phase = iota
	// leaving: the piece is to be released as soon as no grant is under way.
	leaving
	// releasing: a release is under way.
	releasing
	// waiting: the end of the hold is waited for.
	waiting
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
	// until is the latest time at which whoever lives at the address may still
	// hold the piece, and stray the same if that is another service's target. An
	// owner that has answered for long holds until the end of its last grant;
	// once another service has its address, only orders that nobody of this
	// service is known to have received still count, mostly none.
	until time.Time
	stray time.Time
	// doubt is the latest time at which a grant without an answer may hold, and
	// doubtEpoch the highest epoch of such a one.
	doubt      time.Time
	doubtEpoch int64
	// usable is when the owner stops using it, counted from the sending.
	usable time.Time
	// confirmed is the epoch of the last answered grant.
	confirmed int64
	// calling is set while a call about the piece is under way.
	calling bool
	renewAt time.Time
	tries   int
	// releaseLost is set if a release got no answer. A later one may be
	// answered at once, though the work has not ended.
	releaseLost bool
	handover    string
	cause       Cause
	// wanted is the target that balance wants the piece to go to.
	wanted string
}

// Cause is why a piece changes its owner.
type Cause int

// The causes.
const (
	OwnerLeaving Cause = iota
	OwnerLost
	ForBalance
)

func (c Cause) String() string {
	return [...]string{"ownerLeaving", "ownerLost", "balance"}[c]
}

// storeClock tells the store's clock at a moment of ours.
type storeClock struct {
	at    time.Time
	store time.Duration
	known bool
}

// SetClock notes what the store's clock is at most at a moment of ours.
func (m *Manager) SetClock(at time.Time, store time.Duration) {
	m.clock = storeClock{at, store, true}
}

// freeAt tells on the store's clock when a wait is over, not too early.
func (m *Manager) freeAt(until time.Time) int64 {
	left := time.Duration(float64(until.Sub(m.clock.at)) * clockDrift)
	return max(1, (m.clock.store+left).Milliseconds()+1)
}

// Take begins a term with what is recorded; recorded may be nil. Every piece
// may be held under grants of a former coordinator for the longest hold, except
// those that it had given up. The store's clock is now at least store.
func (m *Manager) Take(now time.Time, recorded *Assignment, longest, store time.Duration) {
	if m.Epochs == nil {
		m.Epochs = &Epochs{Term: m.Term}
	}
	m.holders = map[roster.Incarnation]*holder{}
	until := now.Add(bound(longest))
	if recorded == nil {
		m.pieces = []*piece{{Piece: Piece{First: 0, Last: Keys - 1}, phase: free}}
		return
	}
	for _, p := range recorded.Pieces {
		// All grants in doubt are a former coordinator's, under lower epochs.
		kept := &piece{Piece: p, phase: held, epoch: m.Epochs.Next(), until: until, stray: until, doubt: until}
		switch {
		case p.Owner == "":
			m.freed(kept)
		case p.FreeAt > 0:
			left := time.Duration(p.FreeAt)*time.Millisecond - store
			kept.phase, kept.cause = waiting, OwnerLost
			kept.until = now.Add(time.Duration(float64(max(0, left)) * clockDrift))
			kept.stray, kept.doubt = kept.until, kept.until
		}
		kept.FreeAt = 0
		m.pieces = append(m.pieces, kept)
	}
}

// renumber gives a piece a new epoch, which belongs to no channel yet.
func (m *Manager) renumber(p *piece) { p.epoch, p.channel = m.Epochs.Next(), 0 }

// bound is the longest time that a hold may last, measured by our clock from
// the moment at which the call was answered or reset.
func bound(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*clockDrift) + boundMargin
}

// Assignment returns what is to be recorded.
func (m *Manager) Assignment() *Assignment {
	a := &Assignment{Service: m.Service, Term: m.Term}
	for _, p := range m.pieces {
		r := p.Piece
		if p.phase == waiting && m.clock.known {
			r.FreeAt = m.freeAt(p.until)
		}
		n := len(a.Pieces)
		if n > 0 && a.Pieces[n-1].Life() == r.Life() && a.Pieces[n-1].Address == r.Address && a.Pieces[n-1].FreeAt == r.FreeAt {
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
		if p.phase != held || !now.Before(p.usable) {
			return false
		}
	}
	return true
}

// sorted keeps the pieces in order after a cut.
func (m *Manager) sorted() {
	sort.Slice(m.pieces, func(i, j int) bool { return m.pieces[i].First < m.pieces[j].First })
}

// cut splits a piece so that one of the results is exactly first to last, and
// returns that one. All results keep epoch and bounds.
func (m *Manager) cut(p *piece, first, last int) *piece {
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
	m.sorted()
	return p
}

// join merges neighbouring pieces of one owner, under a new epoch.
func (m *Manager) join() {
	joined := m.pieces[:0]
	for _, p := range m.pieces {
		n := len(joined)
		if n == 0 || !joinable(joined[n-1], p) {
			joined = append(joined, p)
			continue
		}
		q := joined[n-1]
		q.Last = p.Last
		m.renumber(q)
		q.until = later(q.until, p.until)
		q.stray = later(q.stray, p.stray)
		q.doubt = later(q.doubt, p.doubt)
		q.doubtEpoch = max(q.doubtEpoch, p.doubtEpoch)
		q.usable = earlier(q.usable, p.usable)
		q.renewAt = time.Time{}
	}
	m.pieces = joined
}

func joinable(a, b *piece) bool {
	return a.phase == held && b.phase == held && !a.calling && !b.calling &&
		a.Life() == b.Life() && a.Address == b.Address && a.handover == "" && b.handover == ""
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
