package schedule

import "time"

const (
	// safetyFactor is the share of a usual answer's time that is kept free before
	// the objective: work varies around its mean.
	safetyFactor = 1.4
	// lateWaitShare of the time left is how long a request waits that cannot make
	// its objective any more. It goes behind all that can.
	lateWaitShare = 0.4
	// answerMessages is how many messages pass from a slot's reservation to the
	// answer: the reservation, the request and the answer itself.
	answerMessages = 3
)

// queueKey names a target, or a zone's targets.
type queueKey struct{ target, zone string }

// queue is the requests that wait for the same targets.
type queue struct {
	waiting  []*Ticket
	lastSeq  uint64
	arrivals map[uint32]*arrivalStats
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

// enqueue decides whether a request may wait, and until when.
func (t *Ticket) enqueue(now time.Time, r capacity) error {
	q, req := t.queue, &t.Request
	wait := q.expectedWait(t, r)
	t.WaitUntil = req.Objective.Add(-seconds(r.latency*safetyFactor) - answerMessages*req.OneWayDelay)
	if now.Add(wait).After(t.WaitUntil) {
		if err := t.waitPastObjective(now, r); err != nil {
			return err
		}
	}
	q.lastSeq++
	t.seq = q.lastSeq
	q.waiting = append(q.waiting, t)
	return nil
}

// waitPastObjective decides the same for a request that cannot make its objective any
// more.
func (t *Ticket) waitPastObjective(now time.Time, r capacity) error {
	req := &t.Request
	usual := seconds(r.latency) + answerMessages*req.OneWayDelay
	wait := t.queue.expectedWait(t, r)
	t.WaitUntil = now.Add(time.Duration(float64(req.Deadline.Sub(now)-usual) * lateWaitShare))
	if req.RejectLate || t.late || now.Add(wait).After(t.WaitUntil) {
		return &BusyError{Service: t.service.name, Wait: wait, Queued: len(t.queue.waiting)}
	}
	t.late = true
	return nil
}

// expectedWait is the wait for a slot: for the first that is free, and for the work of
// those that wait and are not less urgent.
func (q *queue) expectedWait(t *Ticket, r capacity) time.Duration {
	ahead := 0.0
	for _, o := range q.waiting {
		if o != t && o.Request.Priority <= t.Request.Priority {
			ahead += o.service.workOf(o.Request.Kind) * r.slowness
		}
	}
	return r.freeIn + seconds(ahead/max(1, r.slots))
}

func (q *queue) remove(t *Ticket) {
	for i := range q.waiting {
		if q.waiting[i] == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// next returns the most urgent ticket. Of equally urgent ones those go first
// that make their objective on a target of the given slowness, and of those the
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

// outranks tells whether one that waits goes before a request that comes.
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

// meetsObjective tells whether the request makes its objective if a target of the given
// slowness gets it now.
func (t *Ticket) meetsObjective(now time.Time, slowness float64) bool {
	work := seconds(t.service.workOf(t.Request.Kind) * slowness * safetyFactor)
	return now.Add(work + answerMessages*t.Request.OneWayDelay).Before(t.Request.Objective)
}
