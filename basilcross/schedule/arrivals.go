package schedule

import (
	"math"
	"time"
)

const (
	// arrivalHalfLife is the half-life of an arrival in the count.
	arrivalHalfLife = time.Second
	// budgetWeight is the weight of the newest request in its kind's latency budget.
	budgetWeight = 0.1
	// reserveThreshold is how many more urgent requests must be expected during a less
	// urgent one for a slot to be reserved for them.
	reserveThreshold = 1.0
)

// arrivalStats are the arrivals of one kind's requests at a queue.
type arrivalStats struct {
	priority     int
	bound        bool
	decayedCount float64
	updated      time.Time
	// latencyBudget is the average time for waiting and work between arrival and
	// objective.
	latencyBudget time.Duration
}

func (q *queue) recordArrival(now time.Time, r *Request, bound bool) {
	budget := r.Objective.Sub(now) - answerMessages*r.OneWayDelay
	a := q.arrivals[r.Kind]
	if a == nil {
		a = &arrivalStats{updated: now, latencyBudget: budget}
		q.arrivals[r.Kind] = a
	}
	a.decayedCount = a.decayedCount*a.decay(now) + 1
	a.updated, a.priority, a.bound = now, r.Priority, bound
	a.latencyBudget += time.Duration(budgetWeight * float64(budget-a.latencyBudget))
}

// decay returns the factor by which the count has decayed since it was updated.
func (a *arrivalStats) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(a.updated).Seconds() / arrivalHalfLife.Seconds())
}

func (a *arrivalStats) rate(now time.Time) float64 {
	return a.decayedCount * a.decay(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

// reservesLastSlot reports whether the target's last free slot is reserved for more
// urgent requests: if the given one took it, the next slot would be free too late for
// them. A target's only slot is not reserved, or less urgent requests would never run.
func (st *targetState) reservesLastSlot(now time.Time, t *Ticket, slots int, work float64) bool {
	if t.Request.Target == "" || slots == 1 || len(st.inFlight)+1 < slots {
		return false
	}
	freeIn := st.timeToFreeSlotAfter(now, slots, seconds(work))
	for number, a := range t.queue.arrivals {
		if a.priority >= t.Request.Priority || a.rate(now)*work < reserveThreshold {
			continue
		}
		slack := a.latencyBudget - seconds(t.service.workOf(number)*st.slowness*safetyFactor)
		if slack > 0 && freeIn > slack {
			return true
		}
	}
	return false
}
