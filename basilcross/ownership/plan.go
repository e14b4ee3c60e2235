package ownership

import (
	"sort"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// priorLoad is the work, in slots, that is taken to lie evenly on all
	// keys, so that keys without known load are shared out by number.
	priorLoad = 0.5
	// warmupShare is what a target that still warms up can do of its usual.
	warmupShare = 0.5
	// trialDelay is how long a target that left orders unanswered, but is
	// still named by the platform, is given no keys: longer than its lost keys
	// need to be served elsewhere. It doubles each time up to mostForgive, as
	// each trial costs the keys given a whole hold.
	trialDelay    = 8 * time.Second
	maxTrialDelay = 64 * time.Second
	// minSpread is how many targets a lost one's keys are spread over at least.
	minSpread = 3
)

// targetLoad is what a target can take.
type targetLoad struct {
	target *roster.Target
	slots  float64
	load   float64
	// movingOut counts its pieces on the way to others; stuck is set if no piece
	// of it can go.
	movingOut int
	stuck     bool
	hasKeys   bool
	pieces    int
}

func (r *targetLoad) utilization() float64 { return r.load / r.slots }

// slowest and fastest bound how much a target's measured speed counts: it is
// an average of some twenty answers whose work varies.
const (
	minRelativeSpeed = 0.3
	maxRelativeSpeed = 1.8
)

// SetLatency notes a target's usual time of an answer.
func (m *Manager) SetLatency(target string, latency time.Duration) {
	if m.latencies == nil {
		m.latencies = map[string]time.Duration{}
	}
	m.latencies[target] = latency
}

// dropLatencies drops the speeds of targets that are not named any more. They
// would count for the next lifetime under the name, and in the mean.
func (m *Manager) dropLatencies(named map[string]*roster.Target) {
	for id := range m.latencies {
		if named[id] == nil {
			delete(m.latencies, id)
		}
	}
}

// relativeSpeed returns what a target does in the time in which the usual one does 1.
func (m *Manager) relativeSpeed(target string) float64 {
	mine := m.latencies[target]
	if mine <= 0 {
		return 1
	}
	sum := time.Duration(0)
	for _, s := range m.latencies {
		sum += s
	}
	return min(max(float64(sum)/float64(len(m.latencies))/float64(mine), minRelativeSpeed), maxRelativeSpeed)
}

// targetLoads returns the targets that may be given keys.
func (m *Manager) targetLoads(now time.Time, targets []*roster.Target, sums []float64) map[string]*targetLoad {
	rooms := map[string]*targetLoad{}
	for _, t := range targets {
		if !m.mayReceiveKeys(now, t) {
			continue
		}
		slots := float64(t.Slots) * m.relativeSpeed(t.ID)
		if now.Sub(t.FirstSeen) < t.WarmupLeft {
			slots *= warmupShare
		}
		rooms[t.ID] = &targetLoad{target: t, slots: slots}
	}
	for _, p := range m.pieces {
		to := p.Owner
		if p.phase == releaseDue || p.phase == releasing || p.phase == awaitingExpiry {
			if r := rooms[p.Owner]; r != nil {
				r.movingOut++
			}
			to = p.destination
		}
		if r := rooms[to]; r != nil {
			r.hasKeys = true
			r.pieces++
			r.load += rangeLoad(sums, p.First, p.Last)
		}
	}
	return rooms
}

// mayReceiveKeys tells whether a target may be given keys.
func (m *Manager) mayReceiveKeys(now time.Time, t *roster.Target) bool {
	h := m.owner(t.Incarnation())
	if !h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) > min(trialDelay<<min(h.trials, 8), maxTrialDelay) {
		h.unansweredSince = time.Time{}
		h.trials++
	}
	return !t.Draining && !h.ended && h.unansweredSince.IsZero()
}

// rangeLoad is the load of a range, with the prior.
func rangeLoad(sums []float64, first, last int) float64 {
	return sums[last+1] - sums[first] + priorLoad*float64(last-first+1)/KeyCount
}

