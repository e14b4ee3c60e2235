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

func request(priority int, soon time.Duration) schedule.Request {
	now := time.Now()
	return schedule.Request{Service: "s", Zone: "z", Priority: priority, Objective: now.Add(soon), Deadline: now.Add(3 * soon)}
}

func acquire(t *testing.T, d *dispatch.Dispatcher, a schedule.Request) *dispatch.Reservation {
	t.Helper()
	p, err := d.Acquire(context.Background(), a)
	assert.NilError(t, err)
	return p
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

// All slots are taken and three requests wait: the urgent one came last and
// goes first; of the others the one that can still make its objective.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(&roster.Target{ID: "a", Slots: 2})
		first, second := acquire(t, d, request(1, time.Second)), acquire(t, d, request(1, time.Second))
		var mu sync.Mutex
		var order []string
		var group sync.WaitGroup
		wait := func(name string, a schedule.Request) {
			group.Go(func() {
				p := acquire(t, d, a)
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
				p.Release(schedule.Answered)
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

func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	d := newDispatcher(&roster.Target{ID: "a", Slots: 2})
	acquire(t, d, request(0, time.Second))
	acquire(t, d, request(0, time.Second))
	a := request(0, 250*time.Millisecond)
	a.RejectLate = true
	_, err := d.Acquire(context.Background(), a)
	var busy *schedule.BusyError
	assert.Assert(t, errors.As(err, &busy))
	assert.Assert(t, busy.Wait > 0)
}

// A target sheds half of what it gets though its slots are free. Sending it
// less would not help; were its limit cut each time, all targets that do so
// would end with one slot each, and requests be refused with slots free.
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
		p := acquire(t, d, request(0, time.Second))
		if p.Target.ID == "a" {
			p.Release(schedule.Failed)
			continue
		}
		p.Release(schedule.Answered)
	}
	left := acquire(t, d, request(0, time.Second))
	assert.Equal(t, left.Target.ID, "b")
}

// Twice as many requests come as four targets of different speed can run. What
// is served must be served in time: a queue in order of arrival would make
// nearly all late, since the ones in front have waited longest.
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
				p, err := d.Acquire(context.Background(), request(2, objective))
				if err != nil {
					mu.Lock()
					refused++
					mu.Unlock()
					return
				}
				// A target runs as many as it has slots; the others wait there.
				slots[p.Target.ID] <- true
				time.Sleep(time.Duration(float64(work) * speed[p.Target.ID]))
				<-slots[p.Target.ID]
				p.Release(schedule.Answered)
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
		assert.Assert(t, refused > 500, "there is twice the load")
		assert.Assert(t, float64(inTime) > 0.85*float64(inTime+late))
	})
}

// A target was slow and starts again under its name. Its former speed is told
// to nobody any more.
func TestLatenciesOmitEarlierIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(&roster.Target{ID: "a", Slots: 1})
		for range 3 {
			p := acquire(t, d, request(0, time.Minute))
			time.Sleep(time.Second)
			p.Release(schedule.Answered)
		}
		assert.Equal(t, len(d.TargetLatencies()), 1)
		d.Roster.Replace(time.Now(), []*roster.Target{{ID: "a", Slots: 1, Service: "s", Zone: "z", Started: 2}}, 2)
		assert.Equal(t, len(d.TargetLatencies()), 0)
	})
}
