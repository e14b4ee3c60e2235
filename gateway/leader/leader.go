// Package leader is the duty of leading an availability zone: holding the
// zone's seat, reading what is agreed from the table, and answering the polls
// of the zone's instances.
package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/deltalog"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/object"
	"basilcross.example/basilcross/promise"
	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"basilcross.example/basilcross/zone"
	"basilcross.example/gateway/authority"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/evictor"
	"basilcross.example/gateway/follower"
	"basilcross.example/gateway/peer"
	"basilcross.example/gateway/view"
)

const (
	// renewInterval lies between two renewals of the seat.
	renewInterval = 400 * time.Millisecond
	// renewalsPerRead is how many renewals go without reading the heads, unless a
	// nudge comes: news spreads by nudges, and the heads are many bytes.
	renewalsPerRead = 3
	// candidateInterval lies between two looks at the seat while the leader
	// is silent.
	candidateInterval = 100 * time.Millisecond
	// leaderTimeout is the leader's silence after which an instance looks at
	// the seat itself.
	leaderTimeout = 650 * time.Millisecond
	// rankDelay is what each place in the order of candidates waits longer.
	rankDelay = 80 * time.Millisecond
	// maxRank bounds the wait of instances far down the order.
	maxRank = 5
	// fastRenewInterval lies between two turns while the planner is silent, and
	// plannerSilence is the time without a report taken after which it is.
	fastRenewInterval = 150 * time.Millisecond
	plannerTimeout    = 600 * time.Millisecond
	// retryInterval lies between a renewal that failed and the next.
	retryInterval = 50 * time.Millisecond
	// tableTimeout bounds one transaction; a later answer would bring less
	// authority than it costs to wait for.
	tableTimeout = 800 * time.Millisecond
)

// Options are what a Duty needs; all fields must be set.
type Options struct {
	Instance    string
	Incarnation string
	Address     string
	Zone        string
	Table       table.Client
	// Direct reaches the table without the help of other leaders.
	Direct    table.Client
	Evictor   *evictor.Evictor
	Objects   object.Client
	View      *view.View
	Follower  *follower.Follower
	Authority *authority.Authority
	Planner   Planner
	Peers     *peer.Caller
	Log       *slog.Logger
	// NewToken returns a new unique token.
	NewToken func() string
}

// Planner is the planning duty of the same instance.
type Planner interface {
	control.Planner
	// Observe takes in the planner seat's row; nil if there is none.
	Observe(now time.Time, row *table.Row)
	// ReceiveHeartbeat takes in a sign of life of a zone's leader.
	ReceiveHeartbeat(now time.Time, beat *control.BeatRequest)
	// Address returns where the present planner is; empty if unknown.
	Address() string
}

// Leader leads the zone while its instance holds the seat, and stands by as a
// candidate otherwise.
type Leader struct {
	Options

	mu         sync.Mutex
	seat       seat.Seat
	seats      map[string]*seat.Seat
	ledger     *promise.Ledger
	zoneState  *zone.Leader
	ready      bool
	started    time.Time
	freeSince  time.Time
	deltaLogs  map[string]*deltalog.Log
	changed    chan struct{}
	nudges     chan struct{}
	heartbeats chan *control.BeatRequest
	// renewalsSinceRead counts renewals since the heads were read; Serve's own.
	renewalsSinceRead int
	// renewalInDoubt is set after a renewal without an answer; Serve's own.
	renewalInDoubt bool
	// reportAcceptedAt is when the planner last took a report.
	reportAcceptedAt time.Time
	loads            loadSum
	tableFailing     bool
	stopping         bool
}

// New returns a duty that has not looked at the seat yet.
func New(o Options) *Leader {
	d := &Leader{Options: o, deltaLogs: map[string]*deltalog.Log{}, seats: map[string]*seat.Seat{}}
	d.changed = make(chan struct{})
	d.nudges = make(chan struct{}, 1)
	d.heartbeats = make(chan *control.BeatRequest, maxQueuedHeartbeats)
	d.started = time.Now()
	d.seat = seat.Seat{Name: o.Zone, Self: seat.Record{
		Holder:      o.Instance,
		Incarnation: o.Incarnation,
		Address:     o.Address,
	}}
	return d
}