// assign gives every free piece an owner, to be recorded.
func (m *Manager) assign(now time.Time, targets []*roster.Target) {
	var open []*piece
	for _, p := range m.pieces {
		if p.phase == free {
			open = append(open, p)
		}
	}
	if len(open) == 0 || len(open) == len(m.pieces) && !m.targetsSettled(now, targets) {
		return
	}
	sums := m.Load.prefixSums(now)
	total := 0.0
	for _, p := range open {
		total += rangeLoad(sums, p.First, p.Last)
	}
	rooms := m.targetLoads(now, targets, sums)
	if len(rooms) == 0 {
		return
	}
	grain := m.partLoad(sums, total, len(rooms))
	for _, p := range open {
		for _, part := range m.splitFree(p, sums, grain) {
			m.assignTo(part, leastUtilized(rooms, part.destination, rangeLoad(sums, part.First, part.Last)), rangeLoad(sums, part.First, part.Last))
		}
	}
}

// startupQuietPeriod is how long no new target must have come before keys are given out
// for the first time: all start together, and each would be given its share by
// taking it from others.
const startupQuietPeriod = 800 * time.Millisecond

// targetsSettled tells whether the targets are likely all there.
func (m *Manager) targetsSettled(now time.Time, targets []*roster.Target) bool {
	for _, t := range targets {
		if now.Sub(t.FirstSeen) < startupQuietPeriod {
			return false
		}
	}
	return true
}

// partLoad is the load of the parts into which free pieces are cut: a target's
// share if nearly everything is free, and less if it is one target's keys,
// which are to be spread over several.
func (m *Manager) partLoad(sums []float64, open float64, n int) float64 {
	all := rangeLoad(sums, 0, KeyCount-1)
	if open > all/2 {
		return all / float64(n)
	}
	return all / float64(minSpread*n)
}

// splitFree cuts a free piece into parts of about the given load.
func (m *Manager) splitFree(p *piece, sums []float64, grain float64) []*piece {
	if p.destination != "" {
		return []*piece{p}
	}
	var parts []*piece
	rest := p
	for {
		left := rangeLoad(sums, rest.First, rest.Last)
		if left < 1.5*grain || rest.First == rest.Last {
			return append(parts, rest)
		}
		last := rest.First + sort.Search(rest.Last-rest.First, func(i int) bool {
			return rangeLoad(sums, rest.First, rest.First+i) >= grain
		})
		if last >= rest.Last {
			return append(parts, rest)
		}
		end := rest.Last
		part := m.splitOff(rest, rest.First, last)
		parts = append(parts, part)
		rest = m.pieceAt(last+1, end)
	}
}

func (m *Manager) pieceAt(first, last int) *piece {
	for _, p := range m.pieces {
		if p.First == first && p.Last == last {
			return p
		}
	}
	return nil
}

// leastUtilized returns the target that is least used with the work added; the
// wanted one goes first if it can take keys.
func leastUtilized(rooms map[string]*targetLoad, wanted string, work float64) *targetLoad {
	if r := rooms[wanted]; r != nil {
		return r
	}
	var best *targetLoad
	for _, r := range rooms {
		if best == nil || lessUtilizedWith(r, best, work) {
			best = r
		}
	}
	return best
}

func lessUtilizedWith(a, b *targetLoad, work float64) bool {
	x, y := (a.load+work)/a.slots, (b.load+work)/b.slots
	if x != y {
		return x < y
	}
	return a.target.ID < b.target.ID
}

func (m *Manager) assignTo(p *piece, to *targetLoad, work float64) {
	to.load += work
	p.Owner, p.Started, p.Address = to.target.ID, to.target.Started, to.target.Address
	p.phase, p.destination = recording, ""
	m.dirty = true
	switch p.cause {
	case OwnerLeaving:
		m.Moves.Leaving++
	case OwnerLost:
		m.Moves.Lost++
	case Rebalance:
		m.Moves.Balance++
	}
}
