package plan

import "slices"

// Merge says that the shard that began at Gone was joined to the one that
// begins at First.
type Merge struct {
	First uint64
	Gone  uint64
}

const (
	// joinAbove is how many times the first number of shards there must be
	// before any are joined.
	joinAbove = 2
	// joinShare is the part of a mean target's load that two shards may have
	// together. It is well below splitShare, so that nothing is divided and
	// joined in turn.
	joinShare = 0.01
	// joinsAtOnce bounds the joins of one decision. Each one raises an epoch
	// where the two differ, and requests on their way are sent again.
	joinsAtOnce = 4
)

// join puts light neighbours of one owner together again. Without it the keys
// that were once hot would leave shards behind for ever.
func (p *planner) join() {
	if p.in.Shards == 0 || len(p.next.Shards) <= joinAbove*p.in.Shards {
		return
	}
	p.weigh()
	active := p.active()
	if len(active) == 0 {
		return
	}
	limit := joinShare * p.totalLoad() / float64(len(active))
	for i := len(p.next.Shards) - 2; i >= 0 && len(p.merges) < joinsAtOnce; i-- {
		if p.joinable(i, limit) {
			p.joinNext(i)
			// The joined shard is not joined again at once.
			i--
		}
	}
	if len(p.merges) > 0 {
		p.because("%d light shards joined to their neighbours", len(p.merges))
	}
}

func (p *planner) joinable(i int, limit float64) bool {
	a, b := p.next.Shards[i], p.next.Shards[i+1]
	still := a.MovingTo == "" && b.MovingTo == ""
	sameOwner := a.Owner != "" && a.Owner == b.Owner
	untouched := a.OwnerSince < p.next.Version && b.OwnerSince < p.next.Version
	return still && sameOwner && untouched && p.in.Loads[a.First]+p.in.Loads[b.First] <= limit
}

func (p *planner) joinNext(i int) {
	a, b := &p.next.Shards[i], p.next.Shards[i+1]
	if a.Epoch != b.Epoch {
		a.Epoch = max(a.Epoch, b.Epoch) + 1
		a.OwnerSince = p.next.Version
	}
	a.Last = b.Last
	p.merges = append(p.merges, Merge{First: a.First, Gone: b.First})
	p.in.Loads[a.First] += p.in.Loads[b.First]
	delete(p.in.Loads, b.First)
	p.next.Shards = slices.Delete(p.next.Shards, i+1, i+2)
}
