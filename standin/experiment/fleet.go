package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/basilcross/timelimit"
	"basilcross.example/standin/eventloop"
)

const (
	// delayInZone, delayBetweenZones and delayBetweenRegions are one-way delays.
	delayInZone         = 300 * time.Microsecond
	delayBetweenZones   = 1400 * time.Microsecond
	delayBetweenRegions = 8 * time.Millisecond
	// zoneFullTTL is how long an instance does not ask another zone that refused a request of the kind.
	zoneFullTTL = 60 * time.Millisecond
	// instanceMargin is what an instance subtracts from the time that a caller has left.
	instanceMargin = 12 * time.Millisecond
	// atOnce is the longest time to a refusal that counts as sent at once.
	atOnce = 50 * time.Millisecond
)

// Fleet is a load of a service without keys, whose targets and callers are spread evenly over zones. Each zone
// has one scheduler. A request may be served in the region of the instance that receives it.
type Fleet struct {
	Load
	// Instances is the number of instances of all zones.
	Instances int `json:"instances"`
	// Regions has the region of each zone.
	Regions []string `json:"regionOfZone"`

	// retriesUnknown makes instances take all requests as new.
	retriesUnknown bool
}

// WithoutFeatures returns the load of a deployment that has switched on no feature.
func (f *Fleet) WithoutFeatures() *Fleet {
	without := *f
	without.Admission, without.Waitlist = false, false
	return &without
}

// ReadFleet reads and validates a fleet's load from a file.
func ReadFleet(file string) (*Fleet, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	f := &Fleet{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, fmt.Errorf("fleet file %s: parse load: %w", file, err)
	}
	if err := f.Validate(); err != nil {
		return nil, fmt.Errorf("fleet file %s: %w", file, err)
	}
	return f, nil
}

// Validate returns all invalid fields, joined, as a *FieldError each.
func (f *Fleet) Validate() error {
	errs := []error{f.Load.Validate()}
	if len(f.Regions) == 0 {
		errs = append(errs, &FieldError{Field: "regionOfZone", Want: "at least one zone"})
	}
	if f.Instances < len(f.Regions) {
		errs = append(errs, &FieldError{Field: "instances", Want: "at least one for each zone"})
	}
	if f.Sharded {
		errs = append(errs, &FieldError{Field: "divided", Want: "a service without keys"})
	}
	return errors.Join(errs...)
}

// FleetReport is the report of a fleet's load.
type FleetReport struct {
	Report
	// Refusals counts the refusals that were sent to callers, RefusedAtOnce those within 50 ms.
	Refusals, RefusedAtOnce int
	// Retries counts the attempts after a caller's first, Recognized those that were taken as retries, and
	// Mistaken the first attempts that were.
	Retries, Recognized, Mistaken int
}

type fleetRun struct {
	eventloop.Loop
	fleet     *Fleet
	random    *rand.Rand
	instances []*simInstance
	zones     []*zonePool
	report    *FleetReport
}

// simInstance is an instance that receives requests.
type simInstance struct {
	zone   int
	limits *timelimit.Learner
	// fullUntil is until when a zone is not asked, by zone and kind.
	fullUntil map[[2]int]time.Duration
}

// zonePool is a zone's targets and their scheduler.
type zonePool struct {
	run       *fleetRun
	name      string
	scheduler schedule.Scheduler
	targets   map[string]*poolTarget
	waiting   map[*schedule.Ticket]*fleetAttempt
	// tickets has the waiting tickets, oldest first; some are no longer waiting.
	tickets  []*schedule.Ticket
	admitDue bool
}

type poolTarget struct {
	*simTarget
	targetQueue
}

// fleetAttempt is an attempt of a caller at an instance.
type fleetAttempt struct {
	req      *request
	retries  int
	callerIn int
	at       *simInstance
	received time.Duration
	request  schedule.Request
	// zones are those to ask, nearest first.
	zones []int
	// delay is that of a message to the zone that is asked.
	delay time.Duration
	// done is called with a refusal.
	done func(error)
}

