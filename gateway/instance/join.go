package instance

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/egress"
	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/coordinator"
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
	// maxListDelay bounds the wait for the list of instances while the store is sending it.
	maxListDelay = 3 * time.Second
	// smallZone is the size of a zone, in instances, up to which each instance of the fleet reads
	// the whole list at its start: then it knows the other zones sooner.
	smallZone = 40
	// joinRetryDelay is the pause between two attempts, and joinRetryStep what is added for
	// each instance of the zone: all of them may be starting.
	joinRetryDelay = 50 * time.Millisecond
	joinRetryStep  = 4 * time.Millisecond
	// maxJoinTime bounds the attempts while the queried instances answer and have no tables
	// yet: they are starting too, or the store does not answer them. joinTimeoutStep is added
	// to it as well.
	maxJoinTime = 2 * time.Second
	// joinAnswerTimeout bounds the time until a queried instance answers, and
	// joinAttemptTimeout an attempt: the tables of a large fleet take most of a second on a link
	// of 10 Mbit/s. The next instance is queried too when one has not answered for
	// joinHedgeDelay, and joinHedgeStep for each instance of the zone: it may have crashed.
	joinAnswerTimeout  = 300 * time.Millisecond
	joinAttemptTimeout = 1500 * time.Millisecond
	joinHedgeDelay     = 50 * time.Millisecond
	joinHedgeStep      = time.Millisecond
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
	listed := s.readZone(ctx) || s.awaitInstances(ctx) || s.awaitSlowList(ctx)
	byRank := time.Duration(s.rank()) * joinTimeoutStep
	ctx, cancel := context.WithTimeout(ctx, maxJoinTime+byRank+time.Duration(s.zoneSize())*joinTimeoutStep)
	defer cancel()
	lastAnswer := time.Now()
	for listed && ctx.Err() == nil && s.rank() >= readerCount(s.zoneSize()) && time.Since(lastAnswer) < joinTimeout+byRank {
		copied, answered := s.copyFromReaders(ctx)
		if copied {
			s.passive.Store(true)
			// The readers send heartbeats as soon as they list this instance.
			s.noReaderSince = time.Now().Add(readerTimeout)
			return
		}
		if answered {
			lastAnswer = time.Now()
		}
		sleep(ctx, joinRetryDelay+time.Duration(s.zoneSize())*joinRetryStep)
	}
	s.setPassive(false)
	s.assignments.Refresh()
	s.instances.Refresh()
}

// readZone reads the instances of the zone from the store, and reports whether these are
// enough for now. If the zone is small, the whole list is read next. In a large zone that is
// done by its feed readers, from which the others copy it. At the first start of a fleet all
// write their rows first.
func (s *replicator) readZone(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, s.listTimeout())
	defer cancel()
	for s.settings.Bootstrap && ctx.Err() == nil && !s.registered.Load() {
		sleep(ctx, listPollInterval)
	}
	rows, err := s.store.Prefix(ctx, coordinator.ZoneInstanceTable, zoneKey(s.settings.Zone))
	if err != nil {
		event.StoreCallFailed.Log(s.log, "call", "list zone", "error", err)
		s.instances.Refresh()
		return false
	}
	for _, r := range rows {
		var i peers.Instance
		if err := json.Unmarshal(r.Value, &i); err != nil {
			event.RowUnusable.Log(s.log, "table", r.Table, "key", r.Key, "revision", r.Revision, "error", err)
			continue
		}
		if i.Name != s.settings.Instance {
			s.peers.Add(i)
		}
	}
	if s.zoneSize() <= smallZone {
		s.instances.Refresh()
		return false
	}
	return true
}

func (i *Instance) awaitInstances(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, i.listTimeout())
	defer cancel()
	for ctx.Err() == nil && i.instances.Failing() {
		sleep(ctx, listPollInterval)
	}
	return !i.instances.Failing()
}

// awaitSlowList waits for a list of instances that the store takes long to send, or that a seed
// has. It reports whether the list has arrived.
func (s *replicator) awaitSlowList(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxListDelay)
	defer cancel()
	for ctx.Err() == nil && s.instances.Failing() {
		for _, seed := range s.liveSettings.Load().Seeds {
			if seed != s.settings.ControlListen && s.instances.Failing() {
				attempt, done, _ := egress.WithFirstByte(ctx, joinAnswerTimeout)
				(&catchUp{Instance: s.Instance}).requestState(attempt, seed, []*mirror.Mirror{s.instances})
				done()
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
// feed readers, and reports whether all that a passive instance needs has arrived, and
// whether any of them answered.
func (s *replicator) copyFromReaders(ctx context.Context) (copied, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, joinAttemptTimeout)
	defer cancel()
	mirrors := slices.Concat(s.polledMirrors, []*mirror.Mirror{s.assignments, s.instances})
	var anyAnswer atomic.Bool
	var group errgroup.Group
	for n, source := range s.sources() {
		group.Go(func() error {
			sleep(ctx, time.Duration(n)*(joinHedgeDelay+time.Duration(s.zoneSize())*joinHedgeStep))
			if ctx.Err() == nil {
				attempt, stop, _ := egress.WithFirstByte(ctx, joinAnswerTimeout)
				defer stop()
				if (&catchUp{Instance: s.Instance}).requestState(attempt, source.Control, mirrors) {
					anyAnswer.Store(true)
				}
			}
			if s.hasCopies() {
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	return s.hasCopies(), anyAnswer.Load()
}

func (s *replicator) hasCopies() bool {
	for _, m := range s.polledMirrors {
		if m.Revision() == 0 {
			return false
		}
	}
	// Without the list, slots of other zones' targets could not be reserved there.
	return !s.instances.Failing()
}

// sources returns the zone's highest-ranking other instances, in an order that
// spreads the calls over the feed readers.
func (s *replicator) sources() []peers.Instance {
	var list []peers.Instance
	for _, i := range s.peers.Zone(s.settings.Zone) {
		if i.Name != s.settings.Instance {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, compareRank)
	list = list[:min(len(list), maxJoinSources)]
	if n := min(len(list), readerCount(s.zoneSize())); n > 1 && s.rank()%n == 1 {
		list[0], list[1] = list[1], list[0]
	}
	return list
}
