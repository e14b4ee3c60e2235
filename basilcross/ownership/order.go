package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// Order is what a manager asks its driver to do. The driver carries orders out
// at once, each on its own, and reports each one's end.
type Order interface{ order() }

// Grant asks for a grant or its renewal. End it with Granted.
type Grant struct {
	First, Last int
	Epoch       int64
	Hold        time.Duration
	Owner       roster.Incarnation
	Address     string
	Handover    string
	// Channel is the connection that the epoch belongs to, and the order may go
	// out on no other one: whoever lives at the address now may not be who had
	// the epoch. 0 is for an epoch that was not sent yet; the driver then notes
	// here on which connection it sent it, and always when that was opened.
	Channel       uint64
	ChannelOpened time.Time
	// Suspect is set while the owner leaves orders unanswered: this one will
	// likely wait in vain as well.
	Suspect bool
}

// Release asks for keys back. End it with Released.
type Release struct {
	First, Last int
	Epoch       int64
	Owner       roster.Incarnation
	Address     string
	// HeldUntil is when the answer is of no more use.
	HeldUntil time.Time
}

// Record asks to write the assignment. End it with Recorded.
type Record struct {
	Assignment *Assignment
}

func (*Grant) order()   {}
func (*Release) order() {}
func (*Record) order()  {}

// Outcome is how an order to a target ended.
type Outcome int

// The outcomes.
const (
	// Done: the target carried it out.
	Done Outcome = iota
	// Refused: the target answered and did not; nothing of it is in doubt.
	Refused
	// Stale: the target has seen a higher epoch.
	Stale
	// Unsent: nothing was sent.
	Unsent
	// ChannelClosed: nothing was sent, since the epoch's channel is closed.
	ChannelClosed
	// Unknown: it may have been carried out, or may still be.
	Unknown
)

// Granted reports the end of a grant. Sent is taken before the call, now after
// its answer or after its connection was reset.
func (m *Manager) Granted(now, sent time.Time, o *Grant, out Outcome) {
	p := m.find(o.First, o.Last, o.Owner)
	if p == nil {
		return
	}
	p.inFlight = false
	p.channel = o.Channel
	h := m.owner(o.Owner)
	switch out {
	case Done:
		end := now.Add(maxHoldTime(o.Hold))
		p.heldUntil = later(p.heldUntil, end)
		if !m.reachedOwnService(h, now, o) {
			p.misdirectedUntil = later(p.misdirectedUntil, end)
		}
		p.usableUntil = sent.Add(time.Duration(float64(o.Hold) / maxClockDrift))
		p.handover = ""
		p.confirmedEpoch = max(p.confirmedEpoch, o.Epoch)
		if o.Epoch > p.inDoubtEpoch {
			// The target now refuses every lower epoch. Under an equal one, a
			// grant in doubt could still be applied after a release.
			p.inDoubtUntil = time.Time{}
		}
		m.recordAnswer(h, sent)
		h.unansweredSince, h.trials = time.Time{}, 0
		return
	case ChannelClosed:
		// Whoever answers on another connection must not get the same epoch.
		m.assignEpoch(p)
		p.renewAt = now
		return
	case Stale:
		m.assignEpoch(p)
	case Unknown:
		end := now.Add(maxArrivalDelay + maxHoldTime(o.Hold))
		p.heldUntil = later(p.heldUntil, end)
		p.inDoubtUntil = later(p.inDoubtUntil, end)
		if !m.reachedOwnService(h, now, o) {
			p.misdirectedUntil = later(p.misdirectedUntil, end)
		}
		p.inDoubtEpoch = max(p.inDoubtEpoch, o.Epoch)
		// Once the next one is answered, this one is refused if it comes late.
		m.assignEpoch(p)
		h.recordFailure(now)
	case Refused, Unsent:
		h.recordFailure(now)
	}
	p.attempts++
	p.renewAt = now.Add(grantRetryDelay)
}

// Released reports the end of a release.
func (m *Manager) Released(now time.Time, o *Release, handover string, out Outcome) {
	p := m.find(o.First, o.Last, o.Owner)
	if p == nil || p.phase != releasing {
		return
	}
	p.inFlight = false
	if out == Done {
		p.handover = handover
		if !p.releaseUnanswered {
			p.heldUntil = p.inDoubtUntil
		}
		p.phase = awaitingExpiry
		return
	}
	p.releaseUnanswered = p.releaseUnanswered || out == Unknown
	p.attempts++
	p.phase = releaseDue
	if p.attempts >= maxReleaseAttempts || !now.Before(p.heldUntil) {
		p.phase = awaitingExpiry
	}
}

// Recorded reports the end of a write: whether it is in the store.
func (m *Manager) Recorded(now time.Time, ok bool) {
	m.writing = false
	if !ok {
		m.dirty = true
	}
	for _, p := range m.pieces {
		if p.phase != recording {
			continue
		}
		if !ok {
			// What its address may still hold runs out first.
			p.phase = awaitingExpiry
			continue
		}
		m.regrant(now, p)
	}
}

// Owners returns the lifetimes that have pieces, with their addresses, and
// whether they leave orders unanswered.
func (m *Manager) Owners() map[roster.Incarnation]Owner {
	owners := map[roster.Incarnation]Owner{}
	for _, p := range m.pieces {
		if p.Owner != "" {
			owners[p.Incarnation()] = Owner{Address: p.Address, Unresponsive: !m.owner(p.Incarnation()).unansweredSince.IsZero()}
		}
	}
	return owners
}

// Owner is what is known of a lifetime that has pieces.
type Owner struct {
	Address      string
	Unresponsive bool
}

// OwnerReplaced reports that a lifetime is proved to have ended, and that another
// service's target has its address now. That one was never meant; if its service
// is divided, strays may be in its hands: what was sent since nobody of this
// service was known to live there. One of an undivided service holds no keys.
// Gone tells whether this is news.
func (m *Manager) OwnerReplaced(l roster.Incarnation, divided bool) bool {
	h := m.owner(l)
	news := !h.ended
	h.ended, h.misdirected = true, divided
	return news
}

func (m *Manager) find(first, last int, owner roster.Incarnation) *piece {
	for _, p := range m.pieces {
		if p.First == first && p.Last == last && p.Incarnation() == owner {
			return p
		}
	}
	return nil
}
