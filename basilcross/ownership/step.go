package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// balanceInterval is the time between rounds of balancing; hot keys last for
// seconds.
const balanceInterval = 250 * time.Millisecond

// SetStoreInDoubt sets whether the store fails to answer. While it does, the
// authority to renew may be about to end, so long holds are granted.
func (m *Manager) SetStoreInDoubt(now time.Time, inDoubt bool) {
	if inDoubt && !m.longHolds && m.hold() < m.Holds.Long {
		for _, p := range m.pieces {
			p.renewAt = now
		}
	}
	m.longHolds = inDoubt
}

// SetUnlinked sets whether this instance's own links to the targets are down. While they are, the
// keys stay with their owners, whose grants another coordinator can renew, and orders without an
// answer say nothing about the owners.
func (m *Manager) SetUnlinked(now time.Time, unlinked bool) {
	if unlinked == m.unlinked {
		return
	}
	m.unlinked = unlinked
	if unlinked {
		m.unlinkedSince = now
		return
	}
	for _, s := range m.owners {
		if !s.unansweredSince.IsZero() {
			s.unansweredSince = s.unansweredSince.Add(now.Sub(later(m.unlinkedSince, s.unansweredSince)))
		}
	}
	for _, p := range m.pieces {
		if p.phase == held && !p.inFlight {
			p.renewAt = now
		}
	}
}

// Targets are the listed targets of a service. They must not change.
type Targets struct {
	list      []*roster.Target
	byID      map[string]*roster.Target
	byAddress map[string]*roster.Target
}

// NewTargets returns the targets with their indexes.
func NewTargets(list []*roster.Target) *Targets {
	t := &Targets{list: list, byID: make(map[string]*roster.Target, len(list)), byAddress: make(map[string]*roster.Target, len(list))}
	for _, target := range list {
		t.byID[target.ID] = target
		if other := t.byAddress[target.Address]; other == nil || other.Started < target.Started {
			t.byAddress[target.Address] = target
		}
	}
	return t
}

// Step returns the orders that are due.
func (m *Manager) Step(now time.Time, targets *Targets) []Order {
	var orders []Order
	for _, p := range m.pieces {
		if p.Owner != "" && !p.inFlight {
			m.boundArrival(now, p, targets.byID[p.Owner])
			m.applyOwnerState(now, p, targets.byID[p.Owner], targets.byAddress[p.Address])
		}
		if o := m.advance(now, p); o != nil {
			orders = append(orders, o)
		}
	}
	if m.writing {
		return orders
	}
	m.coalesce()
	if !m.unlinked && !now.Before(m.nextBalance) {
		m.nextBalance = now.Add(balanceInterval)
		m.dropLatencies(targets.byID)
		m.balance(now, targets.list)
	}
	m.assign(now, targets.list)
	if m.dirty {
		m.dirty, m.writing = false, true
		orders = append(orders, &Record{Assignment: m.Assignment()})
	}
	return orders
}

// applyOwnerState updates a piece by the state of its owner. listed is the target
// listed under the owner's name, and youngest the youngest one listed at its
// address; either may be nil.
func (m *Manager) applyOwnerState(now time.Time, p *piece, listed, youngest *roster.Target) {
	if p.phase == free || p.phase == recording {
		return
	}
	if youngest != nil && youngest.Started > p.Started {
		m.inherit(now, p, youngest)
		return
	}
	s := m.owner(p.Incarnation())
	if s.ended {
		m.awaitMisdirected(now, p, s.misdirected)
	}
	if p.phase != held {
		return
	}
	switch {
	case !m.unlinked && !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) > unresponsiveTimeout:
		// The owner may still hold the keys, whatever is sent to it now.
		p.phase, p.cause = awaitingExpiry, OwnerLost
		m.dirty = true
	case listed == nil || listed.Draining:
		p.phase, p.cause, p.attempts = releaseDue, OwnerLeaving, 0
	case listed.Started > p.Started:
		// The owner has restarted at another address. Its former address may belong
		// to another target, which may have received the grants meant for it.
		p.phase, p.cause, p.attempts = releaseDue, OwnerLost, 0
	}
}

