package ownership

import (
	"math"
	"sort"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// minSourceUtilization is the share of a target's slots in use above which
	// moving keys away is worth the pause in their service.
	minSourceUtilization = 0.5
	// minUtilizationGap is the difference in utilization between the most and
	// the least utilized target up to which nothing is moved.
	minUtilizationGap = 0.25
	// shiftThreshold is the excess, as a multiple of the expected random deviation,
	// above which the set of busy keys is taken to have changed. The measured load
	// of new busy keys lags by some seconds, during which all differences count.
	shiftThreshold = 1.2
	// weightedShiftThreshold is the same where targets get shares by their speeds: a slow target with a
	// small share exceeds it more often by chance.
	weightedShiftThreshold = 2.0
	// targetsPerMove and minMovesPerRound bound the pieces that a round of
	// balancing begins to move: one per targetsPerMove targets, but at least
	// minMovesPerRound. Each is a release and a grant. A busy range of neighbouring
	// keys must be spread over most targets within a second or two, so the bound
	// grows with the number of targets.
	targetsPerMove   = 2
	minMovesPerRound = 6
	// maxMovesPerRound bounds the orders to targets, and the pieces in one record.
	maxMovesPerRound = 192
	// maxMovesPerSource bounds the pieces being moved away from one target: each
	// waits on its own connection until the work on its keys has ended.
	maxMovesPerSource = 48
	// maxPiecesPerTarget bounds the pieces per target up to which balancing splits
	// the keys: each is renewed by its own call and takes space in the stored row.
	maxPiecesPerTarget = 4
	// mergeThreshold is the average number of pieces per target above which the
	// least busy pieces move to a neighbouring piece's owner. Otherwise a day of
	// moves would use up all pieces, and busy keys could not be moved any more.
	mergeThreshold = 2
	// targetsPerMerge bounds the merges of a round: one per targetsPerMerge
	// targets, but at least one.
	targetsPerMerge = 16
	// mergeHeadroom bounds the utilization above the mean to which a merge may fill
	// a target.
	mergeHeadroom = 0.1
)

// balance begins moves from the most to the least utilized targets.
func (m *Manager) balance(now time.Time, targets []*roster.Target) {
	sums := m.Load.prefixSums(now)
	loads := m.targetLoads(now, targets, sums)
	if len(loads) < 2 {
		return
	}
	all, slots := 0.0, 0.0
	for _, t := range targets {
		if l := loads[t.ID]; l != nil {
			all += l.load
			slots += l.slots
		}
	}
	mean := all / slots
	if len(m.pieces) > mergeThreshold*len(loads) {
		m.merge(sums, loads, mean)
	}
	if len(m.pieces) > maxPiecesPerTarget*len(loads) {
		return
	}
	round := &balanceRound{
		sums: sums, mean: mean, targets: len(loads), pieces: m.movablePieces(),
		mostUtilized: newLoadHeap(loads, moreUtilized), leastUtilized: newLoadHeap(loads, lessUtilized),
	}
	for range min(max(minMovesPerRound, len(loads)/targetsPerMove), maxMovesPerRound) {
		if !m.beginMove(now, round) {
			return
		}
	}
}

// mergeCandidate is a piece that could move to a neighbouring piece's owner.
type mergeCandidate struct {
	piece *piece
	to    *targetLoad
	load  float64
}

// mergeCandidates returns all candidates, least busy first.
func (m *Manager) mergeCandidates(sums []float64, loads map[string]*targetLoad) (list []mergeCandidate) {
	for i, p := range m.pieces {
		if loads[p.Owner] == nil || !p.isMovable() {
			continue
		}
		load := rangeLoad(sums, p.First, p.Last)
		for _, n := range []int{i - 1, i + 1} {
			if n < 0 || n >= len(m.pieces) || m.pieces[n].Owner == p.Owner || !m.pieces[n].isMovable() {
				continue
			}
			if to := loads[m.pieces[n].Owner]; to != nil {
				list = append(list, mergeCandidate{p, to, load})
			}
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].load < list[b].load })
	return list
}

// merge begins to move the least busy pieces to neighbouring pieces' owners.
func (m *Manager) merge(sums []float64, loads map[string]*targetLoad, mean float64) {
	remaining := max(1, len(loads)/targetsPerMerge)
	for _, c := range m.mergeCandidates(sums, loads) {
		if remaining == 0 {
			return
		}
		from := loads[c.piece.Owner]
		full := c.to.load+c.load > (mean+mergeHeadroom)*c.to.slots
		if full || c.piece.phase != held || from.pieces == 1 || from.movingOut >= maxMovesPerSource {
			continue
		}
		remaining--
		from.pieces--
		from.load -= c.load
		from.movingOut++
		c.to.load += c.load
		c.piece.startMove(c.to.target.ID)
	}
}

func (p *piece) isMovable() bool {
	return p.phase == held && !p.inFlight && p.confirmedEpoch == p.epoch
}

func (p *piece) startMove(to string) {
	p.phase, p.cause, p.destination, p.attempts = releaseDue, Rebalance, to, 0
}

// beginMove begins one move. It returns false once no further move is worth making,
// and true also if the source turned out to have no movable range.
func (m *Manager) beginMove(now time.Time, r *balanceRound) bool {
	from, to := r.extremes()
	if from == nil || to == nil || from == to {
		return false
	}
	excess := m.excess(from, r.mean, r.targets)
	beyondChance := excess > 1 || now.Sub(m.loadShiftedAt) < loadHalfLife
	worth := from.utilization() > minSourceUtilization && from.utilization()-to.utilization() > minUtilizationGap && beyondChance || !to.hasKeys
	if !worth {
		return false
	}
	p, first, last := r.pickRange(from, to)
	if p == nil {
		from.stuck = true
		return true
	}
	if excess > m.shiftThreshold() {
		m.loadShiftedAt = now
	}
	rest := *p
	p = m.splitOff(p, first, last)
	for _, end := range []int{rest.First, last + 1} {
		if end == p.First || end > rest.Last {
			continue
		}
		if i, found := m.indexOf(end); found {
			r.pieces[from.target.ID] = append(r.pieces[from.target.ID], m.pieces[i])
		}
	}
	p.startMove(to.target.ID)
	moved := rangeLoad(r.sums, first, last)
	from.load -= moved
	from.movingOut++
	to.load += moved
	to.hasKeys = true
	r.update(from)
	r.update(to)
	return true
}

