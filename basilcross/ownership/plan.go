package ownership

import (
	"math"
	"sort"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/speed"
)

const (
	// priorLoad is the load, in slots, that is assumed to be spread evenly over all
	// keys, so that keys without measured load are distributed by number.
	priorLoad = 0.5
	// warmupShare is the share of its capacity that a target has while it warms up.
	warmupShare = 0.5
	// trialDelay is how long a target that left orders unanswered, but is still
	// listed, is given no keys: longer than its lost keys need to be served
	// elsewhere. It doubles with each trial up to maxTrialDelay, as each costs its
	// keys a whole hold.
	trialDelay    = 8 * time.Second
	maxTrialDelay = 64 * time.Second
	// minSpread is the minimum number of targets that get a lost target's keys.
	minSpread = 3
)

// targetLoad is the load and capacity of a target that may be given keys.
type targetLoad struct {
	target *roster.Target
	slots  float64
	load   float64
	// movingOut counts the pieces on their way to other targets; stuck is set if
	// none of the target's pieces can be moved.
	movingOut int
	stuck     bool
	hasKeys   bool
	pieces    int
}

func (l *targetLoad) utilization() float64 { return l.load / l.slots }

// minRelativeSpeed and maxRelativeSpeed bound the effect of a target's measured
// speed: it is an average of some twenty answers whose work varies.
const (
	minRelativeSpeed = 0.3
	maxRelativeSpeed = 1.8
)

const (
	// fewSlots is the number of slots up to which a target's share of the load is its speed to the
	// power of fewSlotsExponent: a request of a key waits for the key's owner, and the few slots of a
	// slow one are more often all taken under the same utilization.
	fewSlots         = 3
	fewSlotsExponent = 1.8
)

// minSpeedChange is the change of a target's relative speed, in natural logarithm, below which the former
// one stays: each change of an estimate by chance would move keys.
const minSpeedChange = 0.1

// SetSpeeds sets the relative speeds of all targets. Once it was called with any, the latencies are not
// used.
func (m *Manager) SetSpeeds(speeds map[roster.Incarnation]speed.Relative) {
	used := make(map[roster.Incarnation]float64, len(speeds))
	for target, r := range speeds {
		used[target] = r.Shrunk()
		if former, ok := m.speeds[target]; ok && math.Abs(math.Log(former/used[target])) < minSpeedChange {
			used[target] = former
		}
	}
	m.speeds = used
}

// OwnerLoads returns the load of each owner of keys, in slots.
func (m *Manager) OwnerLoads(now time.Time) map[string]float64 {
	sums := m.Load.prefixSums(now)
	loads := map[string]float64{}
	for _, p := range m.pieces {
		if p.Owner != "" {
			loads[p.Owner] += sums[p.Last+1] - sums[p.First]
		}
	}
	return loads
}

// weight returns the share of the load that a slot of the target should get, as a multiple of that of
// an average target's.
func (m *Manager) weight(t *roster.Target) float64 {
	if len(m.speeds) == 0 {
		return m.relativeSpeed(t.ID)
	}
	s, ok := m.speeds[t.Incarnation()]
	if !ok {
		return 1
	}
	s = min(max(s, minRelativeSpeed), maxRelativeSpeed)
	if t.Slots <= fewSlots {
		s = math.Pow(s, fewSlotsExponent)
	}
	return s
}

// SetLatency records a target's typical response time.
func (m *Manager) SetLatency(target string, latency time.Duration) {
	if m.latencies == nil {
		m.latencies = map[string]time.Duration{}
	}
	m.latencySum += latency - m.latencies[target]
	m.latencies[target] = latency
}

func (m *Manager) dropLatency(target string) {
	m.latencySum -= m.latencies[target]
	delete(m.latencies, target)
}

// dropLatencies drops the latencies of unlisted targets. They would otherwise count
// for the next incarnation under the name, and in the mean.
func (m *Manager) dropLatencies(listed map[string]*roster.Target) {
	for id := range m.latencies {
		if listed[id] == nil {
			m.dropLatency(id)
		}
	}
}

// relativeSpeed returns the mean latency of all targets divided by the target's
// own, within bounds; 1 if it was not measured.
func (m *Manager) relativeSpeed(target string) float64 {
	own := m.latencies[target]
	if own <= 0 {
		return 1
	}
	return min(max(float64(m.latencySum)/float64(len(m.latencies))/float64(own), minRelativeSpeed), maxRelativeSpeed)
}

