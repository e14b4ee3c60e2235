// Package dispatch decides which target a request goes to, which request goes
// next when all are busy, and which is refused at once because it cannot be
// answered in time. One instance of a zone decides for a group of targets, so
// that the few slots of a target are shared out by somebody who knows them.
package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// startLatency is taken for a service that nothing is known of.
	startLatency = 0.2
	// latencyShare is the weight of the newest answer in a latency.
	latencyShare = 0.1
	// overSlots is how many requests more than its slots a target is sent, so
	// that the next one is there when one ends. Further ones wait here, where
	// their order can still change.
	overSlots = 1.0
	// coldFactor is how much slower a target is that warms up.
	coldFactor = 2.0
	// safety is the share of a usual answer's time that is kept free before
	// the objective: work varies around its mean.
	safety = 1.4
	// lateShare of the time left is how long a request waits that cannot make
	// its objective any more. It goes behind all that can.
	lateShare = 0.4
	// shedPause keeps requests away from a target that has just shed one though
	// its slots were full; shedCut is what that takes off its limit, limitRise
	// what an answer adds. A target that sheds with slots free does so at
	// random: less traffic would not help, so only its cost rises with the
	// share that it sheds, known from about ten requests.
	shedPause = 50 * time.Millisecond
	shedShare = 0.1
	maxShed   = 0.9
	shedCut   = 0.8
	limitRise = 0.05
	// failPause keeps requests away from a target that gave no answer twice in
	// a row; it doubles up to maxFailPause.
	failPause    = 200 * time.Millisecond
	maxFailPause = 3200 * time.Millisecond
	// recheck is how often waiting requests are looked at without any being
	// released: pauses end and targets come by themselves.
	recheck = 50 * time.Millisecond
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

// Ask is a request for a place at a target.
type Ask struct {
	Service string
	// Target is the only one that will do; empty if any of the zone's will.
	Target string
	Zone   string
	// Avoid are targets that this request has been sent to.
	Avoid    map[string]bool
	Priority int
	// Soon is when the answer should be there, Latest when it is of no use.
	Soon   time.Time
	Latest time.Time
	// OnTime asks for a refusal if the answer would come after Soon.
	OnTime bool
}

// BusyError says that the request cannot be answered in time, and when room is
// expected.
type BusyError struct {
	Service string
	Wait    time.Duration
	Queued  int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("dispatch: no room at %s: %d wait, about %v", e.Service, e.Queued, e.Wait.Round(time.Millisecond))
}

// NoTargetError says that there is no target that would do.
type NoTargetError struct {
	Service string
}

func (e *NoTargetError) Error() string { return "dispatch: no target of " + e.Service }

// Dispatcher shares out targets. Roster must be set.
type Dispatcher struct {
	Roster *roster.Roster

	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	name   string
	states map[roster.Life]*state
	groups map[groupKey]*group
	// latency is the usual time of an answer without waiting at the target.
	latency float64
}

// groupKey names a target, or a zone's targets.
type groupKey struct{ target, zone string }

// group is the requests that wait for the same targets.
type group struct {
	waiters []*waiter
	order   uint64
}

// state is what is known of a target.
type state struct {
	inFlight int
	limit    float64
	latency  float64
	pause    time.Time
	failures int
	// shedding is the share of requests that were shed with slots free.
	shedding float64
}

type waiter struct {
	ask   Ask
	order uint64
	until time.Time
	ready chan *Place
}

// Place is a request's right to a target's slot. Release must be called once.
type Place struct {
	Target *roster.Target

	d      *Dispatcher
	s      *service
	g      *group
	st     *state
	began  time.Time
	direct bool
}

// Acquire returns a place, or waits for one. The error is a *BusyError, a
// *NoTargetError or the context's.
func (d *Dispatcher) Acquire(ctx context.Context, a Ask) (*Place, error) {
	now := time.Now()
	d.mu.Lock()
	s := d.service(a.Service)
	g := s.group(&a)
	p, room := d.place(now, s, g, &a)
	if p != nil {
		d.mu.Unlock()
		return p, nil
	}
	w, err := s.enter(now, g, &a, room)
	d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return d.wait(ctx, s, g, w)
}