// Serve holds or watches the seat until the context ends.
func (d *Leader) Serve(ctx context.Context) error {
	for {
		pause := d.runOnce(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		case <-d.nudges:
			d.renewalsSinceRead = renewalsPerRead
		}
	}
}

// runOnce does what is due and returns the pause until the next turn.
func (d *Leader) runOnce(ctx context.Context) time.Duration {
	if d.Holding() {
		if d.PlannerUnresponsive() {
			// Its seat has to be watched closely.
			d.renewalsSinceRead = renewalsPerRead
		}
		if !d.renew(ctx) {
			return retryInterval
		}
		if d.PlannerUnresponsive() {
			return fastRenewInterval
		}
		return renewInterval
	}
	if d.leaderUnresponsive() {
		d.tryTakeOver(ctx)
	}
	return candidateInterval
}

// PlannerUnresponsive tells whether the planner has taken no report lately.
func (d *Leader) PlannerUnresponsive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.reportAcceptedAt) > plannerTimeout
}

// Holding tells whether this instance holds the seat as far as it knows.
func (d *Leader) Holding() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seat.Holding()
}

// Leading tells whether this instance has the authority of the zone's leader
// at now.
func (d *Leader) Leading(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leading(now)
}

func (d *Leader) leading(now time.Time) bool {
	return d.ready && d.seat.Holding() && d.seat.Authority().Valid(now)
}

func (d *Leader) leaderUnresponsive() bool {
	last := d.Authority.LastContact()
	if last.Before(d.started) {
		last = d.started.Add(-leaderTimeout)
	}
	return time.Since(last) >= leaderTimeout
}

// renew keeps the seat and reads what is new in one round trip. It tells
// whether the renewal took effect.
func (d *Leader) renew(ctx context.Context) bool {
	if d.renewalInDoubt {
		// The renewal may have taken effect and only its answer be lost. A
		// reading shows its token, and the next one needs its row version.
		d.transact(ctx, table.Transaction{})
		d.renewalInDoubt = false
	}
	d.mu.Lock()
	if d.stopping {
		d.mu.Unlock()
		return true
	}
	token := d.NewToken()
	sent := time.Now()
	tx, err := d.seat.Renew(sent, token)
	d.queueHeartbeat(sent)
	d.mu.Unlock()
	if err != nil {
		d.Log.Error("renew", "error", err)
		return false
	}
	if d.renewalsSinceRead++; d.renewalsSinceRead >= renewalsPerRead {
		d.renewalsSinceRead = 0
		return d.transact(ctx, tx)
	}
	return d.renewOnly(ctx, tx)
}

