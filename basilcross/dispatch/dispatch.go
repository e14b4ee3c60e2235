// Package dispatch decides which target a request goes to, and which request
// goes next when all are busy. It is one instance's view: what it has in
// flight, how fast targets answer, and which of them shed.
package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// startLatency is taken for a target that nothing is known of.
	startLatency = 0.2
	// latencyShare is the weight of the newest answer in a target's latency.
	latencyShare = 0.15
	// nearShare is the part of the time left to the objective within which an
	// answer from near by is good enough: the work varies around its mean.
	// Bytes between zones and regions are paid, so a farther target is used
	// only if the near ones are too late.
	nearShare = 0.6
	// regionCost and zoneCost are the seconds that a target in another zone of
	// the region, or in another region, must gain where all are too late.
	zoneCost   = 0.05
	regionCost = 0.3
	// shedPause keeps requests away from a target that has just shed one.
	shedPause = 60 * time.Millisecond
	// shedCut is what a shed request takes off a target's limit; limitRise is
	// what an answer adds while the limit is used up.
	shedCut   = 0.7
	limitRise = 0.1
	// overSlots is how far the limit may rise above the target's slots.
	overSlots = 1.0
	// failPause keeps requests away from a target that gave no answer.
	failPause    = 250 * time.Millisecond
	maxFailPause = 4 * time.Second
)

// Result is how a request ended at its target.
type Result int

// The results.
const (
	// Answered: the target gave its answer.
	Answered Result = iota
	// Shed: the target had no room.
	Shed
	// Failed: no answer, or none that can be used.
	Failed
	// Abandoned: the caller went away, or its time was over; this tells nothing.
	Abandoned
)

// Ask is a request for a target.
type Ask struct {
	Service string
	// Target is the only one that will do; empty if any of the service will.
	Target string
	// Avoid are targets that this request has been sent to.
	Avoid    map[string]bool
	Priority int
	// Soon is when the answer should be there, Latest when the request must be
	// on its way to be of any use.
	Soon   time.Time
	Latest time.Time
}

// BusyError says that the request cannot be sent in time, and when room is
// expected.
type BusyError struct {
	Service string
	Wait    time.Duration
	Queued  int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("dispatch: no room at %s: %d wait, about %v", e.Service, e.Queued, e.Wait.Round(time.Millisecond))
}

// NoTargetError says that no target of the service is there.
type NoTargetError struct {
	Service string
}

func (e *NoTargetError) Error() string { return "dispatch: no target of " + e.Service }

// Dispatcher shares out targets. Zone and Region are this instance's; Roster
// must be set.
type Dispatcher struct {
	Zone    string
	Region  string
	Regions map[string]string
	Roster  *roster.Roster

	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	name    string
	states  map[roster.Life]*state
	waiters []*waiter
	latency float64
	order   uint64
}

// state is what is known of a target.
type state struct {
	inFlight int
	limit    float64
	latency  float64
	pause    time.Time
	failures int
}

type waiter struct {
	ask   Ask
	order uint64
	ready chan *Place
}

// Place is a request's right to one slot. Release must be called once.
type Place struct {
	Target *roster.Target

	d     *Dispatcher
	s     *service
	st    *state
	began time.Time
}

// Acquire returns a place, or waits for one. The error is a *BusyError, a
// *NoTargetError or the context's.
func (d *Dispatcher) Acquire(ctx context.Context, a Ask) (*Place, error) {
	now := time.Now()
	d.mu.Lock()
	s := d.service(a.Service)
	p, err := d.place(now, s, &a)
	if p != nil || err != nil {
		d.mu.Unlock()
		return p, err
	}
	if wait := s.expected(d, now, &a); now.Add(wait).After(a.Latest) {
		queued := len(s.waiters)
		d.mu.Unlock()
		return nil, &BusyError{Service: a.Service, Wait: wait, Queued: queued}
	}
	s.order++
	w := &waiter{ask: a, order: s.order, ready: make(chan *Place, 1)}
	s.waiters = append(s.waiters, w)
	d.mu.Unlock()
	return d.wait(ctx, s, w)
}

