// Package leader leads an availability zone: it holds the zone's seat, reads the
// configuration and assignments from the table, and responds to the polls of the
// zone's instances.
package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/deltalog"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/object"
	"basilcross.example/basilcross/quorum"
	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/authority"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/evictor"
	"basilcross.example/gateway/follower"
	"basilcross.example/gateway/peerclient"
	"basilcross.example/gateway/view"
)

const (
	// renewInterval is the time between two renewals of the seat.
	renewInterval = 400 * time.Millisecond
	// renewalsPerRead is the number of renewals per read of the heads, unless a nudge
	// arrives: updates are announced by nudges, and the heads are large.
	renewalsPerRead = 3
	// candidateInterval is the time between two reads of the seat while the leader
	// is unresponsive.
	candidateInterval = 100 * time.Millisecond
	// leaderTimeout is the time without a response of the leader after which an
	// instance reads the seat itself.
	leaderTimeout = 650 * time.Millisecond
	// rankDelay is the additional takeover delay per rank among the candidates.
	rankDelay = 80 * time.Millisecond
	// maxRank bounds the takeover delay of instances of low rank.
	maxRank = 5
	// fastRenewInterval replaces renewInterval while the planner is unresponsive,
	// which it is after plannerTimeout without accepting a report.
	fastRenewInterval = 150 * time.Millisecond
	plannerTimeout    = 600 * time.Millisecond
	// retryInterval is the time between a failed renewal and the next.
	retryInterval = 50 * time.Millisecond
	// tableTimeout bounds one transaction; a later response would bring less
	// authority than the wait costs.
	tableTimeout = 800 * time.Millisecond
)

// Options configure a Leader; all fields must be set.
type Options struct {
	Instance    string
	Incarnation string
	Address     string
	Zone        string
	Table       table.Client
	// Direct calls the table directly, not through other leaders.
	Direct    table.Client
	Evictor   *evictor.Evictor
	Objects   object.Client
	View      *view.View
	Follower  *follower.Follower
	Authority *authority.Authority
	Planner   Planner
	Peers     *peerclient.Caller
	Log       *slog.Logger
	// NewToken returns a new unique token.
	NewToken func() string
}

// Planner is the planner of the same instance.
type Planner interface {
	control.Planner
	// Observe applies the planner seat's row; nil if there is none.
	Observe(now time.Time, row *table.Row)
	// ReceiveHeartbeat records a heartbeat of a zone's leader.
	ReceiveHeartbeat(now time.Time, beat *control.BeatRequest)
	// Address returns the planner's control address; empty if unknown.
	Address() string
}

// Leader leads the zone while its instance holds the seat, and is a candidate for
// the seat otherwise. Every instance has one; a zone.Leader is its state of one term.
type Leader struct {
	Options

	mu         sync.Mutex
	seat       seat.Seat
	seats      map[string]*seat.Seat
	ledger     *quorum.Ledger
	zoneState  *zone.Leader
	ready      bool
	started    time.Time
	freeSince  time.Time
	deltaLogs  map[string]*deltalog.Log
	changed    chan struct{}
	nudges     chan struct{}
	heartbeats chan *control.BeatRequest
	// renewalsSinceRead counts renewals since the heads were read; used by Serve only.
	renewalsSinceRead int
	// renewalInDoubt is set after a renewal without a response; used by Serve only.
	renewalInDoubt bool
	// reportAcceptedAt is when the planner last accepted a report.
	reportAcceptedAt time.Time
	loads            loadSum
	tableFailing     bool
	stopping         bool
}

// New returns a Leader that has not read the seat yet.
func New(o Options) *Leader {
	l := &Leader{Options: o, deltaLogs: map[string]*deltalog.Log{}, seats: map[string]*seat.Seat{}}
	l.changed = make(chan struct{})
	l.nudges = make(chan struct{}, 1)
	l.heartbeats = make(chan *control.BeatRequest, maxQueuedHeartbeats)
	l.started = time.Now()
	l.seat = seat.Seat{Name: o.Zone, Self: seat.Record{
		Holder:      o.Instance,
		Incarnation: o.Incarnation,
		Address:     o.Address,
	}}
	return l
}

