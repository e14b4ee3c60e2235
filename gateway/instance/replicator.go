package instance

import (
	"context"
	"sync"
	"sync/atomic"
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
)

// replicator lets a few instances of a large zone follow the store's feeds and pass
// the news on: each call is paid. Whoever hears no reader becomes one.
type replicator struct {
	*Instance
	tables []*mirror.Mirror

	mu      sync.Mutex
	heard   map[string]time.Time
	reached map[string]map[string]uint64
	// behind are the listener's copies that are behind a reader's.
	behind  map[string]gap
	listens atomic.Bool
	// unlike counts the signs of life of readers in a row that know other
	// targets than this instance.
	unlike int

	again   again
	fetches chan fetch
}

func newReplicator(i *Instance) *replicator {
	return &replicator{
		Instance: i, heard: map[string]time.Time{}, reached: map[string]map[string]uint64{}, behind: map[string]gap{},
		fetches: make(chan fetch, fetchRoom),
	}
}

// Serve sees to it that there are readers until the context ends.
func (s *replicator) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, readerBeat)
		large := s.zoneSize() > smallZone
		if wanted := large && s.mayListen(); wanted != s.listens.Load() {
			s.listen(wanted)
		}
		switch {
		case s.listens.Load():
			s.checkReached(time.Now())
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
func (s *replicator) mayListen() bool {
	before, all := s.count()
	if all == 0 || s.leads() || !s.hearsCoordinator() {
		return false
	}
	// Whoever is refused by the store itself is better off listening, and does
	// not press the store.
	return s.listens.Load() || before >= readers || !s.current()
}

func (s *replicator) hearsCoordinator() bool {
	at := s.beatAt.Load()
	return at != nil && time.Since(*at) < readerFor
}

// leads tells whether this instance coordinates, as far as it knows.
func (s *replicator) leads() bool {
	lead := s.lead.Load()
	return lead != nil && *lead == s.settings.Instance
}

func (s *replicator) zoneSize() int { return len(s.peers.Zone(s.settings.Zone)) }

// goesBefore orders instances as readers: those with more of a processor first,
// since a reader sends each change to its whole zone; alike ones by chance, but
// for all in the same way.
func goesBefore(a, b peers.Instance) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	return xxhash.Sum64String("reader\x00"+a.Name) < xxhash.Sum64String("reader\x00"+b.Name)
}

// count returns how many readers that go before this instance were heard, and
// how many in all.
func (s *replicator) count() (before, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, at := range s.heard {
		if now.Sub(at) > readerFor {
			delete(s.heard, name)
			continue
		}
		all++
		other := s.peers.Find(name)
		other.Name = name
		if goesBefore(other, s.peers.Self) {
			before++
		}
	}
	return before, all
}

// current tells whether this instance's own feeds are in order.
func (s *replicator) current() bool {
	for _, m := range s.tables {
		if m.Failing() {
			return false
		}
	}
	return true
}

func (s *replicator) listen(on bool) {
	s.listens.Store(on)
	event.Reading.Log(s.log, "listens", on)
	for _, m := range s.tables {
		m.Listen(on)
	}
}

func (s *replicator) beat() {
	r := &peers.Reader{Reached: map[string]uint64{}, Targets: s.state.roster.Load().Digest}
	for _, m := range s.tables {
		r.Reached[m.Table] = m.Reached()
	}
	r.Reached[s.assignments.Table] = s.assignments.Newest()
	s.tell(&peers.Message{Reader: r})
}

// tell sends a message to the zone's other instances.
func (s *replicator) tell(m *peers.Message) {
	zone := s.peers.Zone(s.settings.Zone)
	names := make([]string, 0, len(zone))
	for _, i := range zone {
		if i.Name != s.settings.Instance {
			names = append(names, i.Name)
		}
	}
	s.peers.SendAll(names, m)
}

// refresh begins the feeds anew.
func (s *replicator) refresh() {
	for _, m := range s.tables {
		m.Again()
	}
}

// gapFor is how long a listener is behind a reader before it asks for its copy:
// the rows are told once more with the next ones, and come a moment later than
// the reader's sign of life if its processor is busy. After as long again it
// calls the store.
const gapFor = 400 * time.Millisecond

// gap is a copy that is behind a reader's.
type gap struct {
	since time.Time
	asked bool
}

// checkReached sees to what no datagram brought.
func (s *replicator) checkReached(now time.Time) {
	for _, m := range s.tables {
		ahead := s.readerAhead(m.Table, m.Reached()+1)
		if ahead == "" {
			delete(s.behind, m.Table)
			continue
		}
		g, ok := s.behind[m.Table]
		switch {
		case !ok:
			s.behind[m.Table] = gap{since: now}
		case now.Sub(g.since) < gapFor:
		case !g.asked:
			s.behind[m.Table] = gap{since: now, asked: true}
			s.askFor(ahead, m)
		default:
			delete(s.behind, m.Table)
			m.Again()
		}
	}
}

// readerAhead names a reader of the zone whose copy of a table goes as far as
// the revision; empty if none does.
func (s *replicator) readerAhead(table string, revision uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.heard {
		if time.Since(at) <= readerFor && s.reached[name][table] >= revision {
			return name
		}
	}
	return ""
}

// receive takes in a datagram about feeds, and tells whether it was one.
func (s *replicator) receive(m *peers.Message) bool {
	switch {
	case m.Reader != nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.heard[m.From] = time.Now()
		s.reached[m.From] = m.Reader.Reached
		s.compare(m.Reader)
	case m.Rows != nil:
		s.take(m.From, m.Rows)
	default:
		return false
	}
	return true
}

// unlikeTries is how many signs of life of readers in a row must tell of other
// targets than are known here: news may be on their way.
const unlikeTries = 6

// compare reads all targets if they are not those of the zone's readers. A
// reader passes on what is new to itself, and its feed tells only the last of
// several changes: a target that left and came back between two answers is
// nothing new, while a listener had its leaving from the other reader.
func (s *replicator) compare(r *peers.Reader) {
	alike := r.Targets == 0 || r.Targets == s.state.roster.Load().Digest
	for _, m := range s.tables {
		alike = alike || m.Table == platform.TargetTable && m.Reached() < r.Reached[m.Table]
	}
	if alike || !s.listens.Load() {
		s.unlike = 0
		return
	}
	if s.unlike++; s.unlike < unlikeTries {
		return
	}
	s.unlike = 0
	for _, m := range s.tables {
		if m.Table == platform.TargetTable {
			m.Reload()
		}
	}
}
