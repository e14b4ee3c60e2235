package schedule

import (
	"math"
	"time"
)

// boundReserve is how many slots are kept free for bound requests, as a multiple of the
// standard deviation of the slots that they use: their number varies as that of random
// arrivals.
const boundReserve = 1.0

// mustYield reports whether a request that can be served in another region too must leave
// the free slots to those that cannot.
func (s *Scheduler) mustYield(now time.Time, t *Ticket, avail capacity) bool {
	r := &t.Request
	if !r.RejectLate || r.Target != "" || s.IsBound == nil || s.IsBound(r.Kind) {
		return false
	}
	used := t.queue.boundLoad(now, t.service, avail.slowness)
	if used == 0 || !s.HasAlternative(r) {
		return false
	}
	return t.queue.hasBound() || avail.freeSlots <= boundReserve*math.Sqrt(used)
}

// boundLoad is how many slots the bound requests use on average.
func (q *queue) boundLoad(now time.Time, s *service, slowness float64) (slots float64) {
	for kind, a := range q.arrivals {
		if a.bound {
			slots += a.rate(now) * s.workOf(kind) * slowness
		}
	}
	return slots
}

// hasBound reports whether a bound request waits.
func (q *queue) hasBound() bool {
	for _, t := range q.waiting {
		if a := q.arrivals[t.Request.Kind]; a != nil && a.bound {
			return true
		}
	}
	return false
}
