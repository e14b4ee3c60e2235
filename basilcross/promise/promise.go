// Package promise keeps what a zone's leader has said about other zones' seats
// while the table service is out of reach: "for the next period I shall take
// no part in evicting you", and "I no longer extend this seat".
//
// With n seats and f losses to tolerate, a holder goes on while n-f leaders,
// itself included, extend it, and is evicted only with the word of f+1 others.
// Any two such sets share a leader, and no leader says both at a time.
package promise

import (
	"time"

	"basilcross.example/basilcross/lease"
	"basilcross.example/basilcross/seat"
)

// ToleratedFailures returns how many of n zones may be lost during an outage.
func ToleratedFailures(n int) int {
	if n < 3 {
		return 0
	}
	return 1
}

// ExtendQuorum returns how many other leaders must extend a seat; ok is
// false if a fleet of n zones extends none. With one zone there is nobody to
// object, so its leader may not go on by itself.
func ExtendQuorum(n int) (others int, ok bool) {
	return n - ToleratedFailures(n) - 1, n > 1
}

// EvictQuorum returns how many other leaders must refrain from extending.
func EvictQuorum(n int) int {
	return ToleratedFailures(n) + 1
}

// Ledger is one leader's promises. Create one per term; ConfirmFrom must be set
// to a Wait of seat.Hold after the term began, because the seat's earlier
// holder may have made promises that this one does not know.
type Ledger struct {
	ConfirmFrom time.Time

	promisedUntil map[string]time.Time
	refrained     map[string]uint64
}

// ExtendRequest asks for the extension of a seat.
type ExtendRequest struct {
	Zone        string
	Holder      string
	Incarnation string
	// Version is the seat's row version as its holder knows it.
	Version uint64
}

// Extend promises, at now, to take no part in evicting the holder for the next
// Hold. known is the seat's row as last read from the table, with its version.
func (b *Ledger) Extend(now time.Time, r ExtendRequest, known seat.Record, version uint64) bool {
	if refused, ok := b.refrained[r.Zone]; ok && r.Version <= refused {
		return false
	}
	newer := version >= r.Version
	if newer && (known.Holder != r.Holder || known.Incarnation != r.Incarnation || known.HandedOver) {
		return false
	}
	// The failure: a leader refrains, and at once hands its seat over. Its
	// successor has no memory of that, but it has read the intent.
	if newer && known.Intent != "" {
		return false
	}
	if b.promisedUntil == nil {
		b.promisedUntil = map[string]time.Time{}
	}
	b.promisedUntil[r.Zone] = now.Add(lease.Wait(seat.LeaseDuration))
	return true
}

// Refrain promises to extend the seat no more under this row version or an
// earlier one, and returns how long promises made before may still count. A
// renewal by the holder makes a later version, which is extended again.
func (b *Ledger) Refrain(now time.Time, zone string, version uint64) (left time.Duration) {
	if b.refrained == nil {
		b.refrained = map[string]uint64{}
	}
	b.refrained[zone] = max(b.refrained[zone], version)
	until := b.ConfirmFrom
	if promised := b.promisedUntil[zone]; promised.After(until) {
		until = promised
	}
	return max(0, until.Sub(now))
}
