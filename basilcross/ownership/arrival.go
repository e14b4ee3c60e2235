package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// maxQueueDelay bounds how long a grant may arrive after the reset of its connection while
// its target's zone is heard and answers nothing: either the link to the zone is congested,
// or packets pass in one direction only. Without a bound, the keys of the latter's targets
// would not be served until the partition ends.
const maxQueueDelay = 10 * time.Second

// unprovenGrant is a grant without an answer whose bytes may not have arrived yet. The reset
// of its connection ends it only if the bytes had not left this instance: they may wait in
// the queue of a congested link for any time, with the reset behind them.
type unprovenGrant struct {
	// reset is when the connection was reset; zero if there is no such grant.
	reset time.Time
	hold  time.Duration
	// misdirected is set if it may have been sent to another service's target.
	misdirected bool
}

func (g unprovenGrant) join(o unprovenGrant) unprovenGrant {
	return unprovenGrant{later(g.reset, o.reset), max(g.hold, o.hold), g.misdirected || o.misdirected}
}

// zonePath is what is known about the path to an availability zone. A path is shared by
// all orders to the zone, and links deliver in order. So an answer to an order proves that
// everything that was sent before that order has arrived, or was lost.
type zonePath struct {
	// sent is when the latest answered order was sent, and answered when its answer arrived.
	sent, answered time.Time
	// heard is when anything was last received from the zone's instances.
	heard time.Time
}

func (z *zonePath) recordAnswer(now, sent time.Time) {
	if sent.After(z.sent) {
		z.sent, z.answered = sent, now
	}
}

func (m *Manager) path(zone string) *zonePath {
	if m.paths == nil {
		m.paths = map[string]*zonePath{}
	}
	z := m.paths[zone]
	if z == nil {
		z = &zonePath{}
		m.paths[zone] = z
	}
	return z
}

// RecordHeard records that something was received from an instance of the zone.
func (m *Manager) RecordHeard(now time.Time, zone string) { m.path(zone).heard = now }

// settleArrival ends the wait for the proof. The end of the piece's hold is recorded only
// now that it is known.
func (m *Manager) settleArrival(p *piece) {
	p.unproven = unprovenGrant{}
	m.dirty = m.dirty || p.phase == awaitingExpiry
}

// boundArrival extends the hold of a piece by the time that an unproven grant may take to
// arrive. listed is the owner's entry, or nil.
func (m *Manager) boundArrival(now time.Time, p *piece, listed *roster.Target) {
	s := m.owner(p.Incarnation())
	if s.zone == "" && listed != nil {
		s.zone = listed.Zone
	}
	g := p.unproven
	if g.reset.IsZero() {
		return
	}
	path := m.path(s.zone)
	arrived := now
	switch {
	case path.sent.After(g.reset):
		arrived = path.answered
		m.settleArrival(p)
	case now.Sub(g.reset) > maxQueueDelay:
		m.settleArrival(p)
		return
	case !path.heard.IsZero() && !path.heard.After(g.reset):
		// The zone has been silent since: it is lost, or cut off, and then the bytes were
		// lost with the reset.
		return
	}
	end := arrived.Add(maxHoldTime(g.hold))
	p.heldUntil, p.inDoubtUntil = later(p.heldUntil, end), later(p.inDoubtUntil, end)
	if g.misdirected {
		p.misdirectedUntil = later(p.misdirectedUntil, end)
	}
}
