package seat

import (
	"time"

	"basilcross.example/basilcross/lease"
)

// maxHints bounds what is kept of a holder's word: its last renewals, among
// them those that never took effect.
const maxHints = 8

// Hints are what a seat's holder said of its renewals, as received. A holder
// tells of a renewal when it sends it, so all but the row may be known when the
// holder is cut off. The zero value is empty.
type Hints struct {
	list []hint
	// receivedAt is when the holder was heard last.
	receivedAt time.Time
}

// hint is the holder's own word that its authority from one renewal ends by a
// time. No two renewals of a term have the same number.
type hint struct {
	term     uint64
	renewals uint64
	end      time.Time
}

// Add takes in what the holder said, received at now: that in this term and by
// the renewal of this number it had no more than left of its authority from the
// table.
func (h *Hints) Add(now time.Time, term, renewals uint64, left time.Duration) {
	h.receivedAt = now
	end := now.Add(lease.Wait(left))
	for i, known := range h.list {
		if known.term == term && known.renewals == renewals {
			if end.Before(known.end) {
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

// ReceivedAt is when the holder was heard last.
func (h *Hints) ReceivedAt() time.Time { return h.receivedAt }

// Clone returns a copy that is not changed by Add.
func (h *Hints) Clone() Hints {
	return Hints{list: append([]hint(nil), h.list...), receivedAt: h.receivedAt}
}

// authorityEnd is when the authority by a renewal ends; ok is false if the holder has not
// told of it.
func (h *Hints) authorityEnd(term, renewals uint64) (end time.Time, ok bool) {
	for _, known := range h.list {
		if known.term == term && known.renewals == renewals {
			return known.end, true
		}
	}
	return time.Time{}, false
}
