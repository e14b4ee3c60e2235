package schedule

import (
	"slices"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// overSlots is how many requests more than its slots a target is sent, so
	// that the next one is there when one ends. Further ones wait here, where
	// their order can still change.
	overSlots = 1.0
	// aheadTrips is how many messages a request is sent ahead of a free slot: the
	// word of the slot, the answer to who asks, and the request itself.
	aheadTrips = 3
	// overdueShare of its usual time is what a request that has taken longer is
	// expected to take yet.
	overdueShare = 0.05
	// coldFactor is how much slower a target is that warms up.
	coldFactor = 2.0
	// shedPause keeps requests away from a target that has just shed one though
	// its slots were full; shedCut is what that takes off its limit, limitRise
	// what an answer adds. A target that sheds with slots free does so at
	// random: less traffic would not help, so only its cost rises with the
	// share that it sheds, known from about ten requests.
	shedPause = 50 * time.Millisecond
	shedShare = 0.1
	maxShed   = 0.9
	shedCut   = 0.8
	limitRise = 0.05
	// failPause keeps requests away from a target that gave no answer twice in
	// a row; it doubles up to maxFailPause.
	failPause    = 200 * time.Millisecond
	maxFailPause = 3200 * time.Millisecond
)

// state is what is known of a target.
type state struct {
	// inFlight are the requests sent to it, the oldest first.
	inFlight []*Ticket
	limit    float64
	// slowness is how long the target needs for the work of an average one,
	// known from so many answers.
	slowness float64
	answers  int
	pause    time.Time
	failures int
	// shedding is the share of requests that were shed with slots free.
	shedding float64
}

func (s *service) state(t *roster.Target) *state {
	st := s.states[t.Incarnation()]
	if st == nil {
		st = &state{limit: float64(t.Slots) + overSlots, slowness: 1}
		s.states[t.Incarnation()] = st
	}
	return st
}

// begin notes that a request is sent to the target. It waits there if all slots
// are taken.
func (st *state) begin(now time.Time, t *Ticket) {
	st.inFlight = append(st.inFlight, t)
	t.work = seconds(t.service.usual(now, t.Target, st, t.Request.Kind))
	t.arrives = now.Add(2 * t.Request.Transit)
	if len(st.inFlight) <= t.Target.Slots {
		t.started = t.arrives
	}
}

// leave notes that a request has left the target, where another one that waits
// has its slot now.
func (st *state) leave(now time.Time, t *Ticket) {
	st.inFlight = slices.DeleteFunc(st.inFlight, func(o *Ticket) bool { return o == t })
	if t.started.IsZero() {
		return
	}
	for _, o := range st.inFlight {
		if o.started.IsZero() {
			o.started = now.Add(-2 * t.Request.Transit)
			if o.started.Before(o.arrives) {
				o.started = o.arrives
			}
			return
		}
	}
}

// aheadOf is how long before a slot is free a request may be sent: it is there
// when the slot is, instead of when word of that has come to the one who asks.
func aheadOf(r *Request) time.Duration { return aheadTrips * r.Transit }

// nextFree is when the target is expected to have a slot for one request more.
func (st *state) nextFree(now time.Time, slots int) time.Duration {
	if len(st.inFlight) < slots {
		return 0
	}
	left := st.left(now)
	return left[len(left)-slots]
}

// freeAfter is the same once another request with the given work is sent.
func (st *state) freeAfter(now time.Time, slots int, work time.Duration) time.Duration {
	left := append(st.left(now), st.nextFree(now, slots)+work)
	if len(left) < slots {
		return 0
	}
	slices.Sort(left)
	return left[len(left)-slots]
}

// left are the times that the requests under way are expected to take yet, the
// shortest first.
func (st *state) left(now time.Time) []time.Duration {
	left := make([]time.Duration, 0, len(st.inFlight))
	for _, t := range st.inFlight {
		if t.started.IsZero() {
			// It takes the slot that is free next.
			left = append(left, t.work)
			continue
		}
		left = append(left, max(t.work-now.Sub(t.started), time.Duration(overdueShare*float64(t.work))))
	}
	slices.Sort(left)
	return left
}

// ended takes in how a request ended.
func (st *state) ended(now time.Time, t *Ticket, r Result) {
	st.leave(now, t)
	if r == Shed && len(st.inFlight) < t.Target.Slots {
		st.shedding += shedShare * (1 - st.shedding)
		return
	}
	st.shedding -= shedShare * st.shedding
	switch r {
	case Answered:
		if !t.started.IsZero() {
			t.service.learn(now, t, now.Sub(t.started)-2*t.Request.Transit)
		}
		if st.failures > 0 {
			st.failures, st.pause = 0, now
		}
		st.limit = min(st.limit+limitRise, float64(t.Target.Slots)+overSlots)
	case Shed:
		st.limit = max(1, st.limit*shedCut)
		st.pause = now.Add(shedPause)
	case Failed:
		st.failures++
		if st.failures > 1 {
			st.pause = now.Add(min(failPause<<min(st.failures-2, 4), maxFailPause))
		}
	case Abandoned:
	}
}
