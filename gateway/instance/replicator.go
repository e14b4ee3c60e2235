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
	// smallZone is the number of instances in a zone up to which one follows the
	// feeds. In a larger one a second covers its loss.
	smallZone = 6
	// checkEvery is how often an instance looks whether it has to read.
	checkEvery = 100 * time.Millisecond
	// readerBeat is the time between a reader's signs of life, and readerFor
	// how long one counts after the last: the users allow two seconds until
	// news is in force, and the feed must be read in it too.
	readerBeat = 300 * time.Millisecond
	readerFor  = 1000 * time.Millisecond
	// provedFor is how long an answer of the store proves the way to it.
	provedFor = 1200 * time.Millisecond
	// proveAfter is how long a reader goes without any proof before it asks the store
	// for one.
	proveAfter = 600 * time.Millisecond
	// turn is how much later each next instance of a zone begins to read when no
	// reader is heard any more, mostTurn the longest wait: the first one is
	// usually heard before the others' turn, each of whose calls is paid.
	turn     = 100 * time.Millisecond
	mostTurn = 1200 * time.Millisecond
)

// replicator lets one or two instances of a zone follow the store's feeds and pass
// the news on: each call is paid. A reader gives signs of life only while its way
// to the store is proved; when none is heard, others begin to read, one by one.
type replicator struct {
	*Instance
	tables []*mirror.Mirror

	mu      sync.Mutex
	heard   map[string]time.Time
	reached map[string]map[string]uint64
	// behind are the listener's copies that are behind a reader's.
	behind  map[string]gap
	listens atomic.Bool
	// joined is set once the first copies have come or are being read.
	joined atomic.Bool
	// alone is since when no reader is heard, and nextBeat when the next sign of
	// life is due. Both belong to Serve.
	alone    time.Time
	nextBeat time.Time
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
	s.join(ctx)
	for ctx.Err() == nil {
		s.check(time.Now())
		sleep(ctx, checkEvery)
	}
	return ctx.Err()
}

func (s *replicator) check(now time.Time) {
	if wanted := s.mayListen(now); wanted != s.listens.Load() {
		s.listen(wanted)
	}
	if s.listens.Load() {
		s.checkReached(now)
		return
	}
	for _, m := range s.tables {
		switch {
		case s.heardCoordinator(proveAfter):
			m.Prove(false)
		case now.Sub(m.Answered()) > proveAfter:
			m.Prove(true)
		}
	}
	reads := s.current() && s.certain(now)
	switch {
	case reads && !now.Before(s.nextBeat):
		s.nextBeat = now.Add(readerBeat)
		s.beat()
	case !reads && !s.nextBeat.IsZero():
		// Who listens need not wait until this instance counts as silent.
		s.nextBeat = time.Time{}
		s.tell(&peers.Message{ReaderHeartbeat: &peers.ReaderHeartbeat{}})
	}
}

// mayListen tells whether others follow the feeds for this instance. The
// coordinator always reads for itself.
func (s *replicator) mayListen(now time.Time) bool {
	before, all := s.count()
	switch {
	case s.leads():
		return false
	case all > 0:
		s.alone = time.Time{}
		// Whoever is refused by the store itself is better off listening, and does
		// not press the store.
		return s.listens.Load() || before >= readersOf(s.zoneSize()) || !s.current()
	case !s.listens.Load():
		return false
	case s.alone.IsZero():
		s.alone = now
	}
	return now.Sub(s.alone) < min(time.Duration(s.rank())*turn, mostTurn)
}

// readersOf returns how many follow the feeds in a zone of so many instances.
func readersOf(size int) int {
	if size <= smallZone {
		return 1
	}
	return 2
}

// certain tells whether this instance's copies are known to be kept up. The store
// may refuse a reader without a word; the coordinator's signs of life tell how far
// its copies go, and its lease proves its way to the store. Without it the store's
// own answers are the proof.
func (s *replicator) certain(now time.Time) bool {
	if s.hearsCoordinator() {
		return true
	}
	for _, m := range s.tables {
		if now.Sub(m.Answered()) > provedFor {
			return false
		}
	}
	return true
}

