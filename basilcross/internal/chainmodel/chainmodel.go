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
	leaderHold = 5
	leaseLimit = 3
	drift      = 1
	none       = -1
)

// state is one state of the model; all clocks are relative and bounded.
type state struct {
	leader int8
	// pollAge counts from the sending of a poll; answer is what it brings.
	pollAge int8
	answer  int8
	gateway int8
	// stampAge counts from the target's issuing, heldAge from the gateway's
	// receiving of the stamp.
	stampAge int8
	heldAge  int8
	// order is the lease in an order under way, for a stamp of this age.
	order      int8
	orderStamp int8
	target     int8
	// checked is set between a look at the authority and the request that it
	// allows; routed after a request was sent without authority.
	checked bool
	routed  bool
	// slips are clock errors left, one for each of the two clocks.
	gatewaySlip bool
	targetSlip  bool
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
	s.add(state{leader: leaderHold, pollAge: none, answer: none, stampAge: none, heldAge: none, order: none})
	for i := 0; i < len(s.queue); i++ {
		at := s.queue[i]
		if at.leader == 0 && (at.target > 0 || at.gateway > 0 || at.routed) {
			return i, true
		}
		s.time(at)
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

func (s *search) allowance() int8 {
	if s.IgnoreDrift {
		return 0
	}
	return drift
}

func down(t int8) int8 { return max(0, t-1) }

func up(t int8) int8 {
	if t == none {
		return none
	}
	return min(t+1, leaderHold+drift+1)
}

func (s *search) time(at state) {
	next := at
	next.leader = down(at.leader)
	next.pollAge = up(at.pollAge)
	next.stampAge = up(at.stampAge)
	next.heldAge = up(at.heldAge)
	if at.order != none {
		next.orderStamp = up(at.orderStamp)
	}
	slow := next
	next.gateway = down(at.gateway)
	next.target = down(at.target)
	s.add(next)
	if !at.gatewaySlip {
		g := slow
		g.target = down(at.target)
		g.gatewaySlip = true
		s.add(g)
	}
	if !at.targetSlip {
		t := slow
		t.gateway = down(at.gateway)
		t.targetSlip = true
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
	if at.answer == none {
		if at.leader > 0 {
			next := at
			next.answer = at.leader
			s.add(next)
		}
		return
	}
	next := at
	age := at.pollAge
	if s.PollFromReceipt {
		age = 0
	}
	next.gateway = max(at.gateway, at.answer-age-s.allowance())
	next.pollAge, next.answer = none, none
	s.add(next)
}

func (s *search) renew(at state) {
	// The target issues a stamp, or the gateway receives it.
	if at.stampAge == none {
		next := at
		next.stampAge = 0
		s.add(next)
	}
	if at.stampAge != none && at.heldAge == none {
		next := at
		next.heldAge = 0
		s.add(next)
	}
	if at.heldAge == none || at.order != none {
		return
	}
	if at.gateway == 0 {
		return
	}
	// A pause between here and the arrival is time under way like any other:
	// the lease counts from the stamp, so no second look is needed.
	next := at
	next.order, next.orderStamp = s.length(at), at.stampAge
	next.stampAge, next.heldAge = none, none
	s.add(next)
	s.arrive(next)
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
		next.checked = at.gateway > 0
	} else {
		next.checked, next.routed = false, true
	}
	s.add(next)
}

func (s *search) length(at state) int8 {
	if s.UnboundedLease {
		return leaseLimit
	}
	return min(leaseLimit, at.gateway+at.heldAge)
}

// arrive delivers an order at once; the waiting in between is the time that
// passes with the order under way.
func (s *search) arrive(at state) {
	for wait := int8(0); wait <= leaderHold; wait++ {
		next := at
		age := next.orderStamp
		if s.LeaseFromReceipt {
			age = 0
		}
		next.target = max(next.target, next.order-age-s.allowance())
		next.order, next.orderStamp = none, 0
		s.add(next)
		// One more tick under way.
		at.leader, at.gateway, at.target = down(at.leader), down(at.gateway), down(at.target)
		at.orderStamp, at.pollAge = up(at.orderStamp), up(at.pollAge)
	}
}
