package ownership

import (
	"math/rand/v2"
	"time"

	"basilcross.example/basilcross/roster"
)

// balanceEvery is how often the load is looked at; hot keys last for seconds.
const balanceEvery = 250 * time.Millisecond

// StoreInDoubt tells whether the store answers at present. While it does not,
// the authority to renew may be about to end, so holds are granted for long.
func (k *Keeper) StoreInDoubt(now time.Time, doubt bool) {
	if doubt && !k.long {
		for _, p := range k.pieces {
			p.renewAt = now
		}
	}
	k.long = doubt
}

// Step returns the orders due. Targets are those that the platform names for
// the service.
func (k *Keeper) Step(now time.Time, targets []*roster.Target) []Order {
	named := make(map[string]*roster.Target, len(targets))
	for _, t := range targets {
		named[t.ID] = t
	}
	var orders []Order
	for _, p := range k.pieces {
		if p.Owner != "" && !p.calling {
			k.follow(now, p, named[p.Owner])
		}
		if o := k.advance(now, p); o != nil {
			orders = append(orders, o)
		}
	}
	if k.writing {
		return orders
	}
	k.join()
	if !now.Before(k.balanceAt) {
		k.balanceAt = now.Add(balanceEvery)
		k.balance(now, targets)
	}
	k.assign(now, targets)
	if k.dirty {
		k.dirty, k.writing = false, true
		orders = append(orders, &Record{Assignment: k.Assignment()})
	}
	return orders
}

// follow takes in what the platform and the orders' answers say of the owner.
func (k *Keeper) follow(now time.Time, p *piece, t *roster.Target) {
	if t != nil && t.Born > p.Born {
		k.reborn(now, p, t)
	}
	if p.phase != held {
		return
	}
	h := k.holder(p.Life())
	switch {
	case h.gone:
		p.phase, p.cause = waiting, OwnerLost
	case !h.silent.IsZero() && now.Sub(h.silent) > silentAfter:
		// It may still hold the keys, whatever is sent to it now.
		p.phase, p.cause = waiting, OwnerLost
		k.dirty = true
	case t == nil || t.Draining:
		p.phase, p.cause, p.tries = leaving, OwnerLeaving, 0
	}
}

// reborn goes on with the owner's new lifetime. The old one is over, but a
// renewal may have reached the new one already, so the keys are not free: they
// are granted to it anew, and leave it, if they shall, by a release.
func (k *Keeper) reborn(now time.Time, p *piece, t *roster.Target) {
	if p.phase == waiting {
		// Given up already, perhaps on record; nothing may be granted on it.
		return
	}
	p.Born, p.Address = t.Born, t.Address
	p.epoch = k.nextEpoch()
	p.renewAt = now
	k.dirty = true
}

// advance takes the piece's next step.
func (k *Keeper) advance(now time.Time, p *piece) Order {
	if p.calling {
		return nil
	}
	switch p.phase {
	case held:
		if now.Before(p.renewAt) {
			return nil
		}
		return k.grant(now, p)
	case leaving:
		return k.release(now, p)
	case waiting:
		if !now.Before(p.until) || k.holder(p.Life()).gone {
			k.freed(p)
		}
	case releasing, free, recording:
	}
	return nil
}

func (k *Keeper) freed(p *piece) {
	p.phase = free
	p.Owner, p.Born, p.Address = "", 0, ""
}

func (k *Keeper) grant(now time.Time, p *piece) Order {
	hold := k.Holds.Usual
	if k.long {
		hold = k.Holds.Long
	}
	p.calling = true
	// Spread, so that the renewals of all pieces do not come in one burst.
	p.renewAt = now.Add(k.Holds.Every - rand.N(k.Holds.Every/4+1))
	return &Grant{
		First: p.First, Last: p.Last, Epoch: p.epoch, Hold: hold,
		Owner: p.Life(), Address: p.Address, Handover: p.handover,
		Suspect: !k.holder(p.Life()).silent.IsZero(),
	}
}

// release takes a piece back. While an earlier grant is in doubt, a new one
// under a higher epoch comes first: once it is answered, the target refuses
// the one in doubt, which could otherwise take effect after the release.
func (k *Keeper) release(now time.Time, p *piece) Order {
	if now.Before(p.doubt) && p.tries == 0 {
		p.epoch = k.nextEpoch()
		return k.grant(now, p)
	}
	p.phase, p.calling = releasing, true
	return &Release{
		First: p.First, Last: p.Last, Epoch: p.epoch,
		Owner: p.Life(), Address: p.Address, Until: p.until,
	}
}
