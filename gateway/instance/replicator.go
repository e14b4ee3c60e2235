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
	// maxSingleReaderZone is the number of instances in a zone up to which one follows the
	// feeds. In a larger one a second covers its loss.
	maxSingleReaderZone = 6
	// checkInterval is how often an instance looks whether it has to read.
	checkInterval = 100 * time.Millisecond
	// readerHeartbeatInterval is the time between a reader's signs of life, and readerFor
	// how long one counts after the last: the users allow two seconds until
	// news is in force, and the feed must be read in it too.
	readerHeartbeatInterval = 300 * time.Millisecond
	readerTimeout           = 1000 * time.Millisecond
	// freshnessTTL is how long an answer of the store proves the way to it.
	freshnessTTL = 1200 * time.Millisecond
	// freshnessCheckDelay is how long a reader goes without any proof before it asks the store
	// for one.
	freshnessCheckDelay = 600 * time.Millisecond
	// takeoverDelayStep is how much later each next instance of a zone begins to read when no
	// reader is heard any more, mostTurn the longest wait: the first one is
	// usually heard before the others' turn, each of whose calls is paid.
	takeoverDelayStep = 100 * time.Millisecond
	maxTakeoverDelay  = 1200 * time.Millisecond
)

// replicator lets one or two instances of a zone follow the store's feeds and pass
// the news on: each call is paid. A reader gives signs of life only while its way
// to the store is proved; when none is heard, others begin to read, one by one.
type replicator struct {
	*Instance
	polledMirrors []*mirror.Mirror

	mu              sync.Mutex
	lastSeen        map[string]time.Time
	readerRevisions map[string]map[string]uint64
	// gaps are the listener's copies that are behind a reader's.
	gaps    map[string]gap
	passive atomic.Bool
	// joined is set once the first copies have come or are being read.
	joined atomic.Bool
	// noReaderSince is since when no reader is heard, and nextBeat when the next sign of
	// life is due. Both belong to Serve.
	noReaderSince time.Time
	nextHeartbeat time.Time
	// digestMismatches counts the signs of life of readers in a row that know other
	// targets than this instance.
	digestMismatches int

	recent       recentUpdates
	copyRequests chan copyRequest
}

func newReplicator(i *Instance) *replicator {
	return &replicator{
		Instance: i, lastSeen: map[string]time.Time{}, readerRevisions: map[string]map[string]uint64{}, gaps: map[string]gap{},
		copyRequests: make(chan copyRequest, maxCopyRequests),
	}
}

// Serve sees to it that there are readers until the context ends.
func (s *replicator) Serve(ctx context.Context) error {
	s.join(ctx)
	for ctx.Err() == nil {
		s.check(time.Now())
		sleep(ctx, checkInterval)
	}
	return ctx.Err()
}

func (s *replicator) check(now time.Time) {
	if wanted := s.shouldBePassive(now); wanted != s.passive.Load() {
		s.setPassive(wanted)
	}
	if s.passive.Load() {
		s.checkGaps(now)
		return
	}
	for _, m := range s.polledMirrors {
		switch {
		case s.coordinatorSeenWithin(freshnessCheckDelay):
			m.CheckFreshness(false)
		case now.Sub(m.LastResponse()) > freshnessCheckDelay:
			m.CheckFreshness(true)
		}
	}
	reads := s.feedsHealthy() && s.isFresh(now)
	switch {
	case reads && !now.Before(s.nextHeartbeat):
		s.nextHeartbeat = now.Add(readerHeartbeatInterval)
		s.sendHeartbeat()
	case !reads && !s.nextHeartbeat.IsZero():
		// Who listens need not wait until this instance counts as silent.
		s.nextHeartbeat = time.Time{}
		s.sendToZone(&peers.Message{ReaderHeartbeat: &peers.ReaderHeartbeat{}})
	}
}

// shouldBePassive tells whether others follow the feeds for this instance. The
// coordinator always reads for itself.
func (s *replicator) shouldBePassive(now time.Time) bool {
	before, all := s.countReaders()
	switch {
	case s.isCoordinator():
		return false
	case all > 0:
		s.noReaderSince = time.Time{}
		// Whoever is refused by the store itself is better off listening, and does
		// not press the store.
		return s.passive.Load() || before >= readerCount(s.zoneSize()) || !s.feedsHealthy()
	case !s.passive.Load():
		return false
	case s.noReaderSince.IsZero():
		s.noReaderSince = now
	}
	return now.Sub(s.noReaderSince) < min(time.Duration(s.rank())*takeoverDelayStep, maxTakeoverDelay)
}

