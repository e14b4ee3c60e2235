package schedule

import (
	"math"
	"time"
)

const (
	// arrivalHalfLife is how fast arrivals are forgotten.
	arrivalHalfLife = time.Second
	// allowanceShare is the weight of the newest request in the time that its kind
	// has for an answer.
	allowanceShare = 0.1
	// reserveFrom is how many requests of a more urgent kind are expected while a
	// less urgent one works, for a slot to be kept for them.
	reserveFrom = 1.0
)

// arrivals is what is known of a kind's requests at a queue.
type arrivals struct {
	priority int
	// sum decays with time; at is when it was counted last.
	sum float64
	at  time.Time
	// allowance is the time between a request's arrival and its objective that is
	// left for wait and work.
	allowance time.Duration
}

// arrive counts a request.
func (q *queue) arrive(now time.Time, r *Request) {
	allowance := r.Objective.Sub(now) - answerTrips*r.Transit
	a := q.arrivals[r.Kind]
	if a == nil {
		a = &arrivals{at: now, allowance: allowance}
		q.arrivals[r.Kind] = a
	}
	a.sum = a.sum*a.decay(now) + 1
	a.at, a.priority = now, r.Priority
	a.allowance += time.Duration(allowanceShare * float64(allowance-a.allowance))
}

func (a *arrivals) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(a.at).Seconds() / arrivalHalfLife.Seconds())
}

// rate is the arrivals per second.
func (a *arrivals) rate(now time.Time) float64 {
	return a.sum * a.decay(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

// keeps tells whether the target's last slot is kept for more urgent requests: if
// the given one took it, the next slot would be free too late for some of them. An
// only slot is not kept, or less urgent requests would never get it.
func (st *state) keeps(now time.Time, t *Ticket, slots int, work float64) bool {
	if t.Request.Target == "" || slots == 1 || len(st.inFlight)+1 < slots {
		return false
	}
	free := st.freeAfter(now, slots, seconds(work))
	for number, a := range t.queue.arrivals {
		if a.priority >= t.Request.Priority || a.rate(now)*work < reserveFrom {
			continue
		}
		slack := a.allowance - seconds(t.service.work(number)*st.slowness*safety)
		if slack > 0 && free > slack {
			return true
		}
	}
	return false
}
