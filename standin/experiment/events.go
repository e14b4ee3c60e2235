package experiment

import (
	"container/heap"
	"time"
)

// events runs what is to happen, in order of time, and of those at the same time
// in the order in which they were put in. The zero value is empty.
type events struct {
	now   time.Duration
	list  eventList
	count int
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

// after has something happen later.
func (e *events) after(d time.Duration, do func()) {
	e.count++
	heap.Push(&e.list, event{e.now + max(0, d), e.count, do})
}

// run goes on until nothing is to happen any more.
func (e *events) run() {
	for len(e.list) > 0 {
		next := heap.Pop(&e.list).(event)
		e.now = next.at
		next.do()
	}
}

type eventList []event

func (l eventList) Len() int { return len(l) }
func (l eventList) Less(i, j int) bool {
	if l[i].at != l[j].at {
		return l[i].at < l[j].at
	}
	return l[i].order < l[j].order
}
func (l eventList) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *eventList) Push(x any)   { *l = append(*l, x.(event)) }
func (l *eventList) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}
