// Package chainmodel is a model checker for the chain of leases below a zone's
// seat: leader, gateway, target. Invariant: no target's lease is valid after the
// leader's authority has ended, when the zone's shards may have new owners.
package chainmodel

// Rules switches off single rules, to test that the search detects each omission.
type Rules struct {
	// PollFromReceipt counts the gateway's authority from the response's arrival.
	PollFromReceipt bool
	// LeaseFromReceipt counts the target's lease from the order's arrival.
	LeaseFromReceipt bool
	// IgnoreDrift omits the allowance for slow clocks.
	IgnoreDrift bool
	// NoRecheck lets a gateway check its authority, be paused, and then send a
	// request to a target that checks no grants.
	NoRecheck bool
	// UnboundedLease grants the full lease regardless of the authority left.
	UnboundedLease bool
}

const (
	leaderTicks = 5
	maxLease    = 3
	drift       = 1
	none        = -1
)

// state is one state of the model. Its clocks are in ticks, relative and bounded;
// the fields ending in Left are the authority or lease that is left.
type state struct {
	leaderLeft int8
	// pollAge counts from the sending of a poll; response is the authority in it.
	pollAge     int8
	response    int8
	gatewayLeft int8
	// stampAge counts from when the target issued the stamp, receivedAge from
	// when the gateway received it.
	stampAge    int8
	receivedAge int8
	// orderLease is the lease in an order in flight, orderStampAge its stamp's age.
	orderLease    int8
	orderStampAge int8
	targetLeft    int8
	// checked is set between a check of the authority and the request that it
	// allows; routed is set once a request was sent after such a check.
	checked bool
	routed  bool
	// Each of the two clocks may be slow by one tick, once.
	gatewaySlowed bool
	targetSlowed  bool
}

type search struct {
	Rules
	seen  map[state]bool
	queue []state
}

// Search checks every reachable state, until one violates the invariant. It
// returns the number of states checked and whether one did.
func Search(r Rules) (states int, violated bool) {
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
	// The target issues a stamp, and the gateway receives it.
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
	// A pause between here and the arrival is a delay like any other: the lease
	// counts from the stamp, so no second check is needed.
	next := at
	next.orderLease, next.orderStampAge = s.leaseLength(at), at.stampAge
	next.stampAge, next.receivedAge = none, none
	s.add(next)
	s.deliver(next)
}

// route sends a request to a target that checks no grants.
func (s *search) route(at state) {
	if !s.NoRecheck {
		// Check and act are one step; Search checks in every state that the
		// authority has not outlasted the leader's.
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

// deliver adds the states after an order's arrival with each possible delay.
func (s *search) deliver(at state) {
	for delay := int8(0); delay <= leaderTicks; delay++ {
		next := at
		age := next.orderStampAge
		if s.LeaseFromReceipt {
			age = 0
		}
		next.targetLeft = max(next.targetLeft, next.orderLease-age-s.driftAllowance())
		next.orderLease, next.orderStampAge = none, 0
		s.add(next)
		// One more tick of delay.
		at.leaderLeft, at.gatewayLeft, at.targetLeft = countDown(at.leaderLeft), countDown(at.gatewayLeft), countDown(at.targetLeft)
		at.orderStampAge, at.pollAge = countUp(at.orderStampAge), countUp(at.pollAge)
	}
}