// Serve renews the seat, or tries to take it over, until the context ends.
func (l *Leader) Serve(ctx context.Context) error {
	for {
		pause := l.runOnce(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		case <-l.nudges:
			l.renewalsSinceRead = renewalsPerRead
		}
	}
}

// runOnce renews the seat or tries to take it over, and returns the pause after it.
func (l *Leader) runOnce(ctx context.Context) time.Duration {
	if l.Holding() {
		if l.PlannerUnresponsive() {
			// The planner's seat must be read at each renewal.
			l.renewalsSinceRead = renewalsPerRead
		}
		if !l.renew(ctx) {
			return retryInterval
		}
		if l.PlannerUnresponsive() {
			return fastRenewInterval
		}
		return renewInterval
	}
	if l.leaderUnresponsive() {
		l.tryTakeOver(ctx)
	}
	return candidateInterval
}

// PlannerUnresponsive reports whether the planner has accepted no report lately.
func (l *Leader) PlannerUnresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.reportAcceptedAt) > plannerTimeout
}

// Holding reports whether this instance holds the seat as last read; its authority may
// have expired.
func (l *Leader) Holding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seat.Holding()
}

// Leading reports whether this instance has the authority of the zone's leader
// at now.
func (l *Leader) Leading(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leading(now)
}

func (l *Leader) leading(now time.Time) bool {
	return l.ready && l.seat.Holding() && l.seat.Authority().Valid(now)
}

func (l *Leader) leaderUnresponsive() bool {
	last := l.Authority.LastContact()
	if last.Before(l.started) {
		last = l.started.Add(-leaderTimeout)
	}
	return time.Since(last) >= leaderTimeout
}

// renew renews the seat, with a read of the heads in the same round trip if one is
// due, and reports whether the renewal took effect.
func (l *Leader) renew(ctx context.Context) bool {
	if l.renewalInDoubt {
		// The renewal may have taken effect though its response was lost. A read
		// shows its token, and the next renewal needs its row version.
		l.transact(ctx, table.Transaction{})
		l.renewalInDoubt = false
	}
	l.mu.Lock()
	if l.stopping {
		l.mu.Unlock()
		return true
	}
	token := l.NewToken()
	sent := time.Now()
	tx, err := l.seat.Renew(sent, token)
	l.queueHeartbeat(sent)
	l.mu.Unlock()
	if err != nil {
		l.Log.Error("prepare seat renewal", "error", err)
		return false
	}
	if l.renewalsSinceRead++; l.renewalsSinceRead >= renewalsPerRead {
		l.renewalsSinceRead = 0
		return l.transact(ctx, tx)
	}
	return l.renewOnly(ctx, tx)
}

