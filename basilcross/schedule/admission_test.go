package schedule_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

// pool drives a scheduler with a pool of targets, each request of which takes its kind's work.
type pool struct {
	t         *testing.T
	scheduler *schedule.Scheduler
	at        time.Time
	// waiting has the tickets without a slot, ends when the others are answered.
	waiting []*schedule.Ticket
	ends    map[*schedule.Ticket]time.Time
	// refused are the errors since the last call of takeRefused, and refusedKinds counts them by kind.
	refused      []*schedule.BusyError
	refusedKinds map[uint32]int
	overloads    []schedule.Overload
	// timeLimit, if set, is that of all requests.
	timeLimit time.Duration
}

func newPool(t *testing.T, targets int) *pool {
	t.Helper()
	var list []*roster.Target
	for n := range targets {
		list = append(list, &roster.Target{ID: fmt.Sprint("t", n), Slots: 2})
	}
	p := &pool{t: t, scheduler: newScheduler(list...), at: now, ends: map[*schedule.Ticket]time.Time{}, refusedKinds: map[uint32]int{}}
	p.scheduler.Admission = &schedule.Admission{OnOverload: func(o schedule.Overload) { p.overloads = append(p.overloads, o) }}
	p.scheduler.Waitlist = true
	return p
}

var workOf = map[uint32]time.Duration{urgent: 40 * time.Millisecond, long: 240 * time.Millisecond}

func (p *pool) start(tickets ...*schedule.Ticket) {
	for _, ticket := range tickets {
		p.ends[ticket] = p.at.Add(workOf[ticket.Request.Kind])
	}
}

// step lets a millisecond pass.
func (p *pool) step() {
	p.at = p.at.Add(time.Millisecond)
	for ticket, end := range p.ends {
		if !end.After(p.at) {
			delete(p.ends, ticket)
			p.start(p.scheduler.Release(p.at, ticket, schedule.Answered)...)
		}
	}
	kept := p.waiting[:0]
	for _, ticket := range p.waiting {
		if ticket.Target != nil {
			continue
		}
		if !ticket.WaitUntil.After(p.at) {
			if err := p.scheduler.Expire(p.at, ticket); err != nil {
				p.recordRefusal(ticket.Request.Kind, err)
				continue
			}
		}
		kept = append(kept, ticket)
	}
	p.waiting = kept
}

func (p *pool) recordRefusal(kind uint32, err error) {
	p.t.Helper()
	var busy *schedule.BusyError
	assert.Assert(p.t, errors.As(err, &busy), "%v", err)
	p.refused = append(p.refused, busy)
	p.refusedKinds[kind]++
}

func (p *pool) submit(kind uint32) {
	p.t.Helper()
	r := request(p.at, kind, "")
	if p.timeLimit > 0 {
		r.Deadline = p.at.Add(p.timeLimit)
	}
	p.submitRequest(r)
}

func (p *pool) submitRequest(r schedule.Request) {
	p.t.Helper()
	ticket, err := p.scheduler.Submit(p.at, r)
	switch {
	case err != nil:
		p.recordRefusal(r.Kind, err)
	case ticket.Target != nil:
		p.start(ticket)
	default:
		p.waiting = append(p.waiting, ticket)
	}
}

// run sends the given number of requests of each kind per second for a while, evenly spaced.
func (p *pool) run(d time.Duration, perSecond map[uint32]float64) {
	p.t.Helper()
	due := map[uint32]float64{}
	for end := p.at.Add(d); p.at.Before(end); {
		for _, kind := range []uint32{urgent, long} {
			for due[kind] += perSecond[kind] / 1000; due[kind] >= 1; due[kind]-- {
				p.submit(kind)
			}
		}
		p.step()
	}
}

func (p *pool) takeRefused() []*schedule.BusyError {
	list := p.refused
	p.refused, p.refusedKinds = nil, map[uint32]int{}
	return list
}

// capacityOf is how many requests of a kind a pool of that many targets can serve per second.
func capacityOf(targets int, kind uint32) float64 { return float64(2*targets) / workOf[kind].Seconds() }

