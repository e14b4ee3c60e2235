package instance

import (
	"context"
	"slices"
	"time"

	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"golang.org/x/sync/errgroup"
)

const (
	// joinTimeout is how long an instance that starts tries to get its first copies
	// from others before it reads the store.
	joinTimeout = 500 * time.Millisecond
	// joinRetryDelay is the pause between two tries: others of the zone may be
	// starting too.
	joinRetryDelay = 50 * time.Millisecond
	// joinAttemptTimeout bounds a try. While one instance has not answered for joinNext, the
	// next one is asked too: the first may be dead.
	joinAttemptTimeout = 300 * time.Millisecond
	joinHedgeDelay     = 50 * time.Millisecond
	// maxJoinSources is how many instances are asked.
	maxJoinSources = 3
	// instanceListTimeout is how long the list of instances is waited for. firstListFor is the
	// same at the first start of the fleet, when all write their rows at once, which
	// the store takes one after the other.
	instanceListTimeout  = 250 * time.Millisecond
	bootstrapListTimeout = 1500 * time.Millisecond
	// listPollInterval is how often the list is looked for.
	listPollInterval = 10 * time.Millisecond
	// maxFirstCopyDelay is when a copy is read from the store at the latest.
	maxFirstCopyDelay = bootstrapListTimeout + joinTimeout + 500*time.Millisecond
)

// join gets the first copies of the tables: from those who read for the zone, or,
// if this instance is to be one of them, from the store. An instance takes up to
// eight calls to read everything, and a whole fleet may start at once.
func (s *replicator) join(ctx context.Context) {
	defer s.joined.Store(true)
	known := s.awaitInstances(ctx)
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for known && ctx.Err() == nil && s.rank() >= readerCount(s.zoneSize()) {
		if s.copyFromReaders(ctx) {
			s.passive.Store(true)
			// Signs of life come as soon as the readers know of this instance.
			s.noReaderSince = time.Now().Add(readerTimeout)
			return
		}
		sleep(ctx, joinRetryDelay)
	}
	s.setPassive(false)
	s.assignments.Refresh()
}

// awaitInstances waits for the list of instances, and tells whether it has come.
func (i *Instance) awaitInstances(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, i.listTimeout())
	defer cancel()
	for ctx.Err() == nil && i.instances.Failing() {
		sleep(ctx, listPollInterval)
	}
	return !i.instances.Failing()
}

func (i *Instance) listTimeout() time.Duration {
	if i.settings.Bootstrap {
		return bootstrapListTimeout
	}
	return instanceListTimeout
}

// copyFromReaders asks those who should read for the zone for their copies, and
// tells whether all that a listener needs has come.
func (s *replicator) copyFromReaders(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, joinAttemptTimeout)
	defer cancel()
	wanted := slices.Concat(s.polledMirrors, []*mirror.Mirror{s.assignments})
	var group errgroup.Group
	for n, source := range s.sources() {
		group.Go(func() error {
			sleep(ctx, time.Duration(n)*joinHedgeDelay)
			if ctx.Err() == nil {
				(&catchUp{s.Instance}).requestState(ctx, source.Control, wanted)
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
		if m.Revision() == 0 {
			return false
		}
	}
	return true
}

// sources are the instances of the zone that go first as readers, in an order that
// spreads the calls over the readers.
func (s *replicator) sources() []peers.Instance {
	var list []peers.Instance
	for _, i := range s.peers.Zone(s.settings.Zone) {
		if i.Name != s.settings.Instance {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b peers.Instance) int {
		if ranksBefore(a, b) {
			return -1
		}
		return 1
	})
	list = list[:min(len(list), maxJoinSources)]
	if n := min(len(list), readerCount(s.zoneSize())); n > 1 && s.rank()%n == 1 {
		list[0], list[1] = list[1], list[0]
	}
	return list
}
