// Package lease has the arithmetic of authority that is held for a time.
//
// A holder counts its authority from the moment it sent the request that
// gained it, an observer waits from the moment it received the news; so the
// holder always stops first, however long messages take. Both use their own
// monotonic clock and allow for a bounded difference in rate.
package lease

import "time"

// maxDriftPercent is the greatest clock rate error allowed for, in parts of a
// hundred: 1% is far above what unsynchronized quartz clocks show.
const maxDriftPercent = 1

// Lease is authority until End by this process's clock. The zero value is
// authority that has lapsed.
type Lease struct {
	// Sent is when the request that gained the lease was sent.
	Sent time.Time
	// Length is how long it holds from Sent.
	Length time.Duration
}

// New returns a lease of the given length as its holder may count it: from the
// time of sending, shortened by the drift that the grantor's clock may have.
func New(sent time.Time, length time.Duration) Lease {
	return Lease{Sent: sent, Length: length - Drift(length)}
}

// Drift is the error that two clocks may accumulate over d.
func Drift(d time.Duration) time.Duration {
	return d * maxDriftPercent / 100
}

// Wait is how long an observer waits, from when it learned of a lease of this
// length, until the holder has surely stopped.
func Wait(length time.Duration) time.Duration {
	return length + Drift(length)
}

// Left returns how much of the lease is left at now, never below zero.
//
// A monotonic clock may stand still while a virtual machine is suspended, and
// the holder would wake with authority long lost. The wall clock goes on, so
// the larger of the two elapsed times counts; a wall clock set forward only
// ends a lease early, which is safe.
func (l Lease) Left(now time.Time) time.Duration {
	elapsed := now.Sub(l.Sent)
	wall := now.Round(0).Sub(l.Sent.Round(0))
	return max(0, l.Length-max(elapsed, wall))
}

// Valid tells whether any of the lease is left at now. It is asked immediately
// before each act that the lease allows, since the process may have been
// paused at any earlier line.
func (l Lease) Valid(now time.Time) bool {
	return l.Left(now) > 0
}

// Within returns the lease cut to end no later than outer.
func (l Lease) Within(outer Lease) Lease {
	end := outer.Sent.Add(outer.Length)
	if l.Sent.Add(l.Length).After(end) {
		l.Length = end.Sub(l.Sent)
	}
	return l
}

// Later returns the lease that ends later.
func (l Lease) Later(other Lease) Lease {
	if other.Sent.Add(other.Length).After(l.Sent.Add(l.Length)) {
		return other
	}
	return l
}
