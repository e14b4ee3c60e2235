package seatmodel

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
		m.canonical(&next)
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
func (m model) canonical(s *state) {
	l := &s.leaders
	if m.attempts == 1 {
		s.forgetPromises()
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

// forgetPromises drops what matters only to a confirmation that was given
// already. With another attempt to come it would matter again.
func (s *state) forgetPromises() {
	l := &s.leaders
	for i := range l {
		if l[i].clear >= 0 {
			l[i].promised, l[i].confirmFrom = 0, 0
		}
		if s.evictor >= taking {
			l[i].clear, l[i].promised, l[i].confirmFrom = 0, 0, 0
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
	if s.renewal == idle && s.renewals < m.renewals {
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
	if s.round < 0 && s.rounds < m.rounds && !s.acted {
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
			if s.attempts++; s.attempts < m.attempts {
				s.forgetAttempt()
			}
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

// forgetAttempt lets the evictor begin anew.
func (s *state) forgetAttempt() {
	s.evictor = watching
	for i := range s.leaders {
		s.leaders[i].clear = -1
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
	if s.changes >= m.changes {
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
