package schedule

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// capacity is what the targets of a request can take together.
type capacity struct {
	best        *roster.Target
	state       *targetState
	bestSeconds float64
	targets     int
	// slots are those of all, slowness is theirs on average, and latency is what
	// they need for the request on average.
	slots    float64
	slowness float64
	latency  float64
	// freeIn is when the first of them is expected to have a slot.
	freeIn time.Duration
}

// assign gives the ticket the best target with room, if there is one.
func (s *Scheduler) assign(now time.Time, t *Ticket) capacity {
	best, r := s.bestTarget(now, t)
	if best == nil {
		return r
	}
	t.Target, t.state = best, r.state
	t.state.add(now, t)
	return r
}

// bestTarget returns the target with room where the answer is expected first.
func (s *Scheduler) bestTarget(now time.Time, t *Ticket) (*roster.Target, capacity) {
	var r capacity
	rate := 0.0
	for _, c := range s.usableTargets(now, t) {
		st := t.service.stateOf(c)
		latency := t.service.expectedLatency(now, c, st, t.Request.Kind)
		r.targets++
		r.slots += min(float64(c.Slots), max(1, st.limit))
		rate += min(float64(c.Slots), max(1, st.limit)) / latency
		wait := st.timeToFreeSlot(now, c.Slots)
		if r.targets == 1 || wait < r.freeIn {
			r.freeIn = wait
		}
		if float64(len(st.inFlight)) >= max(1, st.limit) || wait > sendAheadTime(&t.Request) || st.reservesLastSlot(now, t, c.Slots, latency) {
			continue
		}
		seconds := latency + wait.Seconds()
		if r.best == nil || seconds < r.bestSeconds || seconds == r.bestSeconds && c.ID < r.best.ID {
			r.best, r.state, r.bestSeconds = c, st, seconds
		}
	}
	work := t.service.workOf(t.Request.Kind)
	r.latency, r.slowness = work, 1
	if rate > 0 {
		r.latency = r.slots / rate
		r.slowness = r.latency / work
	}
	return r.best, r
}

// usableTargets returns the targets that the request may go to. If all are paused, the
// ones that failed are used all the same by a request that has nowhere else to go:
// most targets that fail at times answer more often than not.
func (s *Scheduler) usableTargets(now time.Time, t *Ticket) []*roster.Target {
	var open, failing []*roster.Target
	for _, c := range s.candidates(&t.Request) {
		if t.Request.Target == "" && t.Request.Excluded[c.ID] {
			continue
		}
		switch st := t.service.stateOf(c); {
		case !now.Before(st.pausedUntil):
			open = append(open, c)
		case st.failures > 0:
			failing = append(failing, c)
		}
	}
	if len(open) == 0 && t.Request.Target == "" && !t.Request.RejectLate {
		return failing
	}
	return open
}

func (s *Scheduler) candidates(r *Request) []*roster.Target {
	view := s.Roster.Load()
	if r.Target != "" {
		if t := view.Targets[r.Target]; t != nil && t.Service == r.Service {
			return []*roster.Target{t}
		}
		return nil
	}
	var list []*roster.Target
	for _, t := range view.ByService[r.Service] {
		if t.Zone == r.Zone && !t.Draining {
			list = append(list, t)
		}
	}
	return list
}
