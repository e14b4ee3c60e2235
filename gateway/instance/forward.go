package instance

import (
	"sync"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/patch"
	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
)

// maxUpdateBytes bounds the keys and values in one datagram.
const maxUpdateBytes = 1100

// forward sends the changes that the feed delivered to the zone's other instances. One reader of the zone
// sends those of the operator's table to other zones too.
func (s *replicator) forward(m *mirror.Mirror, u mirror.ForwardedUpdate) {
	if len(s.peers.All()) == 0 {
		return
	}
	parts := s.encodeUpdate(m, u)
	if m != s.operatorMirror() {
		s.sendParts(parts, s.sendToHubs)
		return
	}
	s.sendParts(parts, s.sendToZone)
	if len(u.Rows) > 0 && (s.rank() == 0 || s.isCoordinator()) {
		s.sendParts(parts, s.sendToOtherZones)
	}
}

func (s *replicator) sendParts(parts []*peers.TableUpdate, send func(*peers.Message)) {
	for _, part := range parts {
		send(&peers.Message{TableUpdate: part})
	}
}

// relay sends changes that this instance, which polls the feed, has from another zone to its own.
func (s *replicator) relay(m *mirror.Mirror, u mirror.ForwardedUpdate) {
	if m == s.operatorMirror() && !s.passive.Load() {
		s.sendParts(s.encodeUpdate(m, u), s.sendToZone)
	}
}

// zoneReceivers is how many hubs of each other zone are sent a change of the operator's table: as many as
// read the feed. They relay it to their zone.
const zoneReceivers = 2

func (s *replicator) sendToOtherZones(m *peers.Message) {
	zones := map[string]bool{}
	for _, i := range s.peers.All() {
		zones[i.Zone] = i.Zone != s.settings.Zone
	}
	var to []string
	for zone, other := range zones {
		if !other {
			continue
		}
		hubs := s.peers.Hubs(zone)
		for _, hub := range hubs[:min(len(hubs), zoneReceivers)] {
			to = append(to, hub.Name)
		}
	}
	s.peers.SendAll(to, m)
}

// encodeUpdate returns the datagrams for an update. The changes just before it are sent again: datagrams
// get lost, and a gap costs each passive instance a call. If a row is too large for a datagram even as a
// patch, a notice is sent instead, and other instances fetch the table from this instance.
func (s *replicator) encodeUpdate(m *mirror.Mirror, u mirror.ForwardedUpdate) []*peers.TableUpdate {
	encoded := peers.TableUpdate{Table: m.Table, From: u.From, To: u.To, NewestChange: u.NewestChange}
	for _, r := range u.Rows {
		change, fits := s.encodeChange(m, r)
		if !fits {
			s.recent.forget(m.Table)
			return []*peers.TableUpdate{{Table: m.Table, From: u.From, To: u.To, NewestChange: u.NewestChange, Fetch: true}}
		}
		encoded.Changes = append(encoded.Changes, change)
	}
	return splitUpdate(s.recent.withPrevious(encoded))
}

// encodeChange returns a row as it is sent in a datagram, and whether it fits into one.
func (s *replicator) encodeChange(m *mirror.Mirror, r platform.Row) (peers.RowChange, bool) {
	change := peers.RowChange{Key: r.Key, Value: r.Value, Revision: r.Revision, Removed: r.Removed}
	if changeSize(&change) <= maxUpdateBytes {
		return change, true
	}
	p, err := s.patches.find(m, r, r.Revision-1)
	if err != nil {
		event.RowUnusable.Log(s.log, "table", m.Table, "key", r.Key, "revision", r.Revision, "error", err)
		return change, false
	}
	change.Value, change.Patch, change.Base, change.Digest = nil, p.patch.Data, p.base, p.patch.Digest
	return change, changeSize(&change) <= maxUpdateBytes
}

func changeSize(c *peers.RowChange) int { return len(c.Key) + len(c.Value) + len(c.Patch) }

// splitUpdate splits changes that fit into a datagram each into as few as hold them all.
func splitUpdate(u peers.TableUpdate) []*peers.TableUpdate {
	var parts []*peers.TableUpdate
	part := &peers.TableUpdate{Table: u.Table, From: u.From}
	size := 0
	flush := func(to, newest uint64) {
		part.To, part.NewestChange = to, newest
		parts = append(parts, part)
		part = &peers.TableUpdate{Table: u.Table, From: to}
		size = 0
	}
	for i := range u.Changes {
		r := &u.Changes[i]
		n := changeSize(r)
		// Rows of one revision stay in one part.
		if size > 0 && size+n > maxUpdateBytes && r.Revision != u.Changes[i-1].Revision {
			flush(u.Changes[i-1].Revision, u.Changes[i-1].Revision)
		}
		part.Changes = append(part.Changes, *r)
		size += n
	}
	flush(u.To, u.NewestChange)
	return parts
}

