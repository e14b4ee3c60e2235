package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// balanceEvery is how often the load is looked at; hot keys last for seconds.
const balanceEvery = 250 * time.Millisecond

// StoreInDoubt tells whether the store answers at present. While it does not,
// the authority to renew may be about to end, so holds are granted for long.
func (m *Manager) StoreInDoubt(now time.Time, doubt bool) {
	if doubt && !m.long {
		for _, p := range m.pieces {
			p.renewAt = now
		}
	}
	m.long = doubt
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
		if p.Owner != "" && !p.calling {
			m.follow(now, p, named[p.Owner], resident[p.Address])
		}
		if o := m.advance(now, p); o != nil {
			orders = append(orders, o)
		}
	}
	if m.writing {
		return orders
	}
	m.join()
	if !now.Before(m.balanceAt) {
		m.balanceAt = now.Add(balanceEvery)
		m.forgetSpeeds(named)
		m.balance(now, targets)
	}
	m.assign(now, targets)
	if m.dirty {
		m.dirty, m.writing = false, true
		orders = append(orders, &Record{Assignment: m.Assignment()})
	}
	return orders
}

// follow takes in what the platform and the orders' answers say of the owner,
// and of who lives at its address.
func (m *Manager) follow(now time.Time, p *piece, t, resident *roster.Target) {
	if p.phase == free || p.phase == recording {
		return
	}
	if resident != nil && resident.Started > p.Born {
		m.inherit(now, p, resident)
		return
	}
	h := m.holder(p.Life())
	if h.gone {
		m.ownerLost(now, p, h.strays)
	}
	if p.phase != held {
		return
	}
	switch {
	case !h.silent.IsZero() && now.Sub(h.silent) > silentAfter:
		// It may still hold the keys, whatever is sent to it now.
		p.phase, p.cause = waiting, OwnerLost
		m.dirty = true
	case t == nil || t.Draining:
		p.phase, p.cause, p.tries = leaving, OwnerLeaving, 0
	case t.Started > p.Born:
		// It lives elsewhere now. Its former address may have gone to another
		// one, which may have taken what was meant for it.
		p.phase, p.cause, p.tries = leaving, OwnerLost, 0
	}
}

// inherit gives a piece to the younger target at its owner's address. The owner
// has ended, but the keys are not free: any order that was sent since may have
// reached the younger one, which has seen no epoch and takes them all. Only one
// process lives at an address, so what it may hold stays in its hands, and all
// bounds with it; its first answer under a new epoch shuts the former ones out.
func (m *Manager) inherit(now time.Time, p *piece, to *roster.Target) {
	givenUp := p.phase == waiting
	if givenUp && m.writing {
		// What is being written does not say so.
		return
	}
	if m.Inherited != nil {
		m.Inherited(p.Piece, to.Incarnation())
	}
	delete(m.speeds, to.ID)
	p.Owner, p.Born = to.ID, to.Started
	p.cause, p.wanted = OwnerLost, ""
	p.usable = time.Time{}
	m.dirty = true
	m.Moved.Lost++
	if givenUp {
		// The store may have it as free from some moment on: first it must not.
		p.phase = recording
		return
	}
	// The store has the address, which is what counts for a successor.
	m.keep(now, p)
}

// keep has a piece granted to its owner under a new epoch.
func (m *Manager) keep(now time.Time, p *piece) {
	p.phase = held
	m.renumber(p)
	p.renewAt = now
	p.tries = 0
}

// ownerLost gives up a piece whose owner has ended and left its address to another
// service's target, for which only strays have to be waited.
func (m *Manager) ownerLost(now time.Time, p *piece, strays bool) {
	left := p.stray
	if !strays {
		left = time.Time{}
	}
	p.until, p.doubt = earlier(p.until, left), earlier(p.doubt, left)
	if p.phase == waiting {
		return
	}
	p.phase, p.cause = waiting, OwnerLost
	m.dirty = m.dirty || now.Before(p.until)
}

// advance takes the piece's next step.
func (m *Manager) advance(now time.Time, p *piece) Order {
	if p.calling {
		return nil
	}
	switch p.phase {
	case held:
		if now.Before(p.renewAt) {
			return nil
		}
		return m.grant(now, p)
	case leaving:
		return m.release(now, p)
	case waiting:
		if !now.Before(p.until) {
			m.freed(p)
		}
	case releasing, free, recording:
	}
	return nil
}

func (m *Manager) freed(p *piece) {
	p.phase = free
	p.Owner, p.Born, p.Address = "", 0, ""
	p.until, p.stray, p.doubt, p.usable = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	p.doubtEpoch, p.confirmed, p.channel = 0, 0, 0
	p.releaseLost = false
}

func (m *Manager) grant(now time.Time, p *piece) Order {
	hold := m.Holds.Usual
	if m.long {
		hold = m.Holds.Long
	}
	p.calling = true
	// Spread, so that the renewals of all pieces do not come in one burst.
	p.renewAt = now.Add(m.Holds.Every - m.jitter(m.Holds.Every/4+1))
	return &Grant{
		First: p.First, Last: p.Last, Epoch: p.epoch, Hold: hold,
		Owner: p.Life(), Address: p.Address, Handover: p.handover, Channel: p.channel,
		Suspect: !m.holder(p.Life()).silent.IsZero(),
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
	if now.Before(p.doubt) && p.tries == 0 {
		m.renumber(p)
		return m.grant(now, p)
	}
	p.phase, p.calling = releasing, true
	return &Release{
		First: p.First, Last: p.Last, Epoch: p.epoch,
		Owner: p.Life(), Address: p.Address, Until: p.until,
	}
}
