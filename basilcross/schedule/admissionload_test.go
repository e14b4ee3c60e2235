package schedule_test

import (
	"errors"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

// runWith is like run, with requests that have the given priorities, objectives and a deadline of three times these.
func (p *pool) runWith(d time.Duration, perSecond map[uint32]float64, priority map[uint32]int, objective map[uint32]time.Duration) {
	p.t.Helper()
	due := map[uint32]float64{}
	for end := p.at.Add(d); p.at.Before(end); {
		for _, kind := range []uint32{urgent, long} {
			for due[kind] += perSecond[kind] / 1000; due[kind] >= 1; due[kind]-- {
				r := request(p.at, kind, "")
				r.Priority, r.Objective, r.Deadline = priority[kind], p.at.Add(objective[kind]), p.at.Add(3*objective[kind])
				p.submitRequest(r)
			}
		}
		p.step()
	}
}

// refusedShares returns the shares of both kinds that are refused in 20 s, after as long a time before.
func (p *pool) refusedShares(perSecond map[uint32]float64, priority map[uint32]int, objective map[uint32]time.Duration) (ofUrgent, ofLong float64) {
	p.runWith(20*time.Second, perSecond, priority, objective)
	p.takeRefused()
	p.runWith(20*time.Second, perSecond, priority, objective)
	return float64(p.refusedKinds[urgent]) / (20 * perSecond[urgent]), float64(p.refusedKinds[long]) / (20 * perSecond[long])
}

// Guards against an urgent kind whose objective is near its response time, and which is refused in favor of a less
// urgent one that may wait.
func TestTightObjectiveIsServedBeforeLessUrgent(t *testing.T) {
	for _, objective := range []time.Duration{50, 55, 60, 100} {
		p := newPool(t, 6)
		rate := map[uint32]float64{urgent: 1.3 * capacityOf(6, urgent), long: 0.5 * capacityOf(6, long)}
		ofUrgent, ofLong := p.refusedShares(rate, map[uint32]int{urgent: 0, long: 1},
			map[uint32]time.Duration{urgent: objective * time.Millisecond, long: 4 * time.Second})
		t.Logf("objective %d ms: refused %.3f, less urgent %.3f", objective, ofUrgent, ofLong)
		assert.Check(t, ofUrgent < ofLong)
	}
}

// Guards against a kind with a short objective that gets nothing beside one of the same priority with a long one.
func TestShortObjectiveDoesNotStarveAtEqualPriority(t *testing.T) {
	p := newPool(t, 6)
	rate := map[uint32]float64{urgent: 0.1 * capacityOf(6, urgent), long: 1.3 * capacityOf(6, long)}
	ofShort, ofLong := p.refusedShares(rate, map[uint32]int{urgent: 1, long: 1},
		map[uint32]time.Duration{urgent: 300 * time.Millisecond, long: 4 * time.Second})
	served := (rate[urgent]*(1-ofShort) + rate[long]*(1-ofLong)) / (rate[urgent] + rate[long])
	t.Logf("refused %.3f, with a long objective %.3f", ofShort, ofLong)
	// A kind is not to be served less than a quarter as often as all.
	assert.Check(t, 1-ofShort >= 0.25*served, "%.3f of %.3f", 1-ofShort, served)
}

// Guards against a request that may go to few targets only and takes their capacity for that of the pool: it reported
// an overload.
func TestFurtherAttemptSeesTheLoadOfThePool(t *testing.T) {
	p := newPool(t, 2)
	p.run(20*time.Second, map[uint32]float64{long: 0.7 * capacityOf(2, long)})
	p.takeRefused()
	for range 10 {
		p.submit(long)
	}
	assert.Equal(t, len(p.takeRefused()), 0)
	r := request(p.at, long, "")
	r.Excluded = map[string]bool{"t0": true}
	p.submitRequest(r)
	for _, busy := range p.takeRefused() {
		assert.Check(t, busy.Reason != schedule.ReasonOverload, "load %.2f", busy.Load)
	}
	assert.Equal(t, len(p.overloads), 0)
}

// Guards against an overload that an instance notices late which schedules the pool again after a pause.
func TestReturningSchedulerNoticesOverloadSoon(t *testing.T) {
	p := newPool(t, 6)
	p.run(5*time.Second, map[uint32]float64{long: 0.7 * capacityOf(6, long)})
	for k := range p.ends {
		p.scheduler.Release(p.at.Add(time.Second), k, schedule.Answered)
		delete(p.ends, k)
	}
	p.at = p.at.Add(2 * time.Minute)
	p.takeRefused()
	p.run(3*time.Second, map[uint32]float64{long: 1.5 * capacityOf(6, long)})
	assert.Equal(t, len(p.overloads), 1)
}

// Guards against a waiting request that is refused for a queue of late ones that does not exist, while the pool has no
// usable target for a moment.
func TestNoTargetIsNoLateQueue(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 1})
	s.Admission = &schedule.Admission{}
	at := now
	var last *schedule.Ticket
	for range 3 {
		r := request(at, long, "")
		r.OneWayDelay, r.Deadline = 5*time.Millisecond, at.Add(10*time.Second)
		last = submit(t, s, at, r)
		at = now.Add(190 * time.Millisecond)
	}
	s.Roster.Apply(at, []roster.Change{{ID: "a", Target: &roster.Target{ID: "a", Slots: 1, Service: "s", Zone: "z", Started: 1, Draining: true}}}, 2)
	err := s.Expire(last.WaitUntil, last)
	var busy *schedule.BusyError
	assert.Assert(t, !errors.As(err, &busy) || busy.Reason != schedule.ReasonLateQueue, "%v", err)
}

// Guards against places on the waitlist at a load at which a caller that retries soon can be in time.
func TestPlacesAreGivenInOverloadOnly(t *testing.T) {
	for _, c := range []struct {
		load   float64
		places bool
	}{{1.05, false}, {1.5, true}} {
		p := newPool(t, 6)
		p.timeLimit = 6 * time.Second
		p.run(20*time.Second, map[uint32]float64{long: c.load * capacityOf(6, long)})
		p.takeRefused()
		p.run(10*time.Second, map[uint32]float64{long: c.load * capacityOf(6, long)})
		refused := p.takeRefused()
		assert.Assert(t, len(refused) > 0)
		for _, busy := range refused {
			assert.Check(t, (busy.Place > 0) == c.places, "load %.2f, place %v", busy.Load, busy.Place)
		}
	}
}
