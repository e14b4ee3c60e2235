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
	// coldShare is what a target that still warms up can do of its usual.
	coldShare = 0.5
	// forgiveAfter is how long a target that left orders unanswered, but is
	// still named by the platform, is given no keys: longer than its lost keys
	// need to be served elsewhere. It doubles each time up to mostForgive, as
	// each trial costs the keys given a whole hold.
	forgiveAfter = 8 * time.Second
	mostForgive  = 64 * time.Second
	// spreadOver is how many targets a lost one's keys are spread over at least.
	spreadOver = 3
)

// room is what a target can take.
type room struct {
	target *roster.Target
	slots  float64
	load   float64
	// moving counts its pieces on the way to others; stuck is set if no piece
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
func (m *Manager) Speed(target string, latency time.Duration) {
	if m.speeds == nil {
		m.speeds = map[string]time.Duration{}
	}
	m.speeds[target] = latency
}

// forgetSpeeds drops the speeds of targets that are not named any more. They
// would count for the next lifetime under the name, and in the mean.
func (m *Manager) forgetSpeeds(named map[string]*roster.Target) {
	for id := range m.speeds {
		if named[id] == nil {
			delete(m.speeds, id)
		}
	}
}

// speed returns what a target does in the time in which the usual one does 1.
func (m *Manager) speed(target string) float64 {
	mine := m.speeds[target]
	if mine <= 0 {
		return 1
	}
	sum := time.Duration(0)
	for _, s := range m.speeds {
		sum += s
	}
	return min(max(float64(sum)/float64(len(m.speeds))/float64(mine), slowest), fastest)
}

// rooms returns the targets that may be given keys.
func (m *Manager) rooms(now time.Time, targets []*roster.Target, sums []float64) map[string]*room {
	rooms := map[string]*room{}
	for _, t := range targets {
		if !m.mayHold(now, t) {
			continue
		}
		slots := float64(t.Slots) * m.speed(t.ID)
		if now.Sub(t.FirstSeen) < t.WarmupLeft {
			slots *= coldShare
		}
		rooms[t.ID] = &room{target: t, slots: slots}
	}
	for _, p := range m.pieces {
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
func (m *Manager) mayHold(now time.Time, t *roster.Target) bool {
	h := m.holder(t.Incarnation())
	if !h.silent.IsZero() && now.Sub(h.silent) > min(forgiveAfter<<min(h.forgiven, 8), mostForgive) {
		h.silent = time.Time{}
		h.forgiven++
	}
	return !t.Draining && !h.gone && h.silent.IsZero()
}

// work is the load of a range, with the prior.
func work(sums []float64, first, last int) float64 {
	return sums[last+1] - sums[first] + priorWork*float64(last-first+1)/Keys
}

// assign gives every free piece an owner, to be recorded.
func (m *Manager) assign(now time.Time, targets []*roster.Target) {
	var open []*piece
	for _, p := range m.pieces {
		if p.phase == free {
			open = append(open, p)
		}
	}
	if len(open) == 0 || len(open) == len(m.pieces) && !m.gathered(now, targets) {
		return
	}
	sums := m.Load.sums(now)
	total := 0.0
	for _, p := range open {
		total += work(sums, p.First, p.Last)
	}
	rooms := m.rooms(now, targets, sums)
	if len(rooms) == 0 {
		return
	}
	grain := m.grain(sums, total, len(rooms))
	for _, p := range open {
		for _, part := range m.split(p, sums, grain) {
			m.give(part, emptiest(rooms, part.wanted, work(sums, part.First, part.Last)), work(sums, part.First, part.Last))
		}
	}
}

// gatherFor is how long no new target must have come before keys are given out
// for the first time: all start together, and each would be given its share by
// taking it from others.
const gatherFor = 800 * time.Millisecond

// gathered tells whether the targets are likely all there.
func (m *Manager) gathered(now time.Time, targets []*roster.Target) bool {
	for _, t := range targets {
		if now.Sub(t.FirstSeen) < gatherFor {
			return false
		}
	}
	return true
}

// grain is the load of the parts into which free pieces are cut: a target's
// share if nearly everything is free, and less if it is one target's keys,
// which are to be spread over several.
func (m *Manager) grain(sums []float64, open float64, n int) float64 {
	all := work(sums, 0, Keys-1)
	if open > all/2 {
		return all / float64(n)
	}
	return all / float64(spreadOver*n)
}

// split cuts a free piece into parts of about the given load.
func (m *Manager) split(p *piece, sums []float64, grain float64) []*piece {
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
		part := m.cut(rest, rest.First, last)
		parts = append(parts, part)
		rest = m.at(last+1, end)
	}
}

func (m *Manager) at(first, last int) *piece {
	for _, p := range m.pieces {
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

func (m *Manager) give(p *piece, to *room, work float64) {
	to.load += work
	p.Owner, p.Born, p.Address = to.target.ID, to.target.Started, to.target.Address
	p.phase, p.wanted = recording, ""
	m.dirty = true
	switch p.cause {
	case OwnerLeaving:
		m.Moved.Leaving++
	case OwnerLost:
		m.Moved.Lost++
	case ForBalance:
		m.Moved.Balance++
	}
}
