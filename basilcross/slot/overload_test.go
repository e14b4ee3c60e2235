package slot_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"basilcross.example/basilcross/slot"
	"gotest.tools/v3/assert"
)

const (
	gateways    = 12
	targetSlots = 3
	targetQueue = 12
	meanWork    = 10 * time.Millisecond
	capacity    = targetSlots * 100.0
	deadline    = 500 * time.Millisecond
	runTime     = 20 * time.Second
)

// target has slots and a queue, and sheds requests that exceed it.
type target struct {
	mu      sync.Mutex
	waiting int
	queue   int
	slots   chan struct{}
}

func newTarget(queue int) *target {
	return &target{queue: queue, slots: make(chan struct{}, targetSlots)}
}

func (t *target) serve(ctx context.Context, work time.Duration) slot.Result {
	t.mu.Lock()
	if t.waiting >= t.queue {
		t.mu.Unlock()
		return slot.Shed
	}
	t.waiting++
	t.mu.Unlock()
	t.slots <- struct{}{}
	t.mu.Lock()
	t.waiting--
	t.mu.Unlock()
	time.Sleep(work)
	<-t.slots
	if ctx.Err() != nil {
		return slot.Failed
	}
	return slot.Answered
}

type runResult struct {
	mu            sync.Mutex
	goodput       int
	confirmations []time.Duration
	lost          int
}

func (o *runResult) record(priority int, took time.Duration, good bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if good {
		o.goodput++
	}
	if priority != 0 {
		return
	}
	if good {
		o.confirmations = append(o.confirmations, took)
		return
	}
	o.lost++
}

func (o *runResult) p99() time.Duration {
	slices.SortFunc(o.confirmations, cmp.Compare)
	return o.confirmations[len(o.confirmations)*99/100]
}

// runLoad sends requests at a multiple of the capacity: confirmations at a tenth of the
// capacity, and for the rest pulls of the lowest class.
func runLoad(times float64, send func(ctx context.Context, gateway, priority int, work time.Duration) bool) *runResult {
	random := rand.New(rand.NewPCG(1, 2))
	o := &runResult{}
	var group sync.WaitGroup
	defer group.Wait()
	for at := time.Duration(0); at < runTime; {
		gap := time.Duration(random.ExpFloat64() / (times * capacity) * float64(time.Second))
		at += gap
		time.Sleep(gap)
		priority := 9
		if random.Float64() < 0.1/times {
			priority = 0
		}
		gateway, work := random.IntN(gateways), time.Duration(random.ExpFloat64()*float64(meanWork))
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			started := time.Now()
			good := send(ctx, gateway, priority, work) && ctx.Err() == nil
			o.record(priority, time.Since(started), good)
		})
	}
	return o
}

// withLimits sends through one limiter per gateway, with retries after a shed.
func withLimits(s *target) func(context.Context, int, int, time.Duration) bool {
	limiters := make([]*slot.Limiter, gateways)
	for i := range limiters {
		limiters[i] = &slot.Limiter{Slots: targetSlots, QueueLimit: 16}
	}
	return func(ctx context.Context, gateway, priority int, work time.Duration) bool {
		for range 3 {
			release, err := limiters[gateway].Acquire(ctx, priority)
			if err != nil {
				return false
			}
			r := s.serve(ctx, work)
			release(r)
			if r != slot.Shed {
				return r == slot.Answered
			}
			time.Sleep(20 * time.Millisecond)
		}
		return false
	}
}

// Guards against lost goodput at three times a target's capacity. Without limits the
// target runs requests whose deadline has passed, and confirmations wait behind pulls.
// With limits nearly all its work is answered in time, and confirmations precede pulls.
func TestLimitsKeepGoodputUnderOverload(t *testing.T) {
	run := func(times float64, queue int, limits bool) *runResult {
		var o *runResult
		synctest.Test(t, func(*testing.T) {
			s := newTarget(queue)
			send := withLimits(s)
			if !limits {
				send = func(ctx context.Context, _, _ int, work time.Duration) bool {
					return s.serve(ctx, work) == slot.Answered
				}
			}
			o = runLoad(times, send)
		})
		return o
	}
	share := func(o *runResult) float64 { return float64(o.goodput) / (capacity * runTime.Seconds()) }
	unloaded := run(0.3, targetQueue, true)
	limited := run(3, targetQueue, true)
	fifo := run(3, targetQueue, false)
	unlimited := run(3, 1<<30, false)
	for name, o := range map[string]*runResult{"unloaded": unloaded, "limits": limited, "short queue, FIFO": fifo, "unlimited queue": unlimited} {
		if len(o.confirmations) > 0 {
			t.Logf("%-24s goodput %.3f of capacity, confirmations p99 %v, %d of %d lost", name, share(o), o.p99(), o.lost, o.lost+len(o.confirmations))
		} else {
			t.Logf("%-24s goodput %.3f of capacity, no confirmation in time", name, share(o))
		}
	}
	assert.Assert(t, share(limited) > 0.8)
	assert.Assert(t, limited.lost*20 < fifo.lost)
}
