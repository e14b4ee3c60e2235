package instance

import (
	"sync"

	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
)

// maxUpdateBytes bounds the rows in one datagram.
const maxUpdateBytes = 1100

// forward tells the zone what the feed brought, and the last changes before it
// once more: datagrams get lost, and a gap costs each listener a call. Rows too
// large for a datagram are asked for.
func (s *replicator) forward(table string, p mirror.ForwardedUpdate) {
	if s.zoneSize() <= 1 {
		return
	}
	parts := splitUpdate(table, s.recent.withPrevious(table, p))
	if parts == nil {
		parts = []*peers.TableUpdate{{Table: table, From: p.From, To: p.To, NewestChange: p.NewestChange, Fetch: true}}
	}
	for _, m := range parts {
		s.sendToZone(&peers.Message{TableUpdate: m})
	}
}

// splitUpdate cuts a passage into pieces that fit; none if a row does not.
func splitUpdate(table string, p mirror.ForwardedUpdate) []*peers.TableUpdate {
	var parts []*peers.TableUpdate
	part := &peers.TableUpdate{Table: table, From: p.From}
	size := 0
	flush := func(to, newest uint64) {
		part.To, part.NewestChange = to, newest
		parts = append(parts, part)
		part = &peers.TableUpdate{Table: table, From: to}
		size = 0
	}
	for i, r := range p.Rows {
		n := len(r.Key) + len(r.Value)
		if n > maxUpdateBytes {
			return nil
		}
		// Rows of one revision belong together.
		if size > 0 && size+n > maxUpdateBytes && r.Revision != p.Rows[i-1].Revision {
			flush(p.Rows[i-1].Revision, p.Rows[i-1].Revision)
		}
		part.Changes = append(part.Changes, peers.RowChange{Key: r.Key, Value: r.Value, Revision: r.Revision, Removed: r.Removed})
		size += n
	}
	flush(p.To, p.NewestChange)
	return parts
}

// maxResentRows is how many rows are told once more at most: four datagrams' worth.
const maxResentRows = 20

// recentUpdates keeps the last passages of each table that follow on each other.
type recentUpdates struct {
	mu      sync.Mutex
	byTable map[string][]mirror.ForwardedUpdate
}

// withPrevious returns a passage together with the last ones before it.
func (a *recentUpdates) withPrevious(table string, p mirror.ForwardedUpdate) mirror.ForwardedUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byTable == nil {
		a.byTable = map[string][]mirror.ForwardedUpdate{}
	}
	list := a.byTable[table]
	if n := len(list); n > 0 && list[n-1].To != p.From {
		list = nil
	}
	rows := len(p.Rows)
	for i := len(list) - 1; i >= 0; i-- {
		if rows += len(list[i].Rows); rows > maxResentRows {
			list = list[i+1:]
			break
		}
	}
	list = append(list, p)
	list = list[max(0, len(list)-maxResentRows):]
	a.byTable[table] = list
	whole := mirror.ForwardedUpdate{From: list[0].From, To: p.To, NewestChange: p.NewestChange}
	for _, l := range list {
		whole.Rows = append(whole.Rows, l.Rows...)
	}
	return whole
}

func (s *replicator) receiveTableUpdate(from string, r *peers.TableUpdate) {
	if r.Fetch {
		s.requestIfBehind(from, r)
		return
	}
	passage := mirror.ForwardedUpdate{From: r.From, To: r.To, NewestChange: r.NewestChange}
	for _, row := range r.Changes {
		passage.Rows = append(passage.Rows, platform.Row{
			Table: r.Table, Key: row.Key, Value: row.Value, Revision: row.Revision, Removed: row.Removed,
		})
	}
	for _, m := range s.polledMirrors {
		if m.Table != r.Table {
			continue
		}
		// What does not follow on what is known is told again, or found out by
		// the readers' signs of life.
		_ = m.ApplyForwarded(passage)
	}
}

// requestIfBehind has a reader asked for its copy.
func (s *replicator) requestIfBehind(from string, r *peers.TableUpdate) {
	if !s.passive.Load() {
		return
	}
	for _, m := range s.polledMirrors {
		if m.Table == r.Table && m.Revision() < r.To {
			s.requestCopy(from, m)
		}
	}
}

// requestCopy has an instance asked for its copy. If others wait to be asked for, the
// readers' signs of life will tell again.
func (s *replicator) requestCopy(from string, m *mirror.Mirror) {
	select {
	case s.copyRequests <- copyRequest{from, m}:
	default:
	}
}

// copyRequest is a copy to be asked for.
type copyRequest struct {
	from   string
	mirror *mirror.Mirror
}

// maxCopyRequests bounds the copies that wait to be asked for.
const maxCopyRequests = 8
