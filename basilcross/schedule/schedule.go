// Package schedule decides which target's slot a request gets, which request is next when
// all slots are busy, and which is refused at once because it cannot be answered in time.
// It reads no clock and starts no goroutines: callers pass the time, so that simulations
// need not run in real time.
package schedule

import (
	"fmt"
	"maps"
	"time"

	"basilcross.example/basilcross/roster"
)

// Request is a request for a slot at a target.
type Request struct {
	Service string
	// Kind identifies requests that need a similar amount of work.
	Kind uint32
	// Target is the ID of the only acceptable target, the owner of Key; empty if any of the zone is.
	Target string
	Key    int
	// Grant is the grant by which Target holds Key; nil if that is not known.
	Grant *Grant
	// Zone is the zone whose targets may serve the request.
	Zone string
	// Regions are the regions that may serve the request; empty: all.
	Regions []string
	// Excluded are the IDs of targets that this request was sent to before.
	Excluded map[string]bool
	// Priority 0 is the highest.
	Priority int
	// Objective is when the answer is due; after Deadline it is useless.
	Objective time.Time
	Deadline  time.Time
	// OneWayDelay is the network delay from the requesting instance to the targets.
	OneWayDelay time.Duration
	// RejectLate requests a refusal if the answer would come after Objective.
	RejectLate bool
	// Counting says which part of the requests of targets with a limited rate this scheduler counts.
	Counting Counting
	// Requester is the instance that sends the request.
	Requester string
}

// Result is how a request ended at its target.
type Result int

// The results.
const (
	// Answered: the target answered.
	Answered Result = iota
	// Shed: the target was overloaded and did not run the request.
	Shed
	// Failed: no answer, or an unusable one.
	Failed
	// Abandoned: the caller disconnected or its deadline passed; this says nothing about
	// the target.
	Abandoned
	// Unreachable: no connection could be opened, so the target may be restarting.
	Unreachable
	// Unlinked: as Unreachable, or the connection broke off, but the requester reaches few other
	// targets either. This says nothing about the target.
	Unlinked
	// Rejected: the target does not hold the request's key.
	Rejected
	// Rested: as Shed, and the target asked for a rest.
	Rested
)

func (r Result) String() string {
	return [...]string{"answered", "shed", "failed", "abandoned", "unreachable", "unlinked", "rejected", "rested"}[r]
}

// BusyError is returned for a request that cannot be answered in time.
type BusyError struct {
	Service string
	// Wait is the expected time until a slot is free.
	Wait time.Duration
	// Queued is how many requests wait already.
	Queued int
	// RateLimited is set if all targets that the request may go to state how many requests per second they
	// accept.
	RateLimited bool
	// Reason is set if admission refused the request. Load is then that of the pool by requests of the same
	// or a higher priority, and Bound how long the request might have waited.
	Reason Reason
	Load   float64
	Bound  time.Duration
	// InTime is set if the request could have been answered in time after a wait that admission does not
	// permit.
	InTime bool
	// Place is when the caller's place on the waitlist is; 0 if it has none.
	Place time.Duration
}

// RetryIn returns the time after which the caller is to retry. recognized is set if its retry will be
// recognized as one. Others that wait for their place would be late by then, but be taken for new requests and
// displace those that can be in time.
func (e *BusyError) RetryIn(recognized bool) time.Duration {
	if recognized && e.Place > 0 {
		return e.Place
	}
	return e.Wait
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("schedule: no free slot at service %s: %d requests wait, expected wait %v", e.Service, e.Queued, e.Wait.Round(time.Millisecond))
}

// NoTargetError is returned if no target of the service is usable for the request.
type NoTargetError struct {
	Service string
}

func (e *NoTargetError) Error() string { return "schedule: no usable target of service " + e.Service }

// Scheduler assigns the slots of targets to requests. Roster must be set. It is not
// safe for concurrent use.
type Scheduler struct {
	Roster *roster.Roster
	// ColdRate, if set, returns how many requests per second a target accepts while it is
	// cold, 0 if that is unlimited, and whether it is known to be cold now.
	ColdRate func(now time.Time, t *roster.Target) (rate float64, cold bool)

	// RateLimit, if set, returns how many requests per second a target states that it accepts from all
	// instances, and whether it states any.
	RateLimit func(t roster.Incarnation) (perSecond float64, limited bool)

	// IsBound, if set, reports whether requests of a kind can be served in the scheduler's
	// region only, and HasAlternative whether others of the service can be served in
	// another region too.
	IsBound        func(kind uint32) bool
	HasAlternative func(r *Request) bool

	// Pace limits the requests in flight at targets that have started or recovered, by how they answer.
	// OnPace, if set, is called when that begins and ends for a target.
	Pace   bool
	OnPace func(PaceChange)

	// OnBackoff, if set, is called when a target gets no requests for a while.
	OnBackoff func(Backoff)

	// Admission, if set, bounds the wait of requests that any target of a zone may serve.
	Admission *Admission
	// Waitlist tells refused callers of such requests to return one after the other.
	Waitlist bool
	// Speeds is set if SpeedEstimates are kept.
	Speeds bool

	services map[string]*service
}

