package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/fleet"
	"basilcross.example/gateway/mirror"
	"basilcross.example/platform"
)

const (
	// catchUpInterval is how often copies are compared with what others told.
	catchUpInterval = 250 * time.Millisecond
	// lagTolerance is how long a copy may be behind others before something is
	// done: usually the feed brings the news a moment later.
	lagTolerance = 300 * time.Millisecond
	// peerCallTimeout bounds a call to another instance.
	peerCallTimeout = 800 * time.Millisecond
)

// revisionReport is what another instance said about how far its copies go.
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

// catchUp looks after copies that are behind others, or that the store does
// not serve.
type catchUp struct{ *Instance }

// Serve compares until the context ends.
func (c *catchUp) Serve(ctx context.Context) error {
	tick := time.NewTicker(catchUpInterval)
	defer tick.Stop()
	behind := map[string]time.Time{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case f := <-c.replicator.copyRequests:
			c.requestState(ctx, c.peers.Find(f.from).Control, []*mirror.Mirror{f.mirror})
		case <-tick.C:
			if wanted := c.mirrorsToFetch(time.Now(), behind); len(wanted) > 0 {
				c.fetch(ctx, wanted)
			}
		}
	}
	return ctx.Err()
}

// mirrorsToFetch returns the copies that are to be asked for. Behind is since when each
// table's copy is behind.
func (c *catchUp) mirrorsToFetch(now time.Time, behind map[string]time.Time) (wanted []*mirror.Mirror) {
	joined := c.replicator.joined.Load()
	for _, m := range c.mirrors {
		if !c.isBehind(m) {
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
			wanted = append(wanted, m)
		}
	}
	return wanted
}

// upToDateReader returns the address of a reader of the zone that has what others have
// told of a table; empty if there is none, or if this instance does not listen.
func (c *catchUp) upToDateReader(m *mirror.Mirror) string {
	t := c.state.revisionReport.Load()
	if t == nil || !c.replicator.passive.Load() {
		return ""
	}
	return c.peers.Find(c.replicator.readerAhead(m.Table, t.revisions[m.Table])).Control
}

// isBehind tells of a copy that was never read, or that another instance has
// newer news of. What was read whole after a row was removed has no row of that
// revision, and still goes further.
func (c *catchUp) isBehind(m *mirror.Mirror) bool {
	if m.Failing() && m.NewestChange() == 0 {
		return true
	}
	t := c.state.revisionReport.Load()
	return t != nil && t.revisions[m.Table] > max(m.NewestChange(), m.Revision())
}

// fetch asks another instance for its copies. A reader of the zone that has them
// goes first: nothing is paid then. Without one the feeds are begun anew too.
func (c *catchUp) fetch(ctx context.Context, wanted []*mirror.Mirror) {
	var rest []*mirror.Mirror
	for _, m := range wanted {
		if near := c.upToDateReader(m); near != "" {
			c.requestState(ctx, near, []*mirror.Mirror{m})
			continue
		}
		// Also while it fails: a call that the store took while it was silent
		// is never answered, and is given up by this.
		m.Refresh()
		rest = append(rest, m)
	}
	if len(rest) > 0 {
		c.requestState(ctx, c.choosePeer(), rest)
	}
}

// requestState asks the instance at an address for its copies.
func (c *catchUp) requestState(ctx context.Context, address string, wanted []*mirror.Mirror) {
	if address == "" {
		return
	}
	request := &fleet.StateRequest{}
	for _, m := range wanted {
		request.Tables = append(request.Tables, m.Table)
	}
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	answer, err := fleet.NewFleetProtobufClient("http://"+address, c.peerClient).State(callCtx, request)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		// Another one's copy has come.
		return
	case err != nil:
		event.StoreCallFailed.Log(c.log, "call", "state of "+address, "error", err)
		return
	}
	for _, t := range answer.Tables {
		c.applyPeerTable(t, address)
	}
}

// choosePeer names an instance: the one that told of newer copies, or any of the
// nearest that are known; without any, a seed. Bytes between zones and regions
// are paid.
func (c *catchUp) choosePeer() string {
	if t := c.state.revisionReport.Load(); t != nil {
		if control := c.peers.Find(t.from).Control; control != "" {
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

// distance of a zone: 0 is this instance's own, 1 is of its region, 2 another.
func (c *catchUp) distance(zone string) int {
	switch {
	case zone == c.settings.Zone:
		return 0
	case c.settings.Regions[zone] == c.settings.Region:
		return 1
	}
	return 2
}

func (c *catchUp) applyPeerTable(t *fleet.Table, from string) {
	for _, m := range c.mirrors {
		if m.Table != t.Name {
			continue
		}
		s := mirror.Snapshot{Table: t.Name, Revision: t.Revision}
		for _, r := range t.Rows {
			s.Rows = append(s.Rows, platform.Row{Table: t.Name, Key: r.Key, Value: r.Value, Revision: r.Revision})
		}
		if m.ApplySnapshot(s) {
			event.PeerStateTaken.Log(c.log, "table", t.Name, "revision", t.Revision, "rows", len(t.Rows), "from", from)
		}
	}
}

// State gives this instance's copies to another one.
func (i *Instance) State(_ context.Context, r *fleet.StateRequest) (*fleet.StateResponse, error) {
	answer := &fleet.StateResponse{}
	for _, name := range r.Tables {
		for _, m := range i.mirrors {
			if m.Table != name {
				continue
			}
			s, loaded := m.Snapshot()
			if !loaded {
				continue
			}
			t := &fleet.Table{Name: name, Revision: s.Revision}
			for _, row := range s.Rows {
				t.Rows = append(t.Rows, &fleet.Row{Key: row.Key, Value: row.Value, Revision: row.Revision})
			}
			answer.Tables = append(answer.Tables, t)
		}
	}
	return answer, nil
}
