package seatmodel

// step is a successor state with the name of the event that leads to it.
type step struct {
	name string
	next state
}

func (m model) successors(s state) []step {
	if s.evictor == defeated {
		return nil
	}
	var out []step
	add := func(name string, change func(*state)) {
		next := s
		change(&next)
		m.canonicalize(&next)
		out = append(out, step{name, next})
	}
	m.timeSteps(s, add)
	m.holderSteps(s, add)
	m.extensionSteps(s, add)
	m.evictionSteps(s, add)
	m.refrainSteps(s, add)
	m.handoverSteps(s, add)
	return out
}

// canonicalize clears what no longer affects the search and sorts the leaders,
// which are interchangeable.
func (m model) canonicalize(s *state) {
	l := &s.leaders
	if m.attempts == 1 {
		s.dropConfirmed()
	}
	if s.evictor == claimed {
		s.tableWait, s.evictVersion = 0, 0
	}
	for i := 1; i < otherLeaders; i++ {
		for j := i; j > 0 && l[j].rank() < l[j-1].rank(); j-- {
			l[j], l[j-1] = l[j-1], l[j]
		}
	}
}

// dropConfirmed clears fields that only affect confirmations already received.
// It is valid only without another attempt, which would need them again.
func (s *state) dropConfirmed() {
	l := &s.leaders
	for i := range l {
		if l[i].claimWait >= 0 {
			l[i].extendedFor, l[i].confirmWait = 0, 0
		}
		if s.evictor >= claiming {
			l[i].claimWait, l[i].extendedFor, l[i].confirmWait = 0, 0, 0
		}
	}
}

// rank encodes a leader as a number for sorting.
func (l leader) rank() uint64 {
	rank := uint64(0)
	for _, field := range [...]uint8{
		uint8(l.extendedFor), uint8(l.confirmWait), l.refrainBound, l.intentBound,
		uint8(l.extension), uint8(l.claimWait),
	} {
		rank = rank<<8 | uint64(field)
	}
	return rank
}

type addFunc func(name string, change func(*state))

func countDown(t *int8) {
	if *t > 0 {
		*t--
	}
}

func countUp(t *int8) {
	if *t >= 0 && *t < maxAge {
		*t++
	}
}

func (m model) timeSteps(s state, add addFunc) {
	add("tick", func(s *state) {
		countDown(&s.authority)
		s.advance()
	})
	if !s.holderSlowed {
		add("tick, holder's clock slow", func(s *state) {
			s.holderSlowed = true
			s.advance()
		})
	}
}

func (s *state) advance() {
	if s.renewal != idle {
		countUp(&s.renewalAge)
	}
	countUp(&s.roundAge)
	for i := range s.leaders {
		countDown(&s.leaders[i].extendedFor)
		countDown(&s.leaders[i].confirmWait)
		countDown(&s.leaders[i].claimWait)
	}
	countDown(&s.tableWait)
}

// gainAuthority counts authority from when the request that gained it was sent.
func (m model) gainAuthority(s *state, age int8) {
	if m.CountFromReceipt {
		age = 0
	}
	s.authority = max(s.authority, m.heldTicks()-age)
}