func (m *Manager) shiftThreshold() float64 {
	if len(m.speeds) > 0 {
		return weightedShiftThreshold
	}
	return shiftThreshold
}

// excess is how far a target's load is above its share of the mean, divided by how
// far the most loaded of that many targets would be by chance under equal load.
func (m *Manager) excess(l *targetLoad, mean float64, targets int) float64 {
	even := mean * l.slots
	chance := expectedMaxDeviation(targets) * m.Load.stdDev(even)
	if chance == 0 {
		return 0
	}
	return (l.load - even) / chance
}

// expectedMaxDeviation is an upper bound of the expected maximum of n normally
// distributed values, in standard deviations above the mean.
func expectedMaxDeviation(n int) float64 { return math.Sqrt(2 * math.Log(float64(n))) }

// balanceRound is the state of one round of balancing.
type balanceRound struct {
	sums    []float64
	mean    float64
	targets int
	// pieces are the movable pieces by owner.
	pieces                      map[string][]*piece
	mostUtilized, leastUtilized *loadHeap
}

func (m *Manager) movablePieces() map[string][]*piece {
	byOwner := map[string][]*piece{}
	for _, p := range m.pieces {
		if p.isMovable() {
			byOwner[p.Owner] = append(byOwner[p.Owner], p)
		}
	}
	return byOwner
}

// extremes returns the most utilized target that can give keys away, and the least
// utilized one. A target without keys precedes one with few.
func (r *balanceRound) extremes() (from, to *targetLoad) {
	for {
		from = r.mostUtilized.first()
		if from == nil || !from.stuck && from.hasKeys && from.movingOut < maxMovesPerSource {
			return from, r.leastUtilized.first()
		}
		r.mostUtilized.removeFirst()
	}
}

func (r *balanceRound) update(l *targetLoad) {
	r.mostUtilized.update(l)
	r.leastUtilized.update(l)
}

func moreUtilized(a, b *targetLoad) bool {
	if a.utilization() != b.utilization() {
		return a.utilization() > b.utilization()
	}
	return a.target.ID < b.target.ID
}

func lessUtilized(a, b *targetLoad) bool {
	if a.hasKeys != b.hasKeys {
		return !a.hasKeys
	}
	if a.utilization() != b.utilization() {
		return a.utilization() < b.utilization()
	}
	return a.target.ID < b.target.ID
}

const (
	// maxOvershoot bounds the load of a move, as a multiple of the load that brings
	// the nearer of the two targets to the mean.
	maxOvershoot = 1.2
	// minMoveShare is the share of that load below which a move is not worth the
	// pause.
	minMoveShare = 0.1
)

// pickRange returns the range at either end of one of the source's pieces whose
// load comes nearest to the load that brings one of the two targets to the mean. A
// busier key is moved all the same if that leaves both targets less utilized than
// the source is now; otherwise its neighbours are moved.
func (r *balanceRound) pickRange(from, to *targetLoad) (best *piece, first, last int) {
	sums := r.sums
	amount := min(from.load-r.mean*from.slots, r.mean*to.slots-to.load)
	maxLoad := (from.utilization()-minUtilizationGap)*to.slots - to.load
	if amount <= 0 || maxLoad <= 0 {
		return nil, 0, 0
	}
	bestLoad := minMoveShare * amount
	if from.utilization() > 1 {
		// A single key may exceed what the target can serve. Its neighbours need
		// not wait behind it, however little load they have.
		bestLoad = 0
	}
	for _, p := range r.pieces[from.target.ID] {
		if !p.isMovable() {
			continue
		}
		for _, atStart := range []bool{true, false} {
			f, l := edgeRange(sums, p, atStart, maxOvershoot*amount, maxLoad)
			if f > l || f == p.First && l == p.Last && !from.keepsLoadWithout(rangeLoad(sums, f, l)) {
				continue
			}
			if load := rangeLoad(sums, f, l); bestLoad < load {
				bestLoad, best, first, last = load, p, f, l
			}
		}
	}
	return best, first, last
}

func (l *targetLoad) keepsLoadWithout(load float64) bool { return l.load > 1.01*load }

// edgeRange returns the longest range at one end of a piece whose load is at most
// limit. If the next key is so busy that it would more than double that load, the
// range includes it if the load is then at most maxLoad. It is empty (first > last)
// if no key fits.
func edgeRange(sums []float64, p *piece, atStart bool, limit, maxLoad float64) (first, last int) {
	rangeOf := func(n int) (int, int) {
		if atStart {
			return p.First, p.First + n - 1
		}
		return p.Last - n + 1, p.Last
	}
	size := p.Last - p.First + 1
	n := sort.Search(size, func(i int) bool {
		f, l := rangeOf(i + 1)
		return rangeLoad(sums, f, l) > limit
	})
	if n < size {
		f, l := rangeOf(n + 1)
		withNext := rangeLoad(sums, f, l)
		f, l = rangeOf(n)
		if withNext <= maxLoad && (n == 0 || rangeLoad(sums, f, l) < withNext/2) {
			n++
		}
	}
	return rangeOf(n)
}
