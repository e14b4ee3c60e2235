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
)

const (
	// maxSingleReaderZone is the largest zone, in instances, with a single feed
	// reader. A larger zone has a second one, which covers the loss of the first.
	maxSingleReaderZone = 6
	// checkInterval is how often an instance checks whether it must be a feed reader.
	checkInterval = 100 * time.Millisecond
	// readerHeartbeatInterval is the time between a reader's heartbeats, and
	// readerTimeout how long a reader counts after its last one. The users allow two
	// seconds until a change is in force, and the feed must be read in them too.
	readerHeartbeatInterval = 300 * time.Millisecond
	readerTimeout           = 1000 * time.Millisecond
	// freshnessTTL is how long a response of the store confirms that a mirror is fresh.
	freshnessTTL = 1200 * time.Millisecond
	// freshnessCheckDelay is the time without any confirmation after which a reader's
	// mirrors check their connection to the store.
	freshnessCheckDelay = 600 * time.Millisecond
	// takeoverDelayStep is the additional wait per rank before an instance becomes a
	// feed reader when the readers have timed out, for the first takeoverRanks instances,
	// and lateTakeoverStep that of the others. The first one's heartbeat usually arrives
	// before the others' waits end, which saves their calls: each call to the store is
	// billed, and a large zone's would fill its link.
	takeoverDelayStep = 100 * time.Millisecond
	takeoverRanks     = 12
	lateTakeoverStep  = 50 * time.Millisecond
)

// replicator has one or two instances of a zone, its feed readers, poll the store's
// feeds and forward the changes to the others, which are passive: each call to the
// store is billed. A reader sends heartbeats only while its mirrors are confirmed to be
// fresh. When all readers have timed out, passive instances become readers in order
// of rank.
type replicator struct {
	*Instance
	// polledMirrors are the mirrors whose feeds the readers poll, the operator's table first.
	polledMirrors []*mirror.Mirror

	mu sync.Mutex
	// lastSeen is when each reader's last heartbeat arrived, and readerRevisions
	// the revisions in it, by table.
	lastSeen        map[string]time.Time
	readerRevisions map[string]map[string]uint64
	// gaps are the tables whose mirror is behind a reader's while this instance is
	// passive.
	gaps    map[string]gap
	passive atomic.Bool
	// thin is set while this instance relies on its zone's hubs, and hubsServe once they
	// have reported that they list targets.
	thin, hubsServe atomic.Bool
	// thinFor says of each reader whether it treats this instance as a thin one, and
	// thinReports when each thin instance has reported to this one.
	thinFor     map[string]bool
	thinReports map[string]time.Time
	// noHubSince is when the last feed reader was heard. Only Serve uses it.
	noHubSince time.Time
	// joined is set once the mirrors are filled, or are being read from the store.
	joined atomic.Bool
	// noReaderSince is when the last reader timed out, and nextHeartbeat when this
	// reader's next heartbeat is due. Only Serve uses them.
	noReaderSince time.Time
	nextHeartbeat time.Time
	// digestMismatches counts the consecutive reader heartbeats whose targets differ
	// from this instance's.
	digestMismatches int
	lastReload       time.Time

	recent       recentUpdates
	copyRequests chan copyRequest
}

func newReplicator(i *Instance) *replicator {
	return &replicator{
		Instance: i, lastSeen: map[string]time.Time{}, readerRevisions: map[string]map[string]uint64{}, gaps: map[string]gap{},
		thinFor: map[string]bool{}, thinReports: map[string]time.Time{},
		copyRequests: make(chan copyRequest, maxCopyRequests),
	}
}

// Serve fills the mirrors, and then keeps the zone supplied with feed readers until
// the context ends.
func (s *replicator) Serve(ctx context.Context) error {
	s.join(ctx)
	for ctx.Err() == nil {
		s.check(time.Now())
		sleep(ctx, checkInterval)
	}
	return ctx.Err()
}

