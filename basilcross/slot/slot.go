// Package slot shares a target's few slots among the requests of one gateway,
// and, by what the target's answers show, among gateways that never talk to
// each other about it.
package slot

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// NumPriorities is the number of classes; 0 goes first.
	NumPriorities = 10
	// classRatio is how many more turns a class gets than the next lower one
	// while both wait. The lowest still gets some, so nothing starves.
	classRatio = 4.0

	// urgentBelow is the first class that keeps to the limit strictly. Those
	// before it may go one over it and do not wait for pauses: they are few,
	// and a pause earned by pulls must not hold up a confirmation.
	urgentBelow = 3

	minLimit   = 1.0 / 64
	shedFactor = 0.8
	// limitStep is what an answer adds to the limit while it is used up.
	limitStep = 0.02
	// initialLimit and startRise are for a target that this gateway knows
	// nothing of: it may have just been started and be cold. The limit rises
	// fast until the target sheds for the first time.
	initialLimit = 1.0
	initialStep  = 0.25
	// slowFactor is milder than shedCut: a slow answer may be the request's own
	// nature, a shed one is the target's word.
	slowFactor = 0.95
	slowRatio  = 6.0
	// smoothing of the latency averages, per answer.
	recentWeight   = 0.1
	baselineWeight = 0.01
)

// Result is how an admitted request ended.
type Result int

// The results that a limit learns from.
const (
	// Answered: the target gave an answer in time.
	Answered Result = iota
	// Shed: the target had no slot.
	Shed
	// Failed: no answer; tells nothing about slots.
	Failed
)

// QueueFullError says that too many requests wait already.
type QueueFullError struct {
	Waiting int
}

func (e *QueueFullError) Error() string { return "slot: queue is full" }

// WaitTooLongError says that a request would wait too long to be answered in time.
// Refused at once, its caller can try elsewhere; admitted at the end of its
// time, it would only cost the target work that nobody waits for any more.
type WaitTooLongError struct {
	Wait time.Duration
}

func (e *WaitTooLongError) Error() string {
	return "slot: the wait of " + e.Wait.String() + " would outlast the deadline"
}

// Limiter admits requests to one target. Set Slots and QueueLimit before the
// first use; the zero value has one slot and no queue.
//
// The limit is a number of requests in flight, and may fall below one: then
// one request is in flight at a time, with a pause after it, so that hundreds
// of gateways can share three slots. It falls when the target sheds or answers
// much later than usual, and rises slowly with every answer while it is used up.
type Limiter struct {
	// Slots is how many requests the target runs at a time.
	Slots int
	// QueueLimit is how many requests may wait.
	QueueLimit int

	mu          sync.Mutex
	limit       float64
	inFlight    int
	waiting     int
	queues      [NumPriorities][]*waiter
	pass        [NumPriorities]float64
	pausedUntil time.Time
	timer       *time.Timer
	// admissionGap is the average time between two admissions while others wait.
	admissionGap    float64
	lastAdmission   time.Time
	recentLatency   float64
	baselineLatency float64
	hasShed         bool
}

type waiter struct {
	ready chan struct{}
	// admitted and dropped are guarded by the limiter's lock.
	admitted bool
	dropped  bool
}

// Acquire waits for a slot. The caller calls the returned function once, when
// the request has ended. The error is the context's, a FullError or a LateError.
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
	began := time.Now()
	return func(r Result) { l.release(r, time.Since(began)) }, nil
}

// admitOrQueue admits at once (nil waiter), or queues.
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

// expectedTime is how long a new waiter of a class would wait and then run.
func (l *Limiter) expectedTime(priority int) time.Duration {
	before := 1
	for p := range priority + 1 {
		before += len(l.queues[p])
	}
	return time.Duration((float64(before)*l.admissionGap + l.recentLatency) * float64(time.Second))
}

// recordAdmission keeps the average gap. A pause without waiters says nothing
// about the target.
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

// dropLowerClass makes room by dropping the newest waiter of a lower class.
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
		// Admitted and given up in the same moment: the slot goes on.
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

// hasWaitersUpTo tells whether anybody waits in this class or a higher one.
func (l *Limiter) hasWaitersUpTo(priority int) bool {
	for p := range priority + 1 {
		if len(l.queues[p]) > 0 {
			return true
		}
	}
	return false
}

// admit lets in as many waiters as there is room for.
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

// nextClass returns, of the waiting classes that have room, the one that has had
// the least of its share (stride scheduling); -1 if there is none.
func (l *Limiter) nextClass(now time.Time) int {
	best := -1
	for p := range l.queues {
		if len(l.queues[p]) > 0 && l.hasCapacity(now, p) && (best < 0 || l.pass[p] < l.pass[best]) {
			best = p
		}
	}
	return best
}

func (l *Limiter) dequeue(class int) *waiter {
	w := l.queues[class][0]
	l.queues[class] = l.queues[class][1:]
	l.pass[class] += math.Pow(classRatio, float64(class))
	l.waiting--
	return w
}

// minPass is where a class joins that had nobody waiting: it must not claim
// the turns that it did not want.
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
	used := float64(l.inFlight) >= math.Floor(l.limit)
	l.inFlight--
	l.adjustLimit(r, took.Seconds(), used)
	now := time.Now()
	if l.limit < 1 {
		pause := l.recentLatency * (1/l.limit - 1)
		l.pausedUntil = now.Add(time.Duration(pause * float64(time.Second)))
	}
	l.admit(now)
}

func (l *Limiter) adjustLimit(r Result, took float64, used bool) {
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
		if used {
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

// State is a view of a limiter for metrics and for choosing among targets.
type State struct {
	Limit    float64
	InFlight int
	Waiting  int
	// Latency is the recent average in seconds.
	Latency float64
}

// State returns the present state.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	return State{Limit: l.limit, InFlight: l.inFlight, Waiting: l.waiting, Latency: l.recentLatency}
}
