package plan

import (
	"cmp"
	"math"
	"slices"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/shard"
)

// Limits bound how load is balanced. Zero fields take the defaults.
type Limits struct {
	// Tolerance is the ratio of load to the mean above which moves begin; 1.08
	// is 8% above it.
	Tolerance float64
	// Goal is the ratio at which they end. It is below the tolerance, so that
	// noise around the tolerance starts no moves.
	Goal float64
	// MaxMoves is the number of moving shards up to which moves for balance start.
	MaxMoves int
	// MaxShards is how many shards a service may be split into.
	MaxShards int
}

// HotKey is the hash of a key and the key's work units per second.
type HotKey struct {
	Hash uint64
	Work float64
}

// Split says that the shard that begins at First was split, and that the part
// from At on has Share of its load.
type Split struct {
	First uint64
	At    uint64
	Share float64
}

const (
	defaultTolerance = 1.08
	defaultGoal      = 1.04
	defaultMaxMoves  = 8
	defaultMaxShards = 16_384
	// idleWeight is the weight of a shard without load, relative to the mean
	// shard's load, so that idle shards are distributed too.
	idleWeight = 0.1
	// minIsolatedShare is the fraction of the mean load per target from which a key
	// gets its own shard.
	minIsolatedShare = 0.15
	// minSplitShare is the fraction of the mean load per target above which a shard
	// of an overloaded target may be split.
	minSplitShare = 0.05
	// maxChanceDeviations is how many standard deviations above the mean a
	// target's load may be by chance.
	maxChanceDeviations = 3.5
	// minMoveGain is the fraction of the mean load per target that a move must take
	// off the heaviest target; less does not justify a move.
	minMoveGain = 0.01
)

func (l Limits) withDefaults() Limits {
	l.Tolerance = cmp.Or(l.Tolerance, defaultTolerance)
	l.Goal = cmp.Or(l.Goal, defaultGoal)
	l.MaxMoves = cmp.Or(l.MaxMoves, defaultMaxMoves)
	l.MaxShards = cmp.Or(l.MaxShards, defaultMaxShards)
	return l
}

// computeLoads sums up each target's load, counting moves in progress as done.
func (p *planner) computeLoads() {
	p.meanShardLoad = p.computeMeanShardLoad()
	p.targetLoad = make([]float64, len(p.next.Targets))
	for _, s := range p.next.Shards {
		owner := s.Owner
		if s.MovingTo != "" {
			owner = s.MovingTo
		}
		if i, ok := p.targetIndex[owner]; ok && !p.isReassignable(&p.next.Targets[i]) {
			p.targetLoad[i] += p.shardWeight(s)
		}
	}
}

func (p *planner) shardWeight(s shard.Shard) float64 {
	return p.in.Loads[s.First] + idleWeight*p.meanShardLoad
}

func (p *planner) computeMeanShardLoad() float64 {
	if len(p.in.Loads) == 0 {
		return 1
	}
	sum := 0.0
	for _, s := range p.next.Shards {
		sum += p.in.Loads[s.First]
	}
	return max(sum/float64(max(1, len(p.next.Shards))), 1e-9)
}

func slotsOf(t *assignment.Target) float64 { return float64(max(1, t.Slots)) }

func (p *planner) loadPerSlot(i int) float64 {
	return p.targetLoad[i] / slotsOf(&p.next.Targets[i])
}

func (p *planner) canTakeShards(t *assignment.Target) bool {
	hasLeader := p.in.LedZones == nil || p.in.LedZones[t.Zone]
	return hasLeader && t.State == assignment.Active
}

// activeTargets returns the indexes of the targets that may get shards.
func (p *planner) activeTargets() []int {
	var active []int
	for i := range p.next.Targets {
		if p.canTakeShards(&p.next.Targets[i]) {
			active = append(active, i)
		}
	}
	return active
}

