package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"github.com/cespare/xxhash/v2"
)

// In a zone with many instances only its hubs copy the tables of targets and assignments,
// schedule, and take part in the election. The others, thin instances, have the configuration
// and the list of their hubs, through which they reserve slots. So what a thin instance costs
// does not depend on the size of the fleet.

const (
	// thinJoinTimeout bounds a thin instance's attempts to copy the configuration from its
	// hubs before it reads the store.
	thinJoinTimeout = 4 * time.Second
	// promotionDelay is the least time without a feed reader after which a thin instance acts
	// as a hub, and promotionSpread the additional one by its name: hubs that restart are back
	// sooner.
	promotionDelay  = 5 * time.Second
	promotionSpread = 10 * time.Second
	// thinTTL is how long a thin instance counts as a member after its last report.
	thinTTL = 2 * time.Second
)

// readInstanceRows reads the rows of instances: the hubs of the own zone if this instance is
// thin, and all otherwise.
func (i *Instance) readInstanceRows(ctx context.Context) (platform.Response, error) {
	if i.registered.Load() && !i.replicator.thin.Load() {
		return i.instances.ReadPages(ctx)
	}
	zone, err := i.readZoneRows(ctx)
	if err != nil {
		return platform.Response{}, err
	}
	if i.isThinAmong(i.state.readInstances(mirror.Update{Rows: zone.Rows})) {
		return zone, nil
	}
	return i.instances.ReadPages(ctx)
}

// isThinAmong reports whether this instance is thin by the first rows of its zone.
func (i *Instance) isThinAmong(first map[string]peers.Instance) bool {
	p := &peers.Peers{Self: i.peers.Self}
	p.SetInstances(first)
	return p.SelfIsThin()
}

func (i *Instance) readZoneRows(ctx context.Context) (platform.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return i.store.Prefix(ctx, coordinator.InstanceTable, peers.RowPrefix(i.settings.Zone), peers.MaxListed)
}

// awaitStrongerInstances lets the instances with more cores write their rows first, and then
// reads which are there.
func (r *registrar) awaitStrongerInstances(ctx context.Context) {
	sleep(ctx, rand.N(coordinator.FirstReadDelayLimit(r.settings.Cores)))
	rows, err := r.readZoneRows(ctx)
	if err != nil {
		event.StoreCallFailed.Log(r.log, "call", "read zone", "error", err)
		return
	}
	first := r.state.readInstances(mirror.Update{Rows: rows.Rows})
	r.peers.SetInstances(first)
	if r.isThinAmong(first) {
		r.instances.ApplySnapshot(mirror.Snapshot{Table: coordinator.InstanceTable, Revision: rows.Revision, Rows: rows.Rows})
	}
}

// lateRowsDelay is the time after this instance's row by which all of a fleet that starts for the
// first time have written theirs.
const lateRowsDelay = 2500 * time.Millisecond

// readLateRows reads the rows again if a zone may be a large one: its hubs are known only once
// more rows than those of a small zone are there.
func (r *registrar) readLateRows(ctx context.Context) {
	sleep(ctx, lateRowsDelay)
	if r.replicator.thin.Load() {
		return
	}
	mayBeLarge := false
	for zone := range r.settings.Regions {
		mayBeLarge = mayBeLarge || len(r.peers.Zone(zone)) >= peers.HubsPerZone
	}
	for requested := time.Now(); mayBeLarge && ctx.Err() == nil && r.instances.LastResponse().Before(requested); {
		r.instances.Refresh()
		sleep(ctx, lateRowsDelay)
	}
}

// setThin makes this instance a thin one, or a hub.
func (s *replicator) setThin(thin bool) {
	if s.thin.Swap(thin) == thin {
		return
	}
	event.ThinChanged.Log(s.log, "thin", thin, "listed", s.zoneSize())
	for _, m := range s.hubMirrors() {
		m.Suspend(thin)
	}
}

// operatorMirror is the mirror of the operator's table, which thin instances need too.
func (s *replicator) operatorMirror() *mirror.Mirror { return s.polledMirrors[0] }

// hubMirrors are the mirrors that only hubs need.
func (s *replicator) hubMirrors() []*mirror.Mirror {
	return append(slices.Clone(s.polledMirrors[1:]), s.assignments)
}

// shouldBeThin reports whether this instance should rely on hubs. Its feed readers know, since
// they list the whole zone.
func (s *replicator) shouldBeThin(now time.Time) bool {
	if s.isCoordinator() {
		return false
	}
	thin, all := s.countThinHeartbeats(now)
	if all > 0 {
		s.noHubSince = now
		return thin == all
	}
	if s.noHubSince.IsZero() {
		s.noHubSince = now
	}
	delay := promotionDelay + time.Duration(s.nameHash()%uint64(promotionSpread))
	return s.thin.Load() && now.Sub(s.noHubSince) < delay
}

// countThinHeartbeats returns the number of live feed readers that treat this instance as a thin
// one, and of all live ones.
func (s *replicator) countThinHeartbeats(now time.Time) (thin, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.lastSeen {
		if now.Sub(at) > readerTimeout {
			continue
		}
		all++
		if s.thinFor[name] {
			thin++
		}
	}
	return thin, all
}

// joinThin copies the configuration from the hubs, or reads it from the store.
func (s *replicator) joinThin(ctx context.Context) {
	s.passive.Store(true)
	deadline := time.Now().Add(thinJoinTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) && !s.copyFromReaders(ctx) {
		sleep(ctx, 2*joinRetryDelay)
	}
	if !s.hasCopies() {
		s.operatorMirror().Refresh()
	}
}

func (s *replicator) nameHash() uint64 { return xxhash.Sum64String(s.settings.Instance) }

func (s *replicator) isHub(name string) bool {
	return slices.ContainsFunc(s.peers.Hubs(s.settings.Zone), func(i peers.Instance) bool { return i.Name == name })
}

// zoneNames returns the names of the zone's hubs and of its thin instances, without this one.
func (s *replicator) zoneNames() (hubs, thin []string) {
	is := map[string]bool{s.settings.Instance: true}
	for _, h := range s.peers.Hubs(s.settings.Zone) {
		if h.Name != s.settings.Instance {
			hubs = append(hubs, h.Name)
		}
		is[h.Name] = true
	}
	for _, i := range s.peers.Zone(s.settings.Zone) {
		if !is[i.Name] {
			thin = append(thin, i.Name)
		}
	}
	return hubs, thin
}

func (s *replicator) sendToZone(m *peers.Message) {
	hubs, thin := s.zoneNames()
	s.peers.SendAll(append(hubs, thin...), m)
}

func (s *replicator) sendToHubs(m *peers.Message) {
	hubs, _ := s.zoneNames()
	s.peers.SendAll(hubs, m)
}

func (s *replicator) sendToThin(m *peers.Message) {
	_, thin := s.zoneNames()
	s.peers.SendAll(thin, m)
}

// introduceHubs sends the hellos of the zone's hubs to a thin instance.
func (s *replicator) introduceHubs(thin string) {
	for _, h := range s.peers.Hubs(s.settings.Zone) {
		s.peers.Send(thin, &peers.Message{Hello: &h})
	}
}

// recordThin records a thin instance's report.
func (s *replicator) recordThin(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thinReports[name] = time.Now()
}

// countThin returns the number of thin instances that report to this one.
func (s *replicator) countThin(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.thinReports {
		if now.Sub(at) > thinTTL {
			delete(s.thinReports, name)
		}
	}
	return len(s.thinReports)
}
