package instance

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"golang.org/x/sync/errgroup"
)

const (
	// joinTimeout is how long an instance that starts tries to copy the tables from
	// other instances before it reads the store, and joinTimeoutStep what is added for
	// each instance of the zone that ranks before it: if a whole fleet starts and all
	// read the store, none of them gets the tables in time.
	joinTimeout     = 500 * time.Millisecond
	joinTimeoutStep = 50 * time.Millisecond
	// hubJoinTimeout and hubJoinRetryDelay replace joinTimeout and joinRetryDelay for the hubs
	// of a large zone that are not to be its readers: these read thousands of targets first. At
	// the first start of a fleet any zone may be a large one.
	hubJoinTimeout    = 3 * time.Second
	hubJoinRetryDelay = 200 * time.Millisecond
	// maxListDelay bounds the wait for the list of instances while the store is sending it.
	maxListDelay = 3 * time.Second
	// joinRetryDelay is the pause between two attempts: the zone's other instances
	// may be starting too.
	joinRetryDelay = 50 * time.Millisecond
	// joinAttemptTimeout bounds the time until an attempt is answered. The next instance is queried
	// too when one has not answered for joinHedgeDelay: it may have crashed.
	joinAttemptTimeout = 300 * time.Millisecond
	joinHedgeDelay     = 50 * time.Millisecond
	maxJoinSources     = 3
	// instanceListTimeout bounds the wait for the list of instances, and
	// bootstrapListTimeout the same at the first start of the fleet: all instances
	// write their rows at once then, and the store writes one after the other.
	instanceListTimeout  = 250 * time.Millisecond
	bootstrapListTimeout = 1500 * time.Millisecond
	listPollInterval     = 10 * time.Millisecond
	// maxFirstCopyDelay is how long a mirror waits for another instance's copy before it
	// reads the store, if join does not end the wait.
	maxFirstCopyDelay = 8 * time.Second
)

// join fills the mirrors for the first time: from the zone's feed readers, or from
// the store if this instance is to be a reader. Reading everything from the store
// takes an instance up to eight calls, and a whole fleet may start at once.
func (s *replicator) join(ctx context.Context) {
	defer s.joined.Store(true)
	listed := s.awaitInstances(ctx) || s.awaitSlowList(ctx)
	if listed && s.peers.SelfIsThin() {
		s.setThin(true)
		s.joinThin(ctx)
		return
	}
	timeout, pause := s.joinLimits()
	deadline := time.Now().Add(timeout)
	for listed && ctx.Err() == nil && time.Now().Before(deadline) && s.rank() >= readerCount(s.zoneSize()) {
		if s.copyFromReaders(ctx) {
			s.passive.Store(true)
			// The readers send heartbeats as soon as they list this instance.
			s.noReaderSince = time.Now().Add(readerTimeout)
			return
		}
		sleep(ctx, pause)
	}
	s.setPassive(false)
	s.assignments.Refresh()
}

// joinLimits returns how long this instance tries to copy the tables, and the pause between two
// attempts.
func (s *replicator) joinLimits() (timeout, pause time.Duration) {
	rank := time.Duration(s.rank())
	if s.settings.Bootstrap || s.zoneSize() >= peers.MaxListed {
		return hubJoinTimeout + rank*hubTakeoverStep, hubJoinRetryDelay
	}
	return joinTimeout + rank*joinTimeoutStep, joinRetryDelay
}

func (i *Instance) awaitInstances(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, i.listTimeout())
	defer cancel()
	for ctx.Err() == nil && i.instances.Failing() {
		sleep(ctx, listPollInterval)
	}
	return !i.instances.Failing()
}

// awaitSlowList waits for a list of instances that the store has begun to send, or that a
// seed has. It reports whether the list has arrived.
func (s *replicator) awaitSlowList(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxListDelay)
	defer cancel()
	for ctx.Err() == nil && s.instances.Failing() && !s.instances.CallFailed() {
		for _, seed := range s.liveSettings.Load().Seeds {
			if seed != s.settings.ControlListen && s.instances.Failing() {
				(&catchUp{Instance: s.Instance}).requestState(ctx, seed, []*mirror.Mirror{s.instances}, joinAttemptTimeout, nil)
			}
		}
		sleep(ctx, joinRetryDelay)
	}
	return !s.instances.Failing()
}

func (i *Instance) listTimeout() time.Duration {
	if i.settings.Bootstrap {
		return bootstrapListTimeout
	}
	return instanceListTimeout
}

// copyFromReaders fetches the tables from the instances that should be the zone's
// feed readers, and reports whether all that a passive instance needs has arrived.
func (s *replicator) copyFromReaders(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mirrors := slices.DeleteFunc(slices.Concat(s.polledMirrors, []*mirror.Mirror{s.assignments}), (*mirror.Mirror).Suspended)
	// Copies that arrive side by side would share this instance's link.
	var arriving atomic.Bool
	var group errgroup.Group
	for n, source := range s.sources() {
		group.Go(func() error {
			sleep(ctx, time.Duration(n)*joinHedgeDelay)
			for arriving.Load() && ctx.Err() == nil {
				sleep(ctx, joinHedgeDelay)
			}
			if ctx.Err() == nil {
				begun := false
				(&catchUp{Instance: s.Instance}).requestState(ctx, source.Control, mirrors, joinAttemptTimeout, func() {
					begun = true
					arriving.Store(true)
				})
				if begun {
					arriving.Store(false)
				}
			}
			if s.hasCopies() {
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	return s.hasCopies()
}

func (s *replicator) hasCopies() bool {
	for _, m := range s.polledMirrors {
		if m.Revision() == 0 && !m.Suspended() {
			return false
		}
	}
	return true
}

// sources returns the zone's highest-ranking other instances, in an order that
// spreads the calls over the feed readers.
func (s *replicator) sources() []peers.Instance {
	var list []peers.Instance
	for _, i := range s.peers.Hubs(s.settings.Zone) {
		if i.Name != s.settings.Instance {
			list = append(list, i)
		}
	}
	if s.thin.Load() && len(list) > 0 {
		first := int(s.nameHash() % uint64(len(list)))
		list = slices.Concat(list[first:], list[:first])
		return list[:min(len(list), maxJoinSources)]
	}
	list = list[:min(len(list), maxJoinSources)]
	if n := min(len(list), readerCount(s.zoneSize())); n > 1 && s.rank()%n == 1 {
		list[0], list[1] = list[1], list[0]
	}
	return list
}
