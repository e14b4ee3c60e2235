package experiment

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/basilcross/timelimit"
	"basilcross.example/basilcross/withdrawal"
	"basilcross.example/standin/eventloop"
)

const (
	// admitInterval is how often waiting requests are rescheduled even if no slot is released.
	admitInterval = 25 * time.Millisecond
	// maxTargetsPerAttempt limits the targets that one attempt is sent to.
	maxTargetsPerAttempt = 3
	// retryWaitDivisor limits the wait before a retry to a third of the time until the deadline.
	retryWaitDivisor = 3
	// minRetryAfter is the shortest wait before a retry that a refusal requests.
	minRetryAfter = 50 * time.Millisecond
	// lossKnownAfter is the time in milliseconds until a lost target's row is removed.
	lossKnownAfter = 800
	// reconnectDelay is the wait of a caller that retries immediately.
	reconnectDelay = 5 * time.Millisecond
)

// schedulerRun simulates a load against the product's scheduler.
type schedulerRun struct {
	eventloop.Loop
	scheduler schedule.Scheduler
	random    *rand.Rand
	roster    *roster.Roster
	// withdrawn are the targets that rest, as each instance knows it.
	withdrawn   []withdrawal.List
	targets     []*simTarget
	queues      []*targetQueue
	targetIndex map[string]int
	waiting     map[*schedule.Ticket]*attempt
	// ticketQueue has the waiting tickets, oldest first; some are no longer waiting.
	ticketQueue  []*schedule.Ticket
	admissionDue bool
	// limits recognize caller retries, one for each instance; empty if all requests are taken as new.
	limits []*timelimit.Learner
	report *Report
	// firstAttemptKnown is as in Load.
	firstAttemptKnown bool
}

// targetQueue counts a target's busy slots and holds the requests waiting for one.
type targetQueue struct {
	busy    int
	waiting []func()
	// attempts are those that run or wait, in order of arrival.
	attempts []*attempt
}

func (q *targetQueue) remove(a *attempt) {
	q.attempts = slices.DeleteFunc(q.attempts, func(o *attempt) bool { return o == a })
}

// attempt is one attempt of a caller to get a request answered.
type attempt struct {
	req       *request
	retries   int
	started   time.Duration
	excluded  map[string]bool
	submitted time.Duration
	ticket    *schedule.Ticket
	// limits is of the instance that received it, and age its estimate of the first attempt's.
	limits *timelimit.Learner
	age    time.Duration
}

// startTime is the wall-clock time at which each simulation starts.
var startTime = time.Unix(1_000_000, 0)

// Simulate runs a load at a level against the product's scheduler.
func (l *Load) Simulate(level float64, seed uint64) *Report {
	s := &schedulerRun{
		random: rand.New(rand.NewPCG(seed, 23)), targets: l.simTargets(), targetIndex: map[string]int{},
		firstAttemptKnown: l.FirstAttemptKnown,
		waiting:           map[*schedule.Ticket]*attempt{}, roster: &roster.Roster{}, report: l.newReport("schedule", level),
	}
	list := make([]*roster.Target, 0, len(s.targets))
	s.withdrawn = make([]withdrawal.List, len(l.OneWayDelays))
	s.scheduler.Pace = l.Pace
	for n, target := range s.targets {
		id := fmt.Sprintf("t%03d", n)
		s.targetIndex[id] = n
		row := &roster.Target{ID: id, Service: "s", Zone: "z", Slots: target.Slots, Started: 1}
		if target.Added == 0 {
			list = append(list, row)
		} else {
			s.changeRow(target.Added, id, row)
		}
		if target.Lost > 0 {
			s.After(millis(target.Lost), func() { s.lose(n) })
			s.changeRow(target.Lost+lossKnownAfter, id, nil)
			again := *row
			again.Started = 2
			s.changeRow(target.Back, id, &again)
		}
		for at := target.FlapFrom; target.FlapPeriod > 0 && at < target.FlapEnd; at += target.FlapPeriod {
			s.After(millis(at), func() { s.lose(n) })
		}
		s.queues = append(s.queues, &targetQueue{})
	}
	s.roster.Replace(startTime.Add(-time.Hour), list, 1)
	s.scheduler.Roster, s.scheduler.Waitlist = s.roster, l.Waitlist
	if l.Waitlist && !l.FirstAttemptKnown {
		for range l.OneWayDelays {
			s.limits = append(s.limits, &timelimit.Learner{})
		}
	}
	if l.Admission {
		s.scheduler.Admission = &schedule.Admission{}
	}
	for _, r := range l.requests(level, seed) {
		s.After(r.arrival, func() {
			s.report.recordArrival(r)
			s.startAttempt(&attempt{req: r, started: r.arrival})
		})
	}
	s.Run()
	return s.report
}

