// Package chainmodel checks the chain of leases below a zone's seat: leader,
// gateway, target. What must never be seen: a target's lease runs after the
// leader's authority has ended, when the zone's shards may have new owners.
package chainmodel

// Rules switches single rules off, to see whether the search misses them.
type Rules struct {
	// PollFromReceipt counts the gateway's authority from the answer's arrival.
	PollFromReceipt bool
	// LeaseFromReceipt counts the target's lease from the order's arrival.
	LeaseFromReceipt bool
	// IgnoreDrift leaves out the allowance for slow clocks.
	IgnoreDrift bool
	// NoRecheck lets a gateway look at its authority, be paused, and then
	// send a request to a target that does not check.
	NoRecheck bool
	// UnboundedLease gives a lease of full length whatever authority is left.
	UnboundedLease bool
}

const (
	leaderTicks = 5
	maxLease    = 3
	drift       = 1
	none        = -1
)

// state is one state of the model; all clocks are relative and bounded.
type state struct {
	leaderLeft int8
	// pollAge counts from the sending of a poll; answer is what it brings.
	pollAge     int8
	response    int8
	gatewayLeft int8
	// stampAge counts from the target's issuing, heldAge from the gateway's
	// receiving of the stamp.
	stampAge    int8
	receivedAge int8
	// orderLease is the lease in an order under way, for a stamp of this age.
	orderLease    int8
	orderStampAge int8
	targetLeft    int8
	// checked is set between a look at the authority and the request that it
	// allows; routed after a request was sent without authority.
	checked bool
	routed  bool
	// slips are clock errors left, one for each of the two clocks.
	gatewaySlowed bool
	targetSlowed  bool
}

type search struct {
	Rules
	seen  map[state]bool
	queue []state
}

// Search looks at every reachable state and tells how many there are and
// whether a target outlives its leader in one of them.
func Search(r Rules) (states int, broken bool) {
	s := &search{Rules: r, seen: map[state]bool{}}
	s.add(state{leaderLeft: leaderTicks, pollAge: none, response: none, stampAge: none, receivedAge: none, orderLease: none})
	for i := 0; i < len(s.queue); i++ {
		at := s.queue[i]
		if at.leaderLeft == 0 && (at.targetLeft > 0 || at.gatewayLeft > 0 || at.routed) {
			return i, true
		}
		s.advanceTime(at)
		s.poll(at)
		s.renew(at)
		s.route(at)
	}
	return len(s.queue), false
}

func (s *search) add(next state) {
	if !s.seen[next] {
		s.seen[next] = true
		s.queue = append(s.queue, next)
	}
}

func (s *search) driftAllowance() int8 {
	if s.IgnoreDrift {
		return 0
	}
	return drift
}

func countDown(t int8) int8 { return max(0, t-1) }

func countUp(t int8) int8 {
	if t == none {
		return none
	}
	return min(t+1, leaderTicks+drift+1)
}

func (s *search) advanceTime(at state) {
	next := at
	next.leaderLeft = countDown(at.leaderLeft)
	next.pollAge = countUp(at.pollAge)
	next.stampAge = countUp(at.stampAge)
	next.receivedAge = countUp(at.receivedAge)
	if at.orderLease != none {
		next.orderStampAge = countUp(at.orderStampAge)
	}
	slow := next
	next.gatewayLeft = countDown(at.gatewayLeft)
	next.targetLeft = countDown(at.targetLeft)
	s.add(next)
	if !at.gatewaySlowed {
		g := slow
		g.targetLeft = countDown(at.targetLeft)
		g.gatewaySlowed = true
		s.add(g)
	}
	if !at.targetSlowed {
		t := slow
		t.gatewayLeft = countDown(at.gatewayLeft)
		t.targetSlowed = true
		s.add(t)
	}
}

func (s *search) poll(at state) {
	if at.pollAge == none {
		next := at
		next.pollAge = 0
		s.add(next)
		return
	}
	if at.response == none {
		if at.leaderLeft > 0 {
			next := at
			next.response = at.leaderLeft
			s.add(next)
		}
		return
	}
	next := at
	age := at.pollAge
	if s.PollFromReceipt {
		age = 0
	}
	next.gatewayLeft = max(at.gatewayLeft, at.response-age-s.driftAllowance())
	next.pollAge, next.response = none, none
	s.add(next)
}

func (s *search) renew(at state) {
	// The target issues a stamp, or the gateway receives it.
	if at.stampAge == none {
		next := at
		next.stampAge = 0
		s.add(next)
	}
	if at.stampAge != none && at.receivedAge == none {
		next := at
		next.receivedAge = 0
		s.add(next)
	}
	if at.receivedAge == none || at.orderLease != none {
		return
	}
	if at.gatewayLeft == 0 {
		return
	}
	// A pause between here and the arrival is time under way like any other:
	// the lease counts from the stamp, so no second look is needed.
	next := at
	next.orderLease, next.orderStampAge = s.leaseLength(at), at.stampAge
	next.stampAge, next.receivedAge = none, none
	s.add(next)
	s.deliver(next)
}

// route sends a request to a target that does not check.
func (s *search) route(at state) {
	if !s.NoRecheck {
		// Look and act are one step; that the authority is never too long is
		// looked at in every state.
		return
	}
	next := at
	if !at.checked {
		next.checked = at.gatewayLeft > 0
	} else {
		next.checked, next.routed = false, true
	}
	s.add(next)
}

func (s *search) leaseLength(at state) int8 {
	if s.UnboundedLease {
		return maxLease
	}
	return min(maxLease, at.gatewayLeft+at.receivedAge)
}

// deliver delivers an order at once; the waiting in between is the time that
// passes with the order under way.
func (s *search) deliver(at state) {
	for wait := int8(0); wait <= leaderTicks; wait++ {
		next := at
		age := next.orderStampAge
		if s.LeaseFromReceipt {
			age = 0
		}
		next.targetLeft = max(next.targetLeft, next.orderLease-age-s.driftAllowance())
		next.orderLease, next.orderStampAge = none, 0
		s.add(next)
		// One more tick under way.
		at.leaderLeft, at.gatewayLeft, at.targetLeft = countDown(at.leaderLeft), countDown(at.gatewayLeft), countDown(at.targetLeft)
		at.orderStampAge, at.pollAge = countUp(at.orderStampAge), countUp(at.pollAge)
	}
}
