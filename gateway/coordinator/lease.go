package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"golang.org/x/sync/errgroup"
)

// Tables in the store that instances write, and the key of the lease's row.
const (
	// LeaseTable has one row, which the coordinator renews.
	LeaseTable = "coordinator"
	// AssignmentTable has a row for each sharded service, or several; see ownership.Rows.
	AssignmentTable = "assignment"
	// InstanceTable has a row for each instance.
	InstanceTable = "instance"

	LeaseKey = "lease"
)

const (
	// leaseDuration is how long a lease is valid, from the sending of its write. A
	// coordinator that stops responding is replaced after that; the grants that targets
	// hold last longer.
	leaseDuration = 2 * time.Second
	// renewInterval is the time between two writes of the lease.
	renewInterval = 500 * time.Millisecond
	// clockDriftFactor is how much faster than the holder's clock this instance's clock
	// may run.
	clockDriftFactor = 1.03
	// orderMargin is how long before the end of the lease the authority to send orders ends.
	orderMargin = 100 * time.Millisecond
	// hedgeDelay is the time after which a write without a response is sent again on another
	// connection. The condition on the row's revision makes the write idempotent.
	hedgeDelay = 500 * time.Millisecond
	// retryDelay is the delay before a write is sent again after an attempt has failed.
	retryDelay = 150 * time.Millisecond
	// attemptTimeout bounds one attempt of a write, and the reads of the store.
	attemptTimeout = 3 * time.Second
)

// Lease is the value of the lease's row. LeaseMs 0 means that the holder has released it.
type Lease struct {
	Term        int64  `json:"term"`
	Holder      string `json:"holder"`
	Incarnation string `json:"life"`
	LeaseMs     int64  `json:"leaseMs"`
	// Seq numbers the holder's writes, to find out whether one without a response took effect.
	Seq int64 `json:"seq"`
}

// leaseRow is what the lease's row holds: the lease, and the quarantined requests, which outlast all
// instances there.
type leaseRow struct {
	Lease
	Quarantined []quarantinedRow `json:"quarantined,omitempty"`
}

// quarantinedRow is a quarantined request. LeftMs is what is left of DurationMs when the row is
// written.
type quarantinedRow struct {
	Fingerprint []byte `json:"fingerprint"`
	LeftMs      int64  `json:"leftMs"`
	DurationMs  int64  `json:"durationMs"`
}

func (r *leaseRow) encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic("coordinator: encode lease: " + err.Error())
	}
	return text
}

func quarantinedRows(now time.Time, entries []quarantine.Entry) (rows []quarantinedRow) {
	for _, q := range peers.EncodeQuarantined(now, entries) {
		rows = append(rows, quarantinedRow{Fingerprint: q.Fingerprint, LeftMs: q.LeftMs, DurationMs: q.DurationMs})
	}
	return rows
}

// ParseQuarantined decodes the quarantined requests in the value of the lease's row.
func ParseQuarantined(text []byte) (list []peers.Quarantined, err error) {
	r := leaseRow{}
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("parse quarantined requests of the lease: %w", err)
	}
	for _, q := range r.Quarantined {
		list = append(list, peers.Quarantined{Fingerprint: q.Fingerprint, LeftMs: q.LeftMs, DurationMs: q.DurationMs})
	}
	return list, nil
}

// observedLease is the newest state of the lease's row that this instance has received.
type observedLease struct {
	revision uint64
	lease    Lease
	// firstSeen is when it was received first, by the boot-time clock.
	firstSeen time.Duration
	known     bool
}

// hasEnded reports whether the row's holder has no authority any more: it released the
// lease, it was an earlier incarnation of the instance with the given name, or the lease
// has expired since the row was first seen. A renewal would have changed the row.
func (o *observedLease) hasEnded(now time.Duration, name, incarnation string) bool {
	if !o.known {
		return false
	}
	if o.revision == 0 || o.lease.LeaseMs == 0 {
		return true
	}
	if o.lease.Holder == name && o.lease.Incarnation != incarnation {
		return true
	}
	valid := time.Duration(float64(o.lease.LeaseMs)*clockDriftFactor) * time.Millisecond
	return now >= o.firstSeen+valid+orderMargin
}

