package ownership

import (
	"sort"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// priorWork is the work, in slots, that is taken to lie evenly on all
	// keys, so that keys without known load are shared out by number.
	priorWork = 0.5
	// busyAt is the share of a target's slots in use from which moving keys
	// away is worth their pause.
	busyAt = 0.5
	// uneven is the difference between the fullest and the emptiest target, in
	// shares of their slots, that is left alone.
	uneven = 0.25
	// movesAtOnce bounds the pieces that balance begins to move at a time, as a
	// divisor of the targets' number and at least: each is a release and a
	// grant. A busy neighbourhood of keys must be spread over most targets
	// within a second or two, so it grows with their number.
	movesAtOnce      = 2
	leastMovesAtOnce = 6
	// movesFrom bounds the pieces that are on the move from one target: each
	// waits on a connection of its own until the work on its keys has ended.
	movesFrom = 48
	// coldShare is what a target that still warms up can do of its usual.
	coldShare = 0.5
	// forgiveAfter is how long a target that left orders unanswered, but is
	// still named by the platform, is given no keys.
	forgiveAfter = 5 * time.Second
	// piecesPerTarget bounds the pieces by which balance divides the keys: each
	// is renewed by a call of its own, and takes room in a row.
	piecesPerTarget = 4
	// mergeAbove is how many pieces a target on average are left alone. Above,
	// the least busy ones go to a neighbour's owner: otherwise a day of moves
	// would use up all pieces, and no busy key could be moved any more.
	mergeAbove = 2
	// mergesAtOnce is the number of targets to one such move at a time.
	mergesAtOnce = 16
	// mergeRoom is how far above the mean, in shares of its slots, a target is
	// filled by such moves.
	mergeRoom = 0.1
	// spreadOver is how many targets a lost one's keys are spread over at least.
	spreadOver = 3
)

// room is what a target can take.
type room struct {
	target *roster.Target
	slots  float64
	load   float64
	// moving counts its pieces on the way to others; full is set if no piece
	// of it can go.
	moving int
	stuck  bool
	holds  bool
	pieces int
}

func (r *room) use() float64 { return r.load / r.slots }

// slowest and fastest bound how much a target's measured speed counts: it is
// an average of some twenty answers whose work varies.
const (
	slowest = 0.3
	fastest = 1.8
)

// Speed notes a target's usual time of an answer.
func (k *Keeper) Speed(target string, latency time.Duration) {
	if k.speeds == nil {
		k.speeds = map[string]time.Duration{}
	}
	k.speeds[target] = latency
}

// speed returns what a target does in the time in which the usual one does 1.
func (k *Keeper) speed(target string) float64 {
	mine := k.speeds[target]
	if mine <= 0 {
		return 1
	}
	sum := time.Duration(0)
	for _, s := range k.speeds {
		sum += s
	}
	return min(max(float64(sum)/float64(len(k.speeds))/float64(mine), slowest), fastest)
}

// rooms returns the targets that may be given keys.
func (k *Keeper) rooms(now time.Time, targets []*roster.Target, sums []float64) map[string]*room {
	rooms := map[string]*room{}
	for _, t := range targets {
		if !k.mayHold(now, t) {
			continue
		}
		slots := float64(t.Slots) * k.speed(t.ID)
		if now.Sub(t.Seen) < t.Warming {
			slots *= coldShare
		}
		rooms[t.ID] = &room{target: t, slots: slots}
	}
	for _, p := range k.pieces {
		to := p.Owner
		if p.phase == leaving || p.phase == releasing || p.phase == waiting {
			if r := rooms[p.Owner]; r != nil {
				r.moving++
			}
			to = p.wanted
		}
		if r := rooms[to]; r != nil {
			r.holds = true
			r.pieces++
			r.load += work(sums, p.First, p.Last)
		}
	}
	return rooms
}

// mayHold tells whether a target may be given keys.
func (k *Keeper) mayHold(now time.Time, t *roster.Target) bool {
	h := k.holder(t.Life())
	if !h.silent.IsZero() && now.Sub(h.silent) > forgiveAfter {
		h.silent = time.Time{}
	}
	return !t.Draining && !h.gone && h.silent.IsZero()
}

// work is the load of a range, with the prior.
func work(sums []float64, first, last int) float64 {
	return sums[last+1] - sums[first] + priorWork*float64(last-first+1)/Keys
}

