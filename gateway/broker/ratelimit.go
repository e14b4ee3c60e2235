package broker

import (
	"slices"
	"time"

	"basilcross.example/basilcross/ratelimit"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/peers"
)

// recordRateLimit records what a target's answer says about its limit.
func (b *Broker) recordRateLimit(t *roster.Target, o outcome, reserved time.Time) {
	if b.OnStatement == nil {
		return
	}
	s := ratelimit.Statement{Sent: reserved, Answered: time.Now()}
	switch {
	case o.rateLimit != nil && *o.rateLimit < 0:
		return
	case o.rateLimit != nil:
		s.Stated, s.PerSecond = true, *o.rateLimit
	case o.result != schedule.Answered:
		// Only a target that has run the request surely speaks for itself.
		return
	}
	b.OnStatement(t, s)
}

// counting returns which part of the requests to a target with a limited rate this instance counts: all
// if it is the scheduler of a request while all listed instances respond, and less if it is the next one or the
// one after that, which replace instances that do not respond. No others count any: while none receives the
// messages of the others, each takes all others to be unresponsive.
func (b *Broker) counting(req *schedule.Request) schedule.Counting {
	hubs := b.Peers.Hubs(req.Zone)
	self := slices.IndexFunc(hubs, func(i peers.Instance) bool { return i.Name == b.Self.Name })
	if self < 0 || b.Stopping != nil && b.Stopping() {
		return schedule.CountsNone
	}
	own, rank := newCandidate(req, hubs[self]), 0
	for _, i := range hubs {
		if newCandidate(req, i).precedes(own) {
			rank++
		}
	}
	if rank >= int(schedule.CountsNone) {
		return schedule.CountsNone
	}
	return [...]schedule.Counting{schedule.CountsAll, schedule.CountsPart, schedule.CountsLess}[rank]
}

// handleCharges records the requests that others have sent to targets that this instance schedules.
func (b *Broker) handleCharges(list []peers.RateLimit) {
	for _, r := range list {
		if t := b.Roster.Load().Find(r.Target); r.IsCharge() && t != nil && t.Started == r.Started {
			b.Dispatcher.Charge(t)
		}
	}
}

// sendCharge reports to the instances that may schedule a target that this one, which replaces its scheduler for one
// that does not hear it, has sent it a request. They send it one less if its rate is limited.
func (b *Broker) sendCharge(t *roster.Target) {
	if b.Dispatcher.RateLimit == nil {
		return
	}
	if _, limited := b.Dispatcher.RateLimit(t.Incarnation()); !limited {
		return
	}
	var to []string
	for _, h := range b.Peers.Hubs(t.Zone) {
		if h.Name != b.Self.Name {
			to = append(to, h.Name)
		}
	}
	b.Peers.SendAll(to, &peers.Message{RateLimits: []peers.RateLimit{peers.NewCharge(t.ID, t.Started)}})
}