const (
	// maxResentRows and maxResentBytes bound an update together with those resent before it: four
	// datagrams' worth. A larger update is sent alone.
	maxResentRows  = 20
	maxResentBytes = 4 * maxUpdateBytes
)

// recentUpdates keeps the last forwarded changes of each table, without a gap
// between them.
type recentUpdates struct {
	mu      sync.Mutex
	byTable map[string][]peers.TableUpdate
}

// forget drops the changes of a table that were kept: one after them was not.
func (r *recentUpdates) forget(table string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byTable, table)
}

// withPrevious returns changes joined with the ones kept before them, and keeps them.
func (r *recentUpdates) withPrevious(u peers.TableUpdate) peers.TableUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byTable == nil {
		r.byTable = map[string][]peers.TableUpdate{}
	}
	list := r.byTable[u.Table]
	if n := len(list); n > 0 && list[n-1].To != u.From {
		list = nil
	}
	rows, size := len(u.Changes), updateSize(&u)
	for i := len(list) - 1; i >= 0; i-- {
		rows, size = rows+len(list[i].Changes), size+updateSize(&list[i])
		if rows > maxResentRows || size > maxResentBytes {
			list = list[i+1:]
			break
		}
	}
	list = append(list, u)
	list = list[max(0, len(list)-maxResentRows):]
	r.byTable[u.Table] = list
	joined := peers.TableUpdate{Table: u.Table, From: list[0].From, To: u.To, NewestChange: u.NewestChange}
	for _, l := range list {
		joined.Changes = append(joined.Changes, l.Changes...)
	}
	return joined
}

func updateSize(u *peers.TableUpdate) (n int) {
	for i := range u.Changes {
		n += changeSize(&u.Changes[i])
	}
	return n
}

func (s *replicator) receiveTableUpdate(sender string, u *peers.TableUpdate) {
	if u.Fetch {
		s.requestIfBehind(sender, u)
		return
	}
	for _, m := range s.polledMirrors {
		revision := m.Revision()
		if m.Table != u.Table || revision >= u.To {
			continue
		}
		if revision < u.From {
			// Targets are resent with the next update, or the gap is detected by the readers'
			// heartbeats; a configuration must not wait for that.
			if m.PeersComplete {
				s.requestCopy(sender, m)
			}
			continue
		}
		from := u.From
		if m.PeersComplete {
			from = revision
		}
		rows, err := decodeChanges(m, u.Changes, from)
		if err != nil {
			// Another instance's copy does not need the base.
			s.requestCopy(sender, m)
			continue
		}
		update := mirror.ForwardedUpdate{From: from, To: u.To, NewestChange: u.NewestChange, Rows: rows}
		if m.ApplyForwarded(update) && s.peers.Find(sender).Zone != s.settings.Zone {
			s.relay(m, update)
		}
	}
}

// decodeChanges returns the rows of an update that were changed after a revision, up to which the mirror
// is complete. Patches refer to earlier ones of them, or to the mirror's rows.
func decodeChanges(m *mirror.Mirror, changes []peers.RowChange, revision uint64) (rows []platform.Row, err error) {
	for _, c := range changes {
		if c.Revision <= revision {
			continue
		}
		value := c.Value
		if len(c.Patch) > 0 {
			if value, err = applyChange(m, rows, &c); err != nil {
				return nil, err
			}
		}
		rows = append(rows, platform.Row{Table: m.Table, Key: c.Key, Value: value, Revision: c.Revision, Removed: c.Removed})
	}
	return rows, nil
}

func applyChange(m *mirror.Mirror, earlier []platform.Row, c *peers.RowChange) ([]byte, error) {
	p := patch.Patch{Data: c.Patch, Digest: c.Digest}
	for _, r := range earlier {
		if r.Key == c.Key && r.Revision == c.Base {
			return p.Apply(r.Value)
		}
	}
	return applyPatch(m, c.Key, c.Base, p)
}

func (s *replicator) requestIfBehind(from string, u *peers.TableUpdate) {
	for _, m := range s.polledMirrors {
		if m.Table == u.Table && m.Revision() < u.To && (s.passive.Load() || m.PeersComplete) {
			s.requestCopy(from, m)
		}
	}
}

// requestCopy queues the fetch of another instance's copy. If the queue is full, the
// request is dropped; a later heartbeat of a reader causes another one.
func (s *replicator) requestCopy(from string, m *mirror.Mirror) {
	select {
	case s.copyRequests <- copyRequest{from, m}:
	default:
	}
}

type copyRequest struct {
	from   string
	mirror *mirror.Mirror
}

const maxCopyRequests = 8
