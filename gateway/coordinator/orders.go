package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/head"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/channel"
	"basilcross.example/platform"
)

// orderTimeout bounds a grant. A grant without a response counts as held from the moment at
// which its connection is reset, so it times out early.
const orderTimeout = 450 * time.Millisecond

// maxConcurrentGrants bounds the grants in flight of an instance with up to coresOfGrants, and maxConcurrentSuspects those to targets
// that leave orders unanswered, which would otherwise use up the capacity for the others. A
// new coordinator grants all keys again: if a small instance sent hundreds of calls at the
// same moment, they would wait for its processor until all of them timed out, and healthy
// targets would count as unresponsive.
const (
	maxConcurrentGrants   = 48
	maxConcurrentSuspects = 24
	coresOfGrants         = 0.8
)

// concurrentGrants returns the number of grants that an instance sends at a time. A successor
// must grant thousands of pieces again, half of them in another region, before their holds end.
func concurrentGrants(cores float64) int64 {
	return max(maxConcurrentGrants, int64(maxConcurrentGrants*cores/coresOfGrants))
}

// releaseTimeout is how long after the end of the hold a release may take.
const releaseTimeout = 100 * time.Millisecond

// execute starts to send an order, or queues a record for the next write.
func (c *Coordinator) execute(manager *ownership.Manager, o ownership.Order) {
	l := c.leadership
	switch o := o.(type) {
	case *ownership.Record:
		l.pending[manager.Service] = o
	case *ownership.Grant:
		c.group.Go(func() error {
			c.grant(l, manager, o)
			return nil
		})
	case *ownership.Release:
		c.group.Go(func() error {
			c.release(l, manager, o)
			return nil
		})
	}
}

func (c *Coordinator) grant(l *leadership, manager *ownership.Manager, o *ownership.Grant) {
	limit := l.grantLimit
	if o.Suspect {
		limit = l.suspectLimit
	}
	if limit.Acquire(l.ctx, 1) != nil {
		return
	}
	defer limit.Release(1)
	sent, err := c.sendGrant(l, manager.Service, o)
	outcome := orderOutcome(err)
	now := time.Now()
	c.recordLink(now, manager.Service, o.Owner.ID, err)
	if outcome != ownership.Done {
		event.GrantFailed.Log(c.Log, "service", manager.Service, "target", o.Owner.ID, "first", o.First, "last", o.Last,
			"epoch", o.Epoch, "channel", o.Channel, "tookMs", now.Sub(sent).Milliseconds(), "error", err)
	}
	c.enqueue(l.ctx, func() {
		manager.Granted(now, sent, o, outcome)
	})
}

// recordLink records whether an order found its target. Only a failed connection shows that it
// did not: a target may also leave orders unanswered.
func (c *Coordinator) recordLink(now time.Time, service, target string, err error) {
	var op *net.OpError
	var stale *platform.StaleEpochError
	var refused *platform.OrderError
	switch {
	case err == nil, errors.As(err, &stale), errors.As(err, &refused):
		c.Links.Reached(now, service, target)
	case errors.As(err, &op) && op.Op == "dial" && !errors.Is(err, context.Canceled):
		c.Links.Failed(now, service, target)
	}
}

