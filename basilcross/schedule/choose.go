package schedule

import (
	"math"
	"time"

	"basilcross.example/basilcross/roster"
)

// capacity summarizes the targets that a request may go to.
type capacity struct {
	// best is the target with the earliest expected answer, after bestSeconds; nil if
	// none has capacity. state is its state.
	best        *roster.Target
	state       *targetState
	bestSeconds float64
	targets     int
	// denied are targets whose rate is limited and counted by another scheduler. limited of the targets
	// have a limited rate, together limitedRate requests per second.
	denied      int
	limited     int
	limitedRate float64
	// slots is the sum over the targets; slowness, and latency for the request, are
	// averages.
	slots    float64
	slowness float64
	latency  float64
	// rate is the requests per second of all targets, and fullRate of those at full pace; earliestSeconds is
	// when the first of these is expected to answer, with the wait for its slot.
	rate            float64
	fullRate        float64
	earliestSeconds float64
	// fullFreeIn is the expected time until a slot of a target at full pace is free.
	fullFreeIn time.Duration
	// freeSlots is the number of slots without a request.
	freeSlots float64
	// freeIn is the expected time until a slot is free.
	freeIn time.Duration
}

// assign gives the ticket a slot of the best target, if one has capacity.
func (s *Scheduler) assign(now time.Time, t *Ticket) capacity {
	best, avail := s.bestTarget(now, t)
	if best == nil {
		return avail
	}
	t.Target, t.state = best, avail.state
	t.poolLatency = avail.latency
	s.paceReplacement(now, t)
	if now.Before(t.state.backoffUntil) {
		t.state.triedAt = now
	}
	t.state.add(now, t)
	t.state.recordSent(now, t)
	t.state.cold.take()
	t.state.stated.take()
	return avail
}

// bestTarget returns the target with capacity whose answer is expected first, or nil, and
// the capacity of all usable targets.
func (s *Scheduler) bestTarget(now time.Time, t *Ticket) (*roster.Target, capacity) {
	avail := capacity{earliestSeconds: math.Inf(1)}
	for _, c := range s.usableTargets(now, t) {
		s.consider(now, t, c, &avail)
	}
	if avail.best != nil && avail.state.pace.Paced() && avail.bestSeconds > avail.earliestSeconds+queueRelief*float64(len(t.queue.waiting))/avail.fullRate {
		// The request waits for a target at full pace, whatever slots paced ones have.
		avail.best, avail.state, avail.freeIn = nil, nil, avail.fullFreeIn
	}
	work := t.service.workOf(t.Request.Kind)
	avail.latency, avail.slowness = work, 1
	if avail.rate > 0 {
		avail.latency = avail.slots / avail.rate
		avail.slowness = avail.latency / work
	}
	return avail.best, avail
}

// consider adds a usable target to the capacity, as the best one if its answer is expected first.
func (s *Scheduler) consider(now time.Time, t *Ticket, c *roster.Target, avail *capacity) {
	st := t.service.stateOf(c)
	s.updatePace(now, t, c, st)
	latency := t.service.expectedLatency(now, c, st, &t.Request)
	slots := min(float64(st.pacedSlots(now, c.Slots)), max(1, st.limit))
	wait := st.timeToFreeSlot(now, st.pacedSlots(now, c.Slots))
	limited, tokenWait, denied := s.limitOf(now, c, st, &t.Request)
	if denied {
		avail.denied++
		return
	}
	if limited > 0 {
		avail.limited++
		avail.limitedRate += limited
		slots = min(slots, limited*latency)
		wait = max(wait, tokenWait)
	}
	avail.targets++
	avail.slots += slots
	avail.freeSlots += max(0, slots-float64(len(st.inFlight)))
	avail.rate += slots / latency
	if avail.targets == 1 || wait < avail.freeIn {
		avail.freeIn = wait
	}
	expected := latency + wait.Seconds()
	avail.addFullPace(st, wait, slots/latency, expected)
	if st.isFull(now) || wait > sendAheadTime(&t.Request) || tokenWait > 0 || st.reservesLastSlot(now, t, st.pacedSlots(now, c.Slots), latency) {
		return
	}
	if st.mayProbe(now) {
		expected = 0
	}
	if avail.best == nil || expected < avail.bestSeconds || expected == avail.bestSeconds && c.ID < avail.best.ID {
		avail.best, avail.state, avail.bestSeconds = c, st, expected
	}
}

// addFullPace adds a target to what is known of those at full pace, if it is one.
func (c *capacity) addFullPace(st *targetState, wait time.Duration, rate, expected float64) {
	if st.pace.Paced() {
		return
	}
	if c.fullRate == 0 || wait < c.fullFreeIn {
		c.fullFreeIn = wait
	}
	c.fullRate += rate
	c.earliestSeconds = min(c.earliestSeconds, expected)
}

// isFull reports whether the target has as many requests in flight as its limit and its pace allow.
func (st *targetState) isFull(now time.Time) bool {
	return st.exceedsPace(now) || float64(len(st.inFlight)) >= max(1, st.limit)
}

// usableTargets returns the targets that the request may go to. If all are in backoff,
// failing ones are returned for a request without alternatives, since most targets that
// fail now and then still answer more often than not.
func (s *Scheduler) usableTargets(now time.Time, t *Ticket) []*roster.Target {
	var open, failing []*roster.Target
	for _, c := range s.candidates(now, &t.Request) {
		if t.Request.Target == "" && t.Request.Excluded[c.ID] || t.service.stateOf(c).rejectionOf(now, &t.Request) != nil {
			continue
		}
		switch st := t.service.stateOf(c); {
		case (!now.Before(st.backoffUntil) || st.admitsTrial(now, t.Request.Requester)) && !st.isUnlinked(now, t.Request.Requester):
			open = append(open, c)
		case st.failures > 0 || st.isUnlinked(now, t.Request.Requester):
			failing = append(failing, c)
		}
	}
	if len(open) == 0 && t.Request.Target == "" && !t.Request.RejectLate {
		return failing
	}
	return open
}

// candidates returns the listed targets that accept the request.
func (s *Scheduler) candidates(now time.Time, r *Request) []*roster.Target {
	view := s.Roster.Load()
	if r.Target != "" {
		if t := view.Find(r.Target); t != nil && t.Service == r.Service && t.Accepts(now, true) {
			return []*roster.Target{t}
		}
		return nil
	}
	var list []*roster.Target
	for _, t := range view.InZone(r.Service, r.Zone) {
		if t.Accepts(now, false) {
			list = append(list, t)
		}
	}
	return list
}
