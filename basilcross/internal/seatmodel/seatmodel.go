// Package seatmodel checks the rules by which a zone's seat is held, extended
// during outages, and taken away: an abstract model is searched exhaustively
// in a small scope.
//
// The model has one seat with a holder, three other zones' leaders, and one
// evictor. Time passes in ticks; messages take any time and may be lost; the
// other leaders may hand over to successors without memory; the holder's clock
// may run slow and the evictor's fast, within the drift allowed for; the
// holder may be paused between a check and the act that it allows. What must
// never be seen: the seat is taken while its earlier holder still acts.
package seatmodel

import (
	"slices"
)

// Rules switches single rules off, to see whether the search misses them.
type Rules struct {
	CountFromReceipt     bool
	FewerConfirmations   bool
	NoTableWait          bool
	NoPromiseWait        bool
	IgnoreDrift          bool
	SkipReadBack         bool
	NoRecheck            bool
	NoIntent             bool
	SuccessorReadsNoRows bool
	SuccessorConfirms    bool
	TakeUnconditionally  bool
	ExtendAfterRefrain   bool
}

// The scope. Holding and waiting differ by the drift.
const (
	hold        = 2
	drift       = 1
	others      = 3
	toExtend    = 2
	toEvict     = 2
	maxRenewals = 1
	maxRounds   = 2
	maxChanges  = 1
	maxAge      = hold + drift
)

// stage is where a request and its answer are.
type stage uint8

const (
	idle stage = iota
	asked
	granted
	answered
	refused
)

// leader is another zone's leader.
type leader struct {
	// promised and confirmFrom are ticks left.
	promised    int8
	confirmFrom int8
	// refusedUpTo is the row version that it no longer extends, plus one.
	refusedUpTo uint8
	// readUpTo is the row version that it read with an intent, plus one.
	readUpTo uint8
	// extension is the holder's request to it in the present round.
	extension stage
	// clear is what the evictor still waits for its promises, -1 before the
	// confirmation.
	clear int8
}

// phase is how far the evictor is.
type phase uint8

const (
	watching phase = iota
	asking
	taking
	took
	// beaten is the end of an attempt that a renewal defeated.
	beaten
)

// state is one state of the model. It is comparable, and all its clocks are
// relative, so the search ends.
type state struct {
	version   uint8
	newHolder bool
	intent    bool

	// authority is what the holder believes to have left.
	authority   int8
	known       uint8
	renewal     stage
	renewalAge  int8
	renewalFrom uint8
	renewalNew  uint8
	renewals    uint8
	round       int8
	rounds      uint8
	checked     bool
	acted       bool

	leaders [others]leader
	changes uint8

	evictor    phase
	evictFrom  uint8
	tableWait  int8
	holderSlip bool
}

// model is the search's rules.
type model struct{ Rules }

func (m model) length() int8 {
	if m.IgnoreDrift {
		return hold + drift
	}
	return hold
}

func (m model) wait() int8 {
	return hold + drift
}

func (m model) initial() state {
	s := state{version: 1, known: 1, authority: m.length(), tableWait: m.wait(), round: -1}
	for i := range s.leaders {
		s.leaders[i].clear = -1
	}
	return s
}

// step is one successor with the name of what happened.
type step struct {
	name string
	next state
}

// successors returns every state that may follow.
func (m model) successors(s state) []step {
	if s.evictor == beaten {
		return nil
	}
	var out []step
	add := func(name string, change func(*state)) {
		next := s
		change(&next)
		next.canonical()
		out = append(out, step{name, next})
	}
	m.time(s, add)
	m.holder(s, add)
	m.extensions(s, add)
	m.eviction(s, add)
	m.refrains(s, add)
	m.changesOfLeaders(s, add)
	return out
}

// canonical forgets what can no longer matter and orders the leaders, who are
// alike.
func (s *state) canonical() {
	l := &s.leaders
	for i := range l {
		if l[i].clear >= 0 {
			l[i].promised, l[i].confirmFrom = 0, 0
		}
		if s.evictor >= taking {
			l[i].clear, l[i].promised, l[i].confirmFrom = 0, 0, 0
		}
	}
	if s.evictor == took {
		s.tableWait, s.evictFrom = 0, 0
	}
	for i := 1; i < others; i++ {
		for j := i; j > 0 && l[j].rank() < l[j-1].rank(); j-- {
			l[j], l[j-1] = l[j-1], l[j]
		}
	}
}