// enter decides whether a request may wait, and until when.
func (s *service) enter(now time.Time, g *group, a *Ask, r room) (*waiter, error) {
	if r.targets == 0 {
		return nil, &NoTargetError{Service: a.Service}
	}
	usual := time.Duration(r.latency * float64(time.Second))
	wait := g.expected(a, r)
	until := a.Soon.Add(-time.Duration(float64(usual) * safety))
	if now.Add(wait).After(until) {
		// It will be late, if it is answered at all.
		until = now.Add(time.Duration(float64(a.Latest.Sub(now)-usual) * lateShare))
		if a.OnTime || now.Add(wait).After(until) {
			return nil, &BusyError{Service: a.Service, Wait: wait, Queued: len(g.waiters)}
		}
	}
	g.order++
	w := &waiter{ask: *a, order: g.order, until: until, ready: make(chan *Place, 1)}
	g.waiters = append(g.waiters, w)
	return w, nil
}

// expected is the wait for a place behind those that are not less urgent.
func (g *group) expected(a *Ask, r room) time.Duration {
	ahead := 1
	for _, w := range g.waiters {
		if w.ask.Priority <= a.Priority {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / max(1, r.slots) * r.latency * float64(time.Second))
}

func (d *Dispatcher) wait(ctx context.Context, s *service, g *group, w *waiter) (*Place, error) {
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	again := time.NewTicker(recheck)
	defer again.Stop()
	for waiting := true; waiting; {
		select {
		case p := <-w.ready:
			return p, nil
		case <-again.C:
			d.mu.Lock()
			d.admit(time.Now(), s, g)
			d.mu.Unlock()
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case p := <-w.ready:
		return p, nil
	default:
	}
	g.drop(w)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	_, r := d.best(time.Now(), s, &w.ask)
	return nil, &BusyError{Service: s.name, Wait: g.expected(&w.ask, r), Queued: len(g.waiters)}
}

func (g *group) drop(w *waiter) {
	for i := range g.waiters {
		if g.waiters[i] == w {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
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
		s = &service{name: name, states: map[roster.Life]*state{}, groups: map[groupKey]*group{}, latency: startLatency}
		d.services[name] = s
	}
	return s
}

func (s *service) group(a *Ask) *group {
	key := groupKey{zone: a.Zone}
	if a.Target != "" {
		key = groupKey{target: a.Target}
	}
	g := s.groups[key]
	if g == nil {
		g = &group{}
		s.groups[key] = g
	}
	return g
}

func (s *service) state(t *roster.Target) *state {
	st := s.states[t.Life()]
	if st == nil {
		st = &state{limit: float64(t.Slots) + overSlots}
		s.states[t.Life()] = st
	}
	return st
}

// room is what a group's targets can take together.
type room struct {
	best    *roster.Target
	state   *state
	seconds float64
	targets int
	// slots are those of all, and latency is what they need on average.
	slots   float64
	latency float64
}

// place takes the best target with room.
func (d *Dispatcher) place(now time.Time, s *service, g *group, a *Ask) (*Place, room) {
	t, r := d.best(now, s, a)
	if t == nil {
		return nil, r
	}
	r.state.inFlight++
	direct := r.state.inFlight <= t.Slots
	return &Place{Target: t, d: d, s: s, g: g, st: r.state, began: now, direct: direct}, r
}

// best returns the target with room where the answer is expected first.
func (d *Dispatcher) best(now time.Time, s *service, a *Ask) (*roster.Target, room) {
	var r room
	rate := 0.0
	for _, t := range d.candidates(s, a) {
		st := s.state(t)
		if now.Before(st.pause) || a.Target == "" && a.Avoid[t.ID] {
			continue
		}
		latency := s.usual(now, t, st)
		r.targets++
		r.slots += min(float64(t.Slots), max(1, st.limit))
		rate += min(float64(t.Slots), max(1, st.limit)) / latency
		if float64(st.inFlight) >= max(1, st.limit) {
			continue
		}
		seconds := latency * max(1, float64(st.inFlight+1)/float64(t.Slots))
		// Among equals, the emptier one: some slow down when nearly full.
		seconds += latency * fullness * float64(st.inFlight) / float64(t.Slots)
		if r.best == nil || seconds < r.seconds || seconds == r.seconds && t.ID < r.best.ID {
			r.best, r.state, r.seconds = t, st, seconds
		}
	}
	r.latency = s.latency
	if rate > 0 {
		r.latency = r.slots / rate
	}
	return r.best, r
}

// fullness is how much a target's occupied slots count against it.
const fullness = 0.25

func (d *Dispatcher) candidates(s *service, a *Ask) []*roster.Target {
	view := d.Roster.Load()
	if a.Target != "" {
		if t := view.Targets[a.Target]; t != nil && t.Service == s.name {
			return []*roster.Target{t}
		}
		return nil
	}
	var list []*roster.Target
	for _, t := range view.Services[s.name] {
		if t.Zone == a.Zone && !t.Draining {
			list = append(list, t)
		}
	}
	return list
}

// usual is the time of an answer from a target that has room, in seconds.
func (s *service) usual(now time.Time, t *roster.Target, st *state) float64 {
	latency := st.latency
	if latency == 0 {
		latency = s.latency
	}
	if now.Sub(t.Seen) < t.Warming {
		latency *= coldFactor
	}
	return latency / (1 - min(st.shedding, maxShed))
}

// admit gives places to those that wait.
func (d *Dispatcher) admit(now time.Time, s *service, g *group) {
	for {
		if len(g.waiters) == 0 {
			return
		}
		_, r := d.best(now, s, &g.waiters[0].ask)
		if r.best == nil {
			return
		}
		next := g.next(now.Add(time.Duration(r.seconds * safety * float64(time.Second))))
		p, _ := d.place(now, s, g, &next.ask)
		if p == nil {
			return
		}
		g.drop(next)
		next.ready <- p
	}
}

// next returns the most urgent waiter. Of equally urgent ones those go first
// that make their objective if answered at the given time, and of those the
// oldest.
func (g *group) next(answered time.Time) *waiter {
	var best *waiter
	for _, w := range g.waiters {
		if best == nil || w.before(best, answered) {
			best = w
		}
	}
	return best
}

func (w *waiter) before(o *waiter, answered time.Time) bool {
	if w.ask.Priority != o.ask.Priority {
		return w.ask.Priority < o.ask.Priority
	}
	onTime, other := answered.Before(w.ask.Soon), answered.Before(o.ask.Soon)
	if onTime != other {
		return onTime
	}
	return w.order < o.order
}

// Release gives the place back.
func (p *Place) Release(r Result) {
	now := time.Now()
	s, st := p.s, p.st
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	st.inFlight--
	if r == Shed && st.inFlight < p.Target.Slots {
		st.shedding += shedShare * (1 - st.shedding)
		p.d.admit(now, s, p.g)
		return
	}
	st.shedding -= shedShare * st.shedding
	switch r {
	case Answered:
		s.learn(st, now.Sub(p.began).Seconds(), p.direct)
		st.failures = 0
		st.limit = min(st.limit+limitRise, float64(p.Target.Slots)+overSlots)
	case Shed:
		st.limit = max(1, st.limit*shedCut)
		st.pause = now.Add(shedPause)
	case Failed:
		st.failures++
		if st.failures > 1 {
			st.pause = now.Add(min(failPause<<min(st.failures-2, 4), maxFailPause))
		}
	case Abandoned:
	}
	p.d.admit(now, s, p.g)
}

// learn takes in how long an answer took. Those that may have waited at the
// target tell less about its speed.
func (s *service) learn(st *state, took float64, direct bool) {
	if !direct {
		return
	}
	if st.latency == 0 {
		st.latency = s.latency
	}
	st.latency += latencyShare * (took - st.latency)
	s.latency += latencyShare / 4 * (took - s.latency)
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
		for key, g := range s.groups {
			if len(g.waiters) == 0 && key.target != "" && view.Targets[key.target] == nil {
				delete(s.groups, key)
			}
		}
	}
}

// Speed is a target's usual time of an answer.
type Speed struct {
	Service string
	Target  string
	Latency time.Duration
}

// Speeds returns what was learnt of targets. A lifetime that is over says
// nothing of the next one under its name.
func (d *Dispatcher) Speeds() []Speed {
	view := d.Roster.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	var speeds []Speed
	for name, s := range d.services {
		for life, st := range s.states {
			if t := view.Targets[life.ID]; t != nil && t.Born == life.Born && st.latency > 0 {
				speeds = append(speeds, Speed{name, life.ID, time.Duration(st.latency * float64(time.Second))})
			}
		}
	}
	return speeds
}