// sendGrant sends a grant on the channel that its epoch is bound to. If the epoch was not
// sent yet, sendGrant takes any channel to the address and binds the epoch to it.
func (c *Coordinator) sendGrant(l *leadership, service string, o *ownership.Grant) (sent time.Time, err error) {
	sent = time.Now()
	acquireCtx, cancelAcquire := context.WithTimeout(l.ctx, orderTimeout)
	defer cancelAcquire()
	ch, err := c.Channels.Acquire(acquireCtx, o.Address, o.Channel)
	if err != nil {
		return sent, &unsentError{err}
	}
	defer ch.Release()
	if err := c.verifyTarget(l.ctx, service, ch, o); err != nil {
		return sent, &unsentError{err}
	}
	if !c.hasAuthority(l) {
		event.OrderDropped.Log(c.Log, "term", l.lease.Term, "target", o.Owner.ID)
		return sent, &unsentError{errNoAuthority}
	}
	if other := c.otherServiceTargetAt(service, o); other != "" {
		return sent, &unsentError{fmt.Errorf("target %s of another service is at %s", other, o.Address)}
	}
	if o.Channel == 0 {
		event.OrderChannel.Log(c.Log, "service", service, "target", o.Owner.ID, "address", o.Address,
			"channel", ch.Number, "first", o.First, "last", o.Last, "epoch", o.Epoch)
	}
	o.Channel, o.ChannelOpened = ch.Number, ch.Opened
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	sent = time.Now()
	grants, used := &platform.GrantClient{HTTP: ch.Client()}, ch.Used()
	err = grants.Grant(ctx, o.Address, platform.Grant{
		Target: o.Owner.ID, First: o.First, Last: o.Last, Epoch: o.Epoch, Hold: o.Hold, Handover: o.Handover,
	})
	if used && isRefusal(err) {
		// The response to this order may follow it.
		ch.Discard()
		err = &unprovenError{err}
	}
	return sent, err
}

// isRefusal reports whether an order's error is a response, which says that the target did not execute the order.
func isRefusal(err error) bool {
	var stale *platform.StaleEpochError
	var refused *platform.OrderError
	return errors.As(err, &stale) || errors.As(err, &refused)
}

// unprovenError is a response that may be a late second one to an earlier call on the same connection: a faulty
// target sends such, and responses to orders have no ID.
type unprovenError struct{ cause error }

func (e *unprovenError) Error() string {
	return "response on a reused connection proves nothing: " + e.cause.Error()
}

// Unwrap returns the response.
func (e *unprovenError) Unwrap() error { return e.cause }

// otherServiceTargetAt returns the ID of another service's target that is listed at the
// order's address and was started after the intended one; it would accept the order.
func (c *Coordinator) otherServiceTargetAt(service string, o *ownership.Grant) string {
	listed := c.Roster.Load().At(o.Address)
	if listed == nil || listed.Service == service || listed.Started <= o.Owner.Started {
		return ""
	}
	return listed.ID
}