// rank packs a leader into a number, of which only the order matters.
func (l leader) rank() uint64 {
	rank := uint64(0)
	for _, field := range [...]uint8{
		uint8(l.promised), uint8(l.confirmFrom), l.refusedUpTo, l.readUpTo,
		uint8(l.extension), uint8(l.clear),
	} {
		rank = rank<<8 | uint64(field)
	}
	return rank
}

type adder func(name string, change func(*state))

func down(t *int8) {
	if *t > 0 {
		*t--
	}
}

func up(t *int8) {
	if *t >= 0 && *t < maxAge {
		*t++
	}
}

func (m model) time(s state, add adder) {
	add("tick", func(s *state) {
		down(&s.authority)
		s.pass()
	})
	if !s.holderSlip {
		add("tick, holder's clock slow", func(s *state) {
			s.holderSlip = true
			s.pass()
		})
	}
}

func (s *state) pass() {
	if s.renewal != idle {
		up(&s.renewalAge)
	}
	up(&s.round)
	for i := range s.leaders {
		down(&s.leaders[i].promised)
		down(&s.leaders[i].confirmFrom)
		down(&s.leaders[i].clear)
	}
	down(&s.tableWait)
}

// gain counts authority from the sending of the request that gained it.
func (m model) gain(s *state, age int8) {
	if m.CountFromReceipt {
		age = 0
	}
	s.authority = max(s.authority, m.length()-age)
}

func (m model) holder(s state, add adder) {
	if s.renewal == idle && s.renewals < maxRenewals {
		add("holder sends a renewal", func(s *state) {
			s.renewal, s.renewalAge, s.renewalFrom = asked, 0, s.known
			s.renewals++
		})
	}
	m.renewalOnItsWay(s, add)
	if s.known < s.version && !s.newHolder {
		add("holder reads the row", func(s *state) { s.known = s.version })
	}
	if !m.NoRecheck {
		// With the check repeated at the act, it is enough to look at the
		// authority itself.
		return
	}
	if s.authority > 0 && !s.checked {
		add("holder checks its authority", func(s *state) { s.checked = true })
	}
	if s.checked {
		add("holder acts after a pause", func(s *state) {
			s.checked = false
			s.acted = s.newHolder
		})
	}
}

// renewalOnItsWay delivers the renewal and its answer. An answer that is later
// brings the same end of authority, so it arrives at once unless a rule that
// depends on its time is switched off.
func (m model) renewalOnItsWay(s state, add adder) {
	late := m.CountFromReceipt || m.SkipReadBack
	if s.renewal == asked {
		add("renewal reaches the table", func(s *state) {
			m.renew(s)
			if !late {
				m.renewalAnswer(s)
			}
		})
	}
	if s.renewal == granted || s.renewal == refused {
		add("answer to the renewal arrives", m.renewalAnswer)
	}
	if s.renewal != idle && m.SkipReadBack {
		add("answer to the renewal is lost", m.unanswered)
	}
}

func (m model) renewalAnswer(s *state) {
	if s.renewal == granted {
		m.gain(s, s.renewalAge)
		s.known = s.renewalNew
	}
	s.renewal, s.renewalAge, s.renewalFrom, s.renewalNew = idle, 0, 0, 0
}

func (m model) renew(s *state) {
	s.renewal = refused
	if s.version != s.renewalFrom || s.newHolder {
		return
	}
	s.renewal = granted
	s.version++
	s.intent = false
	s.renewalNew = s.version
	// The earliest moment at which the evictor can see it; later is safer.
	s.tableWait = m.wait()
}

func (m model) unanswered(s *state) {
	m.gain(s, s.renewalAge)
	s.renewal, s.renewalAge, s.renewalFrom, s.renewalNew = idle, 0, 0, 0
}

func (m model) extensions(s state, add adder) {
	if s.round < 0 && s.rounds < maxRounds && !s.acted {
		add("holder asks all leaders for extension", func(s *state) {
			s.round = 0
			s.rounds++
			for i := range s.leaders {
				s.leaders[i].extension = asked
			}
		})
	}
	if s.round >= 0 {
		add("holder ends the round", (*state).endRound)
	}
	for i := range s.leaders {
		switch s.leaders[i].extension {
		case asked:
			add("a leader extends the holder", func(s *state) {
				m.extend(s, i)
				if !m.CountFromReceipt {
					m.extensionAnswer(s, i)
				}
			})
		case granted:
			add("holder gets an extension", func(s *state) { m.extensionAnswer(s, i) })
		default:
		}
	}
}

func (m model) extensionAnswer(s *state, i int) {
	if s.leaders[i].extension != granted {
		return
	}
	s.leaders[i].extension = answered
	if s.count(answered) >= toExtend {
		m.gain(s, s.round)
		s.endRound()
	}
}

