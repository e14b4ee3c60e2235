package experiment

import (
	"container/heap"
	"time"
)

// eventLoop runs what is to happen, in order of time, and of those at the same time
// in the order in which they were put in. The zero value is empty.
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

// after has something happen later.
func (e *eventLoop) after(d time.Duration, do func()) {
	e.count++
	heap.Push(&e.queue, event{e.now + max(0, d), e.count, do})
}

// run goes on until nothing is to happen any more.
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