// inherit gives a piece to the younger target at its owner's address. The owner has
// ended, but orders sent since then may have reached the younger target, which has
// seen no epoch and accepts them all. Only one process runs at an address, so the
// keys and time limits stay with it; its first answer under a new epoch fences the
// former grants.
func (m *Manager) inherit(now time.Time, p *piece, to *roster.Target) {
	abandoned := p.phase == awaitingExpiry
	if abandoned && m.writing {
		// The write in flight does not contain the new owner.
		return
	}
	if m.OnInherit != nil {
		m.OnInherit(p.Piece, to.Incarnation())
	}
	m.dropLatency(to.ID)
	p.Owner, p.Started = to.ID, to.Started
	p.cause, p.destination = OwnerLost, ""
	p.usableUntil = time.Time{}
	m.dirty = true
	m.Moves.Lost++
	if abandoned {
		// The store may record the piece as free from some time on; that must be
		// replaced before the piece is granted.
		p.phase = recording
		return
	}
	// The recorded address is still right, and a later coordinator needs no more.
	m.regrant(now, p)
}

// regrant makes a grant to the owner due, under a new epoch.
func (m *Manager) regrant(now time.Time, p *piece) {
	p.phase = held
	m.assignEpoch(p)
	p.renewAt = now
	p.attempts = 0
}

// awaitMisdirected takes a piece from an owner that has ended and whose address
// belongs to another service's target. Only grants that were misdirected to that
// target, if any, still have to expire.
func (m *Manager) awaitMisdirected(now time.Time, p *piece, misdirected bool) {
	end := p.misdirectedUntil
	if !misdirected {
		end = time.Time{}
	}
	p.heldUntil, p.inDoubtUntil = earlier(p.heldUntil, end), earlier(p.inDoubtUntil, end)
	if p.phase == awaitingExpiry {
		return
	}
	p.phase, p.cause = awaitingExpiry, OwnerLost
	m.dirty = m.dirty || now.Before(p.heldUntil)
}

// advance performs the piece's next step, and returns the order for it, or nil.
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
	p.inDoubtEpoch, p.confirmedEpoch, p.channel, p.unproven = 0, 0, 0, unprovenGrant{}
	p.releaseUnanswered = false
}

func (m *Manager) grant(now time.Time, p *piece) Order {
	hold, interval := m.hold(), m.renewInterval()
	if m.longHolds {
		hold = m.Holds.Long
	}
	p.inFlight = true
	// The jitter keeps the renewals of all pieces from arriving in one burst.
	p.renewAt = now.Add(interval - m.jitter(interval/4+1))
	return &Grant{
		First: p.First, Last: p.Last, Epoch: p.epoch, Hold: hold,
		Owner: p.Incarnation(), Address: p.Address, Handover: p.handover, Channel: p.channel,
		Suspect: !m.owner(p.Incarnation()).unansweredSince.IsZero(),
	}
}

// maxRenewalsPerSecond is the number of renewals above which they are sent less often, and
// holds last longer for it.
const maxRenewalsPerSecond = 1500

// renewInterval is the time between two renewals of a piece. It grows with their number, as
// far as the longest hold permits.
func (m *Manager) renewInterval() time.Duration {
	wanted := time.Duration(len(m.pieces)) * time.Second / maxRenewalsPerSecond
	return max(m.Holds.RenewInterval, min(wanted, m.Holds.Long-m.Holds.Normal+m.Holds.RenewInterval))
}

// hold is the time for which pieces are granted while the store answers.
func (m *Manager) hold() time.Duration {
	return m.Holds.Normal + m.renewInterval() - m.Holds.RenewInterval
}

func (m *Manager) jitter(below time.Duration) time.Duration {
	if m.Jitter == nil {
		return 0
	}
	return m.Jitter(below)
}

// release takes a piece back. While an earlier grant is in doubt, a new one
// under a higher epoch comes first: once it is answered, the target refuses the
// one in doubt, which could otherwise take effect after the release.
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
