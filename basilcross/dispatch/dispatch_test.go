package dispatch_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"basilcross.example/basilcross/dispatch"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

func newDispatcher(targets ...*roster.Target) *dispatch.Dispatcher {
	r := &roster.Roster{}
	for _, t := range targets {
		t.Service, t.Zone, t.Started = "s", "z", 1
	}
	r.Replace(time.Now(), targets, 1)
	return &dispatch.Dispatcher{Roster: r}
}

// request returns a request with the objective, and a deadline of three times that.
func request(priority int, objective time.Duration) schedule.Request {
	now := time.Now()
	return schedule.Request{Service: "s", Zone: "z", Priority: priority, Objective: now.Add(objective), Deadline: now.Add(3 * objective)}
}

func acquire(t *testing.T, d *dispatch.Dispatcher, r schedule.Request) *dispatch.Reservation {
	t.Helper()
	reservation, err := d.Acquire(context.Background(), r)
	assert.NilError(t, err)
	return reservation
}

func TestLeastLoadedTargetFirst(t *testing.T) {
	d := newDispatcher(&roster.Target{ID: "a", Slots: 2}, &roster.Target{ID: "b", Slots: 2})
	seen := map[string]int{}
	for range 4 {
		seen[acquire(t, d, request(0, time.Second)).Target.ID]++
	}
	assert.DeepEqual(t, seen, map[string]int{"a": 2, "b": 2})
}

func TestNoTarget(t *testing.T) {
	d := newDispatcher(&roster.Target{ID: "a", Slots: 2, Draining: true})
	_, err := d.Acquire(context.Background(), request(0, time.Second))
	var none *schedule.NoTargetError
	assert.Assert(t, errors.As(err, &none))
}

// Guards against a queue that ignores priority and objectives: with all slots taken and
// three requests waiting, the urgent one is served first although it arrived last, and of
// the others the one that can still meet its objective.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(&roster.Target{ID: "a", Slots: 2})
		first, second := acquire(t, d, request(1, time.Second)), acquire(t, d, request(1, time.Second))
		var mu sync.Mutex
		var order []string
		var group sync.WaitGroup
		wait := func(name string, r schedule.Request) {
			group.Go(func() {
				reservation := acquire(t, d, r)
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
				reservation.Release(schedule.Answered)
			})
			synctest.Wait()
		}
		late := request(2, 100*time.Millisecond)
		late.Deadline = time.Now().Add(10 * time.Second)
		wait("late", late)
		wait("inTime", request(2, 2*time.Second))
		wait("urgent", request(1, 2*time.Second))
		time.Sleep(200 * time.Millisecond)
		first.Release(schedule.Answered)
		synctest.Wait()
		second.Release(schedule.Answered)
		group.Wait()
		assert.DeepEqual(t, order, []string{"urgent", "inTime", "late"})
	})
}

// Guards against a request with RejectLate that waits although its answer would be late.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	d := newDispatcher(&roster.Target{ID: "a", Slots: 2})
	acquire(t, d, request(0, time.Second))
	acquire(t, d, request(0, time.Second))
	r := request(0, 250*time.Millisecond)
	r.RejectLate = true
	_, err := d.Acquire(context.Background(), r)
	var busy *schedule.BusyError
	assert.Assert(t, errors.As(err, &busy))
	assert.Assert(t, busy.Wait > 0)
}

// Guards against a limit that falls because a target sheds requests at random although
// its slots are free: requests would be refused while slots are free, and such targets
// would end with a limit of one request.
func TestRandomSheddingDoesNotCutTheLimit(t *testing.T) {
	d := newDispatcher(&roster.Target{ID: "a", Slots: 3})
	for range 50 {
		acquire(t, d, request(0, time.Second)).Release(schedule.Shed)
	}
	for range 3 {
		acquire(t, d, request(0, time.Second))
	}
}

func TestFailingTargetIsAvoided(t *testing.T) {
	d := newDispatcher(&roster.Target{ID: "a", Slots: 3}, &roster.Target{ID: "b", Slots: 3})
	for range 8 {
		reservation := acquire(t, d, request(0, time.Second))
		if reservation.Target.ID == "a" {
			reservation.Release(schedule.Failed)
			continue
		}
		reservation.Release(schedule.Answered)
	}
	next := acquire(t, d, request(0, time.Second))
	assert.Equal(t, next.Target.ID, "b")
}

