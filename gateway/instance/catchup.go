package instance

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/patch"
	"basilcross.example/basilcross/transfer"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/fleet"
	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"golang.org/x/sync/errgroup"
)

const (
	// catchUpInterval is how often the mirrors are compared with the revisions
	// that other instances report.
	catchUpInterval = 250 * time.Millisecond
	// lagTolerance is how long a mirror may lag behind another instance's before
	// it is fetched: usually the feed delivers the change a moment later.
	lagTolerance = 300 * time.Millisecond
	// peerCallTimeout bounds the time until another instance begins to respond.
	peerCallTimeout = 800 * time.Millisecond
	// maxStateBytes bounds a copy of tables.
	maxStateBytes = 32 << 20
)

// revisionReport holds the revisions of another instance's mirrors, by table.
type revisionReport struct {
	from      string
	revisions map[string]uint64
}

func (s *state) recordRevisions(from string, revisions map[string]uint64) {
	if revisions == nil {
		return
	}
	s.revisionReport.Store(&revisionReport{from, revisions})
}

// catchUp fetches tables from other instances when this instance's mirrors lag
// behind theirs, or could not be read from the store.
type catchUp struct {
	*Instance

	group errgroup.Group
}

// Serve compares the mirrors, and executes copy requests, until the context ends.
func (c *catchUp) Serve(ctx context.Context) error {
	tick := time.NewTicker(catchUpInterval)
	defer tick.Stop()
	behind := map[string]time.Time{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-c.replicator.copyRequests:
			c.start(r.mirror, func() {
				c.requestState(ctx, c.peers.Find(r.from).Control, []*mirror.Mirror{r.mirror}, peerCallTimeout, nil)
			})
		case <-tick.C:
			c.watchConfig(time.Now())
			for _, m := range c.mirrorsToFetch(time.Now(), behind) {
				c.start(m, func() { c.fetch(ctx, m) })
			}
		}
	}
	_ = c.group.Wait()
	return ctx.Err()
}

// start runs a fetch of the mirror's table, unless one is running. Each table is fetched by itself: a
// small one must not wait for a large one.
func (c *catchUp) start(m *mirror.Mirror, fetch func()) {
	done, ok := m.BeginReceiving()
	if !ok {
		return
	}
	c.group.Go(func() error {
		defer done()
		fetch()
		return nil
	})
}

// mirrorsToFetch returns the mirrors that are due to be fetched from another
// instance. It updates behind, which holds since when each table lags.
func (c *catchUp) mirrorsToFetch(now time.Time, behind map[string]time.Time) (due []*mirror.Mirror) {
	joined := c.replicator.joined.Load()
	for _, m := range c.mirrors {
		if m.Suspended() || !c.isBehind(m) {
			delete(behind, m.Table)
			continue
		}
		since, ok := behind[m.Table]
		switch {
		case !ok:
			behind[m.Table] = now
			if m.OnDemand && joined && !c.replicator.passive.Load() {
				m.Refresh()
			}
		case !joined:
		case now.Sub(since) >= lagTolerance, m.OnDemand && c.upToDateReader(m) != "":
			behind[m.Table] = now
			due = append(due, m)
		}
	}
	return due
}

// upToDateReader returns the control address of a feed reader of the zone whose
// mirror has the last reported revision of a table. It is empty if there is none,
// or if this instance is not passive.
func (c *catchUp) upToDateReader(m *mirror.Mirror) string {
	report := c.state.revisionReport.Load()
	if report == nil || !c.replicator.passive.Load() {
		return ""
	}
	return c.peers.Find(c.replicator.readerAhead(m.Table, report.revisions[m.Table])).Control
}

// isBehind reports whether a mirror was never filled, or another instance has a
// newer change. A table read in full after a row was removed has no row of that
// revision, though it is complete beyond it, so both revisions are compared.
func (c *catchUp) isBehind(m *mirror.Mirror) bool {
	if m.Failing() && m.NewestChange() == 0 {
		return true
	}
	report := c.state.revisionReport.Load()
	return report != nil && report.revisions[m.Table] > max(m.NewestChange(), m.Revision())
}