// readerCount returns how many follow the feeds in a zone of so many instances.
func readerCount(size int) int {
	if size <= maxSingleReaderZone {
		return 1
	}
	return 2
}

// isFresh tells whether this instance's copies are known to be kept up. The store
// may refuse a reader without a word; the coordinator's signs of life tell how far
// its copies go, and its lease proves its way to the store. Without it the store's
// own answers are the proof.
func (s *replicator) isFresh(now time.Time) bool {
	if s.coordinatorAlive() {
		return true
	}
	for _, m := range s.polledMirrors {
		if now.Sub(m.LastResponse()) > freshnessTTL {
			return false
		}
	}
	return true
}

func (s *replicator) coordinatorAlive() bool { return s.coordinatorSeenWithin(readerTimeout) }

// coordinatorSeenWithin tells whether the coordinator gave a sign of life within a time.
func (s *replicator) coordinatorSeenWithin(within time.Duration) bool {
	at := s.lastHeartbeat.Load()
	return at != nil && time.Since(*at) < within
}

// isCoordinator tells whether this instance coordinates, as far as it knows.
func (s *replicator) isCoordinator() bool {
	lead := s.coordinatorName.Load()
	return lead != nil && *lead == s.settings.Instance
}

func (s *replicator) zoneSize() int { return len(s.peers.Zone(s.settings.Zone)) }

// ranksBefore orders instances as readers: those with more of a processor first,
// since a reader sends each change to its whole zone; alike ones by chance, but
// for all in the same way.
func ranksBefore(a, b peers.Instance) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	return xxhash.Sum64String("reader\x00"+a.Name) < xxhash.Sum64String("reader\x00"+b.Name)
}

// outrankedBy tells whether another instance goes before this one as a reader: the
// coordinator does, since it follows the feeds anyway.
func (s *replicator) outrankedBy(other peers.Instance) bool {
	lead := s.coordinatorName.Load()
	return lead != nil && *lead == other.Name || ranksBefore(other, s.peers.Self)
}

const (
	// readerBackoff and mostReaderRetry are the first and the longest pause of a
	// reader after a call that the store did not answer.
	readerBackoff    = 100 * time.Millisecond
	maxReaderBackoff = 1600 * time.Millisecond
	// passiveBackoff is the first pause of the zone's other instances, and rankRetry
	// how much longer the longest one is for each next of them: one that is
	// answered is enough for all.
	passiveBackoff = 800 * time.Millisecond
	backoffStep    = 200 * time.Millisecond
)

// backoff returns the pauses after calls to the store that failed.
func (s *replicator) backoff() (first, most time.Duration) {
	rank := s.rank()
	if rank < readerCount(s.zoneSize()) {
		return readerBackoff, maxReaderBackoff
	}
	return passiveBackoff, maxReaderBackoff + time.Duration(rank)*backoffStep
}

// rank is how many instances of the zone go before this one as readers.
func (s *replicator) rank() int {
	n := 0
	for _, i := range s.peers.Zone(s.settings.Zone) {
		if i.Name != s.settings.Instance && s.outrankedBy(i) {
			n++
		}
	}
	return n
}

// countReaders returns how many readers that go before this instance were heard, and
// how many in all.
func (s *replicator) countReaders() (before, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, at := range s.lastSeen {
		if now.Sub(at) > readerTimeout {
			delete(s.lastSeen, name)
			continue
		}
		all++
		other := s.peers.Find(name)
		other.Name = name
		if s.outrankedBy(other) {
			before++
		}
	}
	return before, all
}

// feedsHealthy tells whether this instance's own feeds are in order.
func (s *replicator) feedsHealthy() bool {
	for _, m := range s.polledMirrors {
		if m.Failing() {
			return false
		}
	}
	return true
}

func (s *replicator) setPassive(on bool) {
	s.passive.Store(on)
	event.Reading.Log(s.log, "listens", on)
	for _, m := range s.polledMirrors {
		m.SetPassive(on)
	}
}

