package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// maxListingDelay is how long it takes at most until the platform has told of a
// target that lives at an address. Answers that have gone on for longer are
// those of the one that it names.
const maxListingDelay = 4 * time.Second

// ownerState is what is known of a lifetime that has pieces.
type ownerState struct {
	// lastAnswered is when the last order that was answered had been sent, and since
	// the same for the first one of an unbroken line of answers.
	lastAnswered, answeringSince time.Time
	// unansweredSince is when the first order of those since was given up.
	unansweredSince time.Time
	// trials counts the trials since it answered last.
	trials int
	// ended is set when the lifetime is proved to have ended, and strays if who
	// lives at its address may hold keys that were meant for it.
	ended, misdirected bool
}

func (m *Manager) owner(l roster.Incarnation) *ownerState {
	h := m.owners[l]
	if h == nil {
		h = &ownerState{}
		m.owners[l] = h
	}
	return h
}

// reachedOwnService tells whether an order reached no other service: somebody of this one
// was alive at the address too short a time before its channel was opened.
// Answers that have begun lately prove nothing yet, since another service's
// target may give them that nobody has heard of.
func (m *Manager) reachedOwnService(h *ownerState, now time.Time, o *Grant) bool {
	opened := o.ChannelOpened
	if opened.IsZero() {
		opened = now
	}
	reuse := time.Duration(float64(m.Holds.AddressReuse) / maxClockDrift)
	return !h.lastAnswered.IsZero() && opened.Sub(h.lastAnswered) < reuse && h.lastAnswered.Sub(h.answeringSince) > maxListingDelay
}

// recordAnswer notes an answer to an order sent at the time.
func (m *Manager) recordAnswer(h *ownerState, sent time.Time) {
	if h.lastAnswered.IsZero() || sent.Sub(h.lastAnswered) >= m.Holds.AddressReuse {
		h.answeringSince = sent
	}
	h.lastAnswered = later(h.lastAnswered, sent)
}

func (h *ownerState) recordFailure(now time.Time) {
	if h.unansweredSince.IsZero() {
		h.unansweredSince = now
	}
}