// Guards against requests that are held until their objective, or until a part of their time left has
// passed, and refused only then.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	p := newPool(t, 6)
	p.run(10*time.Second, map[uint32]float64{long: 0.8 * capacityOf(6, long)})
	assert.Equal(t, len(p.takeRefused()), 0)
	p.run(10*time.Second, map[uint32]float64{long: 1.4 * capacityOf(6, long)})
	p.takeRefused()
	p.run(2*time.Second, map[uint32]float64{long: 1.4 * capacityOf(6, long)})
	refused := p.takeRefused()
	assert.Assert(t, len(refused) > 20, "%d refused", len(refused))
	for _, busy := range refused {
		assert.Equal(t, busy.Reason, schedule.ReasonOverload)
		assert.Assert(t, busy.Load > 1.3 && busy.Load < 1.5, "load %.2f, want 1.4", busy.Load)
		// All work is alike, so that a wait until the latest start makes no request late.
		assert.Assert(t, busy.Bound > 300*time.Millisecond && busy.Bound <= 465*time.Millisecond, "bound %v", busy.Bound)
	}
	assert.Assert(t, len(p.waiting) < 30, "%d wait", len(p.waiting))
}

// Guards against a request that is refused in a zone for good although another zone has free slots: the bound
// holds there too, and the load counts it where it is served or finally refused.
func TestBoundHoldsInFirstPassOverZones(t *testing.T) {
	p := newPool(t, 6)
	p.run(5*time.Second, map[uint32]float64{long: 0.9 * capacityOf(6, long)})
	for len(p.takeRefused()) == 0 {
		r := request(p.at, long, "")
		r.RejectLate = true
		p.submitRequest(r)
	}
	waiting := len(p.waiting)
	for range 500 {
		r := request(p.at, long, "")
		r.RejectLate = true
		p.submitRequest(r)
	}
	assert.Equal(t, len(p.waiting), waiting)
	assert.Equal(t, len(p.takeRefused()), 500)
	p.submit(long)
	assert.Equal(t, len(p.takeRefused()), 0, "a late request may wait, since the load is below 1.1")
}

// Guards against refusals for the load of other instances' first moments: a scheduler that has just taken
// over sees all requests of the pool at once, and does not know their work.
func TestStartIsNoOverload(t *testing.T) {
	p := newPool(t, 6)
	rate := map[uint32]float64{urgent: 0.5 * capacityOf(6, urgent)}
	// The first burst comes before any work is known, the second when it is.
	for _, count := range []int{100, 70} {
		for range count {
			p.submit(urgent)
		}
		p.run(100*time.Millisecond, rate)
	}
	assert.Assert(t, len(p.refused) > 0)
	p.run(2*time.Second, rate)
	for _, busy := range p.takeRefused() {
		assert.Check(t, busy.Reason != schedule.ReasonOverload, "refused for a load of %.2f", busy.Load)
	}
	assert.Equal(t, len(p.overloads), 0)
}

// Guards against an overload that a scheduler notices only after several half-lives, since its count
// begins empty.
func TestSuccessorNoticesOverloadSoon(t *testing.T) {
	p := newPool(t, 6)
	p.run(2*time.Second, map[uint32]float64{long: 1.5 * capacityOf(6, long)})
	p.takeRefused()
	p.run(time.Second, map[uint32]float64{long: 1.5 * capacityOf(6, long)})
	refused := p.takeRefused()
	assert.Assert(t, len(refused) > 0)
	for _, busy := range refused {
		assert.Check(t, busy.Load > 1.2, "load %.2f, want 1.5", busy.Load)
	}
}

// Guards against a successor that refuses or delays callers for places that it did not give: its waitlist is
// empty, and its callers' first places are the soonest.
func TestSuccessorBeginsWithEmptyWaitlist(t *testing.T) {
	first, successor := newPool(t, 6), newPool(t, 6)
	first.timeLimit, successor.timeLimit = 6*time.Second, 6*time.Second
	rate := map[uint32]float64{long: 1.5 * capacityOf(6, long)}
	first.run(20*time.Second, rate)
	successor.at = first.at
	successor.run(20*time.Second, rate)
	for _, p := range []*pool{first, successor} {
		var shortest time.Duration
		for n, busy := range p.refused {
			if n == 0 || busy.RetryIn(true) < shortest {
				shortest = busy.RetryIn(true)
			}
		}
		// The first place is 400 ms, in which 0.05 of the capacity serves a request, after the expected wait
		// of 465 ms.
		assert.Assert(t, shortest < 900*time.Millisecond, "the shortest Retry-After is %v", shortest)
	}
}

