package experiment

import "time"

// orderFunc chooses which of the requests that wait goes first.
type orderFunc func(k *oracleRun, a, b *request) bool

func byWorth(k *oracleRun, a, b *request) bool {
	return a.kind.Worth*float64(k.expectedWork(b)) > b.kind.Worth*float64(k.expectedWork(a))
}

func byObjective(_ *oracleRun, a, b *request) bool {
	return a.arrival+millis(a.kind.Objective) < b.arrival+millis(b.kind.Objective)
}

func newestFirst(_ *oracleRun, a, b *request) bool { return a.arrival > b.arrival }

// policy is one way of deciding with foresight.
type policy struct {
	before orderFunc
	// reservesSlots slots for requests that are still to come and worth more.
	reservesSlots bool
	// servesLate requests get slots that no other one could use.
	servesLate bool
	// estimatesWork takes each request for one of its kind, with the mean work and a
	// share of the spread above it; otherwise its own work is known.
	estimatesWork bool
	margin        float64
}

// Bound is the best that a queue does at a level which knows all work, all speeds
// and all that is still to come: no message takes time, nothing is refused by
// chance, and what would be late is left out. It is the best of several orders, and
// not the best there is.
func (l *Load) Bound(level float64, seed uint64) *Report {
	var policies []policy
	for _, before := range []orderFunc{byWorth, byObjective} {
		policies = append(policies, policy{before: before}, policy{before: before, reservesSlots: true})
	}
	return l.bestOf("bound", level, seed, policies)
}

// KindsBound is the same without knowledge that nobody can have: the work of a
// single request. Its kind's mean and spread are known.
func (l *Load) KindsBound(level float64, seed uint64) *Report {
	var policies []policy
	for _, before := range []orderFunc{byWorth, byObjective, newestFirst} {
		for _, margin := range []float64{0, 0.5} {
			for _, keeps := range []bool{false, true} {
				for _, late := range []bool{false, true} {
					policies = append(policies, policy{before, keeps, late, true, margin})
				}
			}
		}
	}
	return l.bestOf("kindsBound", level, seed, policies)
}

func (l *Load) bestOf(way string, level float64, seed uint64, policies []policy) *Report {
	var best *Report
	for _, p := range policies {
		if r := l.simulatePolicy(way, level, seed, p); best == nil || r.WorthShare() > best.WorthShare() {
			best = r
		}
	}
	return best
}

// oracleRun is a play of a policy.
type oracleRun struct {
	eventLoop
	policy
	targets []*simTarget
	// slotFreeAt are when each slot of each server is free.
	slotFreeAt [][]time.Duration
	waiting    [][]*request
	// upcoming are the requests of each group that are still to come.
	upcoming [][]*request
	report   *Report
}

func (l *Load) simulatePolicy(way string, level float64, seed uint64, p policy) *Report {
	k := &oracleRun{targets: l.simTargets(), policy: p, report: l.newReport(way, level)}
	for _, s := range k.targets {
		k.slotFreeAt = append(k.slotFreeAt, make([]time.Duration, s.Slots))
	}
	k.waiting = make([][]*request, len(k.targets))
	k.upcoming = make([][]*request, len(k.targets))
	for _, r := range l.requests(level, seed) {
		g := max(0, r.target)
		k.upcoming[g] = append(k.upcoming[g], r)
		k.after(r.arrival, func() {
			k.report.recordArrival(r)
			k.upcoming[g] = k.upcoming[g][1:]
			k.waiting[g] = append(k.waiting[g], r)
			k.assignSlots(g)
		})
	}
	k.run()
	for _, list := range k.waiting {
		for _, r := range list {
			k.report.recordRefusal(r)
		}
	}
	return k.report
}

// expectedWork is what is known of a request's work.
func (k *oracleRun) expectedWork(r *request) time.Duration {
	if !k.estimatesWork {
		return r.work
	}
	return millis(r.kind.MeanWork * (1 + k.margin*r.kind.Spread))
}

