// Package ring has a bounded queue that never blocks its writers: items that do
// not fit are dropped and counted.
package ring

import "sync/atomic"

// Ring is a bounded queue for any number of writers and readers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring with a capacity of size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds the item, or drops it if the ring is full, and reports which.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items returns the channel from which readers receive.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Dropped returns the number of items dropped so far.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
