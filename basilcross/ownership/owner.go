package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// maxListingDelay is the longest time until the platform lists a target that runs
// at an address. Answers received for longer come from the listed target.
const maxListingDelay = 4 * time.Second

// ownerState is the state of an incarnation that owns pieces.
type ownerState struct {
	// lastAnswered is when the latest answered order was sent, and answeringSince
	// the first of the current unbroken series of answered orders.
	lastAnswered, answeringSince time.Time
	// unansweredSince is when the first order since the last answer failed, if any.
	unansweredSince time.Time
	// trials counts how often the owner was made eligible for keys again since its
	// last answer.
	trials int
	// ended is set when the incarnation is proved to have ended, and misdirected if
	// the target now at its address may hold keys from grants meant for it.
	ended, misdirected bool
	// zone is the availability zone of its entry; empty if it was not listed since the
	// term began.
	zone string
}

func (m *Manager) owner(incarnation roster.Incarnation) *ownerState {
	s := m.owners[incarnation]
	if s == nil {
		s = &ownerState{}
		m.owners[incarnation] = s
	}
	return s
}

// reachedOwnService reports whether an order cannot have reached another service's
// target: a target of this service was alive at the address less than
// Holds.AddressReuse before the order's channel was opened. Answers that began only
// recently prove nothing: they may come from another service's target that the
// platform has not listed yet.
func (m *Manager) reachedOwnService(s *ownerState, now time.Time, o *Grant) bool {
	opened := o.ChannelOpened
	if opened.IsZero() {
		opened = now
	}
	reuse := time.Duration(float64(m.Holds.AddressReuse) / maxClockDrift)
	return !s.lastAnswered.IsZero() && opened.Sub(s.lastAnswered) < reuse && s.lastAnswered.Sub(s.answeringSince) > maxListingDelay
}

func (m *Manager) recordAnswer(s *ownerState, sent time.Time) {
	if s.lastAnswered.IsZero() || sent.Sub(s.lastAnswered) >= m.Holds.AddressReuse {
		s.answeringSince = sent
	}
	s.lastAnswered = later(s.lastAnswered, sent)
}

func (s *ownerState) recordFailure(now time.Time) {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}