// renewOnly renews without reading. After a failure the next renewal reads, to find
// the cause.
func (l *Leader) renewOnly(ctx context.Context, tx table.Transaction) bool {
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := l.Table.Transact(callCtx, tx)
	l.recordTableResult(err)
	if err != nil || !res.Committed {
		l.renewalsSinceRead = renewalsPerRead
		l.renewalInDoubt = true
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seat.ConfirmRenewal(time.Now(), tx.Token, res.Revision)
	l.broadcast()
	return true
}

// transact executes a write together with a read of all heads, applies the result,
// and reports whether the write was committed.
func (l *Leader) transact(ctx context.Context, tx table.Transaction) bool {
	tx.ReadPrefixes = []string{headKeyPrefix}
	tx.ReadKeys = []string{seat.TermKey(l.Zone)}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := l.Table.Transact(callCtx, tx)
	l.recordTableResult(err)
	if err != nil {
		l.renewalInDoubt = len(tx.Puts) > 0
		return false
	}
	l.applyHeads(ctx, res)
	return res.Committed
}

func (l *Leader) recordTableResult(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bad := err != nil
	if bad == l.tableFailing {
		return
	}
	l.tableFailing = bad
	if bad {
		event.PlatformDown.Log(l.Log, "error", err)
		return
	}
	event.PlatformBack.Log(l.Log)
}

// tryTakeOver reads the seat, and claims it if it is free or its holder is evicted.
func (l *Leader) tryTakeOver(ctx context.Context) {
	l.transact(ctx, table.Transaction{})
	l.mu.Lock()
	now := time.Now()
	l.updateFollower()
	stopping, free := l.stopping, l.mayClaim(now)
	l.mu.Unlock()
	switch {
	case stopping:
	case free:
		l.claim(ctx, (*seat.Seat).Claim)
	case l.advanceEviction(ctx):
		l.claim(ctx, (*seat.Seat).ClaimAfterEviction)
	}
}

func (l *Leader) claim(ctx context.Context, prepare func(*seat.Seat, time.Time, string) (table.Transaction, error)) {
	l.mu.Lock()
	tx, err := prepare(&l.seat, time.Now(), l.NewToken())
	l.mu.Unlock()
	if err != nil {
		l.Log.Error("prepare seat claim", "error", err)
		return
	}
	l.transact(ctx, tx)
}

// advanceEviction advances the eviction of an unresponsive holder and reports whether
// it is complete. Candidates of lower rank begin later.
func (l *Leader) advanceEviction(ctx context.Context) bool {
	l.mu.Lock()
	unchangedFor := l.seat.UnchangedFor(time.Now())
	mayBegin := unchangedFor > evictor.SuspectAfter+l.rank()*rankDelay
	seats := l.otherSeats()
	l.mu.Unlock()
	return mayBegin && l.Evictor.Step(ctx, &l.mu, &l.seat, seats)
}

// otherSeats returns the other zones' seats as last read.
func (l *Leader) otherSeats() []seat.Record {
	var others []seat.Record
	for name, s := range l.seats {
		if r, _ := s.Record(); name != l.Zone {
			others = append(others, r)
		}
	}
	return others
}

// updateFollower makes the follower poll the holder of the seat as last read, unless the
// seat is free.
func (l *Leader) updateFollower() {
	r, _ := l.seat.Record()
	if r.Holder != "" && r.Address != l.Address && !l.seat.Free() {
		l.Follower.SetLeader(r.Address)
	}
}

// mayClaim reports whether this candidate's takeover delay is over. The delays differ
// by rank, so that the zone's instances do not all claim a free seat at once.
func (l *Leader) mayClaim(now time.Time) bool {
	if !l.seat.Free() {
		l.freeSince = time.Time{}
		return false
	}
	if l.freeSince.IsZero() {
		l.freeSince = now
	}
	return now.Sub(l.freeSince) >= l.rank()*rankDelay
}

func (l *Leader) rank() time.Duration {
	for i, m := range l.Follower.Members() {
		if m == l.Instance {
			return time.Duration(min(i, maxRank))
		}
	}
	return 0
}

// AddAnnouncement records the leader's renewal and the authority that it had left from the
// table.
func (l *Leader) AddAnnouncement(now time.Time, term, renewals uint64, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seat.AddAnnouncement(now, term, renewals, left)
}

// broadcast wakes all polls that wait for a change. It is called with the lock held.
func (l *Leader) broadcast() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Stop hands the seat over on shutdown, so that a candidate can claim it at once.
func (l *Leader) Stop(ctx context.Context) {
	l.mu.Lock()
	l.stopping = true
	if !l.seat.Holding() {
		l.mu.Unlock()
		return
	}
	tx, err := l.seat.HandOver(time.Now(), l.NewToken())
	l.zoneState, l.ledger, l.ready = nil, nil, false
	l.broadcast()
	l.mu.Unlock()
	if err == nil {
		_, err = l.Table.Transact(ctx, tx)
	}
	if err != nil {
		l.Log.Warn("hand over seat", "error", err)
		return
	}
	event.SeatHandedOver.Log(l.Log, "seat", l.Zone)
}

// Status is a leader's state for operators.
type Status struct {
	Zone    string        `json:"zone"`
	Leading bool          `json:"leading"`
	Record  seat.Record   `json:"record"`
	Members []zone.Member `json:"members,omitempty"`
	TableOK bool          `json:"tableOk"`
}

// Status returns the current state.
func (l *Leader) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _ := l.seat.Record()
	s := Status{Zone: l.Zone, Leading: l.leading(time.Now()), Record: r, TableOK: !l.tableFailing}
	if l.zoneState != nil {
		s.Members = l.zoneState.Members()
	}
	return s
}
