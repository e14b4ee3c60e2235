package schedule

import (
	"slices"
	"time"

	"basilcross.example/basilcross/pace"
	"basilcross.example/basilcross/roster"
)

const (
	// extraInFlight is how many requests a target is sent beyond its slots, so that the
	// next one is there when one ends. Others wait in the queue, where their order can
	// still change.
	extraInFlight = 1.0
	// sendAheadMessages is how many one-way delays before a slot is free a request is
	// sent. It saves the wait for three messages: the release of the slot, the
	// scheduler's reply and the request itself.
	sendAheadMessages = 3
	// overdueRemainder is the share of its expected work that a request is expected to
	// need still when it has run longer than expected.
	overdueRemainder = 0.05
	// warmupSlowdown is the factor by which a target is slower while it warms up.
	warmupSlowdown = 2.0
	// shedBackoff is how long a target that shed a request with all slots taken gets no
	// others; its limit is multiplied by shedLimitFactor, and each answer adds
	// limitIncrement. A target that sheds with slots free does so at random, and less
	// traffic would not help: only its expected latency rises with the share that it
	// sheds, estimated with weight shedWeight, that is from about ten requests, and
	// counted up to maxShedRatio.
	shedBackoff     = 50 * time.Millisecond
	shedWeight      = 0.1
	maxShedRatio    = 0.9
	shedLimitFactor = 0.8
	limitIncrement  = 0.05
	// failureBackoff is how long a target that failed twice in a row gets no requests. It
	// doubles with each further failure, up to maxFailureBackoff.
	failureBackoff    = 200 * time.Millisecond
	maxFailureBackoff = 3200 * time.Millisecond
	// trialInterval is the time between requests to a target that some instances could not
	// connect to, sent by others.
	trialInterval = 100 * time.Millisecond
)

// targetState is the load and the estimates of one incarnation of a target.
type targetState struct {
	// inFlight are the requests sent to it, the oldest first.
	inFlight []*Ticket
	// limit is how many requests may be in flight; it adapts to sheds and answers.
	limit float64
	// slowness is the target's time for the same work, as a multiple of an average
	// target's; answers is how many answers it was estimated from.
	slowness float64
	answers  int
	// reportedAnswers is the number of answers for which what other instances know of the slowness counts.
	reportedAnswers int
	backoffUntil    time.Time
	// failures counts failures since the last answer. Of one instance's failures to connect only
	// the first counts, since its own link may be down; reporters are the instances that had one.
	failures  int
	reporters map[string]bool
	// connected is set if any of the failures came after a connection was open, and triedAt is
	// when the last request was sent during a backoff.
	connected bool
	triedAt   time.Time
	// unlinked are the instances that could not connect since they had an answer.
	unlinked map[string]*unlinked
	// stated limits the rate of requests while the target states a limit.
	stated tokenBucket
	// rejections are the keys that the target said it does not hold, by the first of those that
	// were granted together.
	rejections map[int]*rejection
	// shedRatio is the share of requests that were shed with slots free.
	shedRatio float64
	// reported is the momentary slowness in the latest response, and reportedAt when that
	// arrived.
	reported   float64
	reportedAt time.Time
	// cold limits the rate of requests while the target is cold, or may have restarted.
	cold                  tokenBucket
	restartSuspectedUntil time.Time
	// pace limits the requests in flight while the target is paced, and sentAt is when it got the last one.
	pace   pace.Controller
	sentAt time.Time
	// considered is set once a request could have been sent to the target; wasCold and wasLimited are
	// what it reported at the last such time.
	considered, wasCold, wasLimited bool
}

// unlinked is an instance's failure to connect to a target, which gets none of its requests for
// a while.
type unlinked struct {
	failures     int
	backoffUntil time.Time
}

func (s *service) stateOf(t *roster.Target) *targetState {
	st := s.targets[t.Incarnation()]
	if st == nil {
		st = &targetState{limit: float64(t.Slots) + extraInFlight, slowness: 1}
		s.targets[t.Incarnation()] = st
	}
	return st
}

// add records that a request is sent to the target, where it waits if all slots are
// taken.
func (st *targetState) add(now time.Time, t *Ticket) {
	st.inFlight = append(st.inFlight, t)
	st.sentAt = now
	for _, o := range st.inFlight {
		o.together = max(o.together, len(st.inFlight))
	}
	t.expectedWork = seconds(t.service.expectedLatency(now, t.Target, st, &t.Request))
	t.arrivesAt = now.Add(2 * t.Request.OneWayDelay)
	if len(st.inFlight) <= t.Target.Slots {
		t.startedAt = t.arrivesAt
	}
}

