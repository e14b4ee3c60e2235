// Package slot limits the requests that one gateway sends to a target, and shares the
// target's few slots among them by priority. The limit adapts to the target's answers, so
// that gateways share the slots without communicating.
package slot

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// NumPriorities is the number of priority classes; class 0 is the highest.
	NumPriorities = 10
	// classRatio is how many times as many admissions a class gets as the next lower one
	// while both wait, so that no class starves.
	classRatio = 4.0

	// urgentBelow is the first class that is bound by the limit strictly. Higher classes
	// may exceed it by one request and ignore pauses: their requests are few, and a pause
	// caused by lower classes must not delay them.
	urgentBelow = 3

	// minLimit is the lowest limit; a shed multiplies the limit by shedFactor.
	minLimit   = 1.0 / 64
	shedFactor = 0.8
	// limitStep is what an answer adds to the limit while the limit is reached.
	limitStep = 0.02
	// initialLimit applies to a target without history in this gateway, which may still
	// be warming up. The limit rises by initialStep until the target sheds for the first
	// time.
	initialLimit = 1.0
	initialStep  = 0.25
	// slowFactor multiplies the limit if the recent latency exceeds slowRatio times the
	// baseline. It is milder than shedFactor: an answer may be slow because of the
	// request itself, while a shed is an explicit overload signal.
	slowFactor = 0.95
	slowRatio  = 6.0
	// recentWeight and baselineWeight are the weights of an answer in the averages.
	recentWeight   = 0.1
	baselineWeight = 0.01
)

// Result is how an admitted request ended.
type Result int

// The results.
const (
	// Answered: the target answered in time.
	Answered Result = iota
	// Shed: the target had no free slot.
	Shed
	// Failed: no answer; this says nothing about the target's slots.
	Failed
)

// QueueFullError is returned if too many requests wait already.
type QueueFullError struct {
	Waiting int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("slot: queue is full: %d requests wait", e.Waiting)
}

// WaitTooLongError is returned for a request that would wait too long to be answered in
// time. Refusing it at once lets its caller retry elsewhere; admitted shortly before its
// deadline, it would cost the target work whose result is useless.
type WaitTooLongError struct {
	Wait time.Duration
}

func (e *WaitTooLongError) Error() string {
	return "slot: expected time of " + e.Wait.String() + " until the answer exceeds the deadline"
}

// Limiter admits requests to one target. Set Slots and QueueLimit before the first use;
// the zero value has one slot and no queue.
//
// The limit is a number of requests in flight, and may fall below one: then one request
// is in flight at a time, with a pause after it, so that hundreds of gateways can share
// three slots. It falls when the target sheds or answers much later than usual, and rises
// slowly with every answer while it is reached.
type Limiter struct {
	// Slots is how many requests the target runs at a time.
	Slots int
	// QueueLimit is how many requests may wait.
	QueueLimit int

	mu       sync.Mutex
	limit    float64
	inFlight int
	waiting  int
	queues   [NumPriorities][]*waiter
	// pass is each class's position in stride scheduling; the lowest is next.
	pass        [NumPriorities]float64
	pausedUntil time.Time
	timer       *time.Timer
	// admissionGap is the average time between two admissions while others wait, in
	// seconds; lastAdmission is zero if no request waited after the last one.
	admissionGap  float64
	lastAdmission time.Time
	// These latencies are averages over about 10 and 100 answers, in seconds.
	recentLatency   float64
	baselineLatency float64
	hasShed         bool
}

type waiter struct {
	// ready is closed when the request is admitted or dropped.
	ready chan struct{}
	// admitted and dropped are guarded by the limiter's lock.
	admitted bool
	dropped  bool
}

// Acquire waits until the request is admitted. The caller must call release once, when
// the request has ended. The error is the context's, a *QueueFullError or a
// *WaitTooLongError.
func (l *Limiter) Acquire(ctx context.Context, priority int) (release func(Result), err error) {
	deadline, _ := ctx.Deadline()
	w, err := l.admitOrQueue(priority, deadline)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err := l.wait(ctx, w); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	return func(r Result) { l.release(r, time.Since(started)) }, nil
}

// admitOrQueue admits a request at once and returns a nil waiter, or queues it.
func (l *Limiter) admitOrQueue(priority int, deadline time.Time) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if l.hasCapacity(time.Now(), priority) && (l.waiting == 0 || priority < urgentBelow && !l.hasWaitersUpTo(priority)) {
		l.inFlight++
		return nil, nil
	}
	if wait := l.expectedTime(priority); !deadline.IsZero() && wait > time.Until(deadline) {
		return nil, &WaitTooLongError{Wait: wait}
	}
	if l.waiting >= l.QueueLimit && !l.dropLowerClass(priority) {
		return nil, &QueueFullError{Waiting: l.waiting}
	}
	w := &waiter{ready: make(chan struct{})}
	if len(l.queues[priority]) == 0 {
		l.pass[priority] = max(l.pass[priority], l.minPass())
	}
	l.queues[priority] = append(l.queues[priority], w)
	l.waiting++
	l.admit(time.Now())
	return w, nil
}

// expectedTime estimates how long a new waiter of a class would wait and run.
func (l *Limiter) expectedTime(priority int) time.Duration {
	before := 1
	for p := range priority + 1 {
		before += len(l.queues[p])
	}
	return time.Duration((float64(before)*l.admissionGap + l.recentLatency) * float64(time.Second))
}

// recordAdmission updates the average gap between admissions. Gaps during which no
// request waited do not count, since they do not depend on the target.
func (l *Limiter) recordAdmission(now time.Time) {
	if !l.lastAdmission.IsZero() {
		gap := now.Sub(l.lastAdmission).Seconds()
		if l.admissionGap == 0 {
			l.admissionGap = gap
		}
		l.admissionGap += recentWeight * (gap - l.admissionGap)
	}
	l.lastAdmission = time.Time{}
	if l.waiting > 0 {
		l.lastAdmission = now
	}
}

