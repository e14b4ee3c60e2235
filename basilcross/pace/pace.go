// Package pace limits how many requests are in flight at a target that has started or recovered, by how it
// answers: a slow start with one controller for each incarnation of a target. It reads no clock.
package pace

import (
	"math"
	"time"
)

const (
	// lateRatio is the multiple of the usual time up to which a response is as usual.
	lateRatio = 2.0
	// decrease is the factor on the allowance after a late response or a failure.
	decrease = 0.5
	// increase is what a response that is as usual adds to the allowance.
	increase = 1.0
	// recentWeight is the weight of the newest response in the recent slowness. A target that warms up or
	// recovers changes within a few responses.
	recentWeight = 0.3
	// baseWeight is the weight of the newest response in the slowness with few requests in flight.
	baseWeight = 0.3
	// firstHold is how many answers as usual a target must give before its allowance is raised again after
	// requests failed under more than one. It doubles with each such failure, up to maxHold, so that a
	// target that fails under two requests at once loses few.
	firstHold = 4
	maxHold   = 64
	// extraInFlight is how many requests beyond its slots a target at full pace has in flight.
	extraInFlight = 1
)

// Cause is why a target is paced.
type Cause int

// The causes.
const (
	// Started: the target has started, or restarted under its ID.
	Started Cause = iota
	// Cold: it reports that it is cold, or has reported that until now.
	Cold
	// Rested: it asked for a rest.
	Rested
	// LimitLifted: it does not state a rate limit any more.
	LimitLifted
	// Failed: it failed, and got no requests for a while.
	Failed
	// Replacement: this scheduler replaces another one, and does not know what that one has sent.
	Replacement
)

func (c Cause) String() string {
	return [...]string{"started", "cold", "rested", "limitLifted", "failed", "replacement"}[c]
}

// Controller is the pace of one incarnation of a target. The zero value is at full pace.
type Controller struct {
	// full is the number of requests in flight at full pace, 0 if the target is at full pace.
	full      float64
	allowance float64
	cause     Cause
	began     time.Time
	// lowered is when the allowance was lowered last: responses to requests that were sent before say
	// nothing about what was sent since.
	lowered time.Time
	answers int
	// hold is how many answers must come before the allowance is raised, and held how many have.
	hold, held int
	// recent is the slowness in the last responses; 0 before the first.
	recent float64
	// start is the allowance at the beginning, and base the slowness in responses to requests that were in
	// flight with no more than that: the target's speed at the moment, which more requests may lower; 0
	// before the first.
	start int
	base  float64
}

// Response is what a target's response says about its speed. Slownesses are multiples of the time that an
// average target needs.
type Response struct {
	Slowness float64
	// Usual is the target's own slowness at most times, as far as it is known.
	Usual float64
	// InFlight is how many requests were in flight at the same time at most, with this one.
	InFlight int
}

// Run is one time for which a target was paced.
type Run struct {
	Cause    Cause
	Duration time.Duration
	// Answers is how many responses were counted.
	Answers int
}

// Begin paces the target from now on, and reports whether it was at full pace before. The allowance starts at
// one request in flight, or at half of the slots if the target is needed, since requests have no alternative.
func (c *Controller) Begin(now time.Time, cause Cause, slots int, needed bool) (first bool) {
	start := 1.0
	if needed {
		start = max(1, math.Ceil(float64(slots)/2))
	}
	first = !c.Paced()
	if first {
		*c = Controller{full: float64(slots + extraInFlight), cause: cause, began: now}
	} else {
		// A second cause does not raise the allowance of a target that fails under two requests.
		start = min(start, c.allowance)
	}
	c.allowance, c.lowered, c.start, c.base = start, now, int(start), 0
	return first
}

// Paced reports whether the target is not at full pace.
func (c *Controller) Paced() bool { return c.full > 0 }

// Allowance is how many requests may be in flight at a paced target.
func (c *Controller) Allowance() int { return int(c.allowance) }

// Cause is why the target is paced.
func (c *Controller) Cause() Cause { return c.cause }

// Slowness is how long the last responses took, as a multiple of an average target's time; 0 if there was none.
func (c *Controller) Slowness() float64 { return c.recent }

// Answered records a response to a request that was sent at the given time. If the target is at full pace by
// that, it returns how long it was paced.
func (c *Controller) Answered(now, sent time.Time, r Response) (ended Run, isEnd bool) {
	if !c.Paced() {
		return Run{}, false
	}
	c.answers++
	c.recent = average(c.recent, r.Slowness, recentWeight)
	late := c.IsLate(r)
	c.base = c.currentBase(r)
	if late {
		c.lower(now, sent)
		return Run{}, false
	}
	if sent.Before(c.lowered) {
		return Run{}, false
	}
	if c.held++; c.held < c.hold {
		return Run{}, false
	}
	c.held = 0
	c.allowance = min(c.allowance+increase, c.full)
	if c.allowance < c.full || c.recent > lateRatio*r.Usual {
		return Run{}, false
	}
	return c.End(now), true
}

// IsLate reports whether a response is late by the requests in flight: it took longer than usual, and longer than with
// fewer of them.
func (c *Controller) IsLate(r Response) bool {
	return r.Slowness > lateRatio*max(r.Usual, c.currentBase(r))
}

// currentBase returns the slowness with few requests in flight, as of a response.
func (c *Controller) currentBase(r Response) float64 {
	if r.InFlight <= c.start {
		return average(c.base, r.Slowness, baseWeight)
	}
	return c.base
}

// End ends the pace whatever the target answered, and returns how long it was paced.
func (c *Controller) End(now time.Time) Run {
	ended := c.run(now)
	*c = Controller{}
	return ended
}

func (c *Controller) run(now time.Time) Run {
	return Run{Cause: c.cause, Duration: now.Sub(c.began), Answers: c.answers}
}

// average returns a moving average with the newest value; the first value is taken as it is.
func average(before, value, weight float64) float64 {
	if before == 0 {
		return value
	}
	return before + weight*(value-before)
}

// Failed records that a request that was sent at the given time failed or was shed. inFlight is how many requests were
// in flight at the same time at most, with this one.
func (c *Controller) Failed(now, sent time.Time, inFlight int) {
	if !c.Paced() {
		return
	}
	if inFlight <= 1 {
		// It says nothing about more requests: some targets fail or shed at random.
		c.hold = max(min(c.hold, firstHold), c.hold/2)
	} else if c.allowance > 1 && !sent.Before(c.lowered) {
		c.hold, c.held = min(max(firstHold, 2*c.hold), maxHold), 0
	}
	c.lower(now, sent)
}

// lower lowers the allowance, once for all requests that are in flight at the time.
func (c *Controller) lower(now, sent time.Time) {
	if sent.Before(c.lowered) {
		return
	}
	c.allowance, c.lowered = max(1, c.allowance*decrease), now
}
