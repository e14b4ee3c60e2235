package experiment

import (
	"container/heap"
	"time"
)

// eventLoop runs functions in order of virtual time; those due at the same time run
// in the order in which they were added. The zero value is an empty loop at time 0.
type eventLoop struct {
	now   time.Duration
	queue eventHeap
	count int
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// after runs fn when d has passed.
func (e *eventLoop) after(d time.Duration, fn func()) {
	e.count++
	heap.Push(&e.queue, event{e.now + max(0, d), e.count, fn})
}

// run runs events until none is left.
func (e *eventLoop) run() {
	for len(e.queue) > 0 {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.fn()
	}
}

type eventHeap []event

func (l eventHeap) Len() int { return len(l) }
func (l eventHeap) Less(i, j int) bool {
	if l[i].at != l[j].at {
		return l[i].at < l[j].at
	}
	return l[i].seq < l[j].seq
}
func (l eventHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *eventHeap) Push(x any)   { *l = append(*l, x.(event)) }
func (l *eventHeap) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}
