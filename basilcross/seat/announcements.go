package seat

import (
	"time"

	"basilcross.example/basilcross/lease"
)

// maxAnnouncements is how many of a holder's last renewals are kept, including
// those that never took effect.
const maxAnnouncements = 8

// Announcements are the renewals that a seat's holder announced, as received. A
// holder announces a renewal when it sends it, so that others have the end of its
// authority even if it is cut off then. The zero value is empty.
type Announcements struct {
	list       []announcement
	receivedAt time.Time
}

// announcement is the end of the authority from one renewal, as the holder
// announced it. No two renewals of a term have the same number.
type announcement struct {
	term     uint64
	renewals uint64
	end      time.Time
}

// Add records the holder's announcement, received at now, that the renewal of
// this term and number gives it authority from the table for at most left.
func (a *Announcements) Add(now time.Time, term, renewals uint64, left time.Duration) {
	a.receivedAt = now
	end := now.Add(lease.Wait(left))
	for i, kept := range a.list {
		if kept.term == term && kept.renewals == renewals {
			if end.Before(kept.end) {
				a.list[i].end = end
			}
			return
		}
	}
	if len(a.list) == maxAnnouncements {
		a.list = a.list[1:]
	}
	a.list = append(a.list, announcement{term: term, renewals: renewals, end: end})
}

// ReceivedAt is when the last announcement was received.
func (a *Announcements) ReceivedAt() time.Time { return a.receivedAt }

// Clone returns a copy that is not changed by Add.
func (a *Announcements) Clone() Announcements {
	return Announcements{list: append([]announcement(nil), a.list...), receivedAt: a.receivedAt}
}

// authorityEnd is when the authority from a renewal ends; ok is false if the holder
// has not announced the renewal.
func (a *Announcements) authorityEnd(term, renewals uint64) (end time.Time, ok bool) {
	for _, kept := range a.list {
		if kept.term == term && kept.renewals == renewals {
			return kept.end, true
		}
	}
	return time.Time{}, false
}
