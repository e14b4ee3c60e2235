package schedule

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// room is what the targets of a request can take together.
type room struct {
	best    *roster.Target
	state   *state
	seconds float64
	targets int
	// slots are those of all, slowness is theirs on average, and latency is what
	// they need for the request on average.
	slots    float64
	slowness float64
	latency  float64
	// free is when the first of them is expected to have a slot.
	free time.Duration
}

// place gives the ticket the best target with room, if there is one.
func (s *Schedule) place(now time.Time, t *Ticket) room {
	best, r := s.best(now, t)
	if best == nil {
		return r
	}
	t.Target, t.state = best, r.state
	t.state.begin(now, t)
	return r
}

// best returns the target with room where the answer is expected first.
func (s *Schedule) best(now time.Time, t *Ticket) (*roster.Target, room) {
	var r room
	rate := 0.0
	for _, c := range s.usable(now, t) {
		st := t.service.state(c)
		latency := t.service.usual(now, c, st, t.Request.Kind)
		r.targets++
		r.slots += min(float64(c.Slots), max(1, st.limit))
		rate += min(float64(c.Slots), max(1, st.limit)) / latency
		wait := st.nextFree(now, c.Slots)
		if r.targets == 1 || wait < r.free {
			r.free = wait
		}
		if float64(len(st.inFlight)) >= max(1, st.limit) || wait > aheadOf(&t.Request) || st.keeps(now, t, c.Slots, latency) {
			continue
		}
		seconds := latency + wait.Seconds()
		if r.best == nil || seconds < r.seconds || seconds == r.seconds && c.ID < r.best.ID {
			r.best, r.state, r.seconds = c, st, seconds
		}
	}
	work := t.service.work(t.Request.Kind)
	r.latency, r.slowness = work, 1
	if rate > 0 {
		r.latency = r.slots / rate
		r.slowness = r.latency / work
	}
	return r.best, r
}

// usable returns the targets that the request may go to. If all are paused, the
// ones that failed are used all the same by a request that has nowhere else to go:
// most targets that fail at times answer more often than not.
func (s *Schedule) usable(now time.Time, t *Ticket) []*roster.Target {
	var open, failing []*roster.Target
	for _, c := range s.candidates(&t.Request) {
		if t.Request.Target == "" && t.Request.Excluded[c.ID] {
			continue
		}
		switch st := t.service.state(c); {
		case !now.Before(st.pause):
			open = append(open, c)
		case st.failures > 0:
			failing = append(failing, c)
		}
	}
	if len(open) == 0 && t.Request.Target == "" && !t.Request.OnTime {
		return failing
	}
	return open
}

func (s *Schedule) candidates(r *Request) []*roster.Target {
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
