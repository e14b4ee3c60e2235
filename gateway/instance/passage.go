package instance

import (
	"sync"

	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
)

// passBytes bounds the rows in one datagram.
const passBytes = 1100

// pass tells the zone what the feed brought, and the last changes before it
// once more: datagrams get lost, and a gap costs each listener a call. Rows too
// large for a datagram are asked for.
func (s *replicator) pass(table string, p mirror.Passage) {
	if s.zoneSize() <= 1 {
		return
	}
	parts := datagrams(table, s.again.with(table, p))
	if parts == nil {
		parts = []*peers.TableUpdate{{Table: table, From: p.From, To: p.To, NewestChange: p.Newest, Fetch: true}}
	}
	for _, m := range parts {
		s.tell(&peers.Message{TableUpdate: m})
	}
}

// datagrams cuts a passage into pieces that fit; none if a row does not.
func datagrams(table string, p mirror.Passage) []*peers.TableUpdate {
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
		if n > passBytes {
			return nil
		}
		// Rows of one revision belong together.
		if size > 0 && size+n > passBytes && r.Revision != p.Rows[i-1].Revision {
			flush(p.Rows[i-1].Revision, p.Rows[i-1].Revision)
		}
		part.Changes = append(part.Changes, peers.RowChange{Key: r.Key, Value: r.Value, Revision: r.Revision, Removed: r.Removed})
		size += n
	}
	flush(p.To, p.Newest)
	return parts
}

// againRows is how many rows are told once more at most: four datagrams' worth.
const againRows = 20

// again keeps the last passages of each table that follow on each other.
type again struct {
	mu   sync.Mutex
	last map[string][]mirror.Passage
}

// with returns a passage together with the last ones before it.
func (a *again) with(table string, p mirror.Passage) mirror.Passage {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last == nil {
		a.last = map[string][]mirror.Passage{}
	}
	list := a.last[table]
	if n := len(list); n > 0 && list[n-1].To != p.From {
		list = nil
	}
	rows := len(p.Rows)
	for i := len(list) - 1; i >= 0; i-- {
		if rows += len(list[i].Rows); rows > againRows {
			list = list[i+1:]
			break
		}
	}
	list = append(list, p)
	list = list[max(0, len(list)-againRows):]
	a.last[table] = list
	whole := mirror.Passage{From: list[0].From, To: p.To, Newest: p.Newest}
	for _, l := range list {
		whole.Rows = append(whole.Rows, l.Rows...)
	}
	return whole
}

func (s *replicator) take(from string, r *peers.TableUpdate) {
	if r.Fetch {
		s.fetchFrom(from, r)
		return
	}
	passage := mirror.Passage{From: r.From, To: r.To, Newest: r.NewestChange}
	for _, row := range r.Changes {
		passage.Rows = append(passage.Rows, platform.Row{
			Table: r.Table, Key: row.Key, Value: row.Value, Revision: row.Revision, Removed: row.Removed,
		})
	}
	for _, m := range s.tables {
		if m.Table != r.Table {
			continue
		}
		// What does not follow on what is known is told again, or found out by
		// the readers' signs of life.
		_ = m.Pass(passage)
	}
}

// fetchFrom has a reader asked for its copy.
func (s *replicator) fetchFrom(from string, r *peers.TableUpdate) {
	if !s.listens.Load() {
		return
	}
	for _, m := range s.tables {
		if m.Table == r.Table && m.Reached() < r.To {
			s.askFor(from, m)
		}
	}
}

// askFor has an instance asked for its copy. If others wait to be asked for, the
// readers' signs of life will tell again.
func (s *replicator) askFor(from string, m *mirror.Mirror) {
	select {
	case s.fetches <- fetch{from, m}:
	default:
	}
}

// fetch is a copy to be asked for.
type fetch struct {
	from string
	of   *mirror.Mirror
}

// fetchRoom bounds the copies that wait to be asked for.
const fetchRoom = 8