func (d *Dispatcher) wait(ctx context.Context, s *service, w *waiter) (*Place, error) {
	timer := time.NewTimer(time.Until(w.ask.Latest))
	defer timer.Stop()
	// Targets come and pauses end without anybody releasing a place.
	again := time.NewTicker(shedPause)
	defer again.Stop()
	for {
		select {
		case p := <-w.ready:
			return p, nil
		case <-again.C:
			d.mu.Lock()
			d.admit(time.Now(), s)
			d.mu.Unlock()
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case p := <-w.ready:
		return p, nil
	default:
	}
	s.drop(w)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return nil, &BusyError{Service: s.name, Wait: s.expected(d, time.Now(), &w.ask), Queued: len(s.waiters)}
}

func (s *service) drop(w *waiter) {
	for i := range s.waiters {
		if s.waiters[i] == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
}

func (d *Dispatcher) service(name string) *service {
	if d.services == nil {
		d.services = map[string]*service{}
	}
	s := d.services[name]
	if s == nil {
		s = &service{name: name, states: map[roster.Life]*state{}, latency: startLatency}
		d.services[name] = s
	}
	return s
}

func (s *service) state(t *roster.Target) *state {
	st := s.states[t.Life()]
	if st == nil {
		st = &state{limit: float64(t.Slots)}
		s.states[t.Life()] = st
	}
	return st
}

// place takes the best target with room, or returns nil.
func (d *Dispatcher) place(now time.Time, s *service, a *Ask) (*Place, error) {
	t, st, any := d.best(now, s, a)
	if !any {
		return nil, &NoTargetError{Service: a.Service}
	}
	if t == nil {
		return nil, nil
	}
	st.inFlight++
	return &Place{Target: t, d: d, s: s, st: st, began: now}, nil
}

// The tiers of targets, by what their bytes cost.
const (
	sameZone = iota
	sameRegion
	elsewhere
	tiers
)

func (d *Dispatcher) tier(t *roster.Target) int {
	switch {
	case t.Zone == d.Zone:
		return sameZone
	case d.Regions[t.Zone] == d.Region:
		return sameRegion
	default:
		return elsewhere
	}
}

// choice is the best target of a tier.
type choice struct {
	target *roster.Target
	state  *state
	// seconds until its answer is expected.
	seconds float64
	// targets that would do, and their limits together.
	targets int
	slots   float64
}

// best returns the target with room to send to now, and whether there is any
// target that would do. It is nil also if waiting for a near one is better.
func (d *Dispatcher) best(now time.Time, s *service, a *Ask) (best *roster.Target, bestState *state, any bool) {
	var choices [tiers]choice
	for _, t := range d.Roster.Load().Services[s.name] {
		if a.Target != "" && t.ID != a.Target || a.Target == "" && t.Draining {
			continue
		}
		any = true
		st := s.state(t)
		c := &choices[d.tier(t)]
		if a.Avoid[t.ID] && a.Target == "" || now.Before(st.pause) {
			continue
		}
		c.targets++
		c.slots += max(1, st.limit)
		if float64(st.inFlight) >= max(1, st.limit) {
			continue
		}
		if seconds := s.seconds(now, t, st); c.target == nil || seconds < c.seconds || seconds == c.seconds && t.ID < c.target.ID {
			c.target, c.state, c.seconds = t, st, seconds
		}
	}
	t, st := s.choose(now, a, &choices)
	return t, st, any
}

// choose takes the nearest tier that answers in good time, be it after a wait;
// if none does, the one that answers first.
func (s *service) choose(now time.Time, a *Ask, choices *[tiers]choice) (*roster.Target, *state) {
	patience := a.Soon.Sub(now).Seconds() * nearShare
	cost := [tiers]float64{0, zoneCost, regionCost}
	var first *choice
	least := 0.0
	for i := range choices {
		c := &choices[i]
		if c.targets == 0 {
			continue
		}
		seconds := c.seconds
		if c.target == nil {
			seconds = s.latency + s.latency*float64(len(s.waiters)+1)/c.slots
		}
		if seconds <= patience {
			return c.target, c.state
		}
		if c.target != nil && (first == nil || seconds+cost[i] < least) {
			first, least = c, seconds+cost[i]
		}
	}
	if first == nil {
		return nil, nil
	}
	return first.target, first.state
}

// seconds is the expected time of an answer.
func (s *service) seconds(now time.Time, t *roster.Target, st *state) float64 {
	latency := st.latency
	if latency == 0 {
		latency = s.latency
	}
	if now.Sub(t.Seen) < t.Warming {
		latency *= 2
	}
	return latency * (1 + float64(st.inFlight)/float64(t.Slots))
}

// expected is the wait for a place behind those that wait already.
func (s *service) expected(d *Dispatcher, now time.Time, a *Ask) time.Duration {
	slots, ahead := 0.0, 1
	for _, t := range d.Roster.Load().Services[s.name] {
		if a.Target != "" && t.ID != a.Target || a.Target == "" && t.Draining {
			continue
		}
		if st := s.state(t); !now.Before(st.pause) {
			slots += max(1, st.limit)
		}
	}
	for _, w := range s.waiters {
		if w.ask.Target == a.Target && w.ask.Priority <= a.Priority {
			ahead++
		}
	}
	if slots == 0 {
		slots = 1
	}
	return time.Duration(float64(ahead) / slots * s.latency * float64(time.Second))
}

// admit gives places to those that wait, the most urgent and oldest first.
func (d *Dispatcher) admit(now time.Time, s *service) {
	for {
		var next *waiter
		var place *Place
		for _, w := range s.waiters {
			if next != nil && !w.before(next) {
				continue
			}
			t, st, _ := d.best(now, s, &w.ask)
			if t != nil {
				next, place = w, &Place{Target: t, d: d, s: s, st: st, began: now}
			}
		}
		if next == nil {
			return
		}
		place.st.inFlight++
		s.drop(next)
		next.ready <- place
	}
}

func (w *waiter) before(o *waiter) bool {
	if w.ask.Priority != o.ask.Priority {
		return w.ask.Priority < o.ask.Priority
	}
	return w.order < o.order
}

// Release gives the place back.
func (p *Place) Release(r Result) {
	now := time.Now()
	d, s, st := p.d, p.s, p.st
	d.mu.Lock()
	defer d.mu.Unlock()
	full := float64(st.inFlight)+1 > st.limit
	st.inFlight--
	switch r {
	case Answered:
		took := now.Sub(p.began).Seconds()
		if st.latency == 0 {
			st.latency = took
		}
		st.latency += latencyShare * (took - st.latency)
		s.latency += latencyShare / 4 * (took - s.latency)
		st.failures = 0
		if full {
			st.limit = min(st.limit+limitRise, float64(p.Target.Slots)+overSlots)
		}
	case Shed:
		st.limit = max(1, st.limit*shedCut)
		st.pause = now.Add(shedPause)
	case Failed:
		pause := min(failPause<<min(st.failures, 4), maxFailPause)
		st.failures++
		if st.failures > 1 {
			st.pause = now.Add(pause)
		}
	case Abandoned:
	}
	d.admit(now, s)
}

// Forget drops what is known of lifetimes that are over.
func (d *Dispatcher) Forget() {
	view := d.Roster.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		for life, st := range s.states {
			t := view.Targets[life.ID]
			if st.inFlight == 0 && (t == nil || t.Born != life.Born) {
				delete(s.states, life)
			}
		}
	}
}

// Latency returns the service's usual time of an answer.
func (d *Dispatcher) Latency(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.service(name).latency * float64(time.Second))
}