// changeRow changes a target's row at a time in milliseconds.
func (s *schedulerRun) changeRow(at float64, id string, t *roster.Target) {
	s.After(millis(at), func() { s.roster.Apply(s.clock(), []roster.Change{{ID: id, Target: t}}, 2) })
}

// lose ends what target n runs and what waits there.
func (s *schedulerRun) lose(n int) {
	q := s.queues[n]
	s.queues[n] = &targetQueue{}
	for _, a := range q.attempts {
		s.release(a, schedule.Failed)
		s.report.recordRefusal(a.req)
	}
}

// release reports how an attempt ended to the scheduler.
func (s *schedulerRun) release(a *attempt, r schedule.Result) {
	s.After(2*a.req.oneWayDelay, func() { s.sendAdmitted(s.scheduler.Release(s.clock(), a.ticket, r)) })
}

func (s *schedulerRun) clock() time.Time { return startTime.Add(s.Now) }

// startAttempt sends a caller's attempt to an instance, which submits it to the scheduler.
func (s *schedulerRun) startAttempt(a *attempt) {
	if len(s.limits) > 0 {
		a.limits = s.limits[s.random.IntN(len(s.limits))]
		a.age = a.limits.Age(s.clock(), a.req.kind.Name, a.req.arrival+a.req.deadline-s.Now)
	}
	s.After(a.req.oneWayDelay, func() { s.submit(a) })
}

func (s *schedulerRun) submit(a *attempt) {
	r := schedule.Request{
		Service: "s", Kind: a.req.kindNumber, Zone: "z", Excluded: a.excluded, Priority: a.req.kind.Priority,
		Objective:   startTime.Add(a.started + millis(a.req.kind.Objective) - a.age),
		Deadline:    startTime.Add(a.req.arrival + a.req.deadline),
		OneWayDelay: a.req.oneWayDelay,
	}
	if a.req.target >= 0 {
		r.Target = fmt.Sprintf("t%03d", a.req.target)
	}
	if s.firstAttemptKnown {
		r.Objective = startTime.Add(a.req.arrival + millis(a.req.kind.Objective))
	}
	r.Excluded = s.withoutWithdrawn(a)
	t, err := s.scheduler.Submit(s.clock(), r)
	if err != nil {
		s.report.recordRefusedAttempt(a.req, true)
		s.handleRefusal(a, err)
		return
	}
	a.ticket, a.submitted = t, s.Now
	if t.Target != nil {
		s.send(a)
		return
	}
	s.waiting[t] = a
	s.ticketQueue = append(s.ticketQueue, t)
	s.scheduleExpiry(t)
	s.scheduleAdmission()
}

// withoutWithdrawn returns the targets that an attempt is not sent to, with those that want no requests from its
// instance.
func (s *schedulerRun) withoutWithdrawn(a *attempt) map[string]bool {
	withdrawn, _ := s.withdrawn[a.req.instance].Withdrawn(s.clock(), "s")
	if len(withdrawn) == 0 {
		return a.excluded
	}
	excluded := maps.Clone(a.excluded)
	if excluded == nil {
		excluded = map[string]bool{}
	}
	for _, id := range withdrawn {
		excluded[id] = true
	}
	return excluded
}

func (s *schedulerRun) scheduleExpiry(t *schedule.Ticket) {
	s.After(t.WaitUntil.Sub(s.clock()), func() {
		a := s.waiting[t]
		if a == nil {
			return
		}
		if err := s.scheduler.Expire(s.clock(), t); err != nil {
			delete(s.waiting, t)
			s.report.recordRefusedAttempt(a.req, false)
			s.handleRefusal(a, err)
			return
		}
		s.scheduleExpiry(t)
	})
}

