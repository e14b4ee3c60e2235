package coordinator

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/peers"
	"golang.org/x/sync/errgroup"
)

const (
	// unlinkedGrace is how long a coordinator's links to a service's targets are down before it
	// asks whether others reach them. With the time of the takeover it must stay below what is
	// left of the holds: a hold less a renewal's interval.
	unlinkedGrace = 300 * time.Millisecond
	// linksAskInterval is the time between two rounds of questions, each to linksAsked instances.
	linksAskInterval = 500 * time.Millisecond
	linksAsked       = 4
	// unlinkedTakeoverDelay is how much longer an instance without links waits before it takes
	// over: others read and write the lease's row, and renew all grants, within that time.
	unlinkedTakeoverDelay = 700 * time.Millisecond
)

// linkState is what a coordinator knows of its own links to the targets of sharded services.
type linkState struct {
	// down are the services to whose targets the links are down, since downSince.
	down      []string
	downSince time.Time
	asking    bool
	nextAsk   time.Time
	// othersReach is set once another instance has answered that it reaches them.
	othersReach bool
}

// checkLinks notifies the managers of the services to whose targets the links are down, and asks
// other instances whether they reach these.
func (c *Coordinator) checkLinks(ctx context.Context, now time.Time) {
	l := c.leadership
	s := &l.links
	var down []string
	for name, manager := range l.managers {
		unlinked := c.Links.Down(now, name)
		manager.SetUnlinked(now, unlinked)
		if unlinked {
			down = append(down, name)
		}
	}
	slices.Sort(down)
	if len(down) == 0 {
		s.down, s.othersReach = nil, false
		return
	}
	if len(s.down) == 0 {
		s.downSince = now
	}
	s.down = down
	if s.asking || s.othersReach || now.Sub(s.downSince) < unlinkedGrace || now.Before(s.nextAsk) {
		return
	}
	s.asking, s.nextAsk = true, now.Add(linksAskInterval)
	others := c.chooseOthers()
	c.group.Go(func() error {
		reach := c.anyReaches(ctx, others, down)
		c.enqueue(ctx, func() {
			s.asking = false
			s.othersReach = reach && len(s.down) > 0
		})
		return nil
	})
}

// chooseOthers returns some other instances at random, one of each zone first and those of the own
// zone last: a whole zone may have lost its links.
func (c *Coordinator) chooseOthers() []peers.Instance {
	others := slices.DeleteFunc(slices.Clone(c.Peers.All()), func(i peers.Instance) bool { return i.Name == c.Self.Name })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	// position is an instance's place among those of its zone.
	position, inZone := map[string]int{}, map[string]int{}
	for _, i := range others {
		position[i.Name] = inZone[i.Zone]
		if i.Zone == c.Self.Zone {
			position[i.Name]++
		}
		inZone[i.Zone]++
	}
	slices.SortStableFunc(others, func(a, b peers.Instance) int { return cmp.Compare(position[a.Name], position[b.Name]) })
	return others[:min(len(others), linksAsked)]
}

func (c *Coordinator) anyReaches(ctx context.Context, others []peers.Instance, services []string) bool {
	var reach atomic.Bool
	var group errgroup.Group
	for _, other := range others {
		group.Go(func() error {
			if c.AskLinks(ctx, other, services, false) {
				reach.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	return reach.Load()
}

// shouldResignUnlinked reports whether another instance should coordinate, since it reaches
// targets that this one does not.
func (c *Coordinator) shouldResignUnlinked() bool {
	l := c.leadership
	if !l.links.othersReach || l.recorded == nil || l.writing || l.inDoubt {
		return false
	}
	event.LeadUnlinked.Log(c.Log, "term", l.lease.Term, "services", l.links.down, "sinceMs", time.Since(l.links.downSince).Milliseconds())
	return true
}

// probeBeforeTakeover finds out, once for each end of a lease, whether this instance reaches the
// targets, and delays its takeover if not. An instance with few callers may not know that its links
// are down.
func (c *Coordinator) probeBeforeTakeover(ctx context.Context) {
	revision := c.takeoverRevision
	services := c.listedShardedServices()
	if revision != c.observed.revision || revision == c.probedRevision || len(services) == 0 {
		return
	}
	c.probedRevision, c.probing = revision, true
	c.group.Go(func() error {
		unlinked := slices.ContainsFunc(services, func(name string) bool { return !c.ReachesTargets(ctx, name) })
		c.enqueue(ctx, func() {
			c.probing = false
			if unlinked && c.takeoverRevision == revision {
				c.nextLeaseRead = c.nextLeaseRead.Add(unlinkedTakeoverDelay)
			}
		})
		return nil
	})
}

// listedShardedServices returns the sharded services of which targets are listed.
func (c *Coordinator) listedShardedServices() (names []string) {
	table := c.Table()
	if table == nil {
		return nil
	}
	view := c.Roster.Load()
	for i := range table.Config.Services {
		if s := &table.Config.Services[i]; s.Sharded && len(view.Zones(s.Name)) > 0 {
			names = append(names, s.Name)
		}
	}
	return names
}