// renewOnly renews without reading. A renewal that fails is followed by one
// that reads, to see why.
func (d *Leader) renewOnly(ctx context.Context, tx table.Transaction) bool {
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := d.Table.Transact(callCtx, tx)
	d.recordTableResult(err)
	if err != nil || !res.Committed {
		d.renewalsSinceRead = renewalsPerRead
		d.renewalInDoubt = true
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seat.ConfirmRenewal(time.Now(), tx.Token, res.Revision)
	d.broadcast()
	return true
}

// transact adds the reading of all heads to a write, carries both out, takes
// in the result, and tells whether it was committed.
func (d *Leader) transact(ctx context.Context, tx table.Transaction) bool {
	tx.ReadPrefixes = []string{headKeyPrefix}
	tx.ReadKeys = []string{seat.TermKey(d.Zone)}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	res, err := d.Table.Transact(callCtx, tx)
	d.recordTableResult(err)
	if err != nil {
		d.renewalInDoubt = len(tx.Puts) > 0
		return false
	}
	d.applyHeads(ctx, res)
	return res.Committed
}

func (d *Leader) recordTableResult(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	bad := err != nil
	if bad == d.tableFailing {
		return
	}
	d.tableFailing = bad
	if bad {
		event.PlatformDown.Log(d.Log, "error", err)
		return
	}
	event.PlatformBack.Log(d.Log)
}

// tryTakeOver looks at the seat as a candidate and takes it when it is free.
func (d *Leader) tryTakeOver(ctx context.Context) {
	d.transact(ctx, table.Transaction{})
	d.mu.Lock()
	now := time.Now()
	d.updateFollower()
	stopping, free := d.stopping, d.mayClaim(now)
	d.mu.Unlock()
	switch {
	case stopping:
	case free:
		d.claim(ctx, (*seat.Seat).Claim)
	case d.advanceEviction(ctx):
		d.claim(ctx, (*seat.Seat).ClaimAfterEviction)
	}
}

func (d *Leader) claim(ctx context.Context, how func(*seat.Seat, time.Time, string) (table.Transaction, error)) {
	d.mu.Lock()
	tx, err := how(&d.seat, time.Now(), d.NewToken())
	d.mu.Unlock()
	if err != nil {
		d.Log.Error("claim", "error", err)
		return
	}
	d.transact(ctx, tx)
}

// advanceEviction works on the eviction of a silent holder and tells whether it is
// complete. The first candidate begins; the others wait longer.
func (d *Leader) advanceEviction(ctx context.Context) bool {
	d.mu.Lock()
	silent := d.seat.UnchangedFor(time.Now())
	first := silent > evictor.SuspectAfter+d.rank()*rankDelay
	seats := d.otherSeats()
	d.mu.Unlock()
	return first && d.Evictor.Step(ctx, &d.mu, &d.seat, seats)
}

// otherSeats returns the records of the other zones' seats as last read.
func (d *Leader) otherSeats() []seat.Record {
	var others []seat.Record
	for name, s := range d.seats {
		if r, _ := s.Record(); name != d.Zone {
			others = append(others, r)
		}
	}
	return others
}

// updateFollower points the follower at a holder that may still be there.
func (d *Leader) updateFollower() {
	r, _ := d.seat.Record()
	if r.Holder != "" && r.Address != d.Address && !d.seat.Free() {
		d.Follower.SetLeader(r.Address)
	}
}

// mayClaim lets the candidates go one after another, so that a free seat is
// not fought over by every instance of the zone at once.
func (d *Leader) mayClaim(now time.Time) bool {
	if !d.seat.Free() {
		d.freeSince = time.Time{}
		return false
	}
	if d.freeSince.IsZero() {
		d.freeSince = now
	}
	return now.Sub(d.freeSince) >= d.rank()*rankDelay
}

func (d *Leader) rank() time.Duration {
	for i, m := range d.Follower.Members() {
		if m == d.Instance {
			return time.Duration(min(i, maxRank))
		}
	}
	return 0
}

// Hint takes in what the present leader said of its seat.
func (d *Leader) Hint(now time.Time, term, renewals uint64, left time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seat.AddHint(now, term, renewals, left)
}

// broadcast wakes all who wait for news. It is called with the lock held.
func (d *Leader) broadcast() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Stop hands the seat over before the instance shuts down.
func (d *Leader) Stop(ctx context.Context) {
	d.mu.Lock()
	d.stopping = true
	if !d.seat.Holding() {
		d.mu.Unlock()
		return
	}
	tx, err := d.seat.HandOver(time.Now(), d.NewToken())
	d.zoneState, d.ledger, d.ready = nil, nil, false
	d.broadcast()
	d.mu.Unlock()
	if err == nil {
		_, err = d.Table.Transact(ctx, tx)
	}
	if err != nil {
		d.Log.Warn("seat not handed over", "error", err)
		return
	}
	event.SeatHandedOver.Log(d.Log, "seat", d.Zone)
}

// Status is a leader's state for operators.
type Status struct {
	Zone    string        `json:"zone"`
	Leading bool          `json:"leading"`
	Record  seat.Record   `json:"record"`
	Members []zone.Member `json:"members,omitempty"`
	TableOK bool          `json:"tableOk"`
}

// Status returns the present state.
func (d *Leader) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, _ := d.seat.Record()
	s := Status{Zone: d.Zone, Leading: d.leading(time.Now()), Record: r, TableOK: !d.tableFailing}
	if d.zoneState != nil {
		s.Members = d.zoneState.Members()
	}
	return s
}