// Backoff is the decision to send a target no requests, and the result that led to it.
type Backoff struct {
	Target    *roster.Target
	Duration  time.Duration
	Failures  int
	Result    Result
	Requester string
}

// service is the scheduler's state of a service.
type service struct {
	name    string
	targets map[roster.Incarnation]*targetState
	queues  map[queueKey]*queue
	kinds   map[uint32]*kindStats
	// meanWork is the average work of a request, in seconds; 0 before the first answer.
	meanWork float64
	// meanReported is the average of the momentary slowness that targets report; 0 if they
	// report none.
	meanReported float64
	// speeds is nil unless Scheduler.Speeds is set.
	speeds *speeds
}

// Ticket is a request's place in the schedule: it holds a slot of Target if that is set,
// and otherwise waits for one until WaitUntil at most.
type Ticket struct {
	Request   Request
	Target    *roster.Target
	WaitUntil time.Time

	service *service
	queue   *queue
	state   *targetState
	seq     uint64
	// ReportedSlowness is how long work took at the target at the time of its response, as
	// a multiple of the usual time. It is set before Release, and 0 if it was not reported.
	ReportedSlowness float64
	// late is set if it waits although it cannot meet its objective.
	late bool
	// together is how many requests have been in flight at the target at most since it got the slot.
	together int
	// arrivesAt is when the request reaches the target, startedAt when it got a slot
	// there; zero before.
	arrivesAt    time.Time
	startedAt    time.Time
	expectedWork time.Duration
	// poolLatency is the expected response time of the pool when it was sent, in seconds. bound is how long
	// it might wait to be answered in time; 0 if admission is off.
	poolLatency float64
	bound       time.Duration
}

// Submit assigns a slot to a request, or queues it. The error is a *BusyError, a
// *NoTargetError or a *RejectedError.
func (s *Scheduler) Submit(now time.Time, r Request) (*Ticket, error) {
	svc := s.serviceFor(r.Service)
	t := &Ticket{Request: r, service: svc, queue: svc.queueFor(&r)}
	t.queue.recordArrival(now, &r, s.IsBound != nil && s.IsBound(r.Kind))
	if err := s.rejected(now, t); err != nil {
		return nil, err
	}
	pool := s.poolFor(now, t)
	_, avail := s.bestTarget(now, t)
	pool.recordCapacity(&t.Request, avail)
	if s.mustYield(now, t, avail) {
		return nil, t.busyError(avail.freeIn, avail)
	}
	if !t.queue.outranks(now, t, avail.slowness) {
		avail = s.assign(now, t)
	}
	s.checkOverload(now, svc, r.Zone, pool, avail)
	if t.Target != nil {
		pool.recordArrival(now, t, avail)
		pool.recordServed(t)
		return t, nil
	}
	if avail.targets == 0 && avail.denied > 0 {
		return nil, &BusyError{Service: r.Service, Wait: deniedWait, Queued: len(t.queue.waiting), RateLimited: true}
	}
	if avail.targets == 0 {
		return nil, &NoTargetError{Service: r.Service}
	}
	if !r.RejectLate {
		pool.recordArrival(now, t, avail)
	}
	if err := s.enqueue(now, t, avail); err != nil {
		return nil, s.refused(now, t, avail, err)
	}
	if r.RejectLate {
		pool.recordArrival(now, t, avail)
	}
	return t, nil
}

// Expire must be called when a ticket has waited until WaitUntil. If a late answer is
// still useful it extends WaitUntil, once per ticket at most, and the ticket stays
// queued; otherwise the ticket leaves the queue and the error is a *BusyError.
func (s *Scheduler) Expire(now time.Time, t *Ticket) error {
	_, avail := s.bestTarget(now, t)
	var err *BusyError
	if s.boundsWait(t, avail) {
		err = t.setLateWait(now, t.queue.expectedWait(t, avail), avail)
	} else {
		err = t.waitPastObjective(now, avail)
	}
	if err == nil {
		return nil
	}
	s.Cancel(t)
	return s.refused(now, t, avail, err)
}

