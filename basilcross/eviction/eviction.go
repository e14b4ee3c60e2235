// Package eviction decides when a silent holder's seat may be taken.
//
// The order of steps: an intent is written into the seat's row; f+1 other
// leaders confirm that they no longer extend the seat; the holder's authority
// from the table and every promise made to it before are waited out; then the
// seat is taken, on condition that the row is still the one with the intent. A
// holder that renews meanwhile changes the row and keeps its seat.
package eviction

import (
	"slices"
	"time"

	"basilcross.example/basilcross/lease"
)

// Eviction is one attempt against one row version. The zero value has not
// begun.
type Eviction struct {
	rowVersion    uint64
	promisesEnd   map[string]time.Time
	tableLeaseEnd time.Time
}

// Begin starts the attempt against the row version that bears the intent, or
// keeps the one under way. tableEnd is when the authority that the holder has
// from the table ends.
func (e *Eviction) Begin(version uint64, tableEnd time.Time) {
	if e.rowVersion == version {
		return
	}
	*e = Eviction{rowVersion: version, tableLeaseEnd: tableEnd, promisesEnd: map[string]time.Time{}}
}

// Version is the row version under attack; zero before Begin.
func (e *Eviction) Version() uint64 { return e.rowVersion }

// Confirm takes in that a zone's leader refrains, received at now, and that
// its earlier promises may count for left more.
func (e *Eviction) Confirm(now time.Time, zone string, version uint64, left time.Duration) {
	if version == e.rowVersion && e.promisesEnd != nil {
		e.promisesEnd[zone] = now.Add(lease.Wait(left))
	}
}

// HasConfirmed tells whether a zone's leader has confirmed.
func (e *Eviction) HasConfirmed(zone string) bool {
	_, ok := e.promisesEnd[zone]
	return ok
}

// Complete tells whether the seat may be taken at now, with the confirmations
// of at least needed zones.
func (e *Eviction) Complete(now time.Time, needed int) bool {
	if e.rowVersion == 0 || now.Before(e.tableLeaseEnd) || len(e.promisesEnd) < needed {
		return false
	}
	times := make([]time.Time, 0, len(e.promisesEnd))
	for _, t := range e.promisesEnd {
		times = append(times, t)
	}
	slices.SortFunc(times, time.Time.Compare)
	return needed == 0 || !now.Before(times[needed-1])
}