// assignSlots gives free slots of a group to requests that wait.
func (k *oracleRun) assignSlots(g int) {
	for len(k.waiting[g]) > 0 {
		n, slot := k.fastestFreeSlot(g)
		if n < 0 {
			return
		}
		i := k.next(g, n)
		if i < 0 {
			return
		}
		r := k.waiting[g][i]
		k.waiting[g] = append(k.waiting[g][:i], k.waiting[g][i+1:]...)
		took := time.Duration(float64(r.work) * k.targets[n].slownessAt(k.now))
		k.slotFreeAt[n][slot] = k.now + took
		k.report.recordResponse(r, k.now+took)
		k.after(took, func() { k.assignSlots(g) })
	}
}

// fastestFreeSlot returns a free slot at the fastest server of a group.
func (k *oracleRun) fastestFreeSlot(g int) (server, slot int) {
	server = -1
	for n := range k.targets {
		if len(k.upcoming) == len(k.targets) && k.singleTarget(g) && n != g {
			continue
		}
		for i, end := range k.slotFreeAt[n] {
			if end <= k.now && (server < 0 || k.targets[n].slownessAt(k.now) < k.targets[server].slownessAt(k.now)) {
				server, slot = n, i
			}
		}
	}
	return server, slot
}

// singleTarget tells whether a group's requests have one server.
func (k *oracleRun) singleTarget(g int) bool {
	return len(k.waiting[g]) > 0 && k.waiting[g][0].target >= 0
}

// next returns the waiting request that goes first at a server, or -1.
func (k *oracleRun) next(g, n int) int {
	slow := k.targets[n].slownessAt(k.now)
	k.dropExpired(g, slow)
	if i := k.nextOf(g, n, slow, true); i >= 0 || !k.servesLate {
		return i
	}
	return k.nextOf(g, n, slow, false)
}

// dropExpired refuses those that cannot be served any more.
func (k *oracleRun) dropExpired(g int, slow float64) {
	left := k.waiting[g][:0:0]
	for _, r := range k.waiting[g] {
		until := r.kind.Objective
		if k.servesLate {
			until = r.kind.Deadline
		}
		if k.expectedEnd(r, slow) <= r.arrival+millis(until) {
			left = append(left, r)
			continue
		}
		k.report.recordRefusal(r)
	}
	k.waiting[g] = left
}

// expectedEnd is when a request that begins now is expected to end.
func (k *oracleRun) expectedEnd(r *request, slow float64) time.Duration {
	return k.now + time.Duration(float64(k.expectedWork(r))*slow)
}

func (k *oracleRun) nextOf(g, n int, slow float64, inTime bool) int {
	best := -1
	for i, r := range k.waiting[g] {
		if inTime != (k.expectedEnd(r, slow) <= r.arrival+millis(r.kind.Objective)) {
			continue
		}
		if (best < 0 || k.before(k, r, k.waiting[g][best])) && !(k.reservesSlots && k.wouldDelay(g, n, r, slow)) {
			best = i
		}
	}
	return best
}

// wouldDelay tells whether a request would make one late that is still to come and is
// worth more for its work, since no slot of the server would be free in time.
func (k *oracleRun) wouldDelay(g, n int, r *request, slow float64) bool {
	if r.target < 0 {
		return false
	}
	free := k.expectedEnd(r, slow)
	taken := false
	for _, end := range k.slotFreeAt[n] {
		if end <= k.now && !taken {
			taken = true
			continue
		}
		free = min(free, max(end, k.now))
	}
	for _, c := range k.upcoming[g] {
		if c.arrival > free {
			return false
		}
		late := free+time.Duration(float64(k.expectedWork(c))*slow) > c.arrival+millis(c.kind.Objective)
		if late && byWorth(k, c, r) {
			return true
		}
	}
	return false
}
