package schedule

import (
	"time"

	"basilcross.example/basilcross/pace"
	"basilcross.example/basilcross/roster"
)

const (
	// startWindow is how long after it was listed first a target counts as just started. It is longer than
	// a pace lasts mostly, and a scheduler that takes over later need not pace the target again.
	startWindow = 10 * time.Second
	// listingTime is how long the first list of targets may take to arrive. Targets that are first seen
	// within it were running before this instance started.
	listingTime = time.Second
	// replacementTTL is the time without requests after which the replacement of a scheduler knows nothing
	// about a target any more.
	replacementTTL = 10 * time.Second
	// probeInterval is the time after which a paced target without requests gets one even if others would
	// answer sooner: only an answer shows that it has recovered.
	probeInterval = 250 * time.Millisecond
	// queueRelief bounds what a request may lose at a paced target that answers later than one at full pace
	// would after a wait, as a multiple of the time in which those serve all waiting requests.
	queueRelief = 4.0
	// lostFactor is the multiple of its expected time, and lostAfter the least time, after which a request
	// does not count toward a paced target's allowance: the message that it has ended may be lost.
	lostFactor = 4
	lostAfter  = time.Second
	// pacedSlownessWeight is the weight of an answer in a paced target's slowness. It is low, so that a
	// target that is slow for some seconds stays paced, and one that is always slow does not.
	pacedSlownessWeight = 0.02
)

// PaceChange is the begin or the end of a target's pace.
type PaceChange struct {
	Target *roster.Target
	Began  bool
	pace.Run
}

// updatePace begins the pace of a target that a request may go to, if what is known of the target has changed since
// it was considered last.
func (s *Scheduler) updatePace(now time.Time, t *Ticket, c *roster.Target, st *targetState) {
	if !s.Pace {
		return
	}
	cold, limited := s.isCold(now, c), false
	if s.RateLimit != nil {
		_, limited = s.RateLimit(c.Incarnation())
	}
	if cause, begins := s.paceCause(now, c, st, cold, limited); begins {
		s.beginPace(now, c, st, cause, t.needs(c) && (cause == pace.Started || t.Request.Target != ""))
	}
	st.considered, st.wasCold, st.wasLimited = true, cold, limited
}

// needs reports whether requests that the target may serve have no other one: it is the owner of their key, or as many
// wait as it has slots.
func (t *Ticket) needs(c *roster.Target) bool {
	return t.Request.Target != "" || len(t.queue.waiting) >= c.Slots
}

// paceCause returns why the target's pace begins now, if it does.
func (s *Scheduler) paceCause(now time.Time, t *roster.Target, st *targetState, cold, limited bool) (cause pace.Cause, begins bool) {
	switch {
	case cold != st.wasCold && (cold || !st.pace.Paced()):
		return pace.Cold, true
	case !st.considered && s.hasStarted(now, t):
		return pace.Started, true
	case st.wasLimited && !limited:
		return pace.LimitLifted, true
	}
	return 0, false
}

// paceReplacement begins the pace of a target to which this instance sends a request in place of its scheduler.
func (s *Scheduler) paceReplacement(now time.Time, t *Ticket) {
	st := t.state
	if s.Pace && t.Request.Counting != CountsAll && len(st.inFlight) == 0 && now.Sub(st.sentAt) > replacementTTL {
		s.beginPace(now, t.Target, st, pace.Replacement, t.Request.Target != "")
	}
}

// isCold reports whether the target is cold, or its rate is limited as if it were. That it may have restarted, since an
// instance could not connect, does not count: the link of that instance may be down.
func (s *Scheduler) isCold(now time.Time, t *roster.Target) bool {
	if t.IsCold(now) || s.ColdRate == nil {
		return t.IsCold(now)
	}
	rate, cold := s.ColdRate(now, t)
	return rate > 0 && cold
}

// hasStarted reports whether the target has started a short time ago. Those that this instance found when it
// started are taken to be at full pace.
func (s *Scheduler) hasStarted(now time.Time, t *roster.Target) bool {
	return now.Sub(t.FirstSeen) < startWindow && t.FirstSeen.Sub(s.Roster.Load().Since) > listingTime
}

