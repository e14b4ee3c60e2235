package schedule

import "time"

const (
	// safety is the share of a usual answer's time that is kept free before
	// the objective: work varies around its mean.
	safety = 1.4
	// lateShare of the time left is how long a request waits that cannot make
	// its objective any more. It goes behind all that can.
	lateShare = 0.4
	// answerTrips is how many messages pass from a slot's reservation to the
	// answer: the reservation, the request and the answer itself.
	answerTrips = 3
)

// queueKey names a target, or a zone's targets.
type queueKey struct{ target, zone string }

// queue is the requests that wait for the same targets.
type queue struct {
	waiting  []*Ticket
	order    uint64
	arrivals map[uint32]*arrivals
}

func (s *service) queue(r *Request) *queue {
	key := queueKey{zone: r.Zone}
	if r.Target != "" {
		key = queueKey{target: r.Target}
	}
	q := s.queues[key]
	if q == nil {
		q = &queue{arrivals: map[uint32]*arrivals{}}
		s.queues[key] = q
	}
	return q
}

// wait decides whether a request may wait, and until when.
func (t *Ticket) wait(now time.Time, r room) error {
	q, req := t.queue, &t.Request
	wait := q.expected(t, r)
	t.Until = req.Objective.Add(-seconds(r.latency*safety) - answerTrips*req.Transit)
	if now.Add(wait).After(t.Until) {
		if err := t.waitLate(now, r); err != nil {
			return err
		}
	}
	q.order++
	t.order = q.order
	q.waiting = append(q.waiting, t)
	return nil
}

// waitLate decides the same for a request that cannot make its objective any
// more.
func (t *Ticket) waitLate(now time.Time, r room) error {
	req := &t.Request
	usual := seconds(r.latency) + answerTrips*req.Transit
	wait := t.queue.expected(t, r)
	t.Until = now.Add(time.Duration(float64(req.Deadline.Sub(now)-usual) * lateShare))
	if req.OnTime || t.late || now.Add(wait).After(t.Until) {
		return &BusyError{Service: t.service.name, Wait: wait, Queued: len(t.queue.waiting)}
	}
	t.late = true
	return nil
}

// expected is the wait for a slot: for the first that is free, and for the work of
// those that wait and are not less urgent.
func (q *queue) expected(t *Ticket, r room) time.Duration {
	ahead := 0.0
	for _, o := range q.waiting {
		if o != t && o.Request.Priority <= t.Request.Priority {
			ahead += o.service.work(o.Request.Kind) * r.slowness
		}
	}
	return r.free + seconds(ahead/max(1, r.slots))
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
		if best == nil || t.before(best, now, slowness) {
			best = t
		}
	}
	return best
}

// goesBefore tells whether one that waits goes before a request that comes.
func (q *queue) goesBefore(now time.Time, t *Ticket, slowness float64) bool {
	t.order = q.order + 1
	next := q.next(now, slowness)
	return next != nil && next.before(t, now, slowness)
}

func (t *Ticket) before(o *Ticket, now time.Time, slowness float64) bool {
	if t.Request.Priority != o.Request.Priority {
		return t.Request.Priority < o.Request.Priority
	}
	onTime, other := t.onTime(now, slowness), o.onTime(now, slowness)
	if onTime != other {
		return onTime
	}
	return t.order < o.order
}

// onTime tells whether the request makes its objective if a target of the given
// slowness gets it now.
func (t *Ticket) onTime(now time.Time, slowness float64) bool {
	work := seconds(t.service.work(t.Request.Kind) * slowness * safety)
	return now.Add(work + answerTrips*t.Request.Transit).Before(t.Request.Objective)
}