// leastLoaded returns the active target with the lowest load per slot, or nil.
func (p *planner) leastLoaded() *assignment.Target {
	best := -1
	for i := range p.next.Targets {
		if p.canTakeShards(&p.next.Targets[i]) && (best < 0 || p.loadPerSlot(i) < p.loadPerSlot(best)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return &p.next.Targets[best]
}

// isolateHotKeys gives hot keys their own shards, so that they can be moved
// alone. The epoch stays: requests in flight with it reach the same owner.
func (p *planner) isolateHotKeys() {
	active := p.activeTargets()
	if len(active) == 0 {
		return
	}
	limit := minIsolatedShare * p.totalLoad() / float64(len(active))
	for _, key := range p.in.HotKeys {
		if key.Work < limit || len(p.next.Shards)+2 > p.in.Limits.MaxShards {
			continue
		}
		i := p.shardIndex(key.Hash)
		if s := p.next.Shards[i]; s.MovingTo == "" && s.First != s.Last {
			p.isolateKey(i, key)
			p.addCause("hot key at %#x has a shard of its own", key.Hash)
		}
	}
}

func (p *planner) totalLoad() float64 {
	total := 0.0
	for _, l := range p.targetLoad {
		total += l
	}
	return total
}

func (p *planner) shardIndex(hash uint64) int {
	i, found := slices.BinarySearchFunc(p.next.Shards, hash, func(s shard.Shard, h uint64) int {
		return cmp.Compare(s.First, h)
	})
	if found {
		return i
	}
	return i - 1
}

func (p *planner) isolateKey(i int, key HotKey) {
	s := p.next.Shards[i]
	share := min(1, key.Work/max(p.in.Loads[s.First], 1e-9))
	if key.Hash > s.First {
		p.splitShard(i, key.Hash, share)
		i++
	}
	if key.Hash < s.Last {
		upperShare := 1 - share
		if key.Hash > s.First {
			upperShare = 0
		}
		p.splitShard(i, key.Hash+1, upperShare)
	}
}

// splitShard splits a shard before the hash at; the upper part gets share of the load.
func (p *planner) splitShard(i int, at uint64, share float64) {
	upper := p.next.Shards[i]
	lower := upper
	lower.Last = at - 1
	upper.First = at
	p.next.Shards[i] = lower
	p.next.Shards = slices.Insert(p.next.Shards, i+1, upper)
	load := p.in.Loads[lower.First]
	if p.in.Loads != nil {
		p.in.Loads[upper.First] = load * share
		p.in.Loads[lower.First] = load * (1 - share)
	}
	p.splits = append(p.splits, Split{First: lower.First, At: at, Share: share})
}

// rebalance starts moves from the most to the least loaded target until the
// goal is reached or no move helps.
func (p *planner) rebalance() {
	active := p.activeTargets()
	if len(active) < 2 {
		return
	}
	p.computeLoads()
	most, _ := p.mostAndLeastLoaded(active)
	tolerance, goal := p.thresholds(len(active))
	if p.loadPerSlot(most) <= tolerance*p.meanLoadPerSlot(active) {
		return
	}
	moving, started := p.countMoving(), 0
	for moving+started < p.in.Limits.MaxMoves {
		from, to := p.mostAndLeastLoaded(active)
		mean := p.meanLoadPerSlot(active)
		if p.loadPerSlot(from) <= goal*mean {
			break
		}
		if !p.startBalancingMove(from, to, mean, goal) {
			break
		}
		started++
	}
	if started > 0 {
		p.addCause("%d shards start moving for balance", started)
	}
}

// thresholds returns the ratios of load to the mean at which moves begin and end.
//
// Requests arrive at random: even under steady load, n of them in a window vary by
// the square root of n. The most loaded of many targets is two to three such
// deviations above the mean, and moves that follow this noise would never end.
func (p *planner) thresholds(targets int) (tolerance, goal float64) {
	tolerance, goal = p.in.Limits.Tolerance, p.in.Limits.Goal
	if p.in.LoadWindow <= 0 {
		return tolerance, goal
	}
	workPerTarget := p.totalLoad() / float64(targets) * p.in.LoadWindow
	chance := 1 + maxChanceDeviations/math.Sqrt(max(workPerTarget, 1))
	if chance <= tolerance {
		return tolerance, goal
	}
	return chance, 1 + (chance-1)/2
}

// startBalancingMove starts moving one shard to a less loaded target; one with
// too much load is split first. It reports whether a move started.
func (p *planner) startBalancingMove(from, to int, mean, goal float64) bool {
	excess := p.targetLoad[from] - goal*mean*slotsOf(&p.next.Targets[from])
	headroom := goal*mean*slotsOf(&p.next.Targets[to]) - p.targetLoad[to]
	want := min(excess, headroom)
	if want <= minMoveGain*mean {
		return false
	}
	i := p.closestShard(from, want)
	if i < 0 || p.shardWeight(p.next.Shards[i]) > 1.5*want {
		heavy := p.heaviestShard(from)
		if heavy >= 0 && p.canSplit(heavy, mean) {
			s := p.next.Shards[heavy]
			p.splitShard(heavy, s.First+(s.Last-s.First)/2+1, 0.5)
			p.addCause("shard %#x is divided", s.First)
			i = p.closestShard(from, want)
		}
	}
	if i < 0 || p.shardWeight(p.next.Shards[i]) >= p.targetLoad[from]-p.targetLoad[to] {
		return false
	}
	p.startMove(&p.next.Shards[i], &p.next.Targets[to])
	return true
}

func (p *planner) canSplit(i int, mean float64) bool {
	s := p.next.Shards[i]
	return s.Last-s.First > 1 && p.shardWeight(s) > minSplitShare*mean && len(p.next.Shards) < p.in.Limits.MaxShards
}

// closestShard returns the index of the target's shard whose weight is closest
// to want; -1 if all its shards are moving.
func (p *planner) closestShard(target int, want float64) int {
	best, bestGap := -1, 0.0
	id := p.next.Targets[target].ID
	for i, s := range p.next.Shards {
		if s.Owner != id || s.MovingTo != "" {
			continue
		}
		gap := p.shardWeight(s) - want
		if gap < 0 {
			gap = -gap
		}
		if best < 0 || gap < bestGap {
			best, bestGap = i, gap
		}
	}
	return best
}

func (p *planner) heaviestShard(target int) int {
	best := -1
	id := p.next.Targets[target].ID
	for i, s := range p.next.Shards {
		if s.Owner == id && s.MovingTo == "" && (best < 0 || p.shardWeight(s) > p.shardWeight(p.next.Shards[best])) {
			best = i
		}
	}
	return best
}

func (p *planner) countMoving() int {
	n := 0
	for _, s := range p.next.Shards {
		if s.MovingTo != "" {
			n++
		}
	}
	return n
}

func (p *planner) mostAndLeastLoaded(active []int) (most, least int) {
	most, least = active[0], active[0]
	for _, i := range active {
		if p.loadPerSlot(i) > p.loadPerSlot(most) {
			most = i
		}
		if p.loadPerSlot(i) < p.loadPerSlot(least) {
			least = i
		}
	}
	return most, least
}

func (p *planner) meanLoadPerSlot(active []int) float64 {
	load, slots := 0.0, 0.0
	for _, i := range active {
		load += p.targetLoad[i]
		slots += slotsOf(&p.next.Targets[i])
	}
	return load / slots
}

// Imbalance returns the ratio of the largest load per slot of an active target to
// the mean; 1 without active targets or load.
func Imbalance(a *assignment.Assignment, loads map[uint64]float64) float64 {
	p := &planner{in: Input{Loads: loads}, next: a}
	p.indexTargets()
	p.computeLoads()
	active := p.activeTargets()
	if len(active) == 0 {
		return 1
	}
	most, _ := p.mostAndLeastLoaded(active)
	mean := p.meanLoadPerSlot(active)
	if mean == 0 {
		return 1
	}
	return p.loadPerSlot(most) / mean
}