// verifyTarget checks that the order's target is at the other end of the channel, if the
// target of another sharded service could be: that one would accept the keys. One response is
// valid for as long as the connection lasts; it must be the first one on it. The error is a *wrongTargetError if another
// target answers.
func (c *Coordinator) verifyTarget(ctx context.Context, service string, ch *channel.Channel, o *ownership.Grant) error {
	path := healthPath(c.Table(), service)
	if path == "" || ch.Target == o.Owner.ID {
		return nil
	}
	if ch.Target == "" && ch.Used() {
		// The response may be a late one to an earlier call.
		ch.Discard()
		return &channel.ClosedError{Address: o.Address, Number: ch.Number}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	health := &platform.HealthClient{HTTP: ch.Client()}
	id, err := health.TargetID(ctx, o.Address, path, o.Owner.ID)
	if err != nil {
		return err
	}
	ch.Target = id
	if id != o.Owner.ID {
		return &wrongTargetError{Address: o.Address, Want: o.Owner.ID, Got: id}
	}
	return nil
}

// healthPath returns the path at which a sharded service's targets return their IDs. It is
// empty if no other service is sharded: then no target can accept keys that were meant for
// another service's.
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

// wrongTargetError means that a target other than the intended one, or one without an ID,
// answers at an address.
type wrongTargetError struct{ Address, Want, Got string }

func (e *wrongTargetError) Error() string {
	return fmt.Sprintf("got target %q at %s, want %s", e.Got, e.Address, e.Want)
}

// unsentError means that no part of an order was sent.
type unsentError struct{ cause error }

func (e *unsentError) Error() string { return "order not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.cause }

var errNoAuthority = errors.New("authority to send orders has expired")

// NewReleaseClient returns a client that opens a connection for each release. The response to a release proves that work on its keys
// has ended; on a kept connection it could be a late second response to an earlier one.
func NewReleaseClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *platform.GrantClient {
	return &platform.GrantClient{HTTP: &http.Client{Transport: &http.Transport{
		DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: head.MaxUnscanned,
	}}}
}

func (c *Coordinator) release(l *leadership, manager *ownership.Manager, o *ownership.Release) {
	sent := time.Now()
	ctx, cancel := context.WithDeadline(l.ctx, o.HeldUntil.Add(releaseTimeout))
	defer cancel()
	if !c.hasAuthority(l) {
		event.OrderDropped.Log(c.Log, "term", l.lease.Term, "target", o.Owner.ID)
		// The authority may still be renewed, so the outcome is reported: the piece must not
		// wait for a response forever.
		c.enqueue(l.ctx, func() { manager.Released(time.Now(), o, "", ownership.Unsent) })
		return
	}
	handover, err := c.ReleaseClient.Release(ctx, o.Address, o.Owner.ID, o.First, o.Last, o.Epoch)
	now := time.Now()
	event.KeysReleased.Log(c.Log, "service", manager.Service, "target", o.Owner.ID, "first", o.First, "last", o.Last,
		"epoch", o.Epoch, "handover", handover != "", "tookMs", now.Sub(sent).Milliseconds(),
		"heldForMs", o.HeldUntil.Sub(now).Milliseconds(), "error", err)
	c.enqueue(l.ctx, func() {
		manager.Released(now, o, handover, orderOutcome(err))
	})
}

// hasAuthority reports whether orders may be sent in the term. It is checked last before an
// order is sent. The end of the authority is read without a lock: it only grows, and an
// outdated value is the safe one.
func (c *Coordinator) hasAuthority(l *leadership) bool {
	return l.ctx.Err() == nil && boottime() < time.Duration(l.authorityEnd.Load())
}

// detectReplacedOwners reports to the manager the owners that have certainly ended: those
// whose address has a target of another service that was started later, and that leave orders
// unanswered or are not listed any more. A refused connection proves nothing: a partition
// that resets connections looks the same. Targets of the manager's own service at the
// address are handled by the manager itself.
func (c *Coordinator) detectReplacedOwners(manager *ownership.Manager, table *routing.Table, view *roster.View) {
	for incarnation, owner := range manager.Owners() {
		replacement := view.At(owner.Address)
		if replacement == nil || replacement.Service == manager.Service || replacement.Started <= incarnation.Started {
			continue
		}
		if !owner.Unresponsive && view.Find(incarnation.ID) != nil {
			continue
		}
		service := table.Service(replacement.Service)
		sharded := service == nil || service.Sharded
		if manager.OwnerReplaced(incarnation, sharded) {
			event.TargetGone.Log(c.Log, "service", manager.Service, "target", incarnation.ID, "address", owner.Address,
				"now", replacement.ID, "nowService", replacement.Service, "divided", sharded)
		}
	}
}

func (c *Coordinator) inheritedLogger(service string) func(ownership.Piece, roster.Incarnation) {
	return func(p ownership.Piece, to roster.Incarnation) {
		event.KeysInherited.Log(c.Log, "service", service, "target", p.Owner, "address", p.Address,
			"now", to.ID, "first", p.First, "last", p.Last)
	}
}

// orderOutcome returns what an order's error proves about its execution.
func orderOutcome(err error) ownership.Outcome {
	var stale *platform.StaleEpochError
	var refused *platform.OrderError
	var closed *channel.ClosedError
	var unsent *unsentError
	var op *net.OpError
	var unproven *unprovenError
	switch {
	case err == nil:
		return ownership.Done
	case errors.As(err, &unproven):
		return ownership.Unknown
	case errors.As(err, &closed):
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
