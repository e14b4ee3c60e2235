package plan

import "slices"

// Merge says that the shard that began at Removed was merged into the one that
// begins at First.
type Merge struct {
	First   uint64
	Removed uint64
}

const (
	// mergeThreshold is the multiple of the initial number of shards above which
	// shards are merged.
	mergeThreshold = 2
	// maxMergedShare is the fraction of the mean load per target that two merged
	// shards may have together. It is well below minSplitShare, so that shards
	// are not split and merged in turn.
	maxMergedShare = 0.01
	// maxMerges is the number of merges per decision. A merge of shards with
	// different epochs raises the epoch, and requests in flight are sent again.
	maxMerges = 4
)

// mergeShards merges adjacent shards of one owner that have little load.
// Otherwise the shards of keys that are no longer hot would remain forever.
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
			// The merged shard is not merged again in this decision.
			i--
		}
	}
	if len(p.merges) > 0 {
		p.addCause("%d light shards joined to their neighbours", len(p.merges))
	}
}

func (p *planner) canMerge(i int, limit float64) bool {
	a, b := p.next.Shards[i], p.next.Shards[i+1]
	notMoving := a.MovingTo == "" && b.MovingTo == ""
	sameOwner := a.Owner != "" && a.Owner == b.Owner
	unchanged := a.OwnerSince < p.next.Version && b.OwnerSince < p.next.Version
	return notMoving && sameOwner && unchanged && p.in.Loads[a.First]+p.in.Loads[b.First] <= limit
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