// Cancel removes a waiting ticket from its queue.
func (s *Scheduler) Cancel(t *Ticket) { t.queue.remove(t) }

// Release frees a ticket's slot, records the request's result, and returns the waiting
// tickets that got a slot.
func (s *Scheduler) Release(now time.Time, t *Ticket, r Result) []*Ticket {
	t.state.recordResult(now, t, r)
	if r == Answered && t.queue.pool != nil {
		t.queue.pool.recordResponse(now, t)
	}
	s.recordPace(now, t, r)
	if left := t.state.backoffUntil.Sub(now); s.OnBackoff != nil && (r == Failed || r == Unreachable) && left > 0 {
		s.OnBackoff(Backoff{Target: t.Target, Duration: left, Failures: t.state.failures, Result: r, Requester: t.Request.Requester})
	}
	return s.Admit(now, t)
}

// Admit assigns free slots to the tickets in the same queue as the given one, and returns
// those that got one.
func (s *Scheduler) Admit(now time.Time, like *Ticket) []*Ticket {
	var admitted []*Ticket
	for q := like.queue; len(q.waiting) > 0; {
		best, avail := s.bestTarget(now, q.waiting[0])
		if best != nil {
			// Which requests meet their objective depends on the target that is free.
			avail.slowness = like.service.slownessOf(now, best, avail.state, &like.Request)
		}
		next := q.next(now, avail.slowness)
		if s.Admission != nil && q.pool != nil {
			if owed := q.pool.owed(now, q, next, avail.slowness); owed != nil {
				next = owed
			}
		}
		s.assign(now, next)
		if next.Target == nil {
			break
		}
		q.pool.recordServed(next)
		q.remove(next)
		admitted = append(admitted, next)
	}
	return admitted
}

func (s *Scheduler) serviceFor(name string) *service {
	if s.services == nil {
		s.services = map[string]*service{}
	}
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name, targets: map[roster.Incarnation]*targetState{}, queues: map[queueKey]*queue{}, kinds: map[uint32]*kindStats{}}
		s.services[name] = svc
	}
	if s.Speeds && svc.speeds == nil {
		svc.speeds = &speeds{}
	}
	return svc
}

// Prune drops the state of ended incarnations, and of kinds not used for kindTTL.
func (s *Scheduler) Prune(now time.Time) {
	view := s.Roster.Load()
	for _, svc := range s.services {
		maps.DeleteFunc(svc.kinds, func(_ uint32, k *kindStats) bool { return now.Sub(k.lastAnswer) > kindTTL })
		for incarnation, st := range svc.targets {
			t := view.Find(incarnation.ID)
			st.pruneRejections(now)
			maps.DeleteFunc(st.unlinked, func(_ string, l *unlinked) bool { return now.Sub(l.backoffUntil) > kindTTL })
			s.pruneReplacement(now, t, st)
			if len(st.inFlight) == 0 && (t == nil || t.Started != incarnation.Started) {
				delete(svc.targets, incarnation)
				svc.speeds.drop(incarnation)
			}
		}
		for key, q := range svc.queues {
			maps.DeleteFunc(q.arrivals, func(_ uint32, a *arrivalStats) bool { return now.Sub(a.updated) > kindTTL })
			if q.pool != nil {
				s.checkOverload(now, svc, key.zone, q.pool, q.pool.last)
				q.pool.prune(now)
			}
			if len(q.waiting) == 0 && key.target != "" && view.Find(key.target) == nil {
				delete(svc.queues, key)
			}
		}
	}
}

// TargetLatency is a target's estimated response time for an average request.
type TargetLatency struct {
	Service string
	Target  string
	Latency time.Duration
}

// TargetLatencies returns the estimates for all targets that have answered, except ended
// incarnations: they say nothing about the next one under the same ID.
func (s *Scheduler) TargetLatencies() []TargetLatency {
	view := s.Roster.Load()
	var latencies []TargetLatency
	for name, svc := range s.services {
		for incarnation, st := range svc.targets {
			if t := view.Find(incarnation.ID); t != nil && t.Started == incarnation.Started && st.answers > 0 {
				latencies = append(latencies, TargetLatency{name, incarnation.ID, seconds(svc.averageWork() * st.slowness)})
			}
		}
	}
	return latencies
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
