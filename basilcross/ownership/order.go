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
	Channel uint64
	Opened  time.Time
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
	// Until is when the answer is of no more use.
	Until time.Time
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
	p.calling = false
	p.channel = o.Channel
	h := m.holder(o.Owner)
	switch out {
	case Done:
		end := now.Add(bound(o.Hold))
		p.until = later(p.until, end)
		if !m.sureOf(h, now, o) {
			p.stray = later(p.stray, end)
		}
		p.usable = sent.Add(time.Duration(float64(o.Hold) / clockDrift))
		p.handover = ""
		p.confirmed = max(p.confirmed, o.Epoch)
		if o.Epoch > p.doubtEpoch {
			// The target now refuses every lower epoch. Under an equal one, a
			// grant in doubt could still be applied after a release.
			p.doubt = time.Time{}
		}
		m.hear(h, sent)
		h.silent, h.forgiven = time.Time{}, 0
		return
	case ChannelClosed:
		// Whoever answers on another connection must not get the same epoch.
		m.renumber(p)
		p.renewAt = now
		return
	case Stale:
		m.renumber(p)
	case Unknown:
		end := now.Add(transit + bound(o.Hold))
		p.until = later(p.until, end)
		p.doubt = later(p.doubt, end)
		if !m.sureOf(h, now, o) {
			p.stray = later(p.stray, end)
		}
		p.doubtEpoch = max(p.doubtEpoch, o.Epoch)
		// Once the next one is answered, this one is refused if it comes late.
		m.renumber(p)
		h.fail(now)
	case Refused, Unsent:
		h.fail(now)
	}
	p.tries++
	p.renewAt = now.Add(retryAfter)
}

// Released reports the end of a release.
func (m *Manager) Released(now time.Time, o *Release, handover string, out Outcome) {
	p := m.find(o.First, o.Last, o.Owner)
	if p == nil || p.phase != releasing {
		return
	}
	p.calling = false
	if out == Done {
		p.handover = handover
		if !p.releaseLost {
			p.until = p.doubt
		}
		p.phase = waiting
		return
	}
	p.releaseLost = p.releaseLost || out == Unknown
	p.tries++
	p.phase = leaving
	if p.tries >= releaseTries || !now.Before(p.until) {
		p.phase = waiting
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
			p.phase = waiting
			continue
		}
		m.keep(now, p)
	}
}

// Owners returns the lifetimes that have pieces, with their addresses, and
// whether they leave orders unanswered.
func (m *Manager) Owners() map[roster.Incarnation]Owner {
	owners := map[roster.Incarnation]Owner{}
	for _, p := range m.pieces {
		if p.Owner != "" {
			owners[p.Life()] = Owner{Address: p.Address, Silent: !m.holder(p.Life()).silent.IsZero()}
		}
	}
	return owners
}

// Owner is what is known of a lifetime that has pieces.
type Owner struct {
	Address string
	Silent  bool
}

// Gone reports that a lifetime is proved to have ended, and that another
// service's target has its address now. That one was never meant; if its service
// is divided, strays may be in its hands: what was sent since nobody of this
// service was known to live there. One of an undivided service holds no keys.
// Gone tells whether this is news.
func (m *Manager) Gone(l roster.Incarnation, divided bool) bool {
	h := m.holder(l)
	news := !h.gone
	h.gone, h.strays = true, divided
	return news
}

func (m *Manager) find(first, last int, owner roster.Incarnation) *piece {
	for _, p := range m.pieces {
		if p.First == first && p.Last == last && p.Life() == owner {
			return p
		}
	}
	return nil
}
