package ownership

import "container/heap"

// loadHeap keeps the first of the targets in some order while their loads change.
type loadHeap struct{ queue loadQueue }

func newLoadHeap(loads map[string]*targetLoad, before func(a, b *targetLoad) bool) *loadHeap {
	h := &loadHeap{loadQueue{before: before, index: make(map[*targetLoad]int, len(loads))}}
	for _, l := range loads {
		h.queue.Push(l)
	}
	heap.Init(&h.queue)
	return h
}

// first returns the first target, or nil.
func (h *loadHeap) first() *targetLoad {
	if len(h.queue.list) == 0 {
		return nil
	}
	return h.queue.list[0]
}

func (h *loadHeap) removeFirst() { heap.Pop(&h.queue) }

// update restores the order after the target's load has changed.
func (h *loadHeap) update(l *targetLoad) {
	if i, ok := h.queue.index[l]; ok {
		heap.Fix(&h.queue, i)
	}
}

// loadQueue implements heap.Interface.
type loadQueue struct {
	list   []*targetLoad
	index  map[*targetLoad]int
	before func(a, b *targetLoad) bool
}

func (q *loadQueue) Len() int           { return len(q.list) }
func (q *loadQueue) Less(i, j int) bool { return q.before(q.list[i], q.list[j]) }

func (q *loadQueue) Swap(i, j int) {
	q.list[i], q.list[j] = q.list[j], q.list[i]
	q.index[q.list[i]], q.index[q.list[j]] = i, j
}

func (q *loadQueue) Push(x any) {
	l, _ := x.(*targetLoad)
	q.index[l] = len(q.list)
	q.list = append(q.list, l)
}

func (q *loadQueue) Pop() any {
	last := len(q.list) - 1
	l := q.list[last]
	q.list = q.list[:last]
	delete(q.index, l)
	return l
}
