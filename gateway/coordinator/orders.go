package coordinator

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/platform"
)

// orderTimeout bounds a grant. It is given up early, and its connection reset,
// since a grant without an answer counts as held from that moment.
const orderTimeout = 450 * time.Millisecond

// releaseTimeout bounds a release beyond the hold's end.
const releaseTimeout = 100 * time.Millisecond

// carryOut sends an order, or queues a write.
func (c *Coordinator) carryOut(k *ownership.Keeper, o ownership.Order) {
	l := c.leading
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

func (c *Coordinator) grant(l *leading, k *ownership.Keeper, o *ownership.Grant) {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	sent := time.Now()
	if !c.mayOrder(l) {
		event.OrderDropped.Log(c.Log, "term", l.lease.Term, "target", o.Owner.ID)
		return
	}
	err := c.Grants.Grant(ctx, o.Address, platform.Grant{
		First: o.First, Last: o.Last, Epoch: o.Epoch, Hold: o.Hold, Handover: o.Handover,
	})
	out := outcome(err)
	now := time.Now()
	if out != ownership.Done {
		event.GrantFailed.Log(c.Log, "service", k.Service, "target", o.Owner.ID, "first", o.First, "last", o.Last,
			"epoch", o.Epoch, "tookMs", now.Sub(sent).Milliseconds(), "error", err)
	}
	c.post(l.ctx, func() {
		c.noteRefused(k, o.Owner, err)
		k.Granted(now, sent, o, out)
	})
}

func (c *Coordinator) release(l *leading, k *ownership.Keeper, o *ownership.Release) {
	sent := time.Now()
	ctx, cancel := context.WithDeadline(l.ctx, o.Until.Add(releaseTimeout))
	defer cancel()
	if !c.mayOrder(l) {
		event.OrderDropped.Log(c.Log, "term", l.lease.Term, "target", o.Owner.ID)
		return
	}
	handover, err := c.Grants.Release(ctx, o.Address, o.First, o.Last, o.Epoch)
	now := time.Now()
	event.KeysReleased.Log(c.Log, "service", k.Service, "target", o.Owner.ID, "first", o.First, "last", o.Last,
		"epoch", o.Epoch, "handover", handover != "", "tookMs", now.Sub(sent).Milliseconds(), "error", err)
	c.post(l.ctx, func() {
		c.noteRefused(k, o.Owner, err)
		k.Released(now, o, handover, outcome(err))
	})
}

// mayOrder is asked last thing before an order is sent. It reads the lease's
// end without a lock: it only grows, and an old value is the safe one.
func (c *Coordinator) mayOrder(l *leading) bool {
	return l.ctx.Err() == nil && boottime() < time.Duration(l.goodUntil.Load())
}

// noteRefused takes a refused connection to a target that the platform no
// longer names as the proof of its end. While it is named, a partition that
// resets connections would look the same.
func (c *Coordinator) noteRefused(k *ownership.Keeper, owner roster.Life, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	if t := c.Roster.Load().Targets[owner.ID]; t != nil && t.Born <= owner.Born {
		return
	}
	event.TargetGone.Log(c.Log, "service", k.Service, "target", owner.ID, "proof", "refused and not named")
	k.Gone(owner)
}

// outcome tells what an order's error proves.
func outcome(err error) ownership.Outcome {
	var stale *platform.StaleEpochError
	var refused *platform.OrderError
	var op *net.OpError
	switch {
	case err == nil:
		return ownership.Done
	case errors.As(err, &stale):
		return ownership.Stale
	case errors.As(err, &refused):
		return ownership.Refused
	case errors.As(err, &op) && op.Op == "dial":
		return ownership.Unsent
	default:
		return ownership.Unknown
	}
}
