// Package eviction decides when the seat of an unresponsive holder may be claimed.
//
// The steps are, in this order: an intent is written into the seat's row; f+1
// other leaders confirm that they no longer extend the seat; the holder's lease
// from the table and every extension promised to it before expire; then the seat
// is claimed, on condition that the row is still the version with the intent. A
// holder that renews meanwhile changes the row and keeps its seat.
package eviction

import (
	"slices"
	"time"

	"basilcross.example/basilcross/lease"
)

// Eviction is one attempt against one row version. The zero value is one that
// has not begun.
type Eviction struct {
	rowVersion    uint64
	extensionsEnd map[string]time.Time
	tableLeaseEnd time.Time
}

// Begin starts the attempt against the row version that has the intent, or
// continues it. tableLeaseEnd is when the holder's authority from the table ends.
func (e *Eviction) Begin(version uint64, tableLeaseEnd time.Time) {
	if e.rowVersion == version {
		return
	}
	*e = Eviction{rowVersion: version, tableLeaseEnd: tableLeaseEnd, extensionsEnd: map[string]time.Time{}}
}

// Version is the row version that the attempt is against; zero before Begin.
func (e *Eviction) Version() uint64 { return e.rowVersion }

// Confirm records that a zone's leader refrains from extending the seat,
// received at now, and that its earlier promises expire within left.
func (e *Eviction) Confirm(now time.Time, zone string, version uint64, left time.Duration) {
	if version == e.rowVersion && e.extensionsEnd != nil {
		e.extensionsEnd[zone] = now.Add(lease.Wait(left))
	}
}

// HasConfirmed reports whether a zone's leader has confirmed.
func (e *Eviction) HasConfirmed(zone string) bool {
	_, ok := e.extensionsEnd[zone]
	return ok
}

// Complete reports whether the seat may be claimed at now, given confirmations
// from quorum zones.
func (e *Eviction) Complete(now time.Time, quorum int) bool {
	if e.rowVersion == 0 || now.Before(e.tableLeaseEnd) || len(e.extensionsEnd) < quorum {
		return false
	}
	ends := make([]time.Time, 0, len(e.extensionsEnd))
	for _, t := range e.extensionsEnd {
		ends = append(ends, t)
	}
	slices.SortFunc(ends, time.Time.Compare)
	return quorum == 0 || !now.Before(ends[quorum-1])
}