func (l *Limiter) init() {
	if l.limit == 0 {
		l.limit = initialLimit
	}
}

// dropLowerClass drops the newest waiter of the lowest class below the given one, and
// reports whether there was any.
func (l *Limiter) dropLowerClass(priority int) bool {
	for p := NumPriorities - 1; p > priority; p-- {
		n := len(l.queues[p])
		if n == 0 {
			continue
		}
		w := l.queues[p][n-1]
		l.queues[p] = l.queues[p][:n-1]
		l.waiting--
		w.dropped = true
		close(w.ready)
		return true
	}
	return false
}

func (l *Limiter) wait(ctx context.Context, w *waiter) error {
	select {
	case <-w.ready:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case w.dropped:
		return &QueueFullError{Waiting: l.waiting}
	case ctx.Err() == nil:
		return nil
	case w.admitted:
		// The request was admitted as its context ended: the next one gets the slot.
		l.inFlight--
		l.admit(time.Now())
	default:
		l.remove(w)
	}
	return ctx.Err()
}

func (l *Limiter) remove(w *waiter) {
	for p := range l.queues {
		for i, queued := range l.queues[p] {
			if queued == w {
				l.queues[p] = append(l.queues[p][:i], l.queues[p][i+1:]...)
				l.waiting--
				return
			}
		}
	}
}

func (l *Limiter) hasCapacity(now time.Time, priority int) bool {
	allowed := int(math.Floor(max(1, l.limit)))
	if priority < urgentBelow {
		return l.inFlight <= allowed
	}
	return l.inFlight < allowed && !now.Before(l.pausedUntil)
}

// hasWaitersUpTo reports whether requests of this class or a higher one wait.
func (l *Limiter) hasWaitersUpTo(priority int) bool {
	for p := range priority + 1 {
		if len(l.queues[p]) > 0 {
			return true
		}
	}
	return false
}

func (l *Limiter) admit(now time.Time) {
	for l.waiting > 0 {
		class := l.nextClass(now)
		if class < 0 {
			break
		}
		w := l.dequeue(class)
		l.recordAdmission(now)
		w.admitted = true
		l.inFlight++
		close(w.ready)
	}
	if l.waiting > 0 && now.Before(l.pausedUntil) {
		l.admitAfter(l.pausedUntil.Sub(now))
	}
}

// admitAfter schedules another call of admit, replacing an earlier scheduled one.
func (l *Limiter) admitAfter(d time.Duration) {
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.admit(time.Now())
	})
}

// nextClass returns the class to admit from next (stride scheduling): the one with the
// lowest pass among those with waiters and capacity, or -1 if there is none.
func (l *Limiter) nextClass(now time.Time) int {
	best := -1
	for p := range l.queues {
		if len(l.queues[p]) > 0 && l.hasCapacity(now, p) && (best < 0 || l.pass[p] < l.pass[best]) {
			best = p
		}
	}
	return best
}

// dequeue removes the oldest waiter of a class and advances the class's pass.
func (l *Limiter) dequeue(class int) *waiter {
	w := l.queues[class][0]
	l.queues[class] = l.queues[class][1:]
	l.pass[class] += math.Pow(classRatio, float64(class))
	l.waiting--
	return w
}

// minPass returns the pass at which a class without waiters starts again, so that it
// cannot claim admissions for the time in which it had none.
func (l *Limiter) minPass() float64 {
	least := math.Inf(1)
	for p := range l.queues {
		if len(l.queues[p]) > 0 {
			least = min(least, l.pass[p])
		}
	}
	if math.IsInf(least, 1) {
		l.pass = [NumPriorities]float64{}
		return 0
	}
	return least
}

func (l *Limiter) release(r Result, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reached := float64(l.inFlight) >= math.Floor(l.limit)
	l.inFlight--
	l.adjustLimit(r, took.Seconds(), reached)
	now := time.Now()
	if l.limit < 1 {
		pause := l.recentLatency * (1/l.limit - 1)
		l.pausedUntil = now.Add(time.Duration(pause * float64(time.Second)))
	}
	l.admit(now)
}

// adjustLimit changes the limit by the result of a request; reached is set if the limit
// was reached when the request ended.
func (l *Limiter) adjustLimit(r Result, took float64, reached bool) {
	switch r {
	case Shed:
		l.hasShed = true
		l.limit = max(minLimit, l.limit*shedFactor)
	case Answered:
		l.recordLatency(took)
		if l.recentLatency > slowRatio*l.baselineLatency {
			l.limit = max(minLimit, l.limit*slowFactor)
			return
		}
		if reached {
			l.limit = min(float64(max(1, l.Slots)), l.limit+l.increment())
		}
	case Failed:
	}
}

func (l *Limiter) increment() float64 {
	if l.hasShed {
		return limitStep
	}
	return initialStep
}

func (l *Limiter) recordLatency(took float64) {
	if l.baselineLatency == 0 {
		l.recentLatency, l.baselineLatency = took, took
		return
	}
	l.recentLatency += recentWeight * (took - l.recentLatency)
	l.baselineLatency += baselineWeight * (took - l.baselineLatency)
}

// State is a snapshot of a limiter, for metrics and for choosing among targets.
type State struct {
	Limit    float64
	InFlight int
	Waiting  int
	// Latency is the recent average, in seconds.
	Latency float64
}

// State returns the current state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	return State{Limit: l.limit, InFlight: l.inFlight, Waiting: l.waiting, Latency: l.recentLatency}
}
