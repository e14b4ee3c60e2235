package seat

import (
	"time"

	"basilcross.example/basilcross/lease"
)

// maxAnnouncements is how many of a holder's last renewals are kept, including those
// that never took effect.
const maxAnnouncements = 8

// Announcements are the renewals that a seat's holder announced, as received. A holder
// announces a renewal when it sends it, so that others can know when its
// authority ends even if it is cut off then. The zero value is empty.
type Announcements struct {
	list []announcement
	// receivedAt is when the last hint was received.
	receivedAt time.Time
}

// announcement is the time by which the authority from one renewal ends, as announced
// by the holder. No two renewals of a term have the same number.
type announcement struct {
	term     uint64
	renewals uint64
	end      time.Time
}

// Add records the holder's announcement, received at now, that the renewal of
// this term and number gives it authority from the table for at most left.
func (h *Announcements) Add(now time.Time, term, renewals uint64, left time.Duration) {
	h.receivedAt = now
	end := now.Add(lease.Wait(left))
	for i, kept := range h.list {
		if kept.term == term && kept.renewals == renewals {
			if end.Before(kept.end) {
				h.list[i].end = end
			}
			return
		}
	}
	if len(h.list) == maxAnnouncements {
		h.list = h.list[1:]
	}
	h.list = append(h.list, announcement{term: term, renewals: renewals, end: end})
}

// ReceivedAt is when the last hint was received.
func (h *Announcements) ReceivedAt() time.Time { return h.receivedAt }

// Clone returns a copy that is not changed by Add.
func (h *Announcements) Clone() Announcements {
	return Announcements{list: append([]announcement(nil), h.list...), receivedAt: h.receivedAt}
}

// authorityEnd is when the authority from a renewal ends; ok is false if the
// holder has not announced the renewal.
func (h *Announcements) authorityEnd(term, renewals uint64) (end time.Time, ok bool) {
	for _, kept := range h.list {
		if kept.term == term && kept.renewals == renewals {
			return kept.end, true
		}
	}
	return time.Time{}, false
}