// Guards against callers that all get the same Retry-After, and against a Retry-After that grows with every
// refused caller.
func TestRefusedCallersGetPlaces(t *testing.T) {
	p := newPool(t, 6)
	p.timeLimit = 6 * time.Second
	p.scheduler.Waitlist = false
	p.run(20*time.Second, map[uint32]float64{long: 1.5 * capacityOf(6, long)})
	p.scheduler.Waitlist = true
	// Requests that are sent on to another zone get no place.
	for range 80 {
		r := request(p.at, long, "")
		r.Deadline, r.RejectLate = p.at.Add(p.timeLimit), true
		p.submitRequest(r)
	}
	p.takeRefused()
	different := map[time.Time]bool{}
	for range 50 {
		p.submit(long)
	}
	for _, busy := range p.takeRefused() {
		different[p.at.Add(busy.RetryIn(true))] = true
		assert.Check(t, busy.RetryIn(true) < 3*time.Second, "Retry-After %v", busy.RetryIn(true))
		assert.Check(t, busy.RetryIn(false) < 500*time.Millisecond, "a retry that is not recognized gets %v", busy.RetryIn(false))
	}
	// A caller with 6 s left retries after 2 s at the latest. Places are 400 ms apart, the last one is sent
	// to all others.
	assert.Assert(t, len(different) >= 3 && len(different) <= 5, "%d places", len(different))
	p.scheduler.Waitlist = false
	p.submit(long)
	for _, busy := range p.takeRefused() {
		assert.Check(t, busy.RetryIn(true) < 500*time.Millisecond, "without a waitlist, Retry-After is the expected wait, not %v", busy.RetryIn(true))
	}
}

// Guards against urgent requests that are refused for the load of less urgent ones, and less urgent ones
// that get no slot.
func TestLessUrgentLoadDoesNotRefuseUrgentRequests(t *testing.T) {
	p := newPool(t, 6)
	rate := map[uint32]float64{urgent: 0.4 * capacityOf(6, urgent), long: 1.5 * capacityOf(6, long)}
	p.run(10*time.Second, rate)
	p.takeRefused()
	p.run(5*time.Second, rate)
	assert.Equal(t, p.refusedKinds[urgent], 0)
	assert.Assert(t, p.refusedKinds[long] > 0)
	served := 0
	for ticket := range p.ends {
		if ticket.Request.Kind == long {
			served++
		}
	}
	assert.Assert(t, served >= 4, "%d of 12 slots serve less urgent requests", served)
	p.takeRefused()
	for range 60 {
		p.submit(urgent)
	}
	assert.Assert(t, len(p.refused) > 0)
	for _, busy := range p.refused {
		assert.Check(t, busy.Reason != schedule.ReasonOverload && busy.Load < 1, "%s at load %.2f", busy.Reason, busy.Load)
	}
}

// Guards against a less urgent kind that gets no slot while more urgent requests exceed the capacity, and
// against one that is then served more often than they are.
func TestLessUrgentKindDoesNotStarve(t *testing.T) {
	p := newPool(t, 6)
	rate := map[uint32]float64{urgent: 1.5 * capacityOf(6, urgent), long: 0.1 * capacityOf(6, long)}
	p.run(10*time.Second, rate)
	p.takeRefused()
	p.run(20*time.Second, rate)
	answered := func(kind uint32) float64 { return 1 - float64(p.refusedKinds[kind])/(20*rate[kind]) }
	assert.Assert(t, answered(long) > answered(urgent)/4, "%.2f of the less urgent requests answered, %.2f of the others", answered(long), answered(urgent))
	assert.Assert(t, answered(long) < answered(urgent), "%.2f of the less urgent requests answered, %.2f of the others", answered(long), answered(urgent))
}