// Simulate runs the load at a level. With the feature waitlist, each instance recognizes caller retries.
func (f *Fleet) Simulate(level float64, seed uint64) *FleetReport {
	strategy := "fleet"
	if f.Admission || f.Waitlist {
		strategy = "features"
	}
	run := &fleetRun{fleet: f, random: rand.New(rand.NewPCG(seed, 29)), report: &FleetReport{Report: *f.newReport(strategy, level)}}
	for zone := range f.Regions {
		run.zones = append(run.zones, &zonePool{
			run: run, name: fmt.Sprintf("z%d", zone), targets: map[string]*poolTarget{}, waiting: map[*schedule.Ticket]*fleetAttempt{},
		})
	}
	lists := make([][]*roster.Target, len(f.Regions))
	for n, t := range f.simTargets() {
		zone := n % len(f.Regions)
		target := &roster.Target{ID: fmt.Sprintf("t%04d", n), Service: "s", Zone: run.zones[zone].name, Slots: t.Slots, Started: 1}
		lists[zone] = append(lists[zone], target)
		run.zones[zone].targets[target.ID] = &poolTarget{simTarget: t}
	}
	for zone, p := range run.zones {
		p.scheduler.Roster, p.scheduler.Waitlist = &roster.Roster{}, f.Waitlist
		if f.Admission {
			p.scheduler.Admission = &schedule.Admission{}
		}
		p.scheduler.Roster.Replace(startTime.Add(-time.Hour), lists[zone], 1)
	}
	for n := range f.Instances {
		i := &simInstance{zone: n % len(f.Regions), fullUntil: map[[2]int]time.Duration{}}
		if f.Waitlist && !f.retriesUnknown {
			i.limits = &timelimit.Learner{}
		}
		run.instances = append(run.instances, i)
	}
	for _, r := range f.requests(level, seed) {
		run.After(r.arrival, func() {
			run.report.recordArrival(r)
			first := run.instances[run.random.IntN(len(run.instances))]
			run.call(&fleetAttempt{req: r, callerIn: first.zone, at: first})
		})
	}
	run.Run()
	return run.report
}

func (f *fleetRun) delay(from, to int) time.Duration {
	switch {
	case from == to:
		return delayInZone
	case f.fleet.Regions[from] == f.fleet.Regions[to]:
		return delayBetweenZones
	}
	return delayBetweenRegions
}

// call sends a caller's attempt to its instance.
func (f *fleetRun) call(a *fleetAttempt) {
	left := a.req.arrival + a.req.deadline - f.Now
	f.After(f.delay(a.callerIn, a.at.zone), func() { f.receive(a, left.Truncate(time.Millisecond)) })
}

// receive begins an attempt at its instance.
func (f *fleetRun) receive(a *fleetAttempt, left time.Duration) {
	a.received = f.Now
	var age time.Duration
	if a.at.limits != nil {
		age = a.at.limits.Age(startTime.Add(f.Now), a.req.kind.Name, left)
	}
	f.countRecognized(a, age)
	a.request = schedule.Request{
		Service: "s", Kind: a.req.kindNumber, Priority: a.req.kind.Priority,
		Objective: startTime.Add(f.Now + millis(a.req.kind.Objective) - age),
		Deadline:  startTime.Add(f.Now + left - instanceMargin),
	}
	a.zones = []int{a.at.zone}
	for zone, region := range f.fleet.Regions {
		if zone != a.at.zone && region == f.fleet.Regions[a.at.zone] {
			a.zones = append(a.zones, zone)
		}
	}
	f.ask(a, 0)
}

func (f *fleetRun) countRecognized(a *fleetAttempt, age time.Duration) {
	switch {
	case a.retries > 0 && age > 0:
		f.report.Recognized++
	case age > 0:
		f.report.Mistaken++
	}
	if a.retries > 0 {
		f.report.Retries++
	}
}

// ask asks the zones of an attempt in turn, as the broker does, and at last its own again, where it may wait
// past its objective.
func (f *fleetRun) ask(a *fleetAttempt, n int) {
	for n < len(a.zones) && n > 0 && f.Now < a.at.fullUntil[[2]int{a.zones[n], int(a.req.kindNumber)}] {
		n++
	}
	if n == len(a.zones) {
		f.askZone(a, a.zones[0], false, func(err error) { f.refuse(a, err) })
		return
	}
	f.askZone(a, a.zones[n], true, func(error) {
		a.at.fullUntil[[2]int{a.zones[n], int(a.req.kindNumber)}] = f.Now + zoneFullTTL
		f.ask(a, n+1)
	})
}

