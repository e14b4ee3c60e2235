package grant

import (
	"slices"
	"sync"
	"time"

	"basilcross.example/basilcross/lease"
)

// maxStamps bounds the stamps that a guard remembers. It exceeds the number
// of renewers of a target, each of which has one order under way.
const maxStamps = 32

// Guard is a target's side of the protocol: it takes orders and admits the
// requests that the grants cover. Incarnation must be unique to the process.
// The zero value otherwise works and admits nothing.
type Guard struct {
	Incarnation string
	// OnHeld, if set, is told of each span in which the guard was ready to
	// admit requests for a grant; for tests and for audits.
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

// Apply takes an order that arrived at now. Orders under an older version than
// the one held, for another incarnation, or with a stamp not of this guard
// give no lease.
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

// replaceGrants takes over a newer version's grants, if the order has them.
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
// under way for any time; counted from its arrival, a late one would give a
// lease that its sender has long waited out.
func (g *Guard) renewLease(now time.Time, o Order) bool {
	sent, ok := g.stampTimes[o.Stamp]
	if !ok {
		return false
	}
	next := lease.New(sent, o.Lease)
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

// Flush tells Held of the span up to now; Apply does so by itself. It is
// called before a guard is given up.
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

// hasRunning tells whether a request for the grant's range runs. It goes by the
// requests' hashes and not by the grant that admitted them: the shard may have
// been split since, and its parts may move while they run.
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

// Admission is a request that the guard has let in. Done must be called once.
type Admission struct {
	guard *Guard
	hash  uint64
	epoch uint64
}

// Admit admits a request, or returns a RefusedError.
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

// Commit carries out a request's effect if the target still owns the key.
//
// The failure: the process is paused between Enter and the effect, the lease
// lapses, another target takes the key over, and the process goes on as if
// nothing had happened. The check and the effect therefore stand together. An
// effect on a store of its own that outlives the process should carry the
// epoch there, since a pause can also fall between these two lines.
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

// Done ends the request.
func (a *Admission) Done() {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.guard.runningByHash[a.hash]--
	if a.guard.runningByHash[a.hash] == 0 {
		delete(a.guard.runningByHash, a.hash)
	}
}

// LeaseLeft returns what is left of the lease at now.
func (g *Guard) LeaseLeft(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.Left(now)
}
