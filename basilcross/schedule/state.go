package schedule

import (
	"slices"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// extraInFlight is how many requests more than its slots a target is sent, so
	// that the next one is there when one ends. Further ones wait here, where
	// their order can still change.
	extraInFlight = 1.0
	// sendAheadMessages is how many messages a request is sent ahead of a free slot: the
	// word of the slot, the answer to who asks, and the request itself.
	sendAheadMessages = 3
	// overdueRemainder of its usual time is what a request that has taken longer is
	// expected to take yet.
	overdueRemainder = 0.05
	// warmupSlowdown is how much slower a target is that warms up.
	warmupSlowdown = 2.0
	// shedBackoff keeps requests away from a target that has just shed one though
	// its slots were full; shedCut is what that takes off its limit, limitRise
	// what an answer adds. A target that sheds with slots free does so at
	// random: less traffic would not help, so only its cost rises with the
	// share that it sheds, known from about ten requests.
	shedBackoff     = 50 * time.Millisecond
	shedWeight      = 0.1
	maxShedRatio    = 0.9
	shedLimitFactor = 0.8
	limitIncrement  = 0.05
	// failureBackoff keeps requests away from a target that gave no answer twice in
	// a row; it doubles up to maxFailPause.
	failureBackoff    = 200 * time.Millisecond
	maxFailureBackoff = 3200 * time.Millisecond
)

// targetState is what is known of a target.
type targetState struct {
	// inFlight are the requests sent to it, the oldest first.
	inFlight []*Ticket
	limit    float64
	// slowness is how long the target needs for the work of an average one,
	// known from so many answers.
	slowness    float64
	answers     int
	pausedUntil time.Time
	failures    int
	// shedRatio is the share of requests that were shed with slots free.
	shedRatio float64
}

func (s *service) stateOf(t *roster.Target) *targetState {
	st := s.targets[t.Incarnation()]
	if st == nil {
		st = &targetState{limit: float64(t.Slots) + extraInFlight, slowness: 1}
		s.targets[t.Incarnation()] = st
	}
	return st
}

// add notes that a request is sent to the target. It waits there if all slots
// are taken.
func (st *targetState) add(now time.Time, t *Ticket) {
	st.inFlight = append(st.inFlight, t)
	t.expectedWork = seconds(t.service.expectedLatency(now, t.Target, st, t.Request.Kind))
	t.arrivesAt = now.Add(2 * t.Request.OneWayDelay)
	if len(st.inFlight) <= t.Target.Slots {
		t.startedAt = t.arrivesAt
	}
}

// remove notes that a request has left the target, where another one that waits
// has its slot now.
func (st *targetState) remove(now time.Time, t *Ticket) {
	st.inFlight = slices.DeleteFunc(st.inFlight, func(o *Ticket) bool { return o == t })
	if t.startedAt.IsZero() {
		return
	}
	for _, o := range st.inFlight {
		if o.startedAt.IsZero() {
			o.startedAt = now.Add(-2 * t.Request.OneWayDelay)
			if o.startedAt.Before(o.arrivesAt) {
				o.startedAt = o.arrivesAt
			}
			return
		}
	}
}

// sendAheadTime is how long before a slot is free a request may be sent: it is there
// when the slot is, instead of when word of that has come to the one who asks.
func sendAheadTime(r *Request) time.Duration { return sendAheadMessages * r.OneWayDelay }

// timeToFreeSlot is when the target is expected to have a slot for one request more.
func (st *targetState) timeToFreeSlot(now time.Time, slots int) time.Duration {
	if len(st.inFlight) < slots {
		return 0
	}
	left := st.remaining(now)
	return left[len(left)-slots]
}

// timeToFreeSlotAfter is the same once another request with the given work is sent.
func (st *targetState) timeToFreeSlotAfter(now time.Time, slots int, work time.Duration) time.Duration {
	left := append(st.remaining(now), st.timeToFreeSlot(now, slots)+work)
	if len(left) < slots {
		return 0
	}
	slices.Sort(left)
	return left[len(left)-slots]
}

// remaining are the times that the requests under way are expected to take yet, the
// shortest first.
func (st *targetState) remaining(now time.Time) []time.Duration {
	left := make([]time.Duration, 0, len(st.inFlight))
	for _, t := range st.inFlight {
		if t.startedAt.IsZero() {
			// It takes the slot that is free next.
			left = append(left, t.expectedWork)
			continue
		}
		left = append(left, max(t.expectedWork-now.Sub(t.startedAt), time.Duration(overdueRemainder*float64(t.expectedWork))))
	}
	slices.Sort(left)
	return left
}

// recordResult takes in how a request ended.
func (st *targetState) recordResult(now time.Time, t *Ticket, r Result) {
	st.remove(now, t)
	if r == Shed && len(st.inFlight) < t.Target.Slots {
		st.shedRatio += shedWeight * (1 - st.shedRatio)
		return
	}
	st.shedRatio -= shedWeight * st.shedRatio
	switch r {
	case Answered:
		if !t.startedAt.IsZero() {
			t.service.observe(now, t, now.Sub(t.startedAt)-2*t.Request.OneWayDelay)
		}
		if st.failures > 0 {
			st.failures, st.pausedUntil = 0, now
		}
		st.limit = min(st.limit+limitIncrement, float64(t.Target.Slots)+extraInFlight)
	case Shed:
		st.limit = max(1, st.limit*shedLimitFactor)
		st.pausedUntil = now.Add(shedBackoff)
	case Failed:
		st.failures++
		if st.failures > 1 {
			st.pausedUntil = now.Add(min(failureBackoff<<min(st.failures-2, 4), maxFailureBackoff))
		}
	case Abandoned:
	}
}