// askZone requests a slot of a zone's scheduler. done is called at the instance if it refuses.
func (f *fleetRun) askZone(a *fleetAttempt, zone int, rejectLate bool, done func(error)) {
	p := f.zones[zone]
	a.delay = f.delay(a.at.zone, zone)
	a.request.Zone, a.request.RejectLate, a.request.OneWayDelay = p.name, rejectLate, a.delay
	a.done = func(err error) { f.After(a.delay, func() { done(err) }) }
	f.After(a.delay, func() { p.submit(a) })
}

// refuse sends a refusal to the caller, which retries if it has retries and time left.
func (f *fleetRun) refuse(a *fleetAttempt, err error) {
	if a.at.limits != nil {
		a.at.limits.Refused(startTime.Add(f.Now), a.req.kind.Name)
	}
	f.report.Refusals++
	if f.Now-a.received <= atOnce {
		f.report.RefusedAtOnce++
	}
	var busy *schedule.BusyError
	wait := minRetryAfter
	if errors.As(err, &busy) {
		wait = max(wait, busy.RetryIn(a.at.limits != nil && a.at.limits.Recognizes(a.req.kind.Name)))
	}
	f.After(f.delay(a.at.zone, a.callerIn), func() {
		left := a.req.arrival + a.req.deadline - f.Now
		if a.retries == a.req.kind.MaxRetries || left <= 0 {
			f.report.recordRefusal(a.req)
			return
		}
		if a.req.retryImmediately {
			wait = reconnectDelay
		}
		f.After(min(wait, left/retryWaitDivisor), func() {
			f.call(&fleetAttempt{req: a.req, retries: a.retries + 1, callerIn: a.callerIn, at: f.instances[f.random.IntN(len(f.instances))]})
		})
	})
}

func (p *zonePool) clock() time.Time { return startTime.Add(p.run.Now) }

func (p *zonePool) submit(a *fleetAttempt) {
	t, err := p.scheduler.Submit(p.clock(), a.request)
	switch {
	case err != nil:
		a.done(err)
	case t.Target != nil:
		p.send(a, t)
	default:
		p.waiting[t] = a
		p.tickets = append(p.tickets, t)
		p.scheduleExpiry(t)
		p.scheduleAdmit()
	}
}

func (p *zonePool) scheduleExpiry(t *schedule.Ticket) {
	p.run.After(t.WaitUntil.Sub(p.clock()), func() {
		a := p.waiting[t]
		if a == nil {
			return
		}
		if err := p.scheduler.Expire(p.clock(), t); err != nil {
			delete(p.waiting, t)
			a.done(err)
			return
		}
		p.scheduleExpiry(t)
	})
}

// scheduleAdmit admits waiting requests every admitInterval while there are any.
func (p *zonePool) scheduleAdmit() {
	if p.admitDue {
		return
	}
	p.admitDue = true
	p.run.After(admitInterval, func() {
		p.admitDue = false
		p.tickets = slices.DeleteFunc(p.tickets, func(t *schedule.Ticket) bool { return p.waiting[t] == nil })
		if len(p.tickets) == 0 {
			return
		}
		// All wait in one queue.
		p.sendAdmitted(p.scheduler.Admit(p.clock(), p.tickets[0]))
		p.scheduleAdmit()
	})
}

func (p *zonePool) sendAdmitted(admitted []*schedule.Ticket) {
	for _, t := range admitted {
		a := p.waiting[t]
		delete(p.waiting, t)
		p.send(a, t)
	}
}

// send sends a request with a slot to its target: the reply of the scheduler and the request take one delay each.
func (p *zonePool) send(a *fleetAttempt, t *schedule.Ticket) {
	p.run.report.recordQueueTime(a.req, p.run.Now-a.received)
	target := p.targets[t.Target.ID]
	p.run.After(2*a.delay, func() {
		if target.busy < target.Slots {
			p.execute(a, t, target)
			return
		}
		target.waiting = append(target.waiting, func() { p.execute(a, t, target) })
	})
}

func (p *zonePool) execute(a *fleetAttempt, t *schedule.Ticket, target *poolTarget) {
	target.busy++
	p.run.After(time.Duration(float64(a.req.work)*target.slownessAt(p.run.Now)), func() {
		target.busy--
		if len(target.waiting) > 0 {
			next := target.waiting[0]
			target.waiting = slices.Delete(target.waiting, 0, 1)
			next()
		}
		p.run.report.recordResponse(a.req, p.run.Now+a.delay+p.run.delay(a.at.zone, a.callerIn))
		p.run.After(2*a.delay, func() { p.sendAdmitted(p.scheduler.Release(p.clock(), t, schedule.Answered)) })
	})
}
