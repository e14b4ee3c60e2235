// Package eventloop runs functions in order of virtual time.
package eventloop

import (
	"container/heap"
	"time"
)

// Loop runs functions in order of virtual time; those due at the same time run in the
// order in which they were added. The zero value is an empty loop at time 0.
type Loop struct {
	// Now is the virtual time.
	Now   time.Duration
	queue eventHeap
	count int
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// After runs fn when d has passed.
func (e *Loop) After(d time.Duration, fn func()) {
	e.count++
	heap.Push(&e.queue, event{e.Now + max(0, d), e.count, fn})
}

// Run runs until nothing is left.
func (e *Loop) Run() {
	for len(e.queue) > 0 {
		next := heap.Pop(&e.queue).(event)
		e.Now = next.at
		next.fn()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
