package speed_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/basilcross/speed"
	"gotest.tools/v3/assert"
)

const (
	simulatedObjective = 1200 * time.Millisecond
	simulatedDeadline  = 8 * time.Second
	simulatedSlots     = 3
	slowPeriod         = 400 * time.Millisecond
)

// fleet simulates targets that own keys, the schedulers of their slots, and the coordinator that assigns
// the keys by the speeds that the schedulers report. For a fifth of the time a target is three times
// slower.
type fleet struct {
	rand       *rand.Rand
	now        time.Time
	start      time.Time
	queue      timedEvents
	roster     *roster.Roster
	targets    []*roster.Target
	speeds     map[string]float64
	owners     []string
	schedulers []*simulatedScheduler
	manager    *ownership.Manager
	table      speed.Table
	// load is the share of the targets' slots in use if the load follows the speeds.
	load float64
	// fixed, if set, chooses the target of each request instead of the manager.
	fixed func() string
	// estimated is set if the manager gets the speeds.
	estimated bool
	// reports, if set, has the targets that report how slow they are at the moment.
	reports map[string]bool
	// good and all count the requests, by second of arrival, that were answered in time and all.
	good, all []int
	work      float64
	// slots are the requests that wait at each target, and busy how many run there.
	slots map[string][]func()
	busy  map[string]int
}

type simulatedScheduler struct {
	schedule.Scheduler
	selection speed.Selection
	waiting   map[*schedule.Ticket]*simulatedRequest
}

type simulatedRequest struct {
	arrived time.Time
	work    float64
	target  string
}

type timedEvent struct {
	at time.Time
	do func()
}

type timedEvents []timedEvent

func (h timedEvents) Len() int           { return len(h) }
func (h timedEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timedEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timedEvents) Push(x any)        { *h = append(*h, x.(timedEvent)) }
func (h *timedEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.queue, timedEvent{f.now.Add(d), do}) }

func newFleet(seed uint64, targets, schedulers int) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1000, 0), roster: &roster.Roster{}, speeds: map[string]float64{},
		owners: make([]string, ownership.KeyCount), load: 0.59, work: 0.26, slots: map[string][]func(){}, busy: map[string]int{},
	}
	f.start = f.now
	for i := range targets {
		t := &roster.Target{ID: fmt.Sprintf("t%d", i), Started: 1, Service: "s", Zone: "z", Address: fmt.Sprintf("a%d", i), Slots: simulatedSlots, FirstSeen: f.now.Add(-time.Minute)}
		f.targets = append(f.targets, t)
		f.speeds[t.ID] = []float64{0.6, 1, 1.4}[i%3]
	}
	f.roster.Replace(f.now.Add(-time.Minute), f.targets, 1)
	f.targets = nil
	for t := range f.roster.Load().All() {
		f.targets = append(f.targets, t)
	}
	for range schedulers {
		f.schedulers = append(f.schedulers, f.newScheduler())
	}
	f.manager = f.newManager(nil)
	return f
}

func (f *fleet) newScheduler() *simulatedScheduler {
	return &simulatedScheduler{Scheduler: schedule.Scheduler{Roster: f.roster, Speeds: true}, waiting: map[*schedule.Ticket]*simulatedRequest{}}
}

func (f *fleet) newManager(recorded *ownership.Assignment) *ownership.Manager {
	m := &ownership.Manager{Service: "s", Term: 1, Holds: ownership.Holds{Normal: 3 * time.Second, Long: 7 * time.Second, RenewInterval: time.Second}}
	m.BeginTerm(f.now, recorded, 7*time.Second, time.Hour)
	m.SetStoreClock(f.now, time.Hour)
	return m
}

// schedulerOf returns the scheduler of a target's slots.
func (f *fleet) schedulerOf(target string) *simulatedScheduler {
	n := 0
	_, _ = fmt.Sscanf(target, "t%d", &n)
	return f.schedulers[n%len(f.schedulers)]
}

// run runs the simulation for a while.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	if len(f.queue) == 0 {
		f.arrive()
		f.step()
		f.report()
	}
	for f.queue[0].at.Before(end) {
		e := heap.Pop(&f.queue).(timedEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// arrivalRate is the number of requests a second.
func (f *fleet) arrivalRate() float64 {
	capacity := 0.0
	for _, s := range f.speeds {
		capacity += simulatedSlots * s
	}
	return f.load * capacity / f.work
}

// isSlow reports whether a target is three times slower at a time.
func (f *fleet) isSlow(target string, at time.Time) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, target, at.Sub(f.start)/slowPeriod)
	return rand.New(rand.NewPCG(h.Sum64(), 1)).Float64() < 0.2
}

// serviceTime returns how long a request with the given work, in seconds, runs that starts now.
func (f *fleet) serviceTime(target string, work float64) time.Duration {
	at := f.now
	for {
		rate := 1.0
		if f.isSlow(target, at) {
			rate = 1.0 / 3
		}
		left := slowPeriod - at.Sub(f.start)%slowPeriod
		if done := rate * left.Seconds(); done < work {
			work -= done
			at = at.Add(left)
			continue
		}
		return at.Add(time.Duration(work / rate * float64(time.Second))).Sub(f.now)
	}
}

