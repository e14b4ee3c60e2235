// Package ring joins two duties by a bounded queue that never blocks the
// writer: what does not fit is dropped and counted.
package ring

import "sync/atomic"

// Ring is a bounded queue with any number of writers and readers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring with room for size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds the item, or drops it if the ring is full, and tells which.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items is where readers receive.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Dropped returns how many items were dropped so far.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
