package experiment

import (
	"time"

	"basilcross.example/standin/eventloop"
)

// orderFunc reports whether a waiting request a is served before b.
type orderFunc func(o *oracleRun, a, b *request) bool

// byWorth prefers the request with more worth per expected work.
func byWorth(o *oracleRun, a, b *request) bool {
	return a.kind.Worth*float64(o.expectedWork(b)) > b.kind.Worth*float64(o.expectedWork(a))
}

func byObjective(_ *oracleRun, a, b *request) bool {
	return a.arrival+millis(a.kind.Objective) < b.arrival+millis(b.kind.Objective)
}

func newestFirst(_ *oracleRun, a, b *request) bool { return a.arrival > b.arrival }

// policy is a scheduling policy of an oracle, which sees future requests.
type policy struct {
	before orderFunc
	// reservesSlots keeps slots free for upcoming requests with more worth.
	reservesSlots bool
	// servesLate gives slots that no request in time can use to late requests.
	servesLate bool
	// estimatesWork replaces a request's work by its kind's mean plus margin times the spread.
	estimatesWork bool
	margin        float64
}

// Bound returns the report of the best of several policies that see each request's
// work, all slowness and all future arrivals: messages have no delay, no target sheds,
// and requests that would be late are refused. It isn't the optimum.
func (l *Load) Bound(level float64, seed uint64) *Report {
	var policies []policy
	for _, before := range []orderFunc{byWorth, byObjective} {
		policies = append(policies, policy{before: before}, policy{before: before, reservesSlots: true})
	}
	return l.bestOf("bound", level, seed, policies)
}

// KindsBound is like Bound, but sees only the mean and spread of a kind's work, not that of a
// single request, which no scheduler can predict. Some policies serve late requests.
func (l *Load) KindsBound(level float64, seed uint64) *Report {
	var policies []policy
	for _, before := range []orderFunc{byWorth, byObjective, newestFirst} {
		for _, margin := range []float64{0, 0.5} {
			for _, reserves := range []bool{false, true} {
				for _, late := range []bool{false, true} {
					policies = append(policies, policy{before, reserves, late, true, margin})
				}
			}
		}
	}
	return l.bestOf("kindsBound", level, seed, policies)
}

func (l *Load) bestOf(strategy string, level float64, seed uint64, policies []policy) *Report {
	var best *Report
	for _, p := range policies {
		if r := l.simulatePolicy(strategy, level, seed, p); best == nil || r.WorthShare() > best.WorthShare() {
			best = r
		}
	}
	return best
}

// oracleRun simulates a policy. Requests are grouped by target; without sharding, all are in group 0.
type oracleRun struct {
	eventloop.Loop
	policy
	targets []*simTarget
	// slotFreeAt is when each slot of each target becomes free.
	slotFreeAt [][]time.Duration
	waiting    [][]*request
	// upcoming has each group's future requests, in order of arrival.
	upcoming [][]*request
	report   *Report
}

func (l *Load) simulatePolicy(strategy string, level float64, seed uint64, p policy) *Report {
	o := &oracleRun{targets: l.simTargets(), policy: p, report: l.newReport(strategy, level)}
	for _, t := range o.targets {
		o.slotFreeAt = append(o.slotFreeAt, make([]time.Duration, t.Slots))
	}
	o.waiting = make([][]*request, len(o.targets))
	o.upcoming = make([][]*request, len(o.targets))
	for _, r := range l.requests(level, seed) {
		g := max(0, r.target)
		o.upcoming[g] = append(o.upcoming[g], r)
		o.After(r.arrival, func() {
			o.report.recordArrival(r)
			o.upcoming[g] = o.upcoming[g][1:]
			o.waiting[g] = append(o.waiting[g], r)
			o.assignSlots(g)
		})
	}
	o.Run()
	for _, list := range o.waiting {
		for _, r := range list {
			o.report.recordRefusal(r)
		}
	}
	return o.report
}

// expectedWork returns a request's work as the policy sees it.
func (o *oracleRun) expectedWork(r *request) time.Duration {
	if !o.estimatesWork {
		return r.work
	}
	return millis(r.kind.MeanWork * (1 + o.margin*r.kind.deviation()))
}