// assign gives every free piece an owner, to be recorded.
func (k *Keeper) assign(now time.Time, targets []*roster.Target) {
	var open []*piece
	for _, p := range k.pieces {
		if p.phase == free {
			open = append(open, p)
		}
	}
	if len(open) == 0 || len(open) == len(k.pieces) && !k.gathered(now, targets) {
		return
	}
	sums := k.Load.sums(now)
	total := 0.0
	for _, p := range open {
		total += work(sums, p.First, p.Last)
	}
	rooms := k.rooms(now, targets, sums)
	if len(rooms) == 0 {
		return
	}
	grain := k.grain(sums, total, len(rooms))
	for _, p := range open {
		for _, part := range k.split(p, sums, grain) {
			k.give(part, emptiest(rooms, part.wanted, work(sums, part.First, part.Last)), work(sums, part.First, part.Last))
		}
	}
}

// gatherFor is how long no new target must have come before keys are given out
// for the first time: all start together, and each would be given its share by
// taking it from others.
const gatherFor = 800 * time.Millisecond

// gathered tells whether the targets are likely all there.
func (k *Keeper) gathered(now time.Time, targets []*roster.Target) bool {
	for _, t := range targets {
		if now.Sub(t.Seen) < gatherFor {
			return false
		}
	}
	return true
}

// grain is the load of the parts into which free pieces are cut: a target's
// share if nearly everything is free, and less if it is one target's keys,
// which are to be spread over several.
func (k *Keeper) grain(sums []float64, open float64, n int) float64 {
	all := work(sums, 0, Keys-1)
	if open > all/2 {
		return all / float64(n)
	}
	return all / float64(spreadOver*n)
}

// split cuts a free piece into parts of about the given load.
func (k *Keeper) split(p *piece, sums []float64, grain float64) []*piece {
	if p.wanted != "" {
		return []*piece{p}
	}
	var parts []*piece
	rest := p
	for {
		left := work(sums, rest.First, rest.Last)
		if left < 1.5*grain || rest.First == rest.Last {
			return append(parts, rest)
		}
		last := rest.First + sort.Search(rest.Last-rest.First, func(i int) bool {
			return work(sums, rest.First, rest.First+i) >= grain
		})
		if last >= rest.Last {
			return append(parts, rest)
		}
		end := rest.Last
		part := k.cut(rest, rest.First, last)
		parts = append(parts, part)
		rest = k.at(last+1, end)
	}
}

func (k *Keeper) at(first, last int) *piece {
	for _, p := range k.pieces {
		if p.First == first && p.Last == last {
			return p
		}
	}
	return nil
}

// emptiest returns the target that is least used with the work added; the
// wanted one goes first if it can take keys.
func emptiest(rooms map[string]*room, wanted string, work float64) *room {
	if r := rooms[wanted]; r != nil {
		return r
	}
	var best *room
	for _, r := range rooms {
		if best == nil || less(r, best, work) {
			best = r
		}
	}
	return best
}

func less(a, b *room, work float64) bool {
	x, y := (a.load+work)/a.slots, (b.load+work)/b.slots
	if x != y {
		return x < y
	}
	return a.target.ID < b.target.ID
}

func (k *Keeper) give(p *piece, to *room, work float64) {
	to.load += work
	p.Owner, p.Born, p.Address = to.target.ID, to.target.Born, to.target.Address
	p.phase, p.wanted = recording, ""
	k.dirty = true
	switch p.cause {
	case OwnerLeaving:
		k.Moved.Leaving++
	case OwnerLost:
		k.Moved.Lost++
	case ForBalance:
		k.Moved.Balance++
	}
}

// balance begins moves from the fullest targets to the emptiest.
func (k *Keeper) balance(now time.Time, targets []*roster.Target) {
	sums := k.Load.sums(now)
	rooms := k.rooms(now, targets, sums)
	if len(rooms) < 2 {
		return
	}
	all, slots := 0.0, 0.0
	for _, r := range rooms {
		all += r.load
		slots += r.slots
	}
	mean := all / slots
	if len(k.pieces) > mergeAbove*len(rooms) {
		k.merge(sums, rooms, mean)
	}
	if len(k.pieces) > piecesPerTarget*len(rooms) {
		return
	}
	for range max(leastMovesAtOnce, len(rooms)/movesAtOnce) {
		if !k.move(sums, rooms, mean) {
			return
		}
	}
}