type writeResult struct {
	ok bool
	// revision is the revision of the write, or of the conflicting row, whose value is
	// current.
	revision uint64
	current  Lease
	// invalid is set if the store never accepts the transaction as it is.
	invalid bool
	// storeClock is the store's clock at the write, in a response that arrived at
	// storeClockAt; 0 without such a response.
	storeClock   time.Duration
	storeClockAt time.Time
	took         time.Duration
}

// writeLease executes a transaction that sets the lease row, on the condition that the row
// has the expected revision, together with the changes in tx. It retries until it is certain
// whether the transaction took effect, or the context ends.
func (c *Coordinator) writeLease(ctx context.Context, lease *Lease, expected uint64, tx platform.Transaction) writeResult {
	started := time.Now()
	tx.Conditions = []platform.Condition{{Table: LeaseTable, Key: LeaseKey, Revision: expected}}
	row := leaseRow{Lease: *lease, Quarantined: quarantinedRows(started, c.Quarantine.Entries(started))}
	tx.Set = append([]platform.Write{{Table: LeaseTable, Key: LeaseKey, Value: row.encode()}}, tx.Set...)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan storeResponse, 1)
	var group errgroup.Group
	send := func() {
		group.Go(func() error {
			attemptCtx, cancelAttempt := context.WithTimeout(ctx, attemptTimeout)
			defer cancelAttempt()
			response, err := c.Store.Transact(attemptCtx, tx)
			select {
			case responses <- storeResponse{response, err, time.Now()}:
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
			return writeResult{took: time.Since(started)}
		case <-timer.C:
			send()
			timer.Reset(hedgeDelay)
		case r := <-responses:
			if result, final := c.evaluate(lease, r); final {
				result.took = time.Since(started)
				return result
			}
			timer.Reset(retryDelay)
		}
	}
}

type storeResponse struct {
	response platform.Response
	err      error
	at       time.Time
}

// evaluate returns what a response proves, and whether that is final. A conflicting row with
// this write's own Seq shows that an earlier attempt took effect, though its response was lost.
func (c *Coordinator) evaluate(lease *Lease, a storeResponse) (result writeResult, final bool) {
	if a.err == nil {
		return writeResult{ok: true, revision: a.response.Revision, storeClock: time.Duration(a.response.Now), storeClockAt: a.at}, true
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
		if err := json.Unmarshal(r.Value, &result.current); err != nil {
			c.logStoreFailure("parse lease", err)
		}
		result.revision = r.Revision
	}
	result.ok = result.current == *lease
	return result, true
}

// acquireLease writes the lease's row for the next term, on the condition that the row is
// still the observed one.
func (c *Coordinator) acquireLease(ctx context.Context) {
	c.leaseCallActive = true
	sent := boottime()
	lease := Lease{Term: c.observed.lease.Term + 1, Holder: c.Self.Name, Incarnation: c.Self.Incarnation, LeaseMs: leaseDuration.Milliseconds(), Seq: 1}
	expected := c.observed.revision
	c.group.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, leaseDuration)
		defer cancel()
		result := c.writeLease(callCtx, &lease, expected, platform.Transaction{})
		c.enqueue(ctx, func() { c.onLeaseAcquired(ctx, lease, sent, result) })
		return nil
	})
}

func (c *Coordinator) onLeaseAcquired(ctx context.Context, lease Lease, sent time.Duration, result writeResult) {
	c.leaseCallActive = false
	if !result.ok {
		if result.revision != 0 {
			c.observe(result.revision, result.current)
		}
		return
	}
	termCtx, cancel := context.WithCancel(ctx)
	c.observe(result.revision, lease)
	c.leadership = newLeadership(termCtx, cancel, lease, result.revision, c.Self.Cores)
	c.leadership.authorityEnd.Store(int64(sent + leaseDuration - orderMargin))
	c.speeds.begin(time.Now())
	c.RestartFeeds()
	event.LeadGained.Log(c.Log, "term", lease.Term, "revision", result.revision)
	c.lead(ctx)
}
