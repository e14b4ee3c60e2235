package schedule

import (
	"math"
	"time"
)

const (
	// arrivalHalfLife is how fast arrivals are forgotten.
	arrivalHalfLife = time.Second
	// budgetWeight is the weight of the newest request in the time that its kind
	// has for an answer.
	budgetWeight = 0.1
	// reserveThreshold is how many requests of a more urgent kind are expected while a
	// less urgent one works, for a slot to be kept for them.
	reserveThreshold = 1.0
)

// arrivalStats is what is known of a kind's requests at a queue.
type arrivalStats struct {
	priority int
	// decayedCount decays with time; at is when it was counted last.
	decayedCount float64
	updated      time.Time
	// latencyBudget is the time between a request's arrival and its objective that is
	// left for wait and work.
	latencyBudget time.Duration
}

// recordArrival counts a request.
func (q *queue) recordArrival(now time.Time, r *Request) {
	allowance := r.Objective.Sub(now) - answerMessages*r.OneWayDelay
	a := q.arrivals[r.Kind]
	if a == nil {
		a = &arrivalStats{updated: now, latencyBudget: allowance}
		q.arrivals[r.Kind] = a
	}
	a.decayedCount = a.decayedCount*a.decay(now) + 1
	a.updated, a.priority = now, r.Priority
	a.latencyBudget += time.Duration(budgetWeight * float64(allowance-a.latencyBudget))
}

func (a *arrivalStats) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(a.updated).Seconds() / arrivalHalfLife.Seconds())
}

// rate is the arrivals per second.
func (a *arrivalStats) rate(now time.Time) float64 {
	return a.decayedCount * a.decay(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

// reservesLastSlot tells whether the target's last slot is kept for more urgent requests: if
// the given one took it, the next slot would be free too late for some of them. An
// only slot is not kept, or less urgent requests would never get it.
func (st *targetState) reservesLastSlot(now time.Time, t *Ticket, slots int, work float64) bool {
	if t.Request.Target == "" || slots == 1 || len(st.inFlight)+1 < slots {
		return false
	}
	free := st.timeToFreeSlotAfter(now, slots, seconds(work))
	for number, a := range t.queue.arrivals {
		if a.priority >= t.Request.Priority || a.rate(now)*work < reserveThreshold {
			continue
		}
		slack := a.latencyBudget - seconds(t.service.workOf(number)*st.slowness*safetyFactor)
		if slack > 0 && free > slack {
			return true
		}
	}
	return false
}
