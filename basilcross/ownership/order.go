package ownership

import (
	"iter"
	"time"

	"basilcross.example/basilcross/roster"
)

// Order is a request of the manager to its driver, which executes each order at
// once and independently of the others, and reports its outcome.
type Order interface{ order() }

// Grant requests a grant or its renewal; see Granted for its outcome.
type Grant struct {
	First, Last int
	Epoch       int64
	Hold        time.Duration
	Owner       roster.Incarnation
	Address     string
	Handover    string
	// Channel is the connection that the epoch belongs to. The order must not be
	// sent on another one, whose target may not be the one that received the epoch.
	// It is 0 for an epoch that was not sent yet; the driver then sets it when it
	// sends the order. The driver always sets ChannelOpened.
	Channel       uint64
	ChannelOpened time.Time
	// Suspect is set while the owner leaves orders unanswered, so this one will
	// likely time out.
	Suspect bool
}

// Release requests keys back; see Released for its outcome.
type Release struct {
	First, Last int
	Epoch       int64
	Owner       roster.Incarnation
	Address     string
	// HeldUntil is the end of the owner's hold, after which an answer is useless.
	HeldUntil time.Time
}

// Record requests a write of the assignment; see Recorded for its outcome.
type Record struct {
	Assignment *Assignment
}

func (*Grant) order()   {}
func (*Release) order() {}
func (*Record) order()  {}

// Outcome is the result of an order to a target.
type Outcome int

// The outcomes.
const (
	// Done: the target executed the order.
	Done Outcome = iota
	// Refused: the target answered that it did not execute the order.
	Refused
	// Stale: the target has seen a higher epoch.
	Stale
	// Unsent: nothing was sent.
	Unsent
	// ChannelClosed: nothing was sent, since the epoch's channel is closed.
	ChannelClosed
	// Unknown: the order may have been executed, or may still be.
	Unknown
)

// Granted reports the outcome of a grant. Sent is the time before the call, now
// the time after its answer or after its connection was reset.
func (m *Manager) Granted(now, sent time.Time, o *Grant, outcome Outcome) {
	p := m.find(o.First, o.Last, o.Owner)
	if p == nil {
		return
	}
	p.inFlight = false
	p.channel = o.Channel
	s := m.owner(o.Owner)
	switch outcome {
	case Done:
		end := now.Add(maxHoldTime(o.Hold))
		p.heldUntil = later(p.heldUntil, end)
		if !m.reachedOwnService(s, now, o) {
			p.misdirectedUntil = later(p.misdirectedUntil, end)
		}
		p.usableUntil = sent.Add(time.Duration(float64(o.Hold) / maxClockDrift))
		p.handover = ""
		p.confirmedEpoch = max(p.confirmedEpoch, o.Epoch)
		if o.Epoch > p.inDoubtEpoch {
			// The target now refuses every lower epoch. Under an equal one, a
			// grant in doubt could still be applied after a release.
			p.inDoubtUntil, p.unproven = time.Time{}, unprovenGrant{}
		}
		m.recordAnswer(s, sent)
		m.path(s.zone).recordAnswer(now, sent)
		s.unansweredSince, s.trials = time.Time{}, 0
		return
	case ChannelClosed:
		// Another connection may lead to another target, which must not receive
		// this epoch.
		m.assignEpoch(p)
		p.renewAt = now
		return
	case Stale:
		m.assignEpoch(p)
	case Unknown:
		end := now.Add(maxArrivalDelay + maxHoldTime(o.Hold))
		p.heldUntil = later(p.heldUntil, end)
		p.inDoubtUntil = later(p.inDoubtUntil, end)
		misdirected := !m.reachedOwnService(s, now, o)
		if misdirected {
			p.misdirectedUntil = later(p.misdirectedUntil, end)
		}
		p.inDoubtEpoch = max(p.inDoubtEpoch, o.Epoch)
		p.unproven = p.unproven.join(unprovenGrant{reset: now, hold: o.Hold, misdirected: misdirected})
		// Once the next grant is answered, this one is refused if it arrives late.
		m.assignEpoch(p)
		s.recordFailure(now)
	case Refused, Unsent:
		s.recordFailure(now)
	}
	p.attempts++
	p.renewAt = now.Add(grantRetryDelay)
}

// Released reports the outcome of a release, with the handover from the owner.
func (m *Manager) Released(now time.Time, o *Release, handover string, outcome Outcome) {
	p := m.find(o.First, o.Last, o.Owner)
	if p == nil || p.phase != releasing {
		return
	}
	p.inFlight = false
	if outcome == Done {
		p.handover = handover
		if !p.releaseUnanswered {
			p.heldUntil = p.inDoubtUntil
		}
		p.phase = awaitingExpiry
		return
	}
	p.releaseUnanswered = p.releaseUnanswered || outcome == Unknown
	p.attempts++
	p.phase = releaseDue
	if p.attempts >= maxReleaseAttempts || !now.Before(p.heldUntil) {
		p.phase = awaitingExpiry
	}
}

// Recorded reports the outcome of a write: whether it is in the store.
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
			// Grants that the target at the address may still hold must expire
			// first.
			p.phase = awaitingExpiry
			continue
		}
		m.regrant(now, p)
	}
}

// Owners returns the owner of each piece that has one.
func (m *Manager) Owners() iter.Seq2[roster.Incarnation, Owner] {
	return func(yield func(roster.Incarnation, Owner) bool) {
		for _, p := range m.pieces {
			if p.Owner == "" {
				continue
			}
			if !yield(p.Incarnation(), Owner{Address: p.Address, Unresponsive: !m.owner(p.Incarnation()).unansweredSince.IsZero()}) {
				return
			}
		}
	}
}

// Owner is the address of an incarnation, and whether it leaves orders unanswered.
type Owner struct {
	Address      string
	Unresponsive bool
}

// OwnerReplaced reports that an incarnation has ended, as another service's target
// has its address now. If that service is sharded, its target may hold misdirected
// grants: those sent since a target of this service was last confirmed there. A
// target of an unsharded service holds no keys. It returns whether the incarnation
// was not reported before.
func (m *Manager) OwnerReplaced(owner roster.Incarnation, sharded bool) bool {
	s := m.owner(owner)
	changed := !s.ended
	s.ended, s.misdirected = true, sharded
	return changed
}

func (m *Manager) find(first, last int, owner roster.Incarnation) *piece {
	if p := m.pieceAt(first, last); p != nil && p.Incarnation() == owner {
		return p
	}
	return nil
}
