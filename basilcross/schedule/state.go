package schedule

import (
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// startLatency is taken for a service that nothing is known of.
	startLatency = 0.2
	// latencyShare is the weight of the newest answer in a latency.
	latencyShare = 0.1
	// overSlots is how many requests more than its slots a target is sent, so
	// that the next one is there when one ends. Further ones wait here, where
	// their order can still change.
	overSlots = 1.0
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
	inFlight int
	limit    float64
	latency  float64
	pause    time.Time
	failures int
	// shedding is the share of requests that were shed with slots free.
	shedding float64
}

func (s *service) state(t *roster.Target) *state {
	st := s.states[t.Life()]
	if st == nil {
		st = &state{limit: float64(t.Slots) + overSlots}
		s.states[t.Life()] = st
	}
	return st
}

// ended takes in how a request ended.
func (st *state) ended(now time.Time, t *Ticket, r Result) {
	st.inFlight--
	if r == Shed && st.inFlight < t.Target.Slots {
		st.shedding += shedShare * (1 - st.shedding)
		return
	}
	st.shedding -= shedShare * st.shedding
	switch r {
	case Answered:
		t.service.learn(st, now.Sub(t.began).Seconds(), t.direct)
		st.failures = 0
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

// learn takes in how long an answer took. Those that may have waited at the
// target tell less about its speed.
func (s *service) learn(st *state, took float64, direct bool) {
	if !direct {
		return
	}
	if st.latency == 0 {
		st.latency = s.latency
	}
	st.latency += latencyShare * (took - st.latency)
	s.latency += latencyShare / 4 * (took - s.latency)
}

// usual is the time of an answer from a target that has room, in seconds.
func (s *service) usual(now time.Time, t *roster.Target, st *state) float64 {
	latency := st.latency
	if latency == 0 {
		latency = s.latency
	}
	if now.Sub(t.Seen) < t.Warming {
		latency *= coldFactor
	}
	return latency / (1 - min(st.shedding, maxShed))
}