// fetch fetches a table from another instance. An up-to-date feed reader of the zone
// is preferred, since that costs nothing. Without one the mirror also restarts its
// call to the store, unless it relies on its zone.
func (c *catchUp) fetch(ctx context.Context, m *mirror.Mirror) {
	source := c.upToDateReader(m)
	switch {
	case source != "":
	case c.replicator.reliesOnZone():
		source = c.zoneSource()
	default:
		// Needed also while the mirror fails: it abandons a call that the store
		// accepted while unresponsive and never answers.
		m.Refresh()
		source = c.choosePeer()
	}
	c.requestState(ctx, source, []*mirror.Mirror{m}, peerCallTimeout, nil)
}

// requestState fetches tables from the instance at a control address, and applies those that are newer.
// The response must begin within patience; onBegin, if set, is called when it does. An empty address
// is ignored.
func (c *catchUp) requestState(ctx context.Context, address string, mirrors []*mirror.Mirror, patience time.Duration, onBegin func()) {
	if address == "" {
		return
	}
	client := &transfer.Client{HTTP: c.peerClient, Limits: transfer.Limits{Head: patience, MaxBytes: maxStateBytes, OnBegin: onBegin}}
	request := &fleet.StateRequest{Patches: true}
	for _, m := range mirrors {
		request.Tables = append(request.Tables, m.Table)
		request.After = append(request.After, m.Revision())
	}
	err := c.requestTables(ctx, client, address, request)
	var unknown *unknownBaseError
	var digest *patch.DigestError
	if errors.As(err, &unknown) || errors.As(err, &digest) {
		// The other instance took this one to have another value than it has.
		clear(request.After)
		err = c.requestTables(ctx, client, address, request)
	}
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		event.StoreCallFailed.Log(c.log, "call", "state of "+address, "error", err)
	}
}

// requestTables fetches tables from the instance at a control address, and applies those that are newer.
func (c *catchUp) requestTables(ctx context.Context, client *transfer.Client, address string, request *fleet.StateRequest) error {
	start := time.Now()
	response, err := fleet.NewFleetProtobufClient("http://"+address, client).State(ctx, request)
	if err != nil {
		return err
	}
	for _, t := range response.Tables {
		if err := c.applyPeerTable(t, address, time.Since(start)); err != nil {
			return err
		}
	}
	return nil
}

// zoneSource returns the control address of one of the zone's first hubs.
func (c *catchUp) zoneSource() string {
	sources := c.replicator.sources()
	if len(sources) == 0 {
		return ""
	}
	return sources[rand.N(len(sources))].Control
}

// choosePeer returns the control address of the instance to fetch tables from:
// the one that reported revisions last, or else a random one of the nearest.
// Seeds count as far away, since their zones are unknown. Traffic between zones
// and regions is billed.
func (c *catchUp) choosePeer() string {
	if report := c.state.revisionReport.Load(); report != nil {
		if control := c.peers.Find(report.from).Control; control != "" {
			return control
		}
	}
	var tiers [3][]string
	for _, p := range c.peers.All() {
		if p.Name != c.settings.Instance {
			n := c.distance(p.Zone)
			tiers[n] = append(tiers[n], p.Control)
		}
	}
	for _, s := range c.liveSettings.Load().Seeds {
		if s != c.settings.ControlListen {
			tiers[2] = append(tiers[2], s)
		}
	}
	for _, addresses := range tiers {
		if len(addresses) > 0 {
			return addresses[rand.N(len(addresses))]
		}
	}
	return ""
}

// distance returns 0 for this instance's own zone, 1 for another zone of its
// region, and 2 for any other zone.
func (c *catchUp) distance(zone string) int {
	switch {
	case zone == c.settings.Zone:
		return 0
	case c.settings.Regions[zone] == c.settings.Region:
		return 1
	}
	return 2
}

func (c *catchUp) applyPeerTable(t *fleet.Table, from string, took time.Duration) error {
	for _, m := range c.mirrors {
		if m.Table != t.Name {
			continue
		}
		s := mirror.Snapshot{Table: t.Name, Revision: t.Revision, ChangedAfter: t.ChangedAfter, Removed: t.Removed}
		for _, r := range t.Rows {
			value := r.Value
			if len(r.Patch) > 0 {
				var err error
				if value, err = applyPatch(m, r.Key, r.Base, patch.Patch{Data: r.Patch, Digest: r.Digest}); err != nil {
					return err
				}
			}
			s.Rows = append(s.Rows, platform.Row{Table: t.Name, Key: r.Key, Value: value, Revision: r.Revision})
		}
		before := m.Revision()
		if !m.ApplySnapshot(s) {
			continue
		}
		event.PeerStateTaken.Log(c.log, "table", t.Name, "revision", t.Revision, "changedAfter", t.ChangedAfter, "rows", len(t.Rows), "from", from, "tookMs", took.Milliseconds())
		c.relayCopy(m, s, before)
	}
	return nil
}

