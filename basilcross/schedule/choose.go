package schedule

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// fullness is how much a target's occupied slots count against it.
const fullness = 0.25

// room is what the targets of a request can take together.
type room struct {
	best    *roster.Target
	state   *state
	seconds float64
	targets int
	// slots are those of all, and latency is what they need on average.
	slots   float64
	latency float64
}

// place gives the ticket the best target with room, if there is one.
func (s *Schedule) place(now time.Time, t *Ticket) room {
	best, r := s.best(now, t)
	if best == nil {
		return r
	}
	r.state.inFlight++
	t.Target, t.state, t.began = best, r.state, now
	t.direct = r.state.inFlight <= best.Slots
	return r
}

// best returns the target with room where the answer is expected first.
func (s *Schedule) best(now time.Time, t *Ticket) (*roster.Target, room) {
	var r room
	rate := 0.0
	for _, c := range s.candidates(&t.Request) {
		st := t.service.state(c)
		if now.Before(st.pause) || t.Request.Target == "" && t.Request.Excluded[c.ID] {
			continue
		}
		latency := t.service.usual(now, c, st)
		r.targets++
		r.slots += min(float64(c.Slots), max(1, st.limit))
		rate += min(float64(c.Slots), max(1, st.limit)) / latency
		if float64(st.inFlight) >= max(1, st.limit) {
			continue
		}
		seconds := latency * max(1, float64(st.inFlight+1)/float64(c.Slots))
		// Among equals, the emptier one: some slow down when nearly full.
		seconds += latency * fullness * float64(st.inFlight) / float64(c.Slots)
		if r.best == nil || seconds < r.seconds || seconds == r.seconds && c.ID < r.best.ID {
			r.best, r.state, r.seconds = c, st, seconds
		}
	}
	r.latency = t.service.latency
	if rate > 0 {
		r.latency = r.slots / rate
	}
	return r.best, r
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
	for _, t := range view.Services[r.Service] {
		if t.Zone == r.Zone && !t.Draining {
			list = append(list, t)
		}
	}
	return list
}