// assignSlots gives free slots of a group to its waiting requests.
func (o *oracleRun) assignSlots(g int) {
	for len(o.waiting[g]) > 0 {
		n, slot := o.fastestFreeSlot(g)
		if n < 0 {
			return
		}
		i := o.next(g, n)
		if i < 0 {
			return
		}
		r := o.waiting[g][i]
		o.waiting[g] = append(o.waiting[g][:i], o.waiting[g][i+1:]...)
		took := time.Duration(float64(r.work) * o.targets[n].slownessAt(o.Now))
		o.slotFreeAt[n][slot] = o.Now + took
		o.report.recordResponse(r, o.Now+took)
		o.After(took, func() { o.assignSlots(g) })
	}
}

// fastestFreeSlot returns a free slot at a group's fastest target; target is -1 if none is free.
func (o *oracleRun) fastestFreeSlot(g int) (target, slot int) {
	target = -1
	for n := range o.targets {
		if len(o.upcoming) == len(o.targets) && o.singleTarget(g) && n != g {
			continue
		}
		if !o.targets[n].isUp(o.Now) {
			continue
		}
		for i, end := range o.slotFreeAt[n] {
			if end <= o.Now && (target < 0 || o.targets[n].slownessAt(o.Now) < o.targets[target].slownessAt(o.Now)) {
				target, slot = n, i
			}
		}
	}
	return target, slot
}

// singleTarget reports whether a group's requests can be served by one target only.
func (o *oracleRun) singleTarget(g int) bool {
	return len(o.waiting[g]) > 0 && o.waiting[g][0].target >= 0
}

// next returns the index of the waiting request to serve next at target n, or -1.
func (o *oracleRun) next(g, n int) int {
	slow := o.targets[n].slownessAt(o.Now)
	o.dropExpired(g, slow)
	if i := o.nextOf(g, n, slow, true); i >= 0 || !o.servesLate {
		return i
	}
	return o.nextOf(g, n, slow, false)
}

// dropExpired refuses waiting requests that can no longer be served in time.
func (o *oracleRun) dropExpired(g int, slow float64) {
	kept := o.waiting[g][:0:0]
	for _, r := range o.waiting[g] {
		limit := millis(r.kind.Objective)
		if o.servesLate {
			limit = r.deadline
		}
		if o.expectedEnd(r, slow) <= r.arrival+limit {
			kept = append(kept, r)
			continue
		}
		o.report.recordRefusal(r)
	}
	o.waiting[g] = kept
}

func (o *oracleRun) expectedEnd(r *request, slow float64) time.Duration {
	return o.Now + time.Duration(float64(o.expectedWork(r))*slow)
}

// nextOf is next among the requests that would end in time, or among the late ones.
func (o *oracleRun) nextOf(g, n int, slow float64, inTime bool) int {
	best := -1
	for i, r := range o.waiting[g] {
		if inTime != (o.expectedEnd(r, slow) <= r.arrival+millis(r.kind.Objective)) {
			continue
		}
		if (best < 0 || o.before(o, r, o.waiting[g][best])) && !(o.reservesSlots && o.wouldDelay(g, n, r, slow)) {
			best = i
		}
	}
	return best
}

// wouldDelay reports whether serving r would make an upcoming request with more worth
// per work late, since no slot of the target would be free in time.
func (o *oracleRun) wouldDelay(g, n int, r *request, slow float64) bool {
	if r.target < 0 {
		return false
	}
	free := o.expectedEnd(r, slow)
	slotUsed := false
	for _, end := range o.slotFreeAt[n] {
		if end <= o.Now && !slotUsed {
			slotUsed = true
			continue
		}
		free = min(free, max(end, o.Now))
	}
	for _, c := range o.upcoming[g] {
		if c.arrival > free {
			return false
		}
		late := free+time.Duration(float64(o.expectedWork(c))*slow) > c.arrival+millis(c.kind.Objective)
		if late && byWorth(o, c, r) {
			return true
		}
	}
	return false
}