// Guards against late answers under overload: with twice as many requests as four targets
// of different slowness can run, a queue in order of arrival makes nearly all answers
// late, since its oldest requests have waited longest.
func TestOverloadServesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []*roster.Target{{ID: "a", Slots: 3}, {ID: "b", Slots: 3}, {ID: "c", Slots: 3}, {ID: "d", Slots: 3}}
		speed := map[string]float64{"a": 0.7, "b": 0.7, "c": 1, "d": 1.6}
		d := newDispatcher(targets...)
		slots := map[string]chan bool{}
		for _, target := range targets {
			slots[target.ID] = make(chan bool, target.Slots)
		}
		random := rand.New(rand.NewPCG(1, 2))
		const objective = 600 * time.Millisecond
		var mu sync.Mutex
		inTime, late, refused := 0, 0, 0
		var group sync.WaitGroup
		for range 2500 {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(8*time.Millisecond)))
			work := time.Duration((0.5 + random.Float64()) * float64(220*time.Millisecond))
			group.Go(func() {
				began := time.Now()
				reservation, err := d.Acquire(context.Background(), request(2, objective))
				if err != nil {
					mu.Lock()
					refused++
					mu.Unlock()
					return
				}
				// A target runs as many requests as it has slots; others wait there.
				slots[reservation.Target.ID] <- true
				time.Sleep(time.Duration(float64(work) * speed[reservation.Target.ID]))
				<-slots[reservation.Target.ID]
				reservation.Release(schedule.Answered)
				mu.Lock()
				defer mu.Unlock()
				if time.Since(began) <= objective {
					inTime++
					return
				}
				late++
			})
		}
		group.Wait()
		t.Logf("%d in time, %d late, %d refused", inTime, late, refused)
		assert.Assert(t, refused > 500, "the load is twice the capacity")
		assert.Assert(t, float64(inTime) > 0.85*float64(inTime+late))
	})
}

// Guards against a latency that is still reported after the target restarted under its
// ID.
func TestLatenciesOmitEarlierIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(&roster.Target{ID: "a", Slots: 1})
		for range 3 {
			reservation := acquire(t, d, request(0, time.Minute))
			time.Sleep(time.Second)
			reservation.Release(schedule.Answered)
		}
		assert.Equal(t, len(d.TargetLatencies()), 1)
		d.Roster.Replace(time.Now(), []*roster.Target{{ID: "a", Slots: 1, Service: "s", Zone: "z", Started: 2}}, 2)
		assert.Equal(t, len(d.TargetLatencies()), 0)
	})
}

// Guards against admission that is set and does not reach the scheduler.
func TestAdmissionIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(&roster.Target{ID: "a", Slots: 2})
		d.Admission, d.Waitlist = &schedule.Admission{}, true
		var overloads []schedule.Overload
		d.Admission.OnOverload = func(o schedule.Overload) { overloads = append(overloads, o) }
		var group sync.WaitGroup
		var mu sync.Mutex
		reasons := map[schedule.Reason]int{}
		for range 400 {
			group.Go(func() {
				res, err := d.Acquire(context.Background(), request(0, 400*time.Millisecond))
				var busy *schedule.BusyError
				if errors.As(err, &busy) {
					mu.Lock()
					reasons[busy.Reason]++
					mu.Unlock()
					return
				}
				time.Sleep(100 * time.Millisecond)
				res.Release(schedule.Answered)
			})
			time.Sleep(20 * time.Millisecond)
		}
		group.Wait()
		assert.Assert(t, reasons[schedule.ReasonOverload] > 100 && reasons[""] == 0, "%v", reasons)
		assert.Assert(t, len(overloads) == 1 && overloads[0].Load > 1.1, "%+v", overloads)
	})
}

// Guards against a dispatcher that does not pass the feature on to its scheduler.
func TestPacedTargetGetsOneRequestAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(&roster.Target{ID: "a", Slots: 3})
		began := 0
		d.Pace, d.OnPace = true, func(schedule.PaceChange) { began++ }
		time.Sleep(time.Minute)
		d.Roster.Apply(time.Now(), []roster.Change{{ID: "b", Target: &roster.Target{ID: "b", Slots: 3, Service: "s", Zone: "z", Started: 1}}}, 2)
		seen := map[string]int{}
		for range 4 {
			seen[acquire(t, d, request(0, time.Second)).Target.ID]++
		}
		assert.DeepEqual(t, seen, map[string]int{"a": 3, "b": 1})
		assert.Equal(t, began, 1)
		assert.Equal(t, d.PacedTargets(), 1)
	})
}
