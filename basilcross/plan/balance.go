package plan

import (
	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/shard"
)

// Limits bound how eagerly load is evened out. Zero fields take the defaults.
type Limits struct {
	// Tolerance is the load over the mean that is left alone; 1.10 is 10%.
	Tolerance float64
	// Moves is how many shards may be on the move at a time for balance.
	Moves int
}

const (
	defaultTolerance = 1.10
	defaultMoves     = 4
	// idleWeight is the weight of a shard without load, relative to the mean
	// shard, so that idle shards are spread too.
	idleWeight = 0.1
)

func (l Limits) orDefaults() Limits {
	if l.Tolerance == 0 {
		l.Tolerance = defaultTolerance
	}
	if l.Moves == 0 {
		l.Moves = defaultMoves
	}
	return l
}

// weigh sums up each target's load, counting moves as done.
func (p *planner) weigh() {
	p.load = make(map[string]float64, len(p.next.Targets))
	for _, s := range p.next.Shards {
		if s.MovingTo != "" {
			p.load[s.MovingTo] += p.weight(s)
			continue
		}
		if t := p.target(s.Owner); !p.free(t) {
			p.load[s.Owner] += p.weight(s)
		}
	}
}

func (p *planner) weight(s shard.Shard) float64 {
	return p.in.Loads[s.First] + idleWeight*p.meanShard()
}

func (p *planner) meanShard() float64 {
	if len(p.in.Loads) == 0 {
		return 1
	}
	sum := 0.0
	for _, s := range p.next.Shards {
		sum += p.in.Loads[s.First]
	}
	return max(sum/float64(len(p.next.Shards)), 1e-9)
}

// perSlot is a target's load in relation to what it can carry.
func (p *planner) perSlot(t *assignment.Target) float64 {
	return p.load[t.ID] / float64(max(1, t.Slots))
}

func (p *planner) placeable(t *assignment.Target) bool {
	led := p.in.Led == nil || p.in.Led[t.Zone]
	return led && t.State == assignment.Active
}

// active returns the targets that may get shards.
func (p *planner) active() []*assignment.Target {
	var active []*assignment.Target
	for i := range p.next.Targets {
		if t := &p.next.Targets[i]; p.placeable(t) {
			active = append(active, t)
		}
	}
	return active
}

// least returns the active target with the lowest load for its slots.
func (p *planner) least() *assignment.Target {
	var best *assignment.Target
	for _, t := range p.active() {
		if best == nil || p.perSlot(t) < p.perSlot(best) {
			best = t
		}
	}
	return best
}

// rebalance starts moves from the most to the least loaded target while that
// narrows the gap, and stops inside the tolerance.
func (p *planner) rebalance() {
	active := p.active()
	if len(active) < 2 {
		return
	}
	started := 0
	for p.moving() < p.in.Limits.Moves {
		from, to := p.extremes(active)
		if p.perSlot(from) <= p.in.Limits.Tolerance*p.meanPerSlot(active) {
			break
		}
		s := p.bestMove(from, to)
		if s == nil {
			break
		}
		p.move(s, to)
		started++
	}
	if started > 0 {
		p.because("%d shards start moving for balance", started)
	}
}

func (p *planner) moving() int {
	n := 0
	for _, s := range p.next.Shards {
		if s.MovingTo != "" {
			n++
		}
	}
	return n
}

func (p *planner) extremes(active []*assignment.Target) (most, least *assignment.Target) {
	most, least = active[0], active[0]
	for _, t := range active {
		if p.perSlot(t) > p.perSlot(most) {
			most = t
		}
		if p.perSlot(t) < p.perSlot(least) {
			least = t
		}
	}
	return most, least
}

func (p *planner) meanPerSlot(active []*assignment.Target) float64 {
	load, slots := 0.0, 0
	for _, t := range active {
		load += p.load[t.ID]
		slots += max(1, t.Slots)
	}
	return load / float64(slots)
}

// bestMove picks the shard that brings the two targets closest together.
func (p *planner) bestMove(from, to *assignment.Target) *shard.Shard {
	gap := p.load[from.ID] - p.load[to.ID]
	var best *shard.Shard
	bestGap := gap
	for i := range p.next.Shards {
		s := &p.next.Shards[i]
		if s.Owner != from.ID || s.MovingTo != "" {
			continue
		}
		after := gap - 2*p.weight(*s)
		if after < 0 {
			after = -after
		}
		if after < bestGap {
			best, bestGap = s, after
		}
	}
	return best
}

// Imbalance returns the largest load per slot over the mean, for active targets.
func Imbalance(a *assignment.Assignment, loads map[uint64]float64) float64 {
	p := &planner{in: Input{Loads: loads}, next: a}
	p.weigh()
	active := p.active()
	if len(active) == 0 {
		return 1
	}
	most, _ := p.extremes(active)
	mean := p.meanPerSlot(active)
	if mean == 0 {
		return 1
	}
	return p.perSlot(most) / mean
}
