package instance

import (
	"sync"

	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
)

// maxUpdateBytes bounds the keys and values in one datagram.
const maxUpdateBytes = 1100

// forward sends the changes that the feed delivered to the zone's other instances.
// It resends the changes just before them: datagrams get lost, and a gap costs
// each passive instance a call. If a row is too large for a datagram, a notice is
// sent instead, and passive instances fetch the table from this instance.
func (s *replicator) forward(table string, u mirror.ForwardedUpdate) {
	if s.zoneSize() <= 1 {
		return
	}
	parts := splitUpdate(table, s.recent.withPrevious(table, u))
	if parts == nil {
		parts = []*peers.TableUpdate{{Table: table, From: u.From, To: u.To, NewestChange: u.NewestChange, Fetch: true}}
	}
	send := s.sendToZone
	if table != s.operatorMirror().Table {
		send = s.sendToHubs
	}
	for _, part := range parts {
		send(&peers.Message{TableUpdate: part})
	}
}

// splitUpdate splits changes into parts that fit into a datagram each. It returns
// nil if a single row does not fit.
func splitUpdate(table string, u mirror.ForwardedUpdate) []*peers.TableUpdate {
	var parts []*peers.TableUpdate
	part := &peers.TableUpdate{Table: table, From: u.From}
	size := 0
	flush := func(to, newest uint64) {
		part.To, part.NewestChange = to, newest
		parts = append(parts, part)
		part = &peers.TableUpdate{Table: table, From: to}
		size = 0
	}
	for i, r := range u.Rows {
		n := len(r.Key) + len(r.Value)
		if n > maxUpdateBytes {
			return nil
		}
		// Rows of one revision stay in one part.
		if size > 0 && size+n > maxUpdateBytes && r.Revision != u.Rows[i-1].Revision {
			flush(u.Rows[i-1].Revision, u.Rows[i-1].Revision)
		}
		part.Changes = append(part.Changes, peers.RowChange{Key: r.Key, Value: r.Value, Revision: r.Revision, Removed: r.Removed})
		size += n
	}
	flush(u.To, u.NewestChange)
	return parts
}

// maxResentRows bounds the rows of an update together with those resent before it:
// four datagrams' worth. A larger update is sent alone.
const maxResentRows = 20

// recentUpdates keeps the last forwarded changes of each table, without a gap
// between them.
type recentUpdates struct {
	mu      sync.Mutex
	byTable map[string][]mirror.ForwardedUpdate
}

// withPrevious returns changes joined with the ones kept before them, and keeps them.
func (r *recentUpdates) withPrevious(table string, u mirror.ForwardedUpdate) mirror.ForwardedUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byTable == nil {
		r.byTable = map[string][]mirror.ForwardedUpdate{}
	}
	list := r.byTable[table]
	if n := len(list); n > 0 && list[n-1].To != u.From {
		list = nil
	}
	rows := len(u.Rows)
	for i := len(list) - 1; i >= 0; i-- {
		if rows += len(list[i].Rows); rows > maxResentRows {
			list = list[i+1:]
			break
		}
	}
	list = append(list, u)
	list = list[max(0, len(list)-maxResentRows):]
	r.byTable[table] = list
	joined := mirror.ForwardedUpdate{From: list[0].From, To: u.To, NewestChange: u.NewestChange}
	for _, l := range list {
		joined.Rows = append(joined.Rows, l.Rows...)
	}
	return joined
}

func (s *replicator) receiveTableUpdate(from string, u *peers.TableUpdate) {
	if u.Fetch {
		s.requestIfBehind(from, u)
		return
	}
	update := mirror.ForwardedUpdate{From: u.From, To: u.To, NewestChange: u.NewestChange}
	for _, row := range u.Changes {
		update.Rows = append(update.Rows, platform.Row{
			Table: u.Table, Key: row.Key, Value: row.Value, Revision: row.Revision, Removed: row.Removed,
		})
	}
	for _, m := range s.polledMirrors {
		if m.Table != u.Table {
			continue
		}
		// If it leaves a gap, it is resent with the next update, or the gap is
		// detected by the readers' heartbeats.
		_ = m.ApplyForwarded(update)
	}
}

func (s *replicator) requestIfBehind(from string, u *peers.TableUpdate) {
	if !s.passive.Load() {
		return
	}
	for _, m := range s.polledMirrors {
		if m.Table == u.Table && m.Revision() < u.To {
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