func (f *fleet) arrive() {
	f.after(time.Duration(f.rand.ExpFloat64()/f.arrivalRate()*float64(time.Second)), f.arrive)
	key := f.rand.IntN(ownership.KeyCount)
	target := f.owners[key]
	if f.fixed != nil {
		target = f.fixed()
	}
	second := int(f.now.Sub(f.start).Seconds())
	for len(f.all) <= second {
		f.all, f.good = append(f.all, 0), append(f.good, 0)
	}
	f.manager.Load.Add(f.now, key, f.work)
	if target == "" {
		return
	}
	f.all[second]++
	const sigma = 0.7
	r := &simulatedRequest{arrived: f.now, target: target, work: f.work * math.Exp(f.rand.NormFloat64()*sigma-sigma*sigma/2)}
	if f.rand.IntN(100) == 0 {
		r.work *= 3 + 2*f.rand.Float64()
	}
	s := f.schedulerOf(target)
	ticket, err := s.Submit(f.now, schedule.Request{
		Service: "s", Kind: 1, Target: target, Key: key, Zone: "z", Priority: 1,
		Objective: f.now.Add(simulatedObjective), Deadline: f.now.Add(simulatedDeadline), Requester: "i",
	})
	switch {
	case err != nil:
	case ticket.Target != nil:
		f.send(s, ticket, r)
	default:
		s.waiting[ticket] = r
		f.after(ticket.WaitUntil.Sub(f.now), func() { f.expire(s, ticket) })
	}
}

func (f *fleet) expire(s *simulatedScheduler, t *schedule.Ticket) {
	if s.waiting[t] == nil {
		return
	}
	if s.Expire(f.now, t) != nil {
		delete(s.waiting, t)
		return
	}
	f.after(t.WaitUntil.Sub(f.now), func() { f.expire(s, t) })
}

// send sends a request, which waits at the target while its slots are taken.
func (f *fleet) send(s *simulatedScheduler, t *schedule.Ticket, r *simulatedRequest) {
	f.slots[r.target] = append(f.slots[r.target], func() {
		f.after(f.serviceTime(r.target, r.work/f.speeds[r.target]), func() {
			if f.now.Sub(r.arrived) <= simulatedObjective {
				f.good[int(r.arrived.Sub(f.start).Seconds())]++
			}
			if f.reports[r.target] {
				t.ReportedSlowness = 1
				if f.isSlow(r.target, f.now) {
					t.ReportedSlowness = 3
				}
			}
			f.busy[r.target]--
			f.startNext(r.target)
			for _, admitted := range s.Release(f.now, t, schedule.Answered) {
				next := s.waiting[admitted]
				delete(s.waiting, admitted)
				f.send(s, admitted, next)
			}
		})
	})
	f.startNext(r.target)
}

// startNext starts the oldest request that waits at the target, if a slot is free.
func (f *fleet) startNext(target string) {
	if queue := f.slots[target]; len(queue) > 0 && f.busy[target] < simulatedSlots {
		f.slots[target] = queue[1:]
		f.busy[target]++
		queue[0]()
	}
}

// step executes the manager's orders.
func (f *fleet) step() {
	f.after(40*time.Millisecond, f.step)
	if f.fixed != nil {
		return
	}
	m := f.manager
	for _, o := range m.Step(f.now, ownership.NewTargets(f.targets)) {
		switch o := o.(type) {
		case *ownership.Record:
			f.after(20*time.Millisecond, func() { m.Recorded(f.now, true) })
		case *ownership.Grant:
			sent := f.now
			if o.Channel == 0 {
				o.Channel = 1
			}
			o.ChannelOpened = f.start
			f.after(10*time.Millisecond, func() { m.Granted(f.now, sent, o, ownership.Done) })
		case *ownership.Release:
			f.after(300*time.Millisecond, func() { m.Released(f.now, o, "h", ownership.Done) })
		}
	}
	for _, p := range m.Assignment().Pieces {
		for k := p.First; k <= p.Last && f.owners[k] != p.Owner; k++ {
			f.owners[k] = p.Owner
		}
	}
}

// report reports the schedulers' estimates to the coordinator, each second.
func (f *fleet) report() {
	f.after(time.Second, f.report)
	for i, s := range f.schedulers {
		for _, e := range s.selection.Take(f.now, s.SpeedEstimates()["s"], 36) {
			f.table.Record(f.now, fmt.Sprint(i), e)
		}
	}
	if f.estimated {
		f.manager.SetSpeeds(speed.RelativeSpeeds(f.table.Estimates()))
	}
}

// inTime returns the share of the requests of the given seconds that were answered in time.
func (f *fleet) inTime(from, to int) float64 {
	good, all := 0, 0
	for i := from; i < min(to, len(f.all)); i++ {
		good += f.good[i]
		all += f.all[i]
	}
	return float64(good) / float64(all)
}

// bySpeed returns a fixed placement in which each target gets a share by its speed to a power.
func (f *fleet) bySpeed(exponent float64) func() string {
	var sums []float64
	sum := 0.0
	for _, t := range f.targets {
		sum += math.Pow(f.speeds[t.ID], exponent)
		sums = append(sums, sum)
	}
	return func() string {
		i, _ := slices.BinarySearch(sums, f.rand.Float64()*sum)
		return f.targets[i].ID
	}
}

// secondsUntil returns the second of arrival from which on the requests of four seconds together are in
// time by at least the given share.
func (f *fleet) secondsUntil(from int, share float64) int {
	for i := from; i+4 <= len(f.all); i++ {
		if f.inTime(i, i+4) >= share {
			return i - from
		}
	}
	return -1
}

// restart replaces all schedulers and the coordinator, which has what was kept; nil if nothing was. The
// recorded assignment remains.
func (f *fleet) restart(t *testing.T, kept []byte) {
	t.Helper()
	for i := range f.schedulers {
		f.schedulers[i] = f.newScheduler()
	}
	f.manager = f.newManager(f.manager.Assignment())
	f.table = speed.Table{}
	if kept != nil {
		f.restore(t, kept)
	}
}

func (f *fleet) restore(t *testing.T, kept []byte) {
	t.Helper()
	estimates, err := speed.Decode(kept)
	assert.NilError(t, err)
	for _, e := range estimates {
		f.table.Restore(e)
	}
}
