// Package quorum counts how many leaders must agree to extend or evict a zone's seat while
// the table service is unreachable, and records what one leader has granted for other zones'
// seats: an extension of a seat, that is to take no part in evicting its holder for the next
// period, or to refrain from extending it.
//
// With n seats and f tolerated failures, a holder keeps its seat while n-f leaders,
// itself included, extend it, and is evicted only if f+1 others refrain. Any two such
// sets share a leader, and no leader does both at a time.
package quorum

import (
	"time"

	"basilcross.example/basilcross/lease"
	"basilcross.example/basilcross/seat"
)

// ToleratedFailures returns how many of n zones may fail while the table is unreachable.
func ToleratedFailures(n int) int {
	if n < 3 {
		return 0
	}
	return 1
}

// ExtendQuorum returns how many other leaders must extend a seat; ok is false if seats
// cannot be extended in a fleet of n zones. With one zone no other leader could object,
// so its leader may not keep the seat by itself.
func ExtendQuorum(n int) (others int, ok bool) {
	return n - ToleratedFailures(n) - 1, n > 1
}

// EvictQuorum returns how many other leaders must refrain for a holder to be evicted.
func EvictQuorum(n int) int {
	return ToleratedFailures(n) + 1
}

// Ledger records which seats one leader extends and refrains from. Create one per term.
type Ledger struct {
	// ConfirmFrom must be set to a Wait of seat.LeaseDuration after the start of the
	// term: the seat's previous holder may have granted extensions that are not recorded
	// here.
	ConfirmFrom time.Time

	// extendedUntil has the end of the last extension, by zone.
	extendedUntil map[string]time.Time
	// refrainedVersion has the highest row version that is not extended, by zone.
	refrainedVersion map[string]uint64
}

// ExtendRequest is a request to extend a seat.
type ExtendRequest struct {
	Zone        string
	Holder      string
	Incarnation string
	// Version is the version of the seat's row that its holder has read or written.
	Version uint64
}

// Extend grants the holder an extension for the next seat.LeaseDuration from now, and
// reports whether it does. known is the seat's row as last read, with its version.
func (l *Ledger) Extend(now time.Time, r ExtendRequest, known seat.Record, version uint64) bool {
	if refrained, ok := l.refrainedVersion[r.Zone]; ok && r.Version <= refrained {
		return false
	}
	newer := version >= r.Version
	if newer && (known.Holder != r.Holder || known.Incarnation != r.Incarnation || known.HandedOver) {
		return false
	}
	// A leader may refrain and hand over its seat at once. Its successor has no record of
	// that, but has read the intent.
	if newer && known.Intent != "" {
		return false
	}
	if l.extendedUntil == nil {
		l.extendedUntil = map[string]time.Time{}
	}
	l.extendedUntil[r.Zone] = now.Add(lease.Wait(seat.LeaseDuration))
	return true
}

// Refrain rules out extensions at this row version or an earlier one, and returns how
// long earlier extensions may still be valid. A renewal by the holder creates a later
// version, which may be extended again.
func (l *Ledger) Refrain(now time.Time, zone string, version uint64) (left time.Duration) {
	if l.refrainedVersion == nil {
		l.refrainedVersion = map[string]uint64{}
	}
	l.refrainedVersion[zone] = max(l.refrainedVersion[zone], version)
	until := l.ConfirmFrom
	if extended := l.extendedUntil[zone]; extended.After(until) {
		until = extended
	}
	return max(0, until.Sub(now))
}
