package instance

import (
	"context"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"github.com/cespare/xxhash/v2"
)

const (
	// smallZone is the number of instances in a zone up to which each follows
	// the feeds itself: calls are few then, and nobody depends on another.
	smallZone = 6
	// readers is how many follow the feeds in a larger zone. The second one
	// covers the loss of the first.
	readers = 2
	// readerBeat is the time between a reader's signs of life, and readerFor
	// how long one counts after the last: the users allow two seconds until
	// news is in force, and the feed must be read in it too.
	readerBeat = 300 * time.Millisecond
	readerFor  = 1000 * time.Millisecond
	// passBytes bounds the rows in one datagram.
	passBytes = 1100
)

// sharer lets a few instances of a large zone follow the store's feeds and pass
// the news on: each call is paid. Whoever hears no reader becomes one.
type sharer struct {
	*Instance
	tables []*mirror.Mirror

	mu      sync.Mutex
	heard   map[string]time.Time
	reached map[string]uint64
	listens bool
}

// Serve sees to it that there are readers until the context ends.
func (s *sharer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, readerBeat)
		large := s.zoneSize() > smallZone
		if wanted := large && s.mayListen(); wanted != s.listens {
			s.listen(wanted)
		}
		switch {
		case s.listens:
			s.checkReached()
		case large && s.current():
			s.beat()
		}
	}
	return ctx.Err()
}

// mayListen tells whether others follow the feeds for this instance. Readers
// may be refused by the store without a word; the coordinator's beats tell how
// far its copies go, and its lease proves its way to the store. Without both,
// and while it coordinates, an instance reads for itself.
func (s *sharer) mayListen() bool {
	before, all := s.count()
	if all == 0 || s.leads() || !s.hearsCoordinator() {
		return false
	}
	return s.listens || before >= readers && s.current()
}

func (s *sharer) hearsCoordinator() bool {
	at := s.beatAt.Load()
	return at != nil && time.Since(*at) < readerFor
}

// leads tells whether this instance coordinates, as far as it knows.
func (s *sharer) leads() bool {
	lead := s.lead.Load()
	return lead != nil && *lead == s.settings.Instance
}

func (s *sharer) zoneSize() int {
	n := 0
	for _, i := range s.peers.All() {
		if i.Zone == s.settings.Zone {
			n++
		}
	}
	return n
}

// rank orders instances by chance, but for all in the same way.
func rank(name string) uint64 { return xxhash.Sum64String("reader\x00" + name) }

// count returns how many readers that go before this instance were heard, and
// how many in all.
func (s *sharer) count() (before, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, at := range s.heard {
		if now.Sub(at) > readerFor {
			delete(s.heard, name)
			continue
		}
		all++
		if rank(name) < rank(s.settings.Instance) {
			before++
		}
	}
	return before, all
}

// current tells whether this instance's own feeds are in order.
func (s *sharer) current() bool {
	for _, m := range s.tables {
		if m.Failing() {
			return false
		}
	}
	return true
}

func (s *sharer) listen(on bool) {
	s.listens = on
	event.Reading.Log(s.log, "listens", on)
	for _, m := range s.tables {
		m.Listen(on)
	}
}

func (s *sharer) beat() {
	r := &peers.Reader{Reached: map[string]uint64{}}
	for _, m := range s.tables {
		r.Reached[m.Table] = m.Reached()
	}
	s.tell(&peers.Message{Reader: r})
}

// tell sends a message to the zone's other instances.
func (s *sharer) tell(m *peers.Message) {
	for name, i := range s.peers.All() {
		if i.Zone == s.settings.Zone && name != s.settings.Instance {
			s.peers.Send(name, m)
		}
	}
}

// refresh begins the feeds anew.
func (s *sharer) refresh() {
	for _, m := range s.tables {
		m.Again()
	}
}

// checkReached reads what no datagram brought.
func (s *sharer) checkReached() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.tables {
		if m.Reached() < s.reached[m.Table] {
			m.Again()
		}
	}
}

// pass tells the zone what the feed brought. Rows too large for a datagram are
// read from the store by everybody.
func (s *sharer) pass(table string, p mirror.Passage) {
	if s.zoneSize() <= smallZone {
		return
	}
	from := p.From
	part := &peers.Rows{Table: table, From: from}
	size := 0
	flush := func(to uint64) {
		part.To = to
		s.tell(&peers.Message{Rows: part})
		part = &peers.Rows{Table: table, From: to}
		size = 0
	}
	for i, r := range p.Rows {
		n := len(r.Key) + len(r.Value)
		if n > passBytes {
			return
		}
		// Rows of one revision belong together.
		if size > 0 && size+n > passBytes && r.Revision != p.Rows[i-1].Revision {
			flush(p.Rows[i-1].Revision)
		}
		part.Rows = append(part.Rows, peers.Row{Key: r.Key, Value: r.Value, Revision: r.Revision, Removed: r.Removed})
		size += n
	}
	flush(p.To)
}

// receive takes in a datagram about feeds, and tells whether it was one.
func (s *sharer) receive(m *peers.Message) bool {
	switch {
	case m.Reader != nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.heard[m.From] = time.Now()
		s.reached = m.Reader.Reached
	case m.Rows != nil:
		s.take(m.Rows)
	default:
		return false
	}
	return true
}

func (s *sharer) take(r *peers.Rows) {
	passage := mirror.Passage{From: r.From, To: r.To}
	for _, row := range r.Rows {
		passage.Rows = append(passage.Rows, platform.Row{
			Table: r.Table, Key: row.Key, Value: row.Value, Revision: row.Revision, Removed: row.Removed,
		})
	}
	for _, m := range s.tables {
		if m.Table != r.Table {
			continue
		}
		if !m.Pass(passage) && s.listens {
			m.Again()
		}
	}
}
