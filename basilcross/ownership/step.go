package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// balanceInterval is how often the load is looked at; hot keys last for seconds.
const balanceInterval = 250 * time.Millisecond

// SetStoreInDoubt tells whether the store answers at present. While it does not,
// the authority to renew may be about to end, so holds are granted for long.
func (m *Manager) SetStoreInDoubt(now time.Time, doubt bool) {
	if doubt && !m.longHolds {
		for _, p := range m.pieces {
			p.renewAt = now
		}
	}
	m.longHolds = doubt
}

// Step returns the orders due. Targets are those that the platform names for
// the service.
func (m *Manager) Step(now time.Time, targets []*roster.Target) []Order {
	named := make(map[string]*roster.Target, len(targets))
	resident := make(map[string]*roster.Target, len(targets))
	for _, t := range targets {
		named[t.ID] = t
		if at := resident[t.Address]; at == nil || at.Started < t.Started {
			resident[t.Address] = t
		}
	}
	var orders []Order
	for _, p := range m.pieces {
		if p.Owner != "" && !p.inFlight {
			m.applyOwnerState(now, p, named[p.Owner], resident[p.Address])
		}
		if o := m.advance(now, p); o != nil {
			orders = append(orders, o)
		}
	}
	if m.writing {
		return orders
	}
	m.coalesce()
	if !now.Before(m.nextBalance) {
		m.nextBalance = now.Add(balanceInterval)
		m.dropLatencies(named)
		m.balance(now, targets)
	}
	m.assign(now, targets)
	if m.dirty {
		m.dirty, m.writing = false, true
		orders = append(orders, &Record{Assignment: m.Assignment()})
	}
	return orders
}

// applyOwnerState takes in what the platform and the orders' answers say of the owner,
// and of who lives at its address.
func (m *Manager) applyOwnerState(now time.Time, p *piece, t, resident *roster.Target) {
	if p.phase == free || p.phase == recording {
		return
	}
	if resident != nil && resident.Started > p.Started {
		m.inherit(now, p, resident)
		return
	}
	h := m.owner(p.Incarnation())
	if h.ended {
		m.awaitMisdirected(now, p, h.misdirected)
	}
	if p.phase != held {
		return
	}
	switch {
	case !h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) > unresponsiveTimeout:
		// It may still hold the keys, whatever is sent to it now.
		p.phase, p.cause = awaitingExpiry, OwnerLost
		m.dirty = true
	case t == nil || t.Draining:
		p.phase, p.cause, p.attempts = releaseDue, OwnerLeaving, 0
	case t.Started > p.Started:
		// It lives elsewhere now. Its former address may have gone to another
		// one, which may have taken what was meant for it.
		p.phase, p.cause, p.attempts = releaseDue, OwnerLost, 0
	}
}

// inherit gives a piece to the younger target at its owner's address. The owner
// has ended, but the keys are not free: any order that was sent since may have
// reached the younger one, which has seen no epoch and takes them all. Only one
// process lives at an address, so what it may hold stays in its hands, and all
// bounds with it; its first answer under a new epoch shuts the former ones out.
func (m *Manager) inherit(now time.Time, p *piece, to *roster.Target) {
	givenUp := p.phase == awaitingExpiry
	if givenUp && m.writing {
		// What is being written does not say so.
		return
	}
	if m.OnInherit != nil {
		m.OnInherit(p.Piece, to.Incarnation())
	}
	delete(m.latencies, to.ID)
	p.Owner, p.Started = to.ID, to.Started
	p.cause, p.destination = OwnerLost, ""
	p.usableUntil = time.Time{}
	m.dirty = true
	m.Moves.Lost++
	if givenUp {
		// The store may have it as free from some moment on: first it must not.
		p.phase = recording
		return
	}
	// The store has the address, which is what counts for a successor.
	m.regrant(now, p)
}

// regrant has a piece granted to its owner under a new epoch.
func (m *Manager) regrant(now time.Time, p *piece) {
	p.phase = held
	m.assignEpoch(p)
	p.renewAt = now
	p.attempts = 0
}

// awaitMisdirected gives up a piece whose owner has ended and left its address to another
// service's target, for which only strays have to be waited.
func (m *Manager) awaitMisdirected(now time.Time, p *piece, strays bool) {
	left := p.misdirectedUntil
	if !strays {
		left = time.Time{}
	}
	p.heldUntil, p.inDoubtUntil = earlier(p.heldUntil, left), earlier(p.inDoubtUntil, left)
	if p.phase == awaitingExpiry {
		return
	}
	p.phase, p.cause = awaitingExpiry, OwnerLost
	m.dirty = m.dirty || now.Before(p.heldUntil)
}

// advance takes the piece's next step.
func (m *Manager) advance(now time.Time, p *piece) Order {
	if p.inFlight {
		return nil
	}
	switch p.phase {
	case held:
		if now.Before(p.renewAt) {
			return nil
		}
		return m.grant(now, p)
	case releaseDue:
		return m.release(now, p)
	case awaitingExpiry:
		if !now.Before(p.heldUntil) {
			m.markFree(p)
		}
	case releasing, free, recording:
	}
	return nil
}

func (m *Manager) markFree(p *piece) {
	p.phase = free
	p.Owner, p.Started, p.Address = "", 0, ""
	p.heldUntil, p.misdirectedUntil, p.inDoubtUntil, p.usableUntil = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	p.inDoubtEpoch, p.confirmedEpoch, p.channel = 0, 0, 0
	p.releaseUnanswered = false
}

func (m *Manager) grant(now time.Time, p *piece) Order {
	hold := m.Holds.Normal
	if m.longHolds {
		hold = m.Holds.Long
	}
	p.inFlight = true
	// Spread, so that the renewals of all pieces do not come in one burst.
	p.renewAt = now.Add(m.Holds.RenewInterval - m.jitter(m.Holds.RenewInterval/4+1))
	return &Grant{
		First: p.First, Last: p.Last, Epoch: p.epoch, Hold: hold,
		Owner: p.Incarnation(), Address: p.Address, Handover: p.handover, Channel: p.channel,
		Suspect: !m.owner(p.Incarnation()).unansweredSince.IsZero(),
	}
}

func (m *Manager) jitter(below time.Duration) time.Duration {
	if m.Jitter == nil {
		return 0
	}
	return m.Jitter(below)
}

// release takes a piece back. While an earlier grant is in doubt, a new one
// under a higher epoch comes first: once it is answered, the target refuses
// the one in doubt, which could otherwise take effect after the release.
func (m *Manager) release(now time.Time, p *piece) Order {
	if now.Before(p.inDoubtUntil) && p.attempts == 0 {
		m.assignEpoch(p)
		return m.grant(now, p)
	}
	p.phase, p.inFlight = releasing, true
	return &Release{
		First: p.First, Last: p.Last, Epoch: p.epoch,
		Owner: p.Incarnation(), Address: p.Address, HeldUntil: p.heldUntil,
	}
}
