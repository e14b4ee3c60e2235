package ownership

import (
	"math"
	"sort"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// minSourceUtilization is the share of a target's slots in use from which moving keys
	// away is worth their pause.
	minSourceUtilization = 0.5
	// minUtilizationGap is the difference between the fullest and the emptiest target, in
	// shares of their slots, that is left alone.
	minUtilizationGap = 0.25
	// shiftThreshold is the excess, in shares of what chance makes of it, that shows
	// that busy keys have changed. What is seen of new ones lags behind for some
	// seconds, and all differences count meanwhile.
	shiftThreshold = 1.2
	// targetsPerMove bounds the pieces that balance begins to move at a time, as a
	// divisor of the targets' number and at least: each is a release and a
	// grant. A busy neighbourhood of keys must be spread over most targets
	// within a second or two, so it grows with their number.
	targetsPerMove   = 2
	minMovesPerRound = 6
	// maxMovesPerSource bounds the pieces that are on the move from one target: each
	// waits on a connection of its own until the work on its keys has ended.
	maxMovesPerSource = 48
	// maxPiecesPerTarget bounds the pieces by which balance divides the keys: each
	// is renewed by a call of its own, and takes room in a row.
	maxPiecesPerTarget = 4
	// mergeThreshold is how many pieces a target on average are left alone. Above,
	// the least busy ones go to a neighbour's owner: otherwise a day of moves
	// would use up all pieces, and no busy key could be moved any more.
	mergeThreshold = 2
	// targetsPerMerge is the number of targets to one such move at a time.
	targetsPerMerge = 16
	// mergeHeadroom is how far above the mean, in shares of its slots, a target is
	// filled by such moves.
	mergeHeadroom = 0.1
)

// balance begins moves from the fullest targets to the emptiest.
func (m *Manager) balance(now time.Time, targets []*roster.Target) {
	sums := m.Load.prefixSums(now)
	rooms := m.targetLoads(now, targets, sums)
	if len(rooms) < 2 {
		return
	}
	all, slots := 0.0, 0.0
	for _, t := range targets {
		if r := rooms[t.ID]; r != nil {
			all += r.load
			slots += r.slots
		}
	}
	mean := all / slots
	if len(m.pieces) > mergeThreshold*len(rooms) {
		m.merge(sums, rooms, mean)
	}
	if len(m.pieces) > maxPiecesPerTarget*len(rooms) {
		return
	}
	for range max(minMovesPerRound, len(rooms)/targetsPerMove) {
		if !m.beginMove(now, sums, rooms, mean) {
			return
		}
	}
}

// mergeCandidate is a piece that could go to the owner of a neighbouring one.
type mergeCandidate struct {
	piece *piece
	to    *targetLoad
	load  float64
}

// mergeCandidates returns what could be merged, the least busy pieces first.
func (m *Manager) mergeCandidates(sums []float64, rooms map[string]*targetLoad) (list []mergeCandidate) {
	for i, p := range m.pieces {
		if rooms[p.Owner] == nil || !p.isMovable() {
			continue
		}
		load := rangeLoad(sums, p.First, p.Last)
		for _, n := range []int{i - 1, i + 1} {
			if n < 0 || n >= len(m.pieces) || m.pieces[n].Owner == p.Owner || !m.pieces[n].isMovable() {
				continue
			}
			if to := rooms[m.pieces[n].Owner]; to != nil {
				list = append(list, mergeCandidate{p, to, load})
			}
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].load < list[b].load })
	return list
}

// merge gives the least busy pieces to the owner of a neighbouring one.
func (m *Manager) merge(sums []float64, rooms map[string]*targetLoad, mean float64) {
	left := max(1, len(rooms)/targetsPerMerge)
	for _, c := range m.mergeCandidates(sums, rooms) {
		if left == 0 {
			return
		}
		from := rooms[c.piece.Owner]
		full := c.to.load+c.load > (mean+mergeHeadroom)*c.to.slots
		if full || c.piece.phase != held || from.pieces == 1 || from.movingOut >= maxMovesPerSource {
			continue
		}
		left--
		from.pieces--
		from.load -= c.load
		from.movingOut++
		c.to.load += c.load
		c.piece.startMove(c.to.target.ID)
	}
}

// isMovable tells whether a piece may begin to move.
func (p *piece) isMovable() bool {
	return p.phase == held && !p.inFlight && p.confirmedEpoch == p.epoch
}

// startMove begins the piece's move to a target.
func (p *piece) startMove(to string) {
	p.phase, p.cause, p.destination, p.attempts = releaseDue, Rebalance, to, 0
}