func (s *replicator) hearsCoordinator() bool { return s.heardCoordinator(readerFor) }

// heardCoordinator tells whether the coordinator gave a sign of life within a time.
func (s *replicator) heardCoordinator(within time.Duration) bool {
	at := s.beatAt.Load()
	return at != nil && time.Since(*at) < within
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

// before tells whether another instance goes before this one as a reader: the
// coordinator does, since it follows the feeds anyway.
func (s *replicator) before(other peers.Instance) bool {
	lead := s.lead.Load()
	return lead != nil && *lead == other.Name || goesBefore(other, s.peers.Self)
}

const (
	// readerRetry and mostReaderRetry are the first and the longest pause of a
	// reader after a call that the store did not answer.
	readerRetry     = 100 * time.Millisecond
	mostReaderRetry = 1600 * time.Millisecond
	// otherRetry is the first pause of the zone's other instances, and rankRetry
	// how much longer the longest one is for each next of them: one that is
	// answered is enough for all.
	otherRetry = 800 * time.Millisecond
	rankRetry  = 200 * time.Millisecond
)

// retry returns the pauses after calls to the store that failed.
func (s *replicator) retry() (first, most time.Duration) {
	rank := s.rank()
	if rank < readersOf(s.zoneSize()) {
		return readerRetry, mostReaderRetry
	}
	return otherRetry, mostReaderRetry + time.Duration(rank)*rankRetry
}

// rank is how many instances of the zone go before this one as readers.
func (s *replicator) rank() int {
	n := 0
	for _, i := range s.peers.Zone(s.settings.Zone) {
		if i.Name != s.settings.Instance && s.before(i) {
			n++
		}
	}
	return n
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
		if s.before(other) {
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
	r := &peers.ReaderHeartbeat{MirrorRevisions: map[string]uint64{}, TargetsDigest: s.state.roster.Load().Digest}
	for _, m := range s.tables {
		r.MirrorRevisions[m.Table] = m.Reached()
	}
	r.MirrorRevisions[s.assignments.Table] = s.assignments.Newest()
	s.tell(&peers.Message{ReaderHeartbeat: r})
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

const (
	// gapFor is how long a listener is behind a reader before it asks for its copy:
	// the rows are told once more with the next ones, and come a moment later than
	// the reader's sign of life if its processor is busy.
	gapFor = 400 * time.Millisecond
	// copyFor is how long it waits for that copy before it calls the store: the
	// whole zone may ask one reader.
	copyFor = 600 * time.Millisecond
)

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
		case !g.asked && now.Sub(g.since) < gapFor, g.asked && now.Sub(g.since) < copyFor:
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
	case m.ReaderHeartbeat != nil:
		s.hear(m.From, m.ReaderHeartbeat)
	case m.TableUpdate != nil:
		s.take(m.From, m.TableUpdate)
	default:
		return false
	}
	return true
}

func (s *replicator) hear(from string, r *peers.ReaderHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.MirrorRevisions == nil {
		delete(s.heard, from)
		return
	}
	s.heard[from] = time.Now()
	s.reached[from] = r.MirrorRevisions
	s.compare(r)
}

// unlikeTries is how many signs of life of readers in a row must tell of other
// targets than are known here: news may be on their way.
const unlikeTries = 6

// compare reads all targets if they are not those of the zone's readers. A
// reader passes on what is new to itself, and its feed tells only the last of
// several changes: a target that left and came back between two answers is
// nothing new, while a listener had its leaving from the other reader.
func (s *replicator) compare(r *peers.ReaderHeartbeat) {
	alike := r.TargetsDigest == 0 || r.TargetsDigest == s.state.roster.Load().Digest
	for _, m := range s.tables {
		alike = alike || m.Table == platform.TargetTable && m.Reached() < r.MirrorRevisions[m.Table]
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
