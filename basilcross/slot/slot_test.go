package slot_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"basilcross.example/basilcross/slot"
	"gotest.tools/v3/assert"
)

func acquire(t *testing.T, l *slot.Limiter, priority int) func(slot.Result) {
	t.Helper()
	release, err := l.Acquire(context.Background(), priority)
	assert.NilError(t, err)
	return release
}

// Guards against a request that is rejected because requests of lower classes fill the
// queue. It must replace the newest of the lowest class, and be admitted first.
func TestHigherPriorityGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slot.Limiter{Slots: 1, QueueLimit: 2}
		release := acquire(t, l, 5)
		order := make(chan int, 3)
		wait := func(priority int) {
			r, err := l.Acquire(context.Background(), priority)
			if err != nil {
				order <- -priority
				return
			}
			order <- priority
			r(slot.Answered)
		}
		go wait(9)
		synctest.Wait()
		go wait(8)
		synctest.Wait()
		go wait(4)
		synctest.Wait()
		assert.Equal(t, <-order, -9, "the waiter of the lowest class must be dropped")
		release(slot.Answered)
		assert.Equal(t, <-order, 4)
		assert.Equal(t, <-order, 8)
	})
}

// Guards against a class that starves while a higher one waits all the time. It must get
// one admission for four of the next higher class.
func TestLowerPriorityIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slot.Limiter{Slots: 1, QueueLimit: 1000}
		release := acquire(t, l, 5)
		served := map[int]int{}
		order := make(chan int, 1000)
		for range 100 {
			for _, p := range []int{4, 5} {
				go func() {
					r, _ := l.Acquire(context.Background(), p)
					order <- p
					r(slot.Answered)
				}()
			}
		}
		synctest.Wait()
		release(slot.Answered)
		for range 50 {
			served[<-order]++
		}
		assert.Assert(t, served[5] >= 9 && served[5] <= 11, "%v", served)
	})
}

// Guards against a target with three slots that is overloaded by many gateways, because
// each keeps at least one request in flight. If the target sheds most requests, the limit
// must fall below one and requests be separated by pauses.
func TestLimitFallsBelowOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slot.Limiter{Slots: 3, QueueLimit: 1}
		for range 30 {
			release := acquire(t, l, 5)
			time.Sleep(10 * time.Millisecond)
			release(slot.Answered)
			acquire(t, l, 5)(slot.Shed)
		}
		limit := l.State().Limit
		assert.Assert(t, limit < 1, "%v", limit)
		acquire(t, l, 5)(slot.Shed)
		started := time.Now()
		acquire(t, l, 0)(slot.Failed)
		assert.Equal(t, time.Since(started), time.Duration(0), "a request of an urgent class must not wait for the pause")
		acquire(t, l, 5)
		assert.Assert(t, time.Since(started) > 0)
	})
}

// Guards against a request that stays in the queue after its deadline has passed, and
// then gets a slot in place of one that can still be answered.
func TestAbandonedWaiterLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slot.Limiter{Slots: 1, QueueLimit: 1}
		release := acquire(t, l, 5)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := l.Acquire(ctx, 5)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, l.State().Waiting, 0)
		release(slot.Answered)
		acquire(t, l, 0)
	})
}

func TestFullQueueRejects(t *testing.T) {
	l := &slot.Limiter{Slots: 1}
	acquire(t, l, 5)
	_, err := l.Acquire(context.Background(), 5)
	var full *slot.QueueFullError
	assert.Assert(t, errors.As(err, &full))
}

// Guards against a target that is overloaded right after its start, while it warms up:
// it gets one request at a time at first, and more with every answer.
func TestNewTargetStartsWithLowLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slot.Limiter{Slots: 4, QueueLimit: 10}
		first := acquire(t, l, 5)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := l.Acquire(ctx, 5)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		first(slot.Answered)
		for range 20 {
			acquire(t, l, 5)(slot.Answered)
		}
		assert.Assert(t, l.State().Limit >= 2, "%v", l.State().Limit)
	})
}
