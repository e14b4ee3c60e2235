// Package lease computes with authority that is limited in time.
//
// A holder counts its lease from when it sent the request for it, and an
// observer waits from when it received the information; so the holder always
// stops first, however long messages take. Both use their own monotonic clock
// and allow for a bounded difference in rate.
package lease

import "time"

// maxDriftPercent is the largest clock rate error allowed for: 1% is far above
// that of unsynchronized quartz clocks.
const maxDriftPercent = 1

// Lease is authority from Sent for Length, by this process's clock. The zero
// value is an expired lease.
type Lease struct {
	// Sent is when the request for the lease was sent.
	Sent time.Time
	// Length is how long the lease is valid from Sent.
	Length time.Duration
}

// New returns a lease of the given length as its holder must count it: from the
// time of sending, shortened by the drift that the grantor's clock may have.
func New(sent time.Time, length time.Duration) Lease {
	return Lease{Sent: sent, Length: length - Drift(length)}
}

// Drift is the largest difference that two clocks may accumulate over d.
func Drift(d time.Duration) time.Duration {
	return d * maxDriftPercent / 100
}

// Wait is how long an observer must wait, from when it was notified of a lease of
// this length, until the lease has expired at the holder for certain.
func Wait(length time.Duration) time.Duration {
	return length + Drift(length)
}

// Left returns how much of the lease is left at now, never below zero.
//
// A monotonic clock may stop while a virtual machine is suspended, and the
// holder would resume with a lease that expired long ago. The wall clock
// continues, so the larger of the two elapsed times counts; a wall clock that
// is set forward only ends a lease early, which is safe.
func (l Lease) Left(now time.Time) time.Duration {
	elapsed := now.Sub(l.Sent)
	wall := now.Round(0).Sub(l.Sent.Round(0))
	return max(0, l.Length-max(elapsed, wall))
}

// Valid reports whether any of the lease is left at now. Call it immediately
// before each action that the lease allows, since the process may have been
// paused at any earlier line.
func (l Lease) Valid(now time.Time) bool {
	return l.Left(now) > 0
}

// Within returns the lease, shortened to end no later than outer.
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