func (s *replicator) check(now time.Time) {
	s.setThin(s.shouldBeThin(now))
	if passive := s.shouldBePassive(now); passive != s.passive.Load() {
		s.setPassive(passive)
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
	reliable := s.feedsHealthy() && s.isFresh(now)
	switch {
	case reliable && !now.Before(s.nextHeartbeat):
		s.nextHeartbeat = now.Add(readerHeartbeatInterval)
		s.sendHeartbeat()
	case !reliable && !s.nextHeartbeat.IsZero():
		// Without revisions it withdraws this reader before the timeout.
		s.nextHeartbeat = time.Time{}
		s.sendToZone(&peers.Message{ReaderHeartbeat: &peers.ReaderHeartbeat{}})
	}
}

// shouldBePassive reports whether this instance should rely on the zone's feed
// readers. The coordinator always polls the feeds itself.
func (s *replicator) shouldBePassive(now time.Time) bool {
	ahead, all := s.countReaders()
	switch {
	case s.isCoordinator():
		return false
	case s.thin.Load():
		return true
	case all > 0:
		s.noReaderSince = time.Time{}
		// An instance that the store refuses is better off passive, and saves the
		// store its retries.
		return s.passive.Load() || ahead >= readerCount(s.zoneSize()) || !s.feedsHealthy()
	case !s.passive.Load():
		return false
	case s.noReaderSince.IsZero():
		s.noReaderSince = now
	}
	return now.Sub(s.noReaderSince) < s.takeoverDelay()
}

const (
	// reconfirmDelay is how much longer the hubs of a large zone wait, for readers that confirm
	// their mirrors by a call to the store when the coordinator confirms them no more, and
	// hubTakeoverStep the wait per rank: the first that takes over reads thousands of targets
	// before it sends heartbeats. Otherwise most hubs of the fleet would become readers at the
	// same moment, and fill the link between regions.
	reconfirmDelay  = 400 * time.Millisecond
	hubTakeoverStep = 400 * time.Millisecond
)

// takeoverDelay returns how long this instance waits before it becomes a feed reader.
func (s *replicator) takeoverDelay() time.Duration {
	if s.zoneSize() < peers.MaxListed {
		return takeoverDelay(s.rank())
	}
	return reconfirmDelay + time.Duration(s.rank())*hubTakeoverStep
}

// takeoverDelay returns how long an instance of the given rank waits before it becomes a
// feed reader.
func takeoverDelay(rank int) time.Duration {
	early := min(rank, takeoverRanks)
	return time.Duration(early)*takeoverDelayStep + time.Duration(rank-early)*lateTakeoverStep
}

func readerCount(size int) int {
	if size <= maxSingleReaderZone {
		return 1
	}
	return 2
}

// isFresh reports whether this instance's mirrors are confirmed to be up to date. The
// store may drop a reader's calls without a response. The coordinator's heartbeats
// carry the revisions of its mirrors, and its lease confirms its connection to the
// store. Without them the store's own responses are the confirmation.
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

func (s *replicator) coordinatorSeenWithin(within time.Duration) bool {
	at := s.lastHeartbeat.Load()
	return at != nil && time.Since(*at) < within
}

func (s *replicator) isCoordinator() bool {
	name := s.coordinatorName.Load()
	return name != nil && *name == s.settings.Instance
}

// reliesOnZone reports whether this instance gets tables from its zone's feed readers only, as
// most of a large zone do: if all hubs of a region fetched thousands of targets from another
// region at a start, none of them would get them in time.
func (s *replicator) reliesOnZone() bool {
	return s.passive.Load() && s.zoneSize() >= peers.MaxListed
}

func (s *replicator) zoneSize() int { return len(s.peers.Zone(s.settings.Zone)) }

// outrankedBy reports whether another instance ranks before this one as a feed
// reader. The coordinator does, since it polls the feeds anyway.
func (s *replicator) outrankedBy(other peers.Instance) bool {
	name := s.coordinatorName.Load()
	return name != nil && *name == other.Name || other.RanksBefore(&s.peers.Self)
}

const (
	// readerBackoff and maxReaderBackoff are the first and the longest pause of
	// a feed reader after a call that the store did not answer.
	readerBackoff    = 100 * time.Millisecond
	maxReaderBackoff = 1600 * time.Millisecond
	// passiveBackoff is the first pause of the zone's other instances, and
	// backoffStep the additional length per rank of their longest pause: one call
	// that is answered is enough for all.
	passiveBackoff = 800 * time.Millisecond
	backoffStep    = 200 * time.Millisecond
)

func (s *replicator) backoff() (first, longest time.Duration) {
	rank := s.rank()
	if rank < readerCount(s.zoneSize()) {
		return readerBackoff, maxReaderBackoff
	}
	return passiveBackoff, maxReaderBackoff + time.Duration(rank)*backoffStep
}

// rank returns how many of the zone's instances rank before this one as feed readers.
func (s *replicator) rank() int {
	n := 0
	for _, i := range s.peers.Zone(s.settings.Zone) {
		if i.Name != s.settings.Instance && s.outrankedBy(i) {
			n++
		}
	}
	return n
}

// countReaders returns the number of live feed readers that rank before this
// instance, and of all live ones. It removes those that have timed out.
func (s *replicator) countReaders() (ahead, all int) {
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
			ahead++
		}
	}
	return ahead, all
}