func (s *state) endRound() {
	s.round = -1
	for i := range s.leaders {
		s.leaders[i].extension = idle
	}
}

func (s *state) count(want stage) int {
	n := 0
	for _, l := range s.leaders {
		if l.extension == want {
			n++
		}
	}
	return n
}

func (m model) extend(s *state, i int) {
	l := &s.leaders[i]
	l.extension = refused
	bound := max(l.refusedUpTo, l.readUpTo)
	if m.ExtendAfterRefrain {
		bound = l.readUpTo
	}
	if s.known < bound {
		return
	}
	l.extension = granted
	l.promised = m.wait()
}

func (m model) eviction(s state, add adder) {
	switch s.evictor {
	case watching:
		if m.NoIntent {
			add("evictor begins without an intent", func(s *state) {
				s.evictor, s.evictFrom = asking, s.version
			})
			return
		}
		add("evictor writes the intent", func(s *state) {
			s.version++
			s.intent = true
			s.evictor, s.evictFrom = asking, s.version
		})
	case asking:
		if m.mayTake(s) {
			add("evictor sends the taking write", func(s *state) { s.evictor = taking })
		}
	case taking:
		add("taking write reaches the table", func(s *state) {
			s.evictor = beaten
			if s.version == s.evictFrom || m.TakeUnconditionally {
				s.evictor = took
				s.newHolder = true
				s.intent = false
				s.version++
			}
		})
	case took, beaten:
	}
}

func (m model) mayTake(s state) bool {
	needed := toEvict
	if m.FewerConfirmations {
		needed--
	}
	ready := 0
	for _, l := range s.leaders {
		if l.clear == 0 || l.clear > 0 && m.NoPromiseWait {
			ready++
		}
	}
	return ready >= needed && (s.tableWait == 0 || m.NoTableWait)
}

// refrains delivers requests and confirmations at once: a later one makes the
// evictor wait longer.
func (m model) refrains(s state, add adder) {
	if s.evictor != asking {
		return
	}
	for i := range s.leaders {
		if s.leaders[i].clear >= 0 {
			continue
		}
		add("a leader refrains", func(s *state) {
			l := &s.leaders[i]
			l.refusedUpTo = s.evictFrom + 1
			l.clear = l.promised
			if !m.SuccessorConfirms {
				l.clear = max(l.clear, l.confirmFrom)
			}
		})
	}
}

// changesOfLeaders lets a leader hand over to one without memory, who reads
// all rows in the transaction that gains the seat. Promises made before still
// count for the holder.
func (m model) changesOfLeaders(s state, add adder) {
	if s.changes >= maxChanges {
		return
	}
	for i := range s.leaders {
		add("a leader hands over to a successor", func(s *state) {
			l := &s.leaders[i]
			s.changes++
			l.promised = 0
			l.confirmFrom = m.wait()
			l.refusedUpTo = 0
			l.readUpTo = 0
			if (s.intent || s.newHolder) && !m.SuccessorReadsNoRows {
				l.readUpTo = s.version + 1
			}
		})
	}
}

// broken tells whether two hold the seat, or the earlier holder has acted.
func (s state) broken() bool {
	return s.acted || s.newHolder && s.authority > 0
}

// Result is the outcome of a search.
type Result struct {
	States int
	// Trace is the shortest way to a state with two holders; nil if none is
	// reachable.
	Trace []string
	// Complete is false if the limit ended the search.
	Complete bool
}

// Search looks at every reachable state, at most limit.
func Search(r Rules, limit int) Result {
	m := model{r}
	first := m.initial()
	first.canonical()
	seen := map[state]int32{first: 0}
	queue := []state{first}
	names := []string{""}
	parents := []int32{-1}
	for i := 0; i < len(queue); i++ {
		for _, next := range m.successors(queue[i]) {
			if _, known := seen[next.next]; known {
				continue
			}
			seen[next.next] = int32(len(queue))
			queue = append(queue, next.next)
			names = append(names, next.name)
			parents = append(parents, int32(i))
			if next.next.broken() {
				return Result{States: len(queue), Trace: trace(names, parents), Complete: true}
			}
		}
		if len(queue) > limit {
			return Result{States: len(queue)}
		}
	}
	return Result{States: len(queue), Complete: true}
}

func trace(names []string, parents []int32) []string {
	var steps []string
	for i := int32(len(names) - 1); i > 0; i = parents[i] {
		steps = append(steps, names[i])
	}
	slices.Reverse(steps)
	return steps
}
