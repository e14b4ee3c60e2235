package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
)

const (
	// admitInterval is how often waiting requests are looked at without any slot being
	// given back.
	admitInterval = 25 * time.Millisecond
	// maxTargetsPerAttempt bounds the targets that one attempt is sent to.
	maxTargetsPerAttempt = 3
	// retryWaitDivisor of the time that a caller has left is the longest that it waits
	// before it comes back.
	retryWaitDivisor = 3
	// minRetryAfter is the least that callers are told.
	minRetryAfter = 50 * time.Millisecond
	// reconnectDelay is how long one that repeats at once needs to come back.
	reconnectDelay = 5 * time.Millisecond
)

// schedulerRun is one run of a load against the product's schedule.
type schedulerRun struct {
	eventLoop
	scheduler   schedule.Scheduler
	random      *rand.Rand
	targets     []*simTarget
	queues      []*targetQueue
	targetIndex map[string]int
	waiting     map[*schedule.Ticket]*attempt
	// ticketQueue has those that wait, the oldest first; some have left.
	ticketQueue  []*schedule.Ticket
	admissionDue bool
	report       *Report
}

// targetQueue is what a target works on, and what waits there.
type targetQueue struct {
	busy    int
	waiting []func()
}

// attempt is one of a caller's.
type attempt struct {
	req       *request
	retries   int
	started   time.Duration
	excluded  map[string]bool
	submitted time.Duration
	ticket    *schedule.Ticket
}

// startTime is the moment at which plays begin.
var startTime = time.Unix(1_000_000, 0)

// Simulate plays a load at a level against the product's schedule.
func (l *Load) Simulate(level float64, seed uint64) *Report {
	p := &schedulerRun{
		random: rand.New(rand.NewPCG(seed, 23)), targets: l.simTargets(), targetIndex: map[string]int{},
		waiting: map[*schedule.Ticket]*attempt{}, report: l.newReport("schedule", level),
	}
	list := make([]*roster.Target, 0, len(p.targets))
	for n, s := range p.targets {
		id := fmt.Sprintf("t%03d", n)
		p.targetIndex[id] = n
		list = append(list, &roster.Target{ID: id, Service: "s", Zone: "z", Slots: s.Slots, Started: 1})
		p.queues = append(p.queues, &targetQueue{})
	}
	known := &roster.Roster{}
	known.Replace(startTime.Add(-time.Hour), list, 1)
	p.scheduler.Roster = known
	for _, r := range l.requests(level, seed) {
		p.after(r.arrival, func() {
			p.report.recordArrival(r)
			p.startAttempt(&attempt{req: r, started: r.arrival})
		})
	}
	p.run()
	return p.report
}

func (p *schedulerRun) clock() time.Time { return startTime.Add(p.now) }

// startAttempt is a caller's attempt: its instance asks whoever decides.
func (p *schedulerRun) startAttempt(a *attempt) { p.after(a.req.oneWayDelay, func() { p.submit(a) }) }

func (p *schedulerRun) submit(a *attempt) {
	r := schedule.Request{
		Service: "s", Kind: a.req.kindNumber, Zone: "z", Excluded: a.excluded, Priority: a.req.kind.Priority,
		Objective:   startTime.Add(a.started + millis(a.req.kind.Objective)),
		Deadline:    startTime.Add(a.req.arrival + millis(a.req.kind.Deadline)),
		OneWayDelay: a.req.oneWayDelay,
	}
	if a.req.target >= 0 {
		r.Target = fmt.Sprintf("t%03d", a.req.target)
	}
	t, err := p.scheduler.Submit(p.clock(), r)
	if err != nil {
		p.handleRefusal(a, err)
		return
	}
	a.ticket, a.submitted = t, p.now
	if t.Target != nil {
		p.send(a)
		return
	}
	p.waiting[t] = a
	p.ticketQueue = append(p.ticketQueue, t)
	p.scheduleExpiry(t)
	p.scheduleAdmission()
}