func (s *replicator) feedsHealthy() bool {
	for _, m := range s.polledMirrors {
		if m.Failing() {
			return false
		}
	}
	return true
}

func (s *replicator) setPassive(passive bool) {
	s.passive.Store(passive)
	event.Reading.Log(s.log, "listens", passive)
	for _, m := range s.polledMirrors {
		m.SetPassive(passive)
	}
}

func (s *replicator) sendHeartbeat() {
	r := &peers.ReaderHeartbeat{MirrorRevisions: map[string]uint64{}, TargetsDigest: s.state.roster.Load().Digest}
	for _, m := range s.polledMirrors {
		r.MirrorRevisions[m.Table] = m.Revision()
	}
	r.MirrorRevisions[s.assignments.Table] = s.assignments.NewestChange()
	hubs, thin := s.zoneNames()
	s.peers.SendAll(hubs, &peers.Message{ReaderHeartbeat: r})
	operator := s.operatorMirror()
	s.peers.SendAll(thin, &peers.Message{ReaderHeartbeat: &peers.ReaderHeartbeat{
		MirrorRevisions: map[string]uint64{operator.Table: operator.Revision()},
		TargetsDigest:   r.TargetsDigest, Thin: true, Members: s.countMembers(),
		Quarantined: s.quarantiner.encoded(),
	}})
}

func (s *replicator) restartFeeds() {
	for _, m := range s.polledMirrors {
		m.Refresh()
	}
}

const (
	// gapTimeout is how long a passive instance waits for missing rows before it
	// requests a reader's copy: they are resent with the next update, and arrive a
	// moment later than the reader's heartbeat if its CPU is busy.
	gapTimeout = 400 * time.Millisecond
	// copyTimeout is how long it waits for that copy to begin before it calls the store. The
	// whole zone may request copies of one reader.
	copyTimeout = 600 * time.Millisecond
)

// gap is the state of a mirror that is behind a reader's.
type gap struct {
	since     time.Time
	requested bool
}

// checkGaps fills gaps that forwarded updates left: from a reader's copy first, then
// from the store.
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
		case m.Receiving():
			s.gaps[m.Table] = gap{since: now, requested: true}
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

// readerAhead returns the name of a live feed reader whose mirror of a table has
// reached a revision; empty if there is none.
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

// handleMessage handles messages of feed readers, and reports whether m is one.
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

// receiveReaderHeartbeat records a heartbeat. One without revisions withdraws the reader.
func (s *replicator) receiveReaderHeartbeat(from string, r *peers.ReaderHeartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.MirrorRevisions == nil {
		delete(s.lastSeen, from)
		return
	}
	now := time.Now()
	s.lastSeen[from] = now
	s.readerRevisions[from] = r.MirrorRevisions
	s.thinFor[from] = r.Thin
	s.hubsServe.Store(r.TargetsDigest != 0)
	if r.Thin {
		s.memberCount.Store(int64(r.Members))
		s.mostMembers.record(now, r.Members)
		s.quarantiner.merge(now, r.Quarantined)
		return
	}
	s.compareDigest(r)
}

// maxDigestMismatches is the number of consecutive reader heartbeats with other
// targets after which the targets are reloaded: updates may still be in transit.
const maxDigestMismatches = 6

// reloadInterval is the least time between two reloads: if a reader's targets are wrong, all
// hubs of its zone differ from it, and read the whole table.
const reloadInterval = 10 * time.Second

// compareDigest reloads the targets if they keep differing from those of the zone's
// readers. A reader forwards what is a change to itself, and its feed reports only
// the last of several changes to a row. A target that left and returned between two
// responses is no change to one reader; the other may have forwarded its removal.
func (s *replicator) compareDigest(r *peers.ReaderHeartbeat) {
	equal := r.TargetsDigest == 0 || r.TargetsDigest == s.state.roster.Load().Digest
	for _, m := range s.polledMirrors {
		if m.Table != platform.TargetTable {
			continue
		}
		if equal && r.TargetsDigest != 0 && m.Revision() == r.MirrorRevisions[m.Table] {
			m.ConfirmPeerData()
		}
		equal = equal || m.Revision() < r.MirrorRevisions[m.Table]
	}
	if equal || !s.passive.Load() {
		s.digestMismatches = 0
		return
	}
	if s.digestMismatches++; s.digestMismatches < maxDigestMismatches {
		return
	}
	s.digestMismatches = 0
	if time.Since(s.lastReload) < reloadInterval {
		return
	}
	s.lastReload = time.Now()
	for _, m := range s.polledMirrors {
		if m.Table == platform.TargetTable {
			m.Reload()
		}
	}
}