// beginMove begins one move, and tells whether there was one to make.
func (m *Manager) beginMove(now time.Time, sums []float64, rooms map[string]*targetLoad, mean float64) bool {
	from, to := extremes(rooms)
	if from == nil || to == nil || from == to {
		return false
	}
	excess := m.excess(from, mean, len(rooms))
	beyondChance := excess > 1 || now.Sub(m.loadShiftedAt) < loadHalfLife
	worth := from.utilization() > minSourceUtilization && from.utilization()-to.utilization() > minUtilizationGap && beyondChance || !to.hasKeys
	if !worth {
		return false
	}
	p, first, last := m.pickRange(sums, from, to, mean)
	if p == nil {
		from.stuck = true
		return true
	}
	if excess > shiftThreshold {
		m.loadShiftedAt = now
	}
	p = m.splitOff(p, first, last)
	p.startMove(to.target.ID)
	moved := rangeLoad(sums, first, last)
	from.load -= moved
	from.movingOut++
	to.load += moved
	to.hasKeys = true
	return true
}

// excess is how far a target is above the mean, as a share of how far the
// fullest of so many would be by chance if all got the same load.
func (m *Manager) excess(r *targetLoad, mean float64, targets int) float64 {
	even := mean * r.slots
	chance := expectedMaxDeviation(targets) * m.Load.stdDev(even)
	if chance == 0 {
		return 0
	}
	return (r.load - even) / chance
}

// expectedMaxDeviation is how many standard deviations above the mean the highest of n
// normally distributed figures is expected to lie at most.
func expectedMaxDeviation(n int) float64 { return math.Sqrt(2 * math.Log(float64(n))) }

// extremes returns the fullest target of which more can go, and the emptiest. A
// target that has nothing goes before one that has little.
func extremes(rooms map[string]*targetLoad) (from, to *targetLoad) {
	for _, r := range rooms {
		can := !r.stuck && r.hasKeys && r.movingOut < maxMovesPerSource
		if can && (from == nil || r.utilization() > from.utilization() || r.utilization() == from.utilization() && r.target.ID < from.target.ID) {
			from = r
		}
		if to == nil || lessUtilized(r, to) {
			to = r
		}
	}
	return from, to
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
	// maxOvershoot is how far a move may go beyond what brings the nearer of both
	// targets to the mean.
	maxOvershoot = 1.2
	// minMoveShare is the share of that amount below which a move is not worth
	// its pause.
	minMoveShare = 0.1
)

// pickRange returns the range at one end of one of the source's pieces whose load
// comes nearest to what brings either target to the mean. A key that is busier
// than that goes all the same if it leaves both less full than the source is
// now; with one that does not, its neighbours go.
func (m *Manager) pickRange(sums []float64, from, to *targetLoad, mean float64) (best *piece, first, last int) {
	amount := min(from.load-mean*from.slots, mean*to.slots-to.load)
	most := (from.utilization()-minUtilizationGap)*to.slots - to.load
	if amount <= 0 || most <= 0 {
		return nil, 0, 0
	}
	found := minMoveShare * amount
	if from.utilization() > 1 {
		// A single key may be more than the target can do. Its neighbours need
		// not wait behind it, however little they are.
		found = 0
	}
	for _, p := range m.pieces {
		if p.Owner != from.target.ID || !p.isMovable() {
			continue
		}
		for _, head := range []bool{true, false} {
			f, l := edgeRange(sums, p, head, maxOvershoot*amount, most)
			if f > l || f == p.First && l == p.Last && !from.keepsLoadWithout(rangeLoad(sums, f, l)) {
				continue
			}
			if got := rangeLoad(sums, f, l); found < got {
				found, best, first, last = got, p, f, l
			}
		}
	}
	return best, first, last
}

// keepsLoadWithout tells whether the target keeps some load if it gives up that much.
func (r *targetLoad) keepsLoadWithout(load float64) bool { return r.load > 1.01*load }

// edgeRange returns the longest range at an end of a piece whose load is at most
// limit; if that is next to nothing, because a busy key follows, the range goes
// on to that key if its load is at most most. It is empty if there is none.
func edgeRange(sums []float64, p *piece, head bool, limit, most float64) (first, last int) {
	at := func(n int) (int, int) {
		if head {
			return p.First, p.First + n - 1
		}
		return p.Last - n + 1, p.Last
	}
	size := p.Last - p.First + 1
	n := sort.Search(size, func(i int) bool {
		f, l := at(i + 1)
		return rangeLoad(sums, f, l) > limit
	})
	if n < size {
		f, l := at(n + 1)
		with := rangeLoad(sums, f, l)
		f, l = at(n)
		if with <= most && (n == 0 || rangeLoad(sums, f, l) < with/2) {
			n++
		}
	}
	return at(n)
}