func (m model) holderSteps(s state, add addFunc) {
	if s.renewal == idle && s.renewals < m.renewals {
		add("holder sends a renewal", func(s *state) {
			s.renewal, s.renewalAge, s.renewalBase = requested, 0, s.observed
			s.renewals++
		})
	}
	m.renewalSteps(s, add)
	if s.observed < s.version && !s.newHolder {
		add("holder reads the row", func(s *state) { s.observed = s.version })
	}
	if !m.NoRecheck {
		// The check is repeated at the act, so it suffices that violated checks
		// the authority in every state.
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

// renewalSteps delivers the renewal and its response. The end of authority does
// not depend on when the response arrives, so it arrives at once unless a rule
// that depends on that time is switched off.
func (m model) renewalSteps(s state, add addFunc) {
	late := m.CountFromReceipt || m.SkipReadBack
	if s.renewal == requested {
		add("renewal reaches the table", func(s *state) {
			m.applyRenewal(s)
			if !late {
				m.receiveRenewal(s)
			}
		})
	}
	if s.renewal == granted || s.renewal == refused {
		add("response to the renewal arrives", m.receiveRenewal)
	}
	if s.renewal != idle && m.SkipReadBack {
		add("response to the renewal is lost", m.assumeRenewed)
	}
}

func (m model) receiveRenewal(s *state) {
	if s.renewal == granted {
		m.gainAuthority(s, s.renewalAge)
		s.observed = s.renewalVersion
	}
	s.renewal, s.renewalAge, s.renewalBase, s.renewalVersion = idle, 0, 0, 0
}

func (m model) applyRenewal(s *state) {
	s.renewal = refused
	if s.version != s.renewalBase || s.newHolder {
		return
	}
	s.renewal = granted
	s.version++
	s.intent = false
	s.renewalVersion = s.version
	// The earliest time at which the evictor can observe it; later is safer.
	s.tableWait = m.waitTicks()
}

func (m model) assumeRenewed(s *state) {
	m.gainAuthority(s, s.renewalAge)
	s.renewal, s.renewalAge, s.renewalBase, s.renewalVersion = idle, 0, 0, 0
}

func (m model) extensionSteps(s state, add addFunc) {
	if s.roundAge < 0 && s.rounds < m.rounds && !s.acted {
		add("holder requests an extension from all leaders", func(s *state) {
			s.roundAge = 0
			s.rounds++
			for i := range s.leaders {
				s.leaders[i].extension = requested
			}
		})
	}
	if s.roundAge >= 0 {
		add("holder ends the round", (*state).endRound)
	}
	for i := range s.leaders {
		switch s.leaders[i].extension {
		case requested:
			add("a leader grants the holder an extension", func(s *state) {
				m.applyExtension(s, i)
				if !m.CountFromReceipt {
					m.receiveExtension(s, i)
				}
			})
		case granted:
			add("holder receives an extension", func(s *state) { m.receiveExtension(s, i) })
		default:
		}
	}
}

func (m model) receiveExtension(s *state, i int) {
	if s.leaders[i].extension != granted {
		return
	}
	s.leaders[i].extension = received
	if s.countExtensions(received) >= extendQuorum {
		m.gainAuthority(s, s.roundAge)
		s.endRound()
	}
}

func (s *state) endRound() {
	s.roundAge = -1
	for i := range s.leaders {
		s.leaders[i].extension = idle
	}
}

func (s *state) countExtensions(want stage) int {
	n := 0
	for _, l := range s.leaders {
		if l.extension == want {
			n++
		}
	}
	return n
}

func (m model) applyExtension(s *state, i int) {
	l := &s.leaders[i]
	l.extension = refused
	bound := max(l.refrainBound, l.intentBound)
	if m.ExtendAfterRefrain {
		bound = l.intentBound
	}
	if s.observed < bound {
		return
	}
	l.extension = granted
	l.extendedFor = m.waitTicks()
}

func (m model) evictionSteps(s state, add addFunc) {
	switch s.evictor {
	case watching:
		if m.NoIntent {
			add("evictor begins without an intent", func(s *state) {
				s.evictor, s.evictVersion = collecting, s.version
			})
			return
		}
		add("evictor writes the intent", func(s *state) {
			s.version++
			s.intent = true
			s.evictor, s.evictVersion = collecting, s.version
		})
	case collecting:
		if m.mayClaim(s) {
			add("evictor sends the claiming write", func(s *state) { s.evictor = claiming })
		}
	case claiming:
		add("claiming write reaches the table", func(s *state) {
			s.evictor = defeated
			if s.attempts++; s.attempts < m.attempts {
				s.resetAttempt()
			}
			if s.version == s.evictVersion || m.ClaimUnconditionally {
				s.evictor = claimed
				s.newHolder = true
				s.intent = false
				s.version++
			}
		})
	case claimed, defeated:
	}
}

func (s *state) resetAttempt() {
	s.evictor = watching
	for i := range s.leaders {
		s.leaders[i].claimWait = -1
	}
}

func (m model) mayClaim(s state) bool {
	needed := evictQuorum
	if m.FewerConfirmations {
		needed--
	}
	ready := 0
	for _, l := range s.leaders {
		if l.claimWait == 0 || l.claimWait > 0 && m.NoExtensionWait {
			ready++
		}
	}
	return ready >= needed && (s.tableWait == 0 || m.NoTableWait)
}

// refrainSteps delivers requests to refrain and their confirmations at once: a
// later delivery only makes the evictor wait longer.
func (m model) refrainSteps(s state, add addFunc) {
	if s.evictor != collecting {
		return
	}
	for i := range s.leaders {
		if s.leaders[i].claimWait >= 0 {
			continue
		}
		add("a leader refrains", func(s *state) {
			l := &s.leaders[i]
			l.refrainBound = s.evictVersion + 1
			l.claimWait = l.extendedFor
			if !m.SuccessorConfirms {
				l.claimWait = max(l.claimWait, l.confirmWait)
			}
		})
	}
}

// handoverSteps lets a leader hand over to a successor without state, which reads
// all rows in the transaction that claims its seat. Extensions granted before
// remain valid for the holder.
func (m model) handoverSteps(s state, add addFunc) {
	if s.handovers >= m.handovers {
		return
	}
	for i := range s.leaders {
		add("a leader hands over to a successor", func(s *state) {
			l := &s.leaders[i]
			s.handovers++
			l.extendedFor = 0
			l.confirmWait = m.waitTicks()
			l.refrainBound = 0
			l.intentBound = 0
			if (s.intent || s.newHolder) && !m.SuccessorReadsNoRows {
				l.intentBound = s.version + 1
			}
		})
	}
}