// relayCopy sends the zone what another instance's copy had that this one did not.
func (c *catchUp) relayCopy(m *mirror.Mirror, s mirror.Snapshot, before uint64) {
	if s.ChangedAfter == 0 || s.ChangedAfter > before {
		// Removals are not known; the zone learns from the next heartbeat that it is behind.
		return
	}
	u := mirror.ForwardedUpdate{From: before, To: s.Revision, NewestChange: min(m.NewestChange(), s.Revision), Rows: s.Rows}
	for _, key := range s.Removed {
		u.Rows = append(u.Rows, platform.Row{Table: s.Table, Key: key, Revision: s.Revision, Removed: true})
	}
	c.replicator.relay(m, u)
}

// State serves copies of the requested tables to another instance. Tables that are
// unknown or not filled yet are left out.
func (i *Instance) State(_ context.Context, r *fleet.StateRequest) (*fleet.StateResponse, error) {
	response := &fleet.StateResponse{}
	for n, name := range r.Tables {
		after := uint64(0)
		if n < len(r.After) {
			after = r.After[n]
		}
		for _, m := range i.mirrors {
			if m.Table != name {
				continue
			}
			s, loaded := m.Snapshot(after)
			if !loaded {
				continue
			}
			if m == i.instances {
				s.Rows = i.withGreeted(s.Rows)
			}
			t := &fleet.Table{Name: name, Revision: s.Revision, ChangedAfter: s.ChangedAfter, Removed: s.Removed}
			for _, row := range s.Rows {
				t.Rows = append(t.Rows, i.encodeRow(m, row, after, r.Patches))
			}
			response.Tables = append(response.Tables, t)
		}
	}
	return response, nil
}

// encodeRow returns a row as it is sent to an instance that has the table at revision after.
func (i *Instance) encodeRow(m *mirror.Mirror, row platform.Row, after uint64, patches bool) *fleet.Row {
	whole := &fleet.Row{Key: row.Key, Value: row.Value, Revision: row.Revision}
	if !patches || !m.PeersComplete || len(row.Value) < minPatched {
		return whole
	}
	p, err := i.patches.find(m, row, after)
	if err != nil {
		event.RowUnusable.Log(i.log, "table", m.Table, "key", row.Key, "revision", row.Revision, "error", err)
		return whole
	}
	return &fleet.Row{Key: row.Key, Revision: row.Revision, Patch: p.patch.Data, Base: p.base, Digest: p.patch.Digest}
}

// withGreeted adds rows of the instances that are known by their hellos only, and of this one: an
// instance that starts without the store relies on the copy, and its hello reaches those it lists.
func (i *Instance) withGreeted(rows []platform.Row) []platform.Row {
	has := map[string]bool{}
	for _, r := range rows {
		has[r.Key] = true
	}
	complete := slices.Clone(rows)
	for _, listed := range i.knownHubs() {
		key := listed.RowKey()
		if has[key] {
			continue
		}
		value, err := json.Marshal(listed)
		if err != nil {
			event.RowUnusable.Log(i.log, "table", coordinator.InstanceTable, "key", key, "error", err)
			continue
		}
		has[key] = true
		complete = append(complete, platform.Row{Table: coordinator.InstanceTable, Key: key, Value: value})
	}
	return complete
}

// knownHubs returns the listed hubs of all zones, and this instance if it is one: thin instances have
// no rows.
func (i *Instance) knownHubs() (hubs []peers.Instance) {
	zones := map[string]bool{}
	for _, listed := range i.peers.All() {
		zones[listed.Zone] = true
	}
	for zone := range zones {
		hubs = append(hubs, i.peers.Hubs(zone)...)
	}
	if !i.replicator.thin.Load() {
		hubs = append(hubs, i.peers.Self)
	}
	return hubs
}
