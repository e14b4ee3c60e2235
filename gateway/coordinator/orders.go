package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/channel"
	"basilcross.example/platform"
)

// orderTimeout bounds a grant. It is given up early, and its connection reset,
// since a grant without an answer counts as held from that moment.
const orderTimeout = 450 * time.Millisecond

// grantsAtOnce is how many grants are under way at a time, and suspectsAtOnce
// the same for targets that leave orders unanswered, which would take all the
// places of the others. A new coordinator grants all keys anew: sent at the same
// moment by a small instance, hundreds of calls wait for its processor until
// all of them time out, and sound targets count as silent.
const (
	maxConcurrentGrants   = 48
	maxConcurrentSuspects = 24
)

// releaseTimeout bounds a release beyond the hold's end.
const releaseTimeout = 100 * time.Millisecond

// execute sends an order, or queues a write.
func (c *Coordinator) execute(k *ownership.Manager, o ownership.Order) {
	l := c.leadership
	switch o := o.(type) {
	case *ownership.Record:
		l.pending[k.Service] = o
	case *ownership.Grant:
		c.group.Go(func() error {
			c.grant(l, k, o)
			return nil
		})
	case *ownership.Release:
		c.group.Go(func() error {
			c.release(l, k, o)
			return nil
		})
	}
}

func (c *Coordinator) grant(l *leadership, k *ownership.Manager, o *ownership.Grant) {
	grants := l.grantLimit
	if o.Suspect {
		grants = l.suspectLimit
	}
	if grants.Acquire(l.ctx, 1) != nil {
		return
	}
	defer grants.Release(1)
	sent, err := c.sendGrant(l, k.Service, o)
	out := orderOutcome(err)
	now := time.Now()
	if out != ownership.Done {
		event.GrantFailed.Log(c.Log, "service", k.Service, "target", o.Owner.ID, "first", o.First, "last", o.Last,
			"epoch", o.Epoch, "channel", o.Channel, "tookMs", now.Sub(sent).Milliseconds(), "error", err)
	}
	c.enqueue(l.ctx, func() {
		k.Granted(now, sent, o, out)
	})
}

// sendGrant sends a grant on the channel that its epoch belongs to, or on any
// one, which it notes, if the epoch was not sent yet.
func (c *Coordinator) sendGrant(l *leadership, service string, o *ownership.Grant) (sent time.Time, err error) {
	sent = time.Now()
	takeCtx, stop := context.WithTimeout(l.ctx, orderTimeout)
	defer stop()
	on, err := c.Channels.Acquire(takeCtx, o.Address, o.Channel)
	if err != nil {
		return sent, &unsentError{err}
	}
	defer on.Release()
	if err := c.verifyTarget(l.ctx, service, on, o); err != nil {
		return sent, &unsentError{err}
	}
	if !c.hasAuthority(l) {
		event.OrderDropped.Log(c.Log, "term", l.lease.Term, "target", o.Owner.ID)
		return sent, &unsentError{errNoAuthority}
	}
	if at := c.otherServiceTargetAt(service, o); at != "" {
		return sent, &unsentError{fmt.Errorf("%s of another service lives at %s", at, o.Address)}
	}
	if o.Channel == 0 {
		event.OrderChannel.Log(c.Log, "service", service, "target", o.Owner.ID, "address", o.Address,
			"channel", on.Number, "first", o.First, "last", o.Last, "epoch", o.Epoch)
	}
	o.Channel, o.ChannelOpened = on.Number, on.Opened
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	sent = time.Now()
	grants := &platform.GrantClient{HTTP: on.Client()}
	return sent, grants.Grant(ctx, o.Address, platform.Grant{
		Target: o.Owner.ID, First: o.First, Last: o.Last, Epoch: o.Epoch, Hold: o.Hold, Handover: o.Handover,
	})
}

// otherServiceTargetAt returns another service's target that is named at the order's
// address and is younger than the one meant; it would take the order for its own.
func (c *Coordinator) otherServiceTargetAt(service string, o *ownership.Grant) string {
	at := c.Roster.Load().ByAddress[o.Address]
	if at == nil || at.Service == service || at.Started <= o.Owner.Started {
		return ""
	}
	return at.ID
}

