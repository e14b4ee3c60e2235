package schedule

import (
	"fmt"
	"maps"
	"time"
)

const (
	// firstTrialDelay is the time after which a target that has rejected a request for a key is sent
	// the next one: its grant may not have arrived yet. After that it has more probably lost the
	// key, and the delay starts at nextTrialDelay and doubles up to maxTrialDelay.
	firstTrialDelay = 30 * time.Millisecond
	nextTrialDelay  = 240 * time.Millisecond
	maxTrialDelay   = 960 * time.Millisecond
	// trialRecheck is when to ask again while a trial is under way.
	trialRecheck = 20 * time.Millisecond
	// rejectionTTL is how long a rejection is remembered after it was lifted or had its last trial.
	rejectionTTL = time.Minute
)

// Grant is the grant by which a key's owner holds it, as the assignment says.
type Grant struct {
	// First is the first of the keys that were granted together.
	First int
	// Term is the term of the coordinator that recorded the assignment, and Since when the key got this
	// owner; zero if that was long ago. A grant with another one is newer.
	Term  int64
	Since time.Time
	// Renewed is set if a coordinator is known to be there, which renews grants.
	Renewed bool
}

// isSame reports whether the other grant is not newer, as far as known.
func (g *Grant) isSame(other *Grant) bool {
	return g.Term == other.Term && g.Since.Equal(other.Since) && g.Renewed == other.Renewed
}

// RejectedError is returned for a request whose target has rejected one for the same keys, and of
// whose grant nothing newer is known.
type RejectedError struct {
	Service string
	// Wait is the time after which the target may be tried again.
	Wait time.Duration
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("schedule: the target of service %s does not hold the key, next trial in %v", e.Service, e.Wait.Round(time.Millisecond))
}

// rejection is a target's statement that it does not hold some keys.
type rejection struct {
	grant Grant
	// until is when the next request is sent as a trial, and trial the one that is under way.
	until time.Time
	delay time.Duration
	trial *Ticket
	// lifted is set once the target ran a request for such a key, which was sent at liftedBy.
	lifted   bool
	liftedBy time.Time
}

// rejectionOf returns the rejection that holds for a request; nil if it may be sent.
func (st *targetState) rejectionOf(now time.Time, r *Request) *rejection {
	if r.Grant == nil {
		return nil
	}
	known := st.rejections[r.Grant.First]
	switch {
	case known == nil || known.lifted:
		return nil
	case known.trial == nil && known.isRenewed(r.Grant):
		return nil
	case known.trial != nil || !r.Grant.Renewed || now.Before(known.until):
		return known
	}
	return nil
}

// isRenewed reports whether a newer grant is known than the one that the target did not have.
func (x *rejection) isRenewed(g *Grant) bool { return !x.grant.isSame(g) && g.Renewed }

// wait returns the time until the target may be tried.
func (x *rejection) wait(now time.Time) time.Duration {
	if x.trial != nil || !now.Before(x.until) {
		return trialRecheck
	}
	return x.until.Sub(now)
}

// recordSent marks a request as the trial, if its keys were rejected.
func (st *targetState) recordSent(now time.Time, t *Ticket) {
	if t.Request.Grant == nil {
		return
	}
	if known := st.rejections[t.Request.Grant.First]; known != nil && !known.lifted {
		known.trial = t
		if known.isRenewed(t.Request.Grant) {
			known.grant, known.delay, known.until = *t.Request.Grant, 0, now
		}
	}
}

// recordRejection records whether the target rejected a request's key.
func (st *targetState) recordRejection(now time.Time, t *Ticket, r Result) {
	if t.Request.Grant == nil {
		return
	}
	known := st.rejections[t.Request.Grant.First]
	if known != nil && known.trial == t {
		known.trial = nil
	}
	switch {
	case r == Rejected && (known == nil || known.lifted && t.arrivesAt.After(known.liftedBy)):
		if st.rejections == nil {
			st.rejections = map[int]*rejection{}
		}
		st.rejections[t.Request.Grant.First] = &rejection{grant: *t.Request.Grant, until: now.Add(firstTrialDelay), delay: firstTrialDelay}
	case r == Rejected && !known.lifted && !now.Before(known.until):
		known.delay = nextTrial(known.delay)
		known.until = now.Add(known.delay)
	case r == Answered && known != nil:
		known.lifted, known.liftedBy = true, t.arrivesAt
	}
}

func nextTrial(delay time.Duration) time.Duration {
	switch {
	case delay == 0:
		return firstTrialDelay
	case delay < nextTrialDelay:
		return nextTrialDelay
	}
	return min(2*delay, maxTrialDelay)
}

func (st *targetState) pruneRejections(now time.Time) {
	maps.DeleteFunc(st.rejections, func(_ int, x *rejection) bool { return x.trial == nil && now.Sub(x.until) > rejectionTTL })
}

// CheckWaiting returns an error if the target that a waiting ticket names can't get it any more, and removes the
// ticket from its queue: a *RejectedError if the target has rejected its keys meanwhile, a *NoTargetError if it
// leaves.
func (s *Scheduler) CheckWaiting(now time.Time, t *Ticket) error {
	err := s.rejected(now, t)
	if err == nil && t.Request.Target != "" && len(s.candidates(now, &t.Request)) == 0 {
		err = &NoTargetError{Service: t.Request.Service}
	}
	if err != nil {
		s.Cancel(t)
	}
	return err
}

func (s *Scheduler) rejected(now time.Time, t *Ticket) error {
	if t.Request.Grant == nil {
		return nil
	}
	for _, c := range s.candidates(now, &t.Request) {
		if x := t.service.stateOf(c).rejectionOf(now, &t.Request); x != nil {
			return &RejectedError{Service: t.Request.Service, Wait: x.wait(now)}
		}
	}
	return nil
}
