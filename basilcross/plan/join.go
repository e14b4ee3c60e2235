package plan

import "slices"

// Merge says that the shard that began at Gone was joined to the one that
// begins at First.
type Merge struct {
	First   uint64
	Removed uint64
}

const (
	// mergeThreshold is how many times the first number of shards there must be
	// before any are joined.
	mergeThreshold = 2
	// maxMergedShare is the part of a mean target's load that two shards may have
	// together. It is well below splitShare, so that nothing is divided and
	// joined in turn.
	maxMergedShare = 0.01
	// maxMerges bounds the joins of one decision. Each one raises an epoch
	// where the two differ, and requests on their way are sent again.
	maxMerges = 4
)

// mergeShards puts light neighbours of one owner together again. Without it the keys
// that were once hot would leave shards behind for ever.
func (p *planner) mergeShards() {
	if p.in.InitialShards == 0 || len(p.next.Shards) <= mergeThreshold*p.in.InitialShards {
		return
	}
	p.computeLoads()
	active := p.activeTargets()
	if len(active) == 0 {
		return
	}
	limit := maxMergedShare * p.totalLoad() / float64(len(active))
	for i := len(p.next.Shards) - 2; i >= 0 && len(p.merges) < maxMerges; i-- {
		if p.canMerge(i, limit) {
			p.mergeWithNext(i)
			// The joined shard is not joined again at once.
			i--
		}
	}
	if len(p.merges) > 0 {
		p.addCause("%d light shards joined to their neighbours", len(p.merges))
	}
}

func (p *planner) canMerge(i int, limit float64) bool {
	a, b := p.next.Shards[i], p.next.Shards[i+1]
	still := a.MovingTo == "" && b.MovingTo == ""
	sameOwner := a.Owner != "" && a.Owner == b.Owner
	untouched := a.OwnerSince < p.next.Version && b.OwnerSince < p.next.Version
	return still && sameOwner && untouched && p.in.Loads[a.First]+p.in.Loads[b.First] <= limit
}

func (p *planner) mergeWithNext(i int) {
	a, b := &p.next.Shards[i], p.next.Shards[i+1]
	if a.Epoch != b.Epoch {
		a.Epoch = max(a.Epoch, b.Epoch) + 1
		a.OwnerSince = p.next.Version
	}
	a.Last = b.Last
	p.merges = append(p.merges, Merge{First: a.First, Removed: b.First})
	p.in.Loads[a.First] += p.in.Loads[b.First]
	delete(p.in.Loads, b.First)
	p.next.Shards = slices.Delete(p.next.Shards, i+1, i+2)
}