// targetLoads returns, by ID, the targets that may be given keys. A moving piece
// counts for its destination.
func (m *Manager) targetLoads(now time.Time, targets []*roster.Target, sums []float64) map[string]*targetLoad {
	loads := map[string]*targetLoad{}
	for _, t := range targets {
		if !m.mayReceiveKeys(now, t) {
			continue
		}
		slots := float64(t.Slots) * m.weight(t)
		if t.IsCold(now) {
			slots *= warmupShare
		}
		loads[t.ID] = &targetLoad{target: t, slots: slots}
	}
	for _, p := range m.pieces {
		to := p.Owner
		if p.phase == releaseDue || p.phase == releasing || p.phase == awaitingExpiry {
			if l := loads[p.Owner]; l != nil {
				l.movingOut++
			}
			to = p.destination
		}
		if l := loads[to]; l != nil {
			l.hasKeys = true
			l.pieces++
			l.load += rangeLoad(sums, p.First, p.Last)
		}
	}
	return loads
}

// mayReceiveKeys reports whether a target may be given keys. It begins a trial of
// an unresponsive target when one is due.
func (m *Manager) mayReceiveKeys(now time.Time, t *roster.Target) bool {
	s := m.owner(t.Incarnation())
	if !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) > m.trialDelay(s) {
		s.unansweredSince = time.Time{}
		s.trials++
	}
	return !t.Draining && !s.ended && s.unansweredSince.IsZero()
}

// trialDelay is the time until an unresponsive target's next trial. While nothing in its
// zone answers, each trial may cost its keys a wait for the queue of a congested link.
func (m *Manager) trialDelay(s *ownerState) time.Duration {
	delay := min(trialDelay<<min(s.trials, 8), maxTrialDelay)
	if !m.path(s.zone).sent.After(s.unansweredSince) {
		delay = max(delay, 2*maxQueueDelay)
	}
	return delay
}

// rangeLoad is the load of a range of keys, including priorLoad.
func rangeLoad(sums []float64, first, last int) float64 {
	return sums[last+1] - sums[first] + priorLoad*float64(last-first+1)/KeyCount
}

// assign gives every free piece an owner, which is recorded before the grant.
func (m *Manager) assign(now time.Time, targets []*roster.Target) {
	var unassigned []*piece
	for _, p := range m.pieces {
		if p.phase == free {
			unassigned = append(unassigned, p)
		}
	}
	if len(unassigned) == 0 || len(unassigned) == len(m.pieces) && !m.targetsSettled(now, targets) {
		return
	}
	sums := m.Load.prefixSums(now)
	total := 0.0
	for _, p := range unassigned {
		total += rangeLoad(sums, p.First, p.Last)
	}
	loads := m.targetLoads(now, targets, sums)
	if len(loads) == 0 {
		return
	}
	partLoad := m.partLoad(sums, total, len(loads))
	leastUtilized := newLoadHeap(loads, byUtilizationWith(partLoad))
	for _, p := range unassigned {
		for _, part := range m.splitFree(p, sums, partLoad) {
			to := loads[part.destination]
			if to == nil {
				to = leastUtilized.first()
			}
			m.assignTo(part, to, rangeLoad(sums, part.First, part.Last))
			leastUtilized.update(to)
		}
	}
}

// startupQuietPeriod is how long no new target must have appeared before keys are
// assigned for the first time: all targets start together, and each late one would
// get its share by taking keys from others.
const startupQuietPeriod = 800 * time.Millisecond

func (m *Manager) targetsSettled(now time.Time, targets []*roster.Target) bool {
	for _, t := range targets {
		if now.Sub(t.FirstSeen) < startupQuietPeriod {
			return false
		}
	}
	return true
}

// partLoad is the load of the parts into which free pieces are split: a target's
// share if nearly everything is free, and less if the keys of one target are free,
// which are to be spread over several.
func (m *Manager) partLoad(sums []float64, freeLoad float64, n int) float64 {
	all := rangeLoad(sums, 0, KeyCount-1)
	if freeLoad > all/2 {
		return all / float64(n)
	}
	return all / float64(minSpread*n)
}

// splitFree splits a free piece into parts of about the given load. A piece
// with a destination stays whole.
func (m *Manager) splitFree(p *piece, sums []float64, partLoad float64) []*piece {
	if p.destination != "" {
		return []*piece{p}
	}
	var parts []*piece
	rest := p
	for {
		remaining := rangeLoad(sums, rest.First, rest.Last)
		if remaining < 1.5*partLoad || rest.First == rest.Last {
			return append(parts, rest)
		}
		last := rest.First + sort.Search(rest.Last-rest.First, func(i int) bool {
			return rangeLoad(sums, rest.First, rest.First+i) >= partLoad
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
	if i, found := m.indexOf(first); found && m.pieces[i].Last == last {
		return m.pieces[i]
	}
	return nil
}

// byUtilizationWith orders targets by their utilization once the load is added.
func byUtilizationWith(load float64) func(a, b *targetLoad) bool {
	return func(a, b *targetLoad) bool {
		x, y := (a.load+load)/a.slots, (b.load+load)/b.slots
		if x != y {
			return x < y
		}
		return a.target.ID < b.target.ID
	}
}

func (m *Manager) assignTo(p *piece, to *targetLoad, load float64) {
	to.load += load
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
