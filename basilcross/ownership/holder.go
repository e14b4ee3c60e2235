package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// namedWithin is how long it takes at most until the platform has told of a
// target that lives at an address. Answers that have gone on for longer are
// those of the one that it names.
const namedWithin = 4 * time.Second

// holder is what is known of a lifetime that has pieces.
type holder struct {
	// heard is when the last order that was answered had been sent, and since
	// the same for the first one of an unbroken line of answers.
	heard, since time.Time
	// silent is when the first order of those since was given up.
	silent time.Time
	// forgiven counts the trials since it answered last.
	forgiven int
	// gone is set when the lifetime is proved to have ended, and strays if who
	// lives at its address may hold keys that were meant for it.
	gone, strays bool
}

func (m *Manager) holder(l roster.Incarnation) *holder {
	h := m.holders[l]
	if h == nil {
		h = &holder{}
		m.holders[l] = h
	}
	return h
}

// sureOf tells whether an order reached no other service: somebody of this one
// was alive at the address too short a time before its channel was opened.
// Answers that have begun lately prove nothing yet, since another service's
// target may give them that nobody has heard of.
func (m *Manager) sureOf(h *holder, now time.Time, o *Grant) bool {
	opened := o.Opened
	if opened.IsZero() {
		opened = now
	}
	reuse := time.Duration(float64(m.Holds.Reuse) / clockDrift)
	return !h.heard.IsZero() && opened.Sub(h.heard) < reuse && h.heard.Sub(h.since) > namedWithin
}

// hear notes an answer to an order sent at the time.
func (m *Manager) hear(h *holder, sent time.Time) {
	if h.heard.IsZero() || sent.Sub(h.heard) >= m.Holds.Reuse {
		h.since = sent
	}
	h.heard = later(h.heard, sent)
}

func (h *holder) fail(now time.Time) {
	if h.silent.IsZero() {
		h.silent = now
	}
}
