// Package hotkey finds the keys with the most work in bounded memory.
package hotkey

import (
	"cmp"
	"container/heap"
	"slices"
)

// defaultSize is the number of counters where Size is zero. With m counters
// every key with more than 1/m of all work is kept for certain.
const defaultSize = 512

// Sketch counts work by key with a fixed number of counters (the space-saving
// algorithm of Metwally, Agrawal and El Abbadi, 2005). A key that has no
// counter takes over the smallest one, whose count is its greatest error. The
// zero value is empty. It is not safe for concurrent use.
type Sketch struct {
	// Size is the number of counters; 0 means 512.
	Size int

	byKey map[string]*counter
	heap  counterHeap
}

// Count is a key with its work. The true work is between Work-Error and Work.
type Count struct {
	Key   string
	Work  float64
	Error float64
}

type counter struct {
	Count
	index int
}

// Add books work for a key.
func (s *Sketch) Add(key string, work float64) {
	if s.byKey == nil {
		s.byKey = map[string]*counter{}
	}
	if c, ok := s.byKey[key]; ok {
		c.Work += work
		heap.Fix(&s.heap, c.index)
		return
	}
	if len(s.heap) < cmp.Or(s.Size, defaultSize) {
		c := &counter{Count: Count{Key: key, Work: work}}
		s.byKey[key] = c
		heap.Push(&s.heap, c)
		return
	}
	c := s.heap[0]
	delete(s.byKey, c.Key)
	c.Key, c.Error = key, c.Work
	c.Work += work
	s.byKey[key] = c
	heap.Fix(&s.heap, 0)
}

// Merge adds another sketch's counts.
func (s *Sketch) Merge(counts []Count) {
	for _, c := range counts {
		s.Add(c.Key, c.Work)
	}
}

// Top returns the n keys with the most work, the hottest first.
func (s *Sketch) Top(n int) []Count {
	all := make([]Count, 0, len(s.heap))
	for _, c := range s.heap {
		all = append(all, c.Count)
	}
	slices.SortFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(n, len(all))]
}

// Decay multiplies every count, so that keys which were hot are forgotten.
func (s *Sketch) Decay(factor float64) {
	for _, c := range s.heap {
		c.Work *= factor
		c.Error *= factor
	}
}

// counterHeap is a heap with the smallest count first.
type counterHeap []*counter

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].Work < h[j].Work }

func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is called by container/heap.
func (h *counterHeap) Push(x any) {
	c := x.(*counter) //nolint:errcheck,forcetypeassert // only counters are pushed
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop is called by container/heap.
func (h *counterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
