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
	// lookEvery is how often waiting requests are looked at without any slot being
	// given back.
	lookEvery = 25 * time.Millisecond
	// mostSends bounds the targets that one attempt is sent to.
	mostSends = 3
	// returnShare of the time that a caller has left is the longest that it waits
	// before it comes back.
	returnShare = 3
	// soonestReturn is the least that callers are told.
	soonestReturn = 50 * time.Millisecond
	// connect is how long one that repeats at once needs to come back.
	connect = 5 * time.Millisecond
)

// play is one run of a load against the product's schedule.
type play struct {
	events
	schedule schedule.Scheduler
	random   *rand.Rand
	servers  []*server
	queues   []*targetQueue
	names    map[string]int
	waiting  map[*schedule.Ticket]*attempt
	// order has those that wait, the oldest first; some have left.
	order   []*schedule.Ticket
	looking bool
	report  *Report
}

// targetQueue is what a target works on, and what waits there.
type targetQueue struct {
	busy    int
	waiting []func()
}

// attempt is one of a caller's.
type attempt struct {
	r        *request
	number   int
	at       time.Duration
	excluded map[string]bool
	queued   time.Duration
	ticket   *schedule.Ticket
}

// epoch is the moment at which plays begin.
var epoch = time.Unix(1_000_000, 0)

// Play plays a load at a level against the product's schedule.
func (l *Load) Play(level float64, seed uint64) *Report {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 23)), servers: l.servers(), names: map[string]int{},
		waiting: map[*schedule.Ticket]*attempt{}, report: l.newReport("schedule", level),
	}
	list := make([]*roster.Target, 0, len(p.servers))
	for n, s := range p.servers {
		id := fmt.Sprintf("t%03d", n)
		p.names[id] = n
		list = append(list, &roster.Target{ID: id, Service: "s", Zone: "z", Slots: s.Slots, Started: 1})
		p.queues = append(p.queues, &targetQueue{})
	}
	known := &roster.Roster{}
	known.Replace(epoch.Add(-time.Hour), list, 1)
	p.schedule.Roster = known
	for _, r := range l.requests(level, seed) {
		p.after(r.at, func() {
			p.report.came(r)
			p.come(&attempt{r: r, at: r.at})
		})
	}
	p.run()
	return p.report
}

func (p *play) time() time.Time { return epoch.Add(p.now) }

// come is a caller's attempt: its instance asks whoever decides.
func (p *play) come(a *attempt) { p.after(a.r.transit, func() { p.enter(a) }) }

func (p *play) enter(a *attempt) {
	r := schedule.Request{
		Service: "s", Kind: a.r.number, Zone: "z", Excluded: a.excluded, Priority: a.r.kind.Priority,
		Objective:   epoch.Add(a.at + millis(a.r.kind.Objective)),
		Deadline:    epoch.Add(a.r.at + millis(a.r.kind.Deadline)),
		OneWayDelay: a.r.transit,
	}
	if a.r.target >= 0 {
		r.Target = fmt.Sprintf("t%03d", a.r.target)
	}
	t, err := p.schedule.Submit(p.time(), r)
	if err != nil {
		p.refuse(a, err)
		return
	}
	a.ticket, a.queued = t, p.now
	if t.Target != nil {
		p.send(a)
		return
	}
	p.waiting[t] = a
	p.order = append(p.order, t)
	p.expireAt(t)
	p.look()
}

func (p *play) expireAt(t *schedule.Ticket) {
	p.after(t.WaitUntil.Sub(p.time()), func() {
		a := p.waiting[t]
		if a == nil {
			return
		}
		if err := p.schedule.Expire(p.time(), t); err != nil {
			delete(p.waiting, t)
			p.refuse(a, err)
			return
		}
		p.expireAt(t)
	})
}

// look admits waiting requests from time to time, as long as there are any.
func (p *play) look() {
	if p.looking {
		return
	}
	p.looking = true
	p.after(lookEvery, func() {
		p.looking = false
		seen := map[string]bool{}
		p.order = slices.DeleteFunc(p.order, func(t *schedule.Ticket) bool { return p.waiting[t] == nil })
		for _, t := range slices.Clone(p.order) {
			if !seen[t.Request.Target] {
				seen[t.Request.Target] = true
				p.admitted(p.schedule.Admit(p.time(), t))
			}
		}
		if len(p.waiting) > 0 {
			p.look()
		}
	})
}

func (p *play) admitted(placed []*schedule.Ticket) {
	for _, t := range placed {
		a := p.waiting[t]
		delete(p.waiting, t)
		p.send(a)
	}
}

// send has the request go by its instance to the target.
func (p *play) send(a *attempt) {
	t := a.ticket
	p.report.waited(a.r, p.now-a.queued)
	n := p.names[t.Target.ID]
	p.after(2*a.r.transit, func() {
		s, q := p.servers[n], p.queues[n]
		if p.random.Float64() < s.ShedShare {
			p.shed(a, t)
			return
		}
		if q.busy < s.Slots {
			p.work(a, n)
			return
		}
		q.waiting = append(q.waiting, func() { p.work(a, n) })
	})
}

func (p *play) work(a *attempt, n int) {
	s, q := p.servers[n], p.queues[n]
	q.busy++
	p.after(time.Duration(float64(a.r.work)*s.slowness(p.now)), func() {
		q.busy--
		if len(q.waiting) > 0 {
			next := q.waiting[0]
			q.waiting = q.waiting[1:]
			next()
		}
		p.report.answered(a.r, p.now+a.r.transit)
		p.after(2*a.r.transit, func() {
			p.admitted(p.schedule.Release(p.time(), a.ticket, schedule.Answered))
		})
	})
}

// shed is a target's refusal; the request goes to another one.
func (p *play) shed(a *attempt, t *schedule.Ticket) {
	p.after(2*a.r.transit, func() {
		p.admitted(p.schedule.Release(p.time(), t, schedule.Shed))
		excluded := map[string]bool{t.Target.ID: true}
		for id := range a.excluded {
			excluded[id] = true
		}
		if len(excluded) >= mostSends {
			p.refuse(a, nil)
			return
		}
		p.enter(&attempt{r: a.r, number: a.number, at: a.at, excluded: excluded})
	})
}

// refuse tells the caller, which comes back if it may.
func (p *play) refuse(a *attempt, why error) {
	var busy *schedule.BusyError
	wait := soonestReturn
	if errors.As(why, &busy) {
		wait = max(wait, busy.Wait)
	}
	told := p.now + a.r.transit
	left := a.r.at + millis(a.r.kind.Deadline) - told
	if a.r.atOnce {
		wait = connect
	}
	wait = min(wait, left/returnShare)
	if a.number == a.r.kind.Retries || left <= 0 {
		p.report.refused(a.r)
		return
	}
	p.after(told+wait-p.now, func() { p.come(&attempt{r: a.r, number: a.number + 1, at: p.now}) })
}
