package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"basilcross.example/platform"
	"golang.org/x/sync/errgroup"
)

// Tables of ours in the store.
const (
	// LeaseTable has one row, which the coordinator renews.
	LeaseTable = "coordinator"
	// AssignmentTable has a row for each sharded service.
	AssignmentTable = "assignment"
	// InstanceTable has a row for each instance.
	InstanceTable = "instance"

	LeaseKey = "lease"
)

const (
	// leaseDuration is how long a lease is good, from the sending of its write. An
	// instance that falls silent is replaced after that; the grants of targets
	// outlast it.
	leaseDuration = 2 * time.Second
	// renewInterval is the time between two writes of the lease.
	renewInterval = 500 * time.Millisecond
	// clockDriftFactor is how much faster another instance's clock may run.
	clockDriftFactor = 1.03
	// orderMargin ends the authority to send orders before the lease's end.
	orderMargin = 100 * time.Millisecond
	// hedgeDelay is when a write without an answer is sent again on another
	// connection. Its condition makes the second one harmless.
	hedgeDelay = 500 * time.Millisecond
	// retryDelay is the wait after the store did not take a write.
	retryDelay = 150 * time.Millisecond
	// attemptTimeout bounds one try of a write.
	attemptTimeout = 3 * time.Second
)

// Lease is the row of the coordinator. LeaseMs 0 means that it was given up.
type Lease struct {
	Term        int64  `json:"term"`
	Holder      string `json:"holder"`
	Incarnation string `json:"life"`
	LeaseMs     int64  `json:"leaseMs"`
	// Seq tells the holder's writes apart, for settling those without answer.
	Seq int64 `json:"seq"`
}

func (l *Lease) encode() []byte {
	text, err := json.Marshal(l)
	if err != nil {
		panic("coordinator: lease does not encode: " + err.Error())
	}
	return text
}

// observedLease is the newest row that this instance knows of.
type observedLease struct {
	revision uint64
	lease    Lease
	// firstSeen is when it was first seen, by the boot-time clock.
	firstSeen time.Duration
	known     bool
}

// hasEnded tells whether the row's holder has no authority any more: it gave up,
// its process has ended since another one runs in its place, or its time has
// passed since the row was first seen. A renewal would have changed the row.
func (s *observedLease) hasEnded(now time.Duration, name, life string) bool {
	if !s.known {
		return false
	}
	if s.revision == 0 || s.lease.LeaseMs == 0 {
		return true
	}
	if s.lease.Holder == name && s.lease.Incarnation != life {
		return true
	}
	good := time.Duration(float64(s.lease.LeaseMs)*clockDriftFactor) * time.Millisecond
	return now >= s.firstSeen+good+orderMargin
}

// writeResult is how a conditional write ended.
type writeResult struct {
	ok bool
	// revision of the write, or of the row that stood in its way.
	revision uint64
	current  Lease
	// invalid is set if the store does not take such a transaction at all.
	invalid bool
	// storeClock is the store's clock at the write, if its answer came, at at.
	storeClock   time.Duration
	storeClockAt time.Time
	took         time.Duration
}

// writeLease carries out a transaction that sets the lease row, and finds out for
// certain whether it took effect. It gives up only when the context ends.
func (c *Coordinator) writeLease(ctx context.Context, mine *Lease, on uint64, more []platform.Write) writeResult {
	began := time.Now()
	tx := platform.Transaction{
		Conditions: []platform.Condition{{Table: LeaseTable, Key: LeaseKey, Revision: on}},
		Set:        append([]platform.Write{{Table: LeaseTable, Key: LeaseKey, Value: mine.encode()}}, more...),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan storeAnswer, 1)
	var group errgroup.Group
	send := func() {
		group.Go(func() error {
			tryCtx, cancelTry := context.WithTimeout(ctx, attemptTimeout)
			defer cancelTry()
			done, err := c.Store.Transact(tryCtx, tx)
			select {
			case answers <- storeAnswer{done, err, time.Now()}:
			case <-ctx.Done():
			}
			return nil
		})
	}
	send()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return writeResult{took: time.Since(began)}
		case <-timer.C:
			send()
			timer.Reset(hedgeDelay)
		case a := <-answers:
			if s, final := c.evaluate(mine, a); final {
				s.took = time.Since(began)
				return s
			}
			timer.Reset(retryDelay)
		}
	}
}

type storeAnswer struct {
	rows platform.Response
	err  error
	at   time.Time
}

// evaluate tells what an answer proves. A row with this write's own number shows
// that an earlier try took effect though its answer was lost.
func (c *Coordinator) evaluate(mine *Lease, a storeAnswer) (s writeResult, final bool) {
	if a.err == nil {
		return writeResult{ok: true, revision: a.rows.Revision, storeClock: time.Duration(a.rows.Now), storeClockAt: a.at}, true
	}
	var conflict *platform.ConflictError
	var rejected *platform.RejectedError
	if errors.As(a.err, &rejected) && rejected.Invalid() {
		c.logStoreFailure("write lease", a.err)
		return writeResult{invalid: true}, true
	}
	if !errors.As(a.err, &conflict) {
		c.logStoreFailure("write lease", a.err)
		return writeResult{}, false
	}
	for _, r := range conflict.Rows {
		if r.Table != LeaseTable || r.Key != LeaseKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &s.current); err != nil {
			c.logStoreFailure("parse lease", err)
		}
		s.revision = r.Revision
	}
	s.ok = s.current == *mine
	return s, true
}