// scheduleAdmission admits waiting requests every admitInterval while there are any.
func (s *schedulerRun) scheduleAdmission() {
	if s.admissionDue {
		return
	}
	s.admissionDue = true
	s.After(admitInterval, func() {
		s.admissionDue = false
		seen := map[string]bool{}
		s.ticketQueue = slices.DeleteFunc(s.ticketQueue, func(t *schedule.Ticket) bool { return s.waiting[t] == nil })
		for _, t := range slices.Clone(s.ticketQueue) {
			if !seen[t.Request.Target] {
				seen[t.Request.Target] = true
				s.sendAdmitted(s.scheduler.Admit(s.clock(), t))
			}
		}
		if len(s.waiting) > 0 {
			s.scheduleAdmission()
		}
	})
}

func (s *schedulerRun) sendAdmitted(admitted []*schedule.Ticket) {
	for _, t := range admitted {
		a := s.waiting[t]
		delete(s.waiting, t)
		s.send(a)
	}
}

func (s *schedulerRun) send(a *attempt) {
	t := a.ticket
	s.report.recordQueueTime(a.req, s.Now-a.submitted)
	n := s.targetIndex[t.Target.ID]
	s.After(2*a.req.oneWayDelay, func() {
		target, q := s.targets[n], s.queues[n]
		if !target.isUp(s.Now) {
			s.sendElsewhere(a, schedule.Unreachable)
			return
		}
		if rest := target.restLeft(s.Now); rest > 0 {
			s.withdrawn[a.req.instance].Rest(s.clock(), t.Target, rest)
			s.sendElsewhere(a, schedule.Rested)
			return
		}
		if s.random.Float64() < target.ShedShare {
			s.sendElsewhere(a, schedule.Shed)
			return
		}
		q.attempts = append(q.attempts, a)
		if q.busy < target.Slots {
			s.execute(a, n)
			return
		}
		q.waiting = append(q.waiting, func() { s.execute(a, n) })
	})
}

func (s *schedulerRun) execute(a *attempt, n int) {
	target, q := s.targets[n], s.queues[n]
	q.busy++
	s.report.recordStart(n, s.Now)
	s.After(time.Duration(float64(a.req.work)*target.slownessAt(s.Now)), func() {
		if s.queues[n] != q {
			return
		}
		q.busy--
		q.remove(a)
		s.withdrawn[a.req.instance].Answered(s.clock(), a.ticket.Target.Incarnation())
		if len(q.waiting) > 0 {
			next := q.waiting[0]
			q.waiting = q.waiting[1:]
			next()
		}
		s.report.recordResponse(a.req, s.Now+a.req.oneWayDelay)
		s.release(a, schedule.Answered)
	})
}

// sendElsewhere resubmits a request that a target did not run, excluding that target.
func (s *schedulerRun) sendElsewhere(a *attempt, r schedule.Result) {
	s.After(2*a.req.oneWayDelay, func() {
		s.sendAdmitted(s.scheduler.Release(s.clock(), a.ticket, r))
		excluded := map[string]bool{a.ticket.Target.ID: true}
		for id := range a.excluded {
			excluded[id] = true
		}
		if len(excluded) >= maxTargetsPerAttempt {
			s.handleRefusal(a, nil)
			return
		}
		s.submit(&attempt{req: a.req, retries: a.retries, started: a.started, excluded: excluded, limits: a.limits, age: a.age})
	})
}

// handleRefusal refuses the attempt; the caller retries if it has retries and time left.
func (s *schedulerRun) handleRefusal(a *attempt, err error) {
	var busy *schedule.BusyError
	wait := minRetryAfter
	if errors.As(err, &busy) {
		wait = max(wait, busy.RetryIn(s.firstAttemptKnown || a.limits != nil && a.limits.Recognizes(a.req.kind.Name)))
	}
	if a.limits != nil {
		a.limits.Refused(s.clock(), a.req.kind.Name)
	}
	responseAt := s.Now + a.req.oneWayDelay
	left := a.req.arrival + a.req.deadline - responseAt
	if a.req.retryImmediately {
		wait = reconnectDelay
	}
	wait = min(wait, left/retryWaitDivisor)
	if a.retries == a.req.kind.MaxRetries || left <= 0 {
		s.report.recordRefusal(a.req)
		return
	}
	s.After(responseAt+wait-s.Now, func() { s.startAttempt(&attempt{req: a.req, retries: a.retries + 1, started: s.Now}) })
}