// merge gives the least busy pieces to the owner of a neighbouring one.
func (k *Keeper) merge(sums []float64, rooms map[string]*room, mean float64) {
	type merging struct {
		piece *piece
		to    *room
		work  float64
	}
	var list []merging
	for i, p := range k.pieces {
		if from := rooms[p.Owner]; from == nil || !p.still() {
			continue
		}
		load := work(sums, p.First, p.Last)
		for _, n := range []int{i - 1, i + 1} {
			if n < 0 || n >= len(k.pieces) || k.pieces[n].Owner == p.Owner || !k.pieces[n].still() {
				continue
			}
			if to := rooms[k.pieces[n].Owner]; to != nil {
				list = append(list, merging{p, to, load})
			}
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return list[a].work < list[b].work })
	left := max(1, len(rooms)/mergesAtOnce)
	used := map[*piece]bool{}
	for _, m := range list {
		if left == 0 {
			return
		}
		from := rooms[m.piece.Owner]
		full := m.to.load+m.work > (mean+mergeRoom)*m.to.slots
		if full || used[m.piece] || from.pieces == 1 || from.moving >= movesFrom {
			continue
		}
		left--
		used[m.piece] = true
		from.pieces--
		from.load -= m.work
		from.moving++
		m.to.load += m.work
		m.piece.leave(m.to.target.ID)
	}
}

// still tells whether a piece may begin to move.
func (p *piece) still() bool { return p.phase == held && !p.calling && p.confirmed == p.epoch }

// leave begins the piece's move to a target.
func (p *piece) leave(to string) { p.phase, p.cause, p.wanted, p.tries = leaving, ForBalance, to, 0 }

// move begins one move, and tells whether there was one to make.
func (k *Keeper) move(sums []float64, rooms map[string]*room, mean float64) bool {
	from, to := extremes(rooms)
	if from == nil || to == nil || from == to {
		return false
	}
	worth := from.use() > busyAt && from.use()-to.use() > uneven || !to.holds
	if !worth {
		return false
	}
	p, first, last := k.pick(sums, from, to, mean)
	if p == nil {
		from.stuck = true
		return true
	}
	p = k.cut(p, first, last)
	p.leave(to.target.ID)
	moved := work(sums, first, last)
	from.load -= moved
	from.moving++
	to.load += moved
	to.holds = true
	return true
}

// extremes returns the fullest target of which more can go, and the emptiest. A
// target that has nothing goes before one that has little.
func extremes(rooms map[string]*room) (from, to *room) {
	for _, r := range rooms {
		can := !r.stuck && r.holds && r.moving < movesFrom
		if can && (from == nil || r.use() > from.use() || r.use() == from.use() && r.target.ID < from.target.ID) {
			from = r
		}
		if to == nil || emptier(r, to) {
			to = r
		}
	}
	return from, to
}

func emptier(a, b *room) bool {
	if a.holds != b.holds {
		return !a.holds
	}
	if a.use() != b.use() {
		return a.use() < b.use()
	}
	return a.target.ID < b.target.ID
}

const (
	// overfill is how far a move may go beyond what brings the nearer of both
	// targets to the mean.
	overfill = 1.2
	// leastMove is the share of that amount below which a move is not worth
	// its pause.
	leastMove = 0.1
)

// pick returns the range at one end of one of the source's pieces whose load
// comes nearest to what brings either target to the mean. A key that is busier
// than that goes all the same if it leaves both less full than the source is
// now; with one that does not, its neighbours go.
func (k *Keeper) pick(sums []float64, from, to *room, mean float64) (best *piece, first, last int) {
	amount := min(from.load-mean*from.slots, mean*to.slots-to.load)
	most := (from.use()-uneven)*to.slots - to.load
	if amount <= 0 || most <= 0 {
		return nil, 0, 0
	}
	found := leastMove * amount
	for _, p := range k.pieces {
		if p.Owner != from.target.ID || !p.still() {
			continue
		}
		for _, head := range []bool{true, false} {
			f, l := end(sums, p, head, overfill*amount, most)
			if f > l || f == p.First && l == p.Last && !from.spare(work(sums, f, l)) {
				continue
			}
			if got := work(sums, f, l); found < got {
				found, best, first, last = got, p, f, l
			}
		}
	}
	return best, first, last
}

// spare tells whether the target keeps some load if it gives up that much.
func (r *room) spare(load float64) bool { return r.load > 1.01*load }

// end returns the longest range at an end of a piece whose load is at most
// limit; if that is next to nothing, because a busy key follows, the range goes
// on to that key if its load is at most most. It is empty if there is none.
func end(sums []float64, p *piece, head bool, limit, most float64) (first, last int) {
	at := func(n int) (int, int) {
		if head {
			return p.First, p.First + n - 1
		}
		return p.Last - n + 1, p.Last
	}
	size := p.Last - p.First + 1
	n := sort.Search(size, func(i int) bool {
		f, l := at(i + 1)
		return work(sums, f, l) > limit
	})
	if n < size {
		f, l := at(n + 1)
		with := work(sums, f, l)
		f, l = at(n)
		if with <= most && (n == 0 || work(sums, f, l) < with/2) {
			n++
		}
	}
	return at(n)
}