func (p *schedulerRun) scheduleExpiry(t *schedule.Ticket) {
	p.after(t.WaitUntil.Sub(p.clock()), func() {
		a := p.waiting[t]
		if a == nil {
			return
		}
		if err := p.scheduler.Expire(p.clock(), t); err != nil {
			delete(p.waiting, t)
			p.handleRefusal(a, err)
			return
		}
		p.scheduleExpiry(t)
	})
}

// scheduleAdmission admits waiting requests from time to time, as long as there are any.
func (p *schedulerRun) scheduleAdmission() {
	if p.admissionDue {
		return
	}
	p.admissionDue = true
	p.after(admitInterval, func() {
		p.admissionDue = false
		seen := map[string]bool{}
		p.ticketQueue = slices.DeleteFunc(p.ticketQueue, func(t *schedule.Ticket) bool { return p.waiting[t] == nil })
		for _, t := range slices.Clone(p.ticketQueue) {
			if !seen[t.Request.Target] {
				seen[t.Request.Target] = true
				p.sendAdmitted(p.scheduler.Admit(p.clock(), t))
			}
		}
		if len(p.waiting) > 0 {
			p.scheduleAdmission()
		}
	})
}

func (p *schedulerRun) sendAdmitted(placed []*schedule.Ticket) {
	for _, t := range placed {
		a := p.waiting[t]
		delete(p.waiting, t)
		p.send(a)
	}
}

// send has the request go by its instance to the target.
func (p *schedulerRun) send(a *attempt) {
	t := a.ticket
	p.report.recordQueueTime(a.req, p.now-a.submitted)
	n := p.targetIndex[t.Target.ID]
	p.after(2*a.req.oneWayDelay, func() {
		s, q := p.targets[n], p.queues[n]
		if p.random.Float64() < s.ShedShare {
			p.handleShed(a, t)
			return
		}
		if q.busy < s.Slots {
			p.execute(a, n)
			return
		}
		q.waiting = append(q.waiting, func() { p.execute(a, n) })
	})
}

func (p *schedulerRun) execute(a *attempt, n int) {
	s, q := p.targets[n], p.queues[n]
	q.busy++
	p.after(time.Duration(float64(a.req.work)*s.slownessAt(p.now)), func() {
		q.busy--
		if len(q.waiting) > 0 {
			next := q.waiting[0]
			q.waiting = q.waiting[1:]
			next()
		}
		p.report.recordResponse(a.req, p.now+a.req.oneWayDelay)
		p.after(2*a.req.oneWayDelay, func() {
			p.sendAdmitted(p.scheduler.Release(p.clock(), a.ticket, schedule.Answered))
		})
	})
}

// handleShed is a target's refusal; the request goes to another one.
func (p *schedulerRun) handleShed(a *attempt, t *schedule.Ticket) {
	p.after(2*a.req.oneWayDelay, func() {
		p.sendAdmitted(p.scheduler.Release(p.clock(), t, schedule.Shed))
		excluded := map[string]bool{t.Target.ID: true}
		for id := range a.excluded {
			excluded[id] = true
		}
		if len(excluded) >= maxTargetsPerAttempt {
			p.handleRefusal(a, nil)
			return
		}
		p.submit(&attempt{req: a.req, retries: a.retries, started: a.started, excluded: excluded})
	})
}

// handleRefusal tells the caller, which comes back if it may.
func (p *schedulerRun) handleRefusal(a *attempt, why error) {
	var busy *schedule.BusyError
	wait := minRetryAfter
	if errors.As(why, &busy) {
		wait = max(wait, busy.Wait)
	}
	told := p.now + a.req.oneWayDelay
	left := a.req.arrival + millis(a.req.kind.Deadline) - told
	if a.req.retryImmediately {
		wait = reconnectDelay
	}
	wait = min(wait, left/retryWaitDivisor)
	if a.retries == a.req.kind.MaxRetries || left <= 0 {
		p.report.recordRefusal(a.req)
		return
	}
	p.after(told+wait-p.now, func() { p.startAttempt(&attempt{req: a.req, retries: a.retries + 1, started: p.now}) })
}
