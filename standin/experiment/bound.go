package experiment

import "time"

// order chooses which of the requests that wait goes first.
type order func(a, b *request) bool

func byWorth(a, b *request) bool {
	return a.kind.Worth*float64(b.work) > b.kind.Worth*float64(a.work)
}

func byObjective(a, b *request) bool {
	return a.at+millis(a.kind.Objective) < b.at+millis(b.kind.Objective)
}

// Bound is the best that a queue does at a level which knows all work, all speeds
// and all that is still to come: no message takes time, nothing is refused by
// chance, and what would be late is left out. It is the best of several orders, and
// not the best there is.
func (l *Load) Bound(level float64, seed uint64) *Report {
	var best *Report
	for _, before := range []order{byWorth, byObjective} {
		for _, keeps := range []bool{false, true} {
			r := l.bound(level, seed, before, keeps)
			if best == nil || r.Worth() > best.Worth() {
				best = r
			}
		}
	}
	return best
}

// knowing is a play of the bound.
type knowing struct {
	events
	servers []*server
	// ends are when each slot of each server is free.
	ends    [][]time.Duration
	waiting [][]*request
	// coming are the requests of each group that are still to come.
	coming [][]*request
	before order
	keeps  bool
	report *Report
}

func (l *Load) bound(level float64, seed uint64, before order, keeps bool) *Report {
	k := &knowing{servers: l.servers(), before: before, keeps: keeps, report: l.newReport("bound", level)}
	for _, s := range k.servers {
		k.ends = append(k.ends, make([]time.Duration, s.Slots))
	}
	k.waiting = make([][]*request, len(k.servers))
	k.coming = make([][]*request, len(k.servers))
	for _, r := range l.requests(level, seed) {
		g := max(0, r.target)
		k.coming[g] = append(k.coming[g], r)
		k.after(r.at, func() {
			k.report.came(r)
			k.coming[g] = k.coming[g][1:]
			k.waiting[g] = append(k.waiting[g], r)
			k.fill(g)
		})
	}
	k.run()
	for _, list := range k.waiting {
		for _, r := range list {
			k.report.refused(r)
		}
	}
	return k.report
}

// fill gives free slots of a group to requests that wait.
func (k *knowing) fill(g int) {
	for len(k.waiting[g]) > 0 {
		n, slot := k.fastest(g)
		if n < 0 {
			return
		}
		i := k.first(g, n)
		if i < 0 {
			return
		}
		r := k.waiting[g][i]
		k.waiting[g] = append(k.waiting[g][:i], k.waiting[g][i+1:]...)
		took := time.Duration(float64(r.work) * k.servers[n].slowness(k.now))
		k.ends[n][slot] = k.now + took
		k.report.answered(r, k.now+took)
		k.after(took, func() { k.fill(g) })
	}
}

// fastest returns a free slot at the fastest server of a group.
func (k *knowing) fastest(g int) (server, slot int) {
	server = -1
	for n := range k.servers {
		if len(k.coming) == len(k.servers) && k.single(g) && n != g {
			continue
		}
		for i, end := range k.ends[n] {
			if end <= k.now && (server < 0 || k.servers[n].slowness(k.now) < k.servers[server].slowness(k.now)) {
				server, slot = n, i
			}
		}
	}
	return server, slot
}

// single tells whether a group's requests have one server.
func (k *knowing) single(g int) bool { return len(k.waiting[g]) > 0 && k.waiting[g][0].target >= 0 }

// first returns the waiting request that goes first at a server, or -1. Those that
// would be late are dropped.
func (k *knowing) first(g, n int) int {
	best := -1
	slow := k.servers[n].slowness(k.now)
	var left []*request
	for _, r := range k.waiting[g] {
		if k.now+time.Duration(float64(r.work)*slow) <= r.at+millis(r.kind.Objective) {
			left = append(left, r)
			continue
		}
		k.report.refused(r)
	}
	k.waiting[g] = left
	for i, r := range left {
		if (best < 0 || k.before(r, left[best])) && !(k.keeps && k.blocks(g, n, r, slow)) {
			best = i
		}
	}
	return best
}

// blocks tells whether a request would make one late that is still to come and is
// worth more for its work, since no slot of the server would be free in time.
func (k *knowing) blocks(g, n int, r *request, slow float64) bool {
	if r.target < 0 {
		return false
	}
	free := k.now + time.Duration(float64(r.work)*slow)
	taken := false
	for _, end := range k.ends[n] {
		if end <= k.now && !taken {
			taken = true
			continue
		}
		free = min(free, max(end, k.now))
	}
	for _, c := range k.coming[g] {
		if c.at > free {
			return false
		}
		late := free+time.Duration(float64(c.work)*slow) > c.at+millis(c.kind.Objective)
		if late && byWorth(c, r) {
			return true
		}
	}
	return false
}
