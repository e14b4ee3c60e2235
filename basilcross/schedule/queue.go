package schedule

import "time"

const (
	// safety is the share of a usual answer's time that is kept free before
	// the objective: work varies around its mean.
	safety = 1.4
	// lateShare of the time left is how long a request waits that cannot make
	// its objective any more. It goes behind all that can.
	lateShare = 0.4
)

// queueKey names a target, or a zone's targets.
type queueKey struct{ target, zone string }

// queue is the requests that wait for the same targets.
type queue struct {
	waiting []*Ticket
	order   uint64
}

func (s *service) queue(r *Request) *queue {
	key := queueKey{zone: r.Zone}
	if r.Target != "" {
		key = queueKey{target: r.Target}
	}
	q := s.queues[key]
	if q == nil {
		q = &queue{}
		s.queues[key] = q
	}
	return q
}

// wait decides whether a request may wait, and until when.
func (t *Ticket) wait(now time.Time, r room) error {
	q, usual := t.queue, seconds(r.latency)
	wait := q.expected(&t.Request, r)
	until := t.Request.Objective.Add(-seconds(r.latency * safety))
	if now.Add(wait).After(until) {
		// It will be late, if it is answered at all.
		until = now.Add(time.Duration(float64(t.Request.Deadline.Sub(now)-usual) * lateShare))
		if t.Request.OnTime || now.Add(wait).After(until) {
			return &BusyError{Service: t.service.name, Wait: wait, Queued: len(q.waiting)}
		}
	}
	q.order++
	t.order, t.Until = q.order, until
	q.waiting = append(q.waiting, t)
	return nil
}

// expected is the wait for a slot behind those that are not less urgent.
func (q *queue) expected(r *Request, room room) time.Duration {
	ahead := 1
	for _, t := range q.waiting {
		if t.Request.Priority <= r.Priority {
			ahead++
		}
	}
	return seconds(float64(ahead) / max(1, room.slots) * room.latency)
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
// that make their objective if answered at the given time, and of those the
// oldest.
func (q *queue) next(answered time.Time) *Ticket {
	var best *Ticket
	for _, t := range q.waiting {
		if best == nil || t.before(best, answered) {
			best = t
		}
	}
	return best
}

func (t *Ticket) before(o *Ticket, answered time.Time) bool {
	if t.Request.Priority != o.Request.Priority {
		return t.Request.Priority < o.Request.Priority
	}
	onTime, other := answered.Before(t.Request.Objective), answered.Before(o.Request.Objective)
	if onTime != other {
		return onTime
	}
	return t.order < o.order
}