// verifyTarget makes sure that the order's target is at the other end of the channel,
// if another divided service's target could be: that one would take the keys for
// its own. One answer tells for as long as the connection lasts.
func (c *Coordinator) verifyTarget(ctx context.Context, service string, on *channel.Channel, o *ownership.Grant) error {
	path := healthPath(c.Table(), service)
	if path == "" || on.Target == o.Owner.ID {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	health := &platform.HealthClient{HTTP: on.Client()}
	id, err := health.TargetID(ctx, o.Address, path, o.Owner.ID)
	if err != nil {
		return err
	}
	on.Target = id
	if id != o.Owner.ID {
		return &wrongTargetError{Address: o.Address, Want: o.Owner.ID, Got: id}
	}
	return nil
}

// healthPath returns where a divided service's targets tell their names. It is
// empty if no other service is divided: then none can take keys that were meant
// for another.
func healthPath(table *routing.Table, service string) string {
	if table == nil {
		return ""
	}
	path, others := "", false
	for _, s := range table.Config.Services {
		switch {
		case s.Name == service:
			path = s.HealthPath
		case s.Sharded:
			others = true
		}
	}
	if !others {
		return ""
	}
	return path
}

// wrongTargetError says that another target than the one meant, or one without a
// name, lives at an address.
type wrongTargetError struct{ Address, Want, Got string }

func (e *wrongTargetError) Error() string {
	return fmt.Sprintf("%q lives at %s, not %s", e.Got, e.Address, e.Want)
}

// unsentError is an order of which nothing was sent.
type unsentError struct{ cause error }

func (e *unsentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.cause }

var errNoAuthority = errors.New("the authority to send it has ended")

func (c *Coordinator) release(l *leadership, k *ownership.Manager, o *ownership.Release) {
	sent := time.Now()
	ctx, cancel := context.WithDeadline(l.ctx, o.HeldUntil.Add(releaseTimeout))
	defer cancel()
	if !c.hasAuthority(l) {
		event.OrderDropped.Log(c.Log, "term", l.lease.Term, "target", o.Owner.ID)
		// The authority may be renewed yet, and the piece must not wait for ever.
		c.enqueue(l.ctx, func() { k.Released(time.Now(), o, "", ownership.Unsent) })
		return
	}
	handover, err := c.Releases.Release(ctx, o.Address, o.Owner.ID, o.First, o.Last, o.Epoch)
	now := time.Now()
	event.KeysReleased.Log(c.Log, "service", k.Service, "target", o.Owner.ID, "first", o.First, "last", o.Last,
		"epoch", o.Epoch, "handover", handover != "", "tookMs", now.Sub(sent).Milliseconds(),
		"heldForMs", o.HeldUntil.Sub(now).Milliseconds(), "error", err)
	c.enqueue(l.ctx, func() {
		k.Released(now, o, handover, orderOutcome(err))
	})
}

// hasAuthority is asked last thing before an order is sent. It reads the lease's
// end without a lock: it only grows, and an old value is the safe one.
func (c *Coordinator) hasAuthority(l *leadership) bool {
	return l.ctx.Err() == nil && boottime() < time.Duration(l.authorityEnd.Load())
}

// detectReplacedOwners takes it as the proof of a target's end that another service's
// younger one has its address, if it leaves orders unanswered or is not named
// any more. A refused connection proves nothing: a partition that resets looks
// the same. What the manager's own service has at the address, it sees itself.
func (c *Coordinator) detectReplacedOwners(k *ownership.Manager, table *routing.Table, view *roster.View) {
	for life, owner := range k.Owners() {
		at := view.ByAddress[owner.Address]
		if at == nil || at.Service == k.Service || at.Started <= life.Started {
			continue
		}
		if !owner.Unresponsive && view.Targets[life.ID] != nil {
			continue
		}
		service := table.Service(at.Service)
		divided := service == nil || service.Sharded
		if k.OwnerReplaced(life, divided) {
			event.TargetGone.Log(c.Log, "service", k.Service, "target", life.ID, "address", owner.Address,
				"now", at.ID, "nowService", at.Service, "divided", divided)
		}
	}
}

// inheritedLogger returns what tells of keys that stay at their address.
func (c *Coordinator) inheritedLogger(service string) func(ownership.Piece, roster.Incarnation) {
	return func(p ownership.Piece, to roster.Incarnation) {
		event.KeysInherited.Log(c.Log, "service", service, "target", p.Owner, "address", p.Address,
			"now", to.ID, "first", p.First, "last", p.Last)
	}
}

// orderOutcome tells what an order's error proves.
func orderOutcome(err error) ownership.Outcome {
	var stale *platform.StaleEpochError
	var refused *platform.OrderError
	var lost *channel.ClosedError
	var unsent *unsentError
	var op *net.OpError
	switch {
	case err == nil:
		return ownership.Done
	case errors.As(err, &lost):
		return ownership.ChannelClosed
	case errors.As(err, &unsent):
		return ownership.Unsent
	case errors.As(err, &stale):
		return ownership.Stale
	case errors.As(err, &refused) && refused.NotExecuted():
		return ownership.Refused
	case errors.As(err, &op) && op.Op == "dial":
		return ownership.Unsent
	default:
		return ownership.Unknown
	}
}