// beginPace begins the target's pace. It is needed if requests that it may serve have no other target, or as
// many requests wait as it has slots: it may have half of its slots at once then.
func (s *Scheduler) beginPace(now time.Time, t *roster.Target, st *targetState, cause pace.Cause, needed bool) {
	if st.pace.Begin(now, cause, t.Slots, needed) && s.OnPace != nil {
		s.OnPace(PaceChange{Target: t, Began: true, Run: pace.Run{Cause: cause}})
	}
}

func (s *Scheduler) endPace(t *roster.Target, r pace.Run) {
	if s.OnPace != nil {
		s.OnPace(PaceChange{Target: t, Run: r})
	}
}

// recordPace records how a request ended, for its target's pace.
func (s *Scheduler) recordPace(now time.Time, t *Ticket, r Result) {
	if !s.Pace {
		return
	}
	st, sent := t.state, t.arrivesAt.Add(-2*t.Request.OneWayDelay)
	switch r {
	case Answered:
		if took := t.took(now); took > 0 && st.pace.Paced() {
			response := pace.Response{
				Slowness: took.Seconds() / t.service.workOf(t.Request.Kind),
				Usual:    t.service.usualSlowness(now, t.Target, st), InFlight: t.together,
			}
			if !st.pace.IsLate(response) {
				t.service.observePaced(st, response)
			}
			if ended, ok := st.pace.Answered(now, sent, response); ok {
				s.endPace(t.Target, ended)
			}
		}
	case Rested:
		s.beginPace(now, t.Target, st, pace.Rested, t.needs(t.Target))
	case Failed, Unreachable:
		st.pace.Failed(now, sent, t.together)
		if now.Before(st.backoffUntil) {
			s.beginPace(now, t.Target, st, pace.Failed, t.Request.Target != "")
		}
	case Shed:
		st.pace.Failed(now, sent, t.together)
	case Abandoned, Unlinked, Rejected:
	}
}

// took returns how long the target ran the request; 0 if it never got a slot there.
func (t *Ticket) took(now time.Time) time.Duration {
	if t.startedAt.IsZero() {
		return 0
	}
	return max(now.Sub(t.startedAt)-2*t.Request.OneWayDelay, minWork)
}

// usualSlowness is how long the target needs for work at most times, as a multiple of an average target's time.
func (s *service) usualSlowness(now time.Time, t *roster.Target, st *targetState) float64 {
	return st.slowness * warmupFactor(now, t)
}

// seemsLost reports whether a request has taken so long that the message about its end may be lost.
func (t *Ticket) seemsLost(now time.Time) bool {
	return now.Sub(t.arrivesAt) >= max(lostAfter, lostFactor*t.expectedWork)
}

// countInFlight returns how many requests count toward a paced target's allowance.
func (st *targetState) countInFlight(now time.Time) (n int) {
	for _, t := range st.inFlight {
		if !t.seemsLost(now) {
			n++
		}
	}
	return n
}

// exceedsPace reports whether the target has as many requests in flight as its pace allows.
func (st *targetState) exceedsPace(now time.Time) bool {
	return st.pace.Paced() && st.countInFlight(now) >= st.pace.Allowance()
}

// pacedSlots returns how many slots of the target may be used at its pace.
func (st *targetState) pacedSlots(now time.Time, slots int) int {
	if !st.pace.Paced() {
		return slots
	}
	return min(slots, st.pace.Allowance()+len(st.inFlight)-st.countInFlight(now))
}

// mayProbe reports whether a paced target gets a request even if others would answer sooner.
func (st *targetState) mayProbe(now time.Time) bool {
	return st.pace.Paced() && st.countInFlight(now) == 0 && now.Sub(st.sentAt) >= probeInterval
}

// pruneReplacement ends the pace of a target that a replacement of its scheduler does not use any more.
func (s *Scheduler) pruneReplacement(now time.Time, t *roster.Target, st *targetState) {
	if t != nil && st.pace.Paced() && st.pace.Cause() == pace.Replacement && len(st.inFlight) == 0 && now.Sub(st.sentAt) > replacementTTL {
		s.endPace(t, st.pace.End(now))
	}
}

// PacedTargets returns the number of listed targets that are paced.
func (s *Scheduler) PacedTargets() (n int) {
	view := s.Roster.Load()
	for _, svc := range s.services {
		for incarnation, st := range svc.targets {
			if t := view.Find(incarnation.ID); t != nil && t.Started == incarnation.Started && st.pace.Paced() {
				n++
			}
		}
	}
	return n
}
