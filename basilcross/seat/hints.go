package seat

import (
	"time"

	"basilcross.example/basilcross/lease"
)

// maxHints is how many of a holder's last renewals are kept, including those
// that never took effect.
const maxHints = 8

// Hints are the renewals that a seat's holder announced, as received. A holder
// announces a renewal when it sends it, so that others can know when its
// authority ends even if it is cut off then. The zero value is empty.
type Hints struct {
	list []hint
	// receivedAt is when the last hint was received.
	receivedAt time.Time
}

// hint is the time by which the authority from one renewal ends, as announced
// by the holder. No two renewals of a term have the same number.
type hint struct {
	term     uint64
	renewals uint64
	end      time.Time
}

// Add records the holder's announcement, received at now, that the renewal of
// this term and number gives it authority from the table for at most left.
func (h *Hints) Add(now time.Time, term, renewals uint64, left time.Duration) {
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
	if len(h.list) == maxHints {
		h.list = h.list[1:]
	}
	h.list = append(h.list, hint{term: term, renewals: renewals, end: end})
}

// ReceivedAt is when the last hint was received.
func (h *Hints) ReceivedAt() time.Time { return h.receivedAt }

// Clone returns a copy that is not changed by Add.
func (h *Hints) Clone() Hints {
	return Hints{list: append([]hint(nil), h.list...), receivedAt: h.receivedAt}
}

// authorityEnd is when the authority from a renewal ends; ok is false if the
// holder has not announced the renewal.
func (h *Hints) authorityEnd(term, renewals uint64) (end time.Time, ok bool) {
	for _, kept := range h.list {
		if kept.term == term && kept.renewals == renewals {
			return kept.end, true
		}
	}
	return time.Time{}, false
}