func (s *replicator) sendHeartbeat() {
	r := &peers.ReaderHeartbeat{MirrorRevisions: map[string]uint64{}, TargetsDigest: s.state.roster.Load().Digest}
	for _, m := range s.polledMirrors {
		r.MirrorRevisions[m.Table] = m.Revision()
	}
	r.MirrorRevisions[s.assignments.Table] = s.assignments.NewestChange()
	s.sendToZone(&peers.Message{ReaderHeartbeat: r})
}

// sendToZone sends a message to the zone's other instances.
func (s *replicator) sendToZone(m *peers.Message) {
	zone := s.peers.Zone(s.settings.Zone)
	names := make([]string, 0, len(zone))
	for _, i := range zone {
		if i.Name != s.settings.Instance {
			names = append(names, i.Name)
		}
	}
	s.peers.SendAll(names, m)
}

// restartFeeds begins the feeds anew.
func (s *replicator) restartFeeds() {
	for _, m := range s.polledMirrors {
		m.Refresh()
	}
}

const (
	// gapTimeout is how long a listener is behind a reader before it asks for its copy:
	// the rows are told once more with the next ones, and come a moment later than
	// the reader's sign of life if its processor is busy.
	gapTimeout = 400 * time.Millisecond
	// copyTimeout is how long it waits for that copy before it calls the store: the
	// whole zone may ask one reader.
	copyTimeout = 600 * time.Millisecond
)

// gap is a copy that is behind a reader's.
type gap struct {
	since     time.Time
	requested bool
}

// checkGaps sees to what no datagram brought.
func (s *replicator) checkGaps(now time.Time) {
	for _, m := range s.polledMirrors {
		ahead := s.readerAhead(m.Table, m.Revision()+1)
		if ahead == "" {
			delete(s.gaps, m.Table)
			continue
		}
		g, ok := s.gaps[m.Table]
		switch {
		case !ok:
			s.gaps[m.Table] = gap{since: now}
		case !g.requested && now.Sub(g.since) < gapTimeout, g.requested && now.Sub(g.since) < copyTimeout:
		case !g.requested:
			s.gaps[m.Table] = gap{since: now, requested: true}
			s.requestCopy(ahead, m)
		default:
			delete(s.gaps, m.Table)
			m.Refresh()
		}
	}
}

// readerAhead names a reader of the zone whose copy of a table goes as far as
// the revision; empty if none does.
func (s *replicator) readerAhead(table string, revision uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.lastSeen {
		if time.Since(at) <= readerTimeout && s.readerRevisions[name][table] >= revision {
			return name
		}
	}
	return ""
}

// handleMessage takes in a datagram about feeds, and tells whether it was one.
func (s *replicator) handleMessage(m *peers.Message) bool {
	switch {
	case m.ReaderHeartbeat != nil:
		s.receiveReaderHeartbeat(m.From, m.ReaderHeartbeat)
	case m.TableUpdate != nil:
		s.receiveTableUpdate(m.From, m.TableUpdate)
	default:
		return false
	}
	return true
}

func (s *replicator) receiveReaderHeartbeat(from string, r *peers.ReaderHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.MirrorRevisions == nil {
		delete(s.lastSeen, from)
		return
	}
	s.lastSeen[from] = time.Now()
	s.readerRevisions[from] = r.MirrorRevisions
	s.compareDigest(r)
}

// maxDigestMismatches is how many signs of life of readers in a row must tell of other
// targets than are known here: news may be on their way.
const maxDigestMismatches = 6

// compareDigest reads all targets if they are not those of the zone's readers. A
// reader passes on what is new to itself, and its feed tells only the last of
// several changes: a target that left and came back between two answers is
// nothing new, while a listener had its leaving from the other reader.
func (s *replicator) compareDigest(r *peers.ReaderHeartbeat) {
	alike := r.TargetsDigest == 0 || r.TargetsDigest == s.state.roster.Load().Digest
	for _, m := range s.polledMirrors {
		alike = alike || m.Table == platform.TargetTable && m.Revision() < r.MirrorRevisions[m.Table]
	}
	if alike || !s.passive.Load() {
		s.digestMismatches = 0
		return
	}
	if s.digestMismatches++; s.digestMismatches < maxDigestMismatches {
		return
	}
	s.digestMismatches = 0
	for _, m := range s.polledMirrors {
		if m.Table == platform.TargetTable {
			m.Reload()
		}
	}
}