// remove records that a request has ended at the target. The oldest request that waits
// there takes over its slot.
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

// sendAheadTime is how long before a slot is free a request may be sent, so that it
// arrives when the slot is free instead of after the messages about it.
func sendAheadTime(r *Request) time.Duration { return sendAheadMessages * r.OneWayDelay }

func (st *targetState) timeToFreeSlot(now time.Time, slots int) time.Duration {
	if len(st.inFlight) < slots {
		return 0
	}
	left := st.remaining(now)
	return left[len(left)-slots]
}

// timeToFreeSlotAfter is the expected time until the target has a free slot if another
// request with the given work is sent first.
func (st *targetState) timeToFreeSlotAfter(now time.Time, slots int, work time.Duration) time.Duration {
	left := append(st.remaining(now), st.timeToFreeSlot(now, slots)+work)
	if len(left) < slots {
		return 0
	}
	slices.Sort(left)
	return left[len(left)-slots]
}

// remaining returns the expected remaining times of the requests in flight, ascending.
func (st *targetState) remaining(now time.Time) []time.Duration {
	left := make([]time.Duration, 0, len(st.inFlight))
	for _, t := range st.inFlight {
		if t.startedAt.IsZero() {
			// It waits at the target and takes the next free slot.
			left = append(left, t.expectedWork)
			continue
		}
		left = append(left, max(t.expectedWork-now.Sub(t.startedAt), time.Duration(overdueRemainder*float64(t.expectedWork))))
	}
	slices.Sort(left)
	return left
}

func (st *targetState) recordResult(now time.Time, t *Ticket, r Result) {
	st.remove(now, t)
	st.recordRejection(now, t, r)
	t.service.recordSlowness(now, t)
	if r == Rested {
		r = Shed
	}
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
			st.failures, st.backoffUntil = 0, now
			st.connected = false
			clear(st.reporters)
		}
		delete(st.unlinked, t.Request.Requester)
		st.limit = min(st.limit+limitIncrement, float64(t.Target.Slots)+extraInFlight)
	case Shed:
		st.limit = max(1, st.limit*shedLimitFactor)
		st.backoffUntil = now.Add(shedBackoff)
	case Failed:
		st.connected = true
		st.recordFailure(now)
	case Unreachable:
		st.restartSuspectedUntil = now.Add(restartSuspicion)
		st.recordUnlinked(now, t.Request.Requester)
		if st.reporters[t.Request.Requester] && len(st.reporters) == 1 {
			break
		}
		if st.reporters == nil {
			st.reporters = map[string]bool{}
		}
		st.reporters[t.Request.Requester] = true
		st.recordFailure(now)
	case Unlinked:
		st.recordUnlinked(now, t.Request.Requester)
	case Abandoned, Rejected, Rested:
	}
}

func (st *targetState) recordFailure(now time.Time) {
	st.failures++
	if st.failures > 1 {
		st.backoffUntil = now.Add(backoffAfter(st.failures))
	}
}

// admitsTrial reports whether a request may be sent during a backoff: only other instances
// failed to connect, and this one may have sound links.
func (st *targetState) admitsTrial(now time.Time, requester string) bool {
	return !st.connected && st.failures > 0 && !st.reporters[requester] && len(st.inFlight) == 0 && now.Sub(st.triedAt) >= trialInterval
}

// backoffAfter returns how long a target gets no requests after two failures or more.
func backoffAfter(failures int) time.Duration {
	return min(failureBackoff<<min(failures-2, 4), maxFailureBackoff)
}

// recordUnlinked records that an instance could not connect.
func (st *targetState) recordUnlinked(now time.Time, requester string) {
	l := st.unlinked[requester]
	if l == nil {
		l = &unlinked{}
		if st.unlinked == nil {
			st.unlinked = map[string]*unlinked{}
		}
		st.unlinked[requester] = l
	}
	l.failures++
	if l.failures > 1 {
		l.backoffUntil = now.Add(backoffAfter(l.failures))
	}
}

// isUnlinked reports whether the target gets no requests of an instance, since that one could
// not connect.
func (st *targetState) isUnlinked(now time.Time, requester string) bool {
	l := st.unlinked[requester]
	return l != nil && now.Before(l.backoffUntil)
}
