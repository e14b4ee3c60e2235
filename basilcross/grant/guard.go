package grant

import (
	"slices"
	"sync"
	"time"

	"basilcross.example/basilcross/lease"
)

// maxStamps bounds the issued stamps that a guard accepts. It exceeds the number
// of renewers of a target, each of which has one order in flight.
const maxStamps = 32

// Guard is a target's side of the protocol: it applies orders and admits the
// requests that its grants cover. Incarnation must be set and unique to the
// process; until the first order the guard admits nothing.
type Guard struct {
	Incarnation string
	// OnHeld, if set, is called with each period in which the guard would have
	// admitted requests under a grant; for tests and audits.
	OnHeld func(g Grant, from, until time.Time)

	mu            sync.Mutex
	reportedUntil time.Time
	version       uint64
	grants        []Grant
	runningByHash map[uint64]int
	lease         lease.Lease
	stamp         uint64
	stampTimes    map[uint64]time.Time
}

// Apply applies an order that arrived at now and returns the status after it. An
// order with an older version than the current one, for another incarnation, or
// with an unknown stamp renews no lease.
func (g *Guard) Apply(now time.Time, o Order) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportHeld(now)
	renewed := false
	if o.Lease > 0 && o.Incarnation == g.Incarnation && o.Version >= g.version {
		g.replaceGrants(o)
		renewed = o.Version == g.version && g.renewLease(now, o)
	}
	return Status{
		Incarnation: g.Incarnation,
		Stamp:       g.issueStamp(now),
		Version:     g.version,
		Renewed:     renewed,
		Drained:     g.drainedGrants(),
		InFlight:    g.inFlight(),
	}
}

// replaceGrants installs the grants of an order of a newer version that has any.
func (g *Guard) replaceGrants(o Order) {
	if o.Version == g.version || !o.Full {
		return
	}
	g.version = o.Version
	g.grants = slices.Clone(o.Grants)
	slices.SortFunc(g.grants, func(a, b Grant) int {
		if a.First < b.First {
			return -1
		}
		return 1
	})
}

// renewLease counts the lease from when the stamp was issued. An order may be
// delayed without bound; counted from its arrival, a late one would give a
// lease after its sender has waited for the end of that lease.
func (g *Guard) renewLease(now time.Time, o Order) bool {
	issued, ok := g.stampTimes[o.Stamp]
	if !ok {
		return false
	}
	next := lease.New(issued, o.Lease)
	if !next.Valid(now) {
		return false
	}
	g.lease = g.lease.Later(next)
	return true
}

func (g *Guard) issueStamp(now time.Time) uint64 {
	if g.stampTimes == nil {
		g.stampTimes = map[uint64]time.Time{}
	}
	g.stamp++
	g.stampTimes[g.stamp] = now
	delete(g.stampTimes, g.stamp-maxStamps)
	return g.stamp
}

// Flush reports the period up to now to OnHeld, as Apply does. It is called
// before a guard is discarded.
func (g *Guard) Flush(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportHeld(now)
}

func (g *Guard) reportHeld(now time.Time) {
	if g.OnHeld == nil {
		return
	}
	until := now
	if end := g.lease.Sent.Add(g.lease.Length); end.Before(now) {
		until = end
	}
	for _, grant := range g.grants {
		if !grant.Revoked && until.After(g.reportedUntil) {
			g.OnHeld(grant, g.reportedUntil, until)
		}
	}
	g.reportedUntil = now
}

func (g *Guard) drainedGrants() []Drained {
	var done []Drained
	for _, grant := range g.grants {
		if grant.Revoked && !g.hasRunning(grant) {
			done = append(done, Drained{First: grant.First, Epoch: grant.Epoch})
		}
	}
	return done
}

// hasRunning reports whether a request for a key in the grant's range is
// running. It compares the requests' hashes, not the grants that admitted them:
// the shard may have been split since, and a part may be moving to another owner.
func (g *Guard) hasRunning(grant Grant) bool {
	for hash := range g.runningByHash {
		if grant.First <= hash && hash <= grant.Last {
			return true
		}
	}
	return false
}

func (g *Guard) inFlight() int {
	n := 0
	for _, running := range g.runningByHash {
		n += running
	}
	return n
}

// Admission is a request that the guard admitted. Done must be called once.
type Admission struct {
	guard *Guard
	hash  uint64
	epoch uint64
}

// Admit admits a request for the key hash under the epoch, or returns a
// RefusedError.
func (g *Guard) Admit(now time.Time, hash, epoch uint64) (*Admission, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	grant, reason := g.findGrant(now, hash, epoch)
	if reason == "" && grant.Revoked {
		reason = Moved
	}
	if reason != "" {
		return nil, &RefusedError{Reason: reason, Hash: hash, Epoch: epoch}
	}
	if g.runningByHash == nil {
		g.runningByHash = map[uint64]int{}
	}
	g.runningByHash[hash]++
	return &Admission{guard: g, hash: hash, epoch: epoch}, nil
}

func (g *Guard) findGrant(now time.Time, hash, epoch uint64) (Grant, RefusalReason) {
	i := slices.IndexFunc(g.grants, func(grant Grant) bool {
		return grant.First <= hash && hash <= grant.Last
	})
	if i < 0 || g.grants[i].Epoch != epoch {
		return Grant{}, NotOwner
	}
	if !g.lease.Valid(now) {
		return Grant{}, LeaseExpired
	}
	return g.grants[i], ""
}

// Commit runs the request's effect if the target still owns the key, and
// returns a RefusedError otherwise.
//
// It guards against a pause of the process between Admit and the effect, during
// which the lease expires and another target takes the key over, so it checks
// immediately before the effect. An effect on external storage should also send
// the epoch there as a fencing token, since the process can be paused between the
// check and the effect as well.
func (a *Admission) Commit(effect func(now time.Time)) error {
	g := a.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if _, reason := g.findGrant(now, a.hash, a.epoch); reason != "" {
		return &RefusedError{Reason: reason, Hash: a.hash, Epoch: a.epoch}
	}
	effect(now)
	return nil
}

// Done records the end of the request.
func (a *Admission) Done() {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.runningByHash[a.hash]--
	if a.guard.runningByHash[a.hash] == 0 {
		delete(a.guard.runningByHash, a.hash)
	}
}

// LeaseLeft returns the time left of the lease at now; 0 if it has expired.
func (g *Guard) LeaseLeft(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.Left(now)
}
