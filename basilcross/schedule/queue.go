package schedule

import "time"

const (
	// safetyFactor is the multiple of the expected latency that is kept free before the
	// objective, since work varies around its mean.
	safetyFactor = 1.4
	// lateWaitShare is the share of the time left until its deadline that a request waits
	// if it cannot meet its objective. Requests of its priority that can meet theirs go
	// first.
	lateWaitShare = 0.4
	// answerMessages is how many one-way delays pass from a reservation to the answer:
	// the reservation, the request and the answer itself.
	answerMessages = 3
)

// queueKey identifies a queue: requests for one target, or for any target of a zone.
type queueKey struct{ target, zone string }

type queue struct {
	waiting  []*Ticket
	lastSeq  uint64
	arrivals map[uint32]*arrivalStats
	// pool is set for requests that any target of a zone may serve, if a feature needs it.
	pool *poolState
}

func (s *service) queueFor(r *Request) *queue {
	key := queueKey{zone: r.Zone}
	if r.Target != "" {
		key = queueKey{target: r.Target}
	}
	q := s.queues[key]
	if q == nil {
		q = &queue{arrivals: map[uint32]*arrivalStats{}}
		s.queues[key] = q
	}
	return q
}

// enqueue queues the ticket and sets WaitUntil, or returns an error if the request cannot be answered in time.
func (s *Scheduler) enqueue(now time.Time, t *Ticket, avail capacity) *BusyError {
	var err *BusyError
	if s.boundsWait(t, avail) {
		err = t.setWaitInPool(now, avail)
	} else {
		err = t.setWait(now, avail)
	}
	if err != nil {
		return err
	}
	q := t.queue
	q.lastSeq++
	t.seq = q.lastSeq
	q.waiting = append(q.waiting, t)
	return nil
}

// setWait sets WaitUntil, or returns an error if the request cannot be answered in time.
func (t *Ticket) setWait(now time.Time, avail capacity) *BusyError {
	t.WaitUntil = t.latestStart(avail)
	if now.Add(t.queue.expectedWait(t, avail)).After(t.WaitUntil) {
		return t.waitPastObjective(now, avail)
	}
	return nil
}

// latestStart is when the request has to be sent at the latest to meet its objective.
func (t *Ticket) latestStart(avail capacity) time.Time {
	return t.Request.Objective.Add(-seconds(avail.latency*safetyFactor) - answerMessages*t.Request.OneWayDelay)
}

// waitPastObjective sets WaitUntil for a request that cannot meet its objective. It
// returns an error if the request may not wait that long, or was extended before.
func (t *Ticket) waitPastObjective(now time.Time, avail capacity) *BusyError {
	req := &t.Request
	expected := seconds(avail.latency) + answerMessages*req.OneWayDelay
	wait := t.queue.expectedWait(t, avail)
	t.WaitUntil = now.Add(time.Duration(float64(req.Deadline.Sub(now)-expected) * lateWaitShare))
	if req.RejectLate || t.late || now.Add(wait).After(t.WaitUntil) {
		return t.busyError(wait, avail)
	}
	t.late = true
	return nil
}

func (t *Ticket) busyError(wait time.Duration, avail capacity) *BusyError {
	return &BusyError{Service: t.service.name, Wait: wait, Queued: len(t.queue.waiting), RateLimited: avail.allLimited()}
}

// expectedWait estimates the wait for a slot: the time until the first is free, and the
// work of waiting requests of the same or a higher priority.
func (q *queue) expectedWait(t *Ticket, avail capacity) time.Duration {
	ahead, count := 0.0, 0
	for _, o := range q.waiting {
		if o != t && o.Request.Priority <= t.Request.Priority {
			ahead += o.service.workOf(o.Request.Kind) * avail.slowness
			count++
		}
	}
	if avail.allLimited() {
		return avail.freeIn + seconds(float64(count)/avail.limitedRate)
	}
	return avail.freeIn + seconds(ahead/max(1, avail.slots))
}

func (q *queue) remove(t *Ticket) {
	for i := range q.waiting {
		if q.waiting[i] == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// next returns the waiting ticket with the highest priority. At equal priority those
// precede that meet their objective on a target of the given slowness, and of those the
// oldest.
func (q *queue) next(now time.Time, slowness float64) *Ticket {
	var best *Ticket
	for _, t := range q.waiting {
		if best == nil || t.precedes(best, now, slowness) {
			best = t
		}
	}
	return best
}

// outranks reports whether a waiting ticket precedes a new one.
func (q *queue) outranks(now time.Time, t *Ticket, slowness float64) bool {
	t.seq = q.lastSeq + 1
	next := q.next(now, slowness)
	return next != nil && next.precedes(t, now, slowness)
}

func (t *Ticket) precedes(o *Ticket, now time.Time, slowness float64) bool {
	if t.Request.Priority != o.Request.Priority {
		return t.Request.Priority < o.Request.Priority
	}
	onTime, other := t.meetsObjective(now, slowness), o.meetsObjective(now, slowness)
	if onTime != other {
		return onTime
	}
	return t.seq < o.seq
}

// meetsObjective reports whether the request meets its objective if it is sent to a
// target of the given slowness now.
func (t *Ticket) meetsObjective(now time.Time, slowness float64) bool {
	work := seconds(t.service.workOf(t.Request.Kind) * slowness * safetyFactor)
	return now.Add(work + answerMessages*t.Request.OneWayDelay).Before(t.Request.Objective)
}