// Guards against refusals, and a long queue, for longer than a burst of some seconds lasts.
func TestQueueOfBurstIsGoneSoon(t *testing.T) {
	p := newPool(t, 6)
	p.run(20*time.Second, map[uint32]float64{long: 0.7 * capacityOf(6, long)})
	p.run(4*time.Second, map[uint32]float64{long: 3 * capacityOf(6, long)})
	p.run(time.Second, map[uint32]float64{long: 0.7 * capacityOf(6, long)})
	p.takeRefused()
	p.run(10*time.Second, map[uint32]float64{long: 0.7 * capacityOf(6, long)})
	assert.Equal(t, len(p.takeRefused()), 0)
	assert.Equal(t, len(p.waiting), 0)
	assert.Assert(t, len(p.overloads) == 2 && !p.overloads[0].Over && p.overloads[1].Over, "%+v", p.overloads)
	assert.Assert(t, p.overloads[1].Refused > 0 && p.overloads[1].Duration < 15*time.Second, "%+v", p.overloads[1])
}

// Guards against an overload that never ends for operators, since its requests go to another scheduler or
// have ended.
func TestOverloadEndsWithoutRequests(t *testing.T) {
	p := newPool(t, 6)
	p.run(20*time.Second, map[uint32]float64{long: 1.5 * capacityOf(6, long)})
	assert.Equal(t, len(p.overloads), 1)
	p.scheduler.Prune(p.at.Add(time.Minute))
	assert.Assert(t, len(p.overloads) == 2 && p.overloads[1].Over, "%+v", p.overloads)
}

// Guards against a bound for requests that only one target can serve: with few slots a short queue leaves
// them idle.
func TestOwnersQueueIsNotBounded(t *testing.T) {
	with, without := newPool(t, 1), newPool(t, 1)
	without.scheduler.Admission, without.scheduler.Waitlist = nil, false
	for _, p := range []*pool{with, without} {
		for range 3000 {
			p.submitRequest(request(p.at, long, "t0"))
			p.step()
		}
	}
	assert.Equal(t, len(with.refused), len(without.refused))
	for n, busy := range with.refused {
		assert.Equal(t, *busy, *without.refused[n])
	}
}

// Guards against late requests that fill the queue of a burst, each of which takes a slot from one that can be
// in time.
func TestFewLateRequestsWait(t *testing.T) {
	p := newPool(t, 6)
	p.run(10*time.Second, map[uint32]float64{long: 0.5 * capacityOf(6, long)})
	for range 100 {
		p.submit(long)
	}
	late := 0
	for _, ticket := range p.waiting {
		if ticket.WaitUntil.After(ticket.Request.Objective) {
			late++
		}
	}
	assert.Equal(t, late, 12)
	refused := p.takeRefused()
	assert.Assert(t, len(refused) > 0)
	for _, busy := range refused {
		assert.Equal(t, busy.Reason, schedule.ReasonLateQueue)
	}
}

// Guards against a load that counts a request again with each of its attempts: targets that shed would look
// like an overload.
func TestFurtherAttemptsAreNoLoad(t *testing.T) {
	p := newPool(t, 6)
	p.run(10*time.Second, map[uint32]float64{long: 0.6 * capacityOf(6, long)})
	for range 300 {
		r := request(p.at, long, "")
		r.Excluded = map[string]bool{"t0": true}
		p.submitRequest(r)
	}
	refused := p.takeRefused()
	assert.Assert(t, len(refused) > 0)
	for _, busy := range refused {
		assert.Check(t, busy.Load < 0.9, "load %.2f", busy.Load)
	}
}

// Guards against admission that overrides the rates that targets state.
func TestStatedRatesTakePrecedence(t *testing.T) {
	with, without := newPool(t, 2), newPool(t, 2)
	without.scheduler.Admission, without.scheduler.Waitlist = nil, false
	for _, p := range []*pool{with, without} {
		p.scheduler.RateLimit = func(roster.Incarnation) (float64, bool) { return 10, true }
		p.run(10*time.Second, map[uint32]float64{urgent: 40})
	}
	assert.Assert(t, len(with.refused) > 0)
	assert.Equal(t, len(with.refused), len(without.refused))
	for n, busy := range with.refused {
		assert.Equal(t, *busy, *without.refused[n])
	}
}
