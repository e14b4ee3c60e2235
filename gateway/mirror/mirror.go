// Package mirror keeps a copy of a table of the store, by its change feed, and
// by other instances' copies while the store is out of reach.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/platform"
)

const (
	// feedWait is how long the store holds a feed open without news. Each call
	// is paid, and a dead connection is found by keep-alive probes, so it is
	// long.
	feedWait = 25 * time.Second
	// feedGrace is how much later than feedWait an answer may come.
	feedGrace = 3 * time.Second
	// readTimeout bounds the reading of a whole table. A call that the store
	// took while it was silent is never answered; the store's slowest answers
	// take half a second.
	readTimeout = 1500 * time.Millisecond
	// probeWait is the same for the first feed after a failure: the store may
	// have taken the call without ever answering it, and a long wait would not
	// tell that from having no news.
	probeWait  = 300 * time.Millisecond
	probeGrace = 1200 * time.Millisecond
	// freshnessWait is how long a feed waits while its answers are needed as a proof.
	freshnessWait = 600 * time.Millisecond
	// burstGap is how long a feed waits at least for news that are not part of
	// a series.
	burstGap = 500 * time.Millisecond
	// minBackoff and lastRetry bound the pause after a call that failed, unless
	// Retry is set.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
)

// Update is news of a table.
type Update struct {
	// Rows are the rows that changed; all that there are, if Whole is set.
	Rows     []platform.Row
	Full     bool
	Revision uint64
}

// Mirror is the copy of a table. Table, Store, Log and Changed must be set.
type Mirror struct {
	Table string
	// BatchDelay is the pause after an answer with news, so that a series of changes
	// costs one call instead of one each. It adds to the age of news.
	BatchDelay time.Duration
	// MaxBatchDelay, if set, bounds how much the pause grows while news come without
	// a break: it doubles each time.
	MaxBatchDelay time.Duration
	// MinorDelay is the pause after news that Minor says nobody waits for.
	MinorDelay time.Duration
	// IsMinor, if set, tells of a change that others need not hear of, and that
	// can wait.
	IsMinor func(old, next platform.Row) bool
	// OnDemand tables are not followed: they are read at the start, and when
	// Again is called. Others bring their news.
	OnDemand bool
	// InitialWait is how long the first read waits for Again.
	InitialWait time.Duration
	// Backoff, if set, returns the first and the longest pause after calls that failed.
	Backoff func() (first, most time.Duration)
	Store   *platform.Store
	Log     *slog.Logger
	// OnUpdate is told of news, one call at a time.
	OnUpdate func(c Update)
	// EncodeRow returns the present row of a key that was injected without its value.
	EncodeRow func(key string) platform.Row
	// Forward, if set, is told of what the feed brought: the changes after one
	// revision up to another.
	Forward func(p ForwardedUpdate)

	mu       sync.Mutex
	rows     map[string]platform.Row
	revision uint64
	// newestChange is the revision of the newest change taken in.
	newestChange uint64
	loaded       bool
	failingSince time.Time
	// lastResponse is when the store answered last.
	lastResponse time.Time
	// checkingFreshness is set while the store's answers are needed as a proof.
	checkingFreshness bool
	refreshRequests   chan struct{}
	// firstLoad is closed when the first copy has come.
	firstLoad chan struct{}
	// passive is set while others pass the feed's news on.
	passive bool
	// hasPeerData is set if others passed on changes since the table was read whole,
	// and reload if it is to be read so.
	hasPeerData, reloadRequested bool
	once                         sync.Once
	// burst counts the answers with news that came without a break. It belongs
	// to Serve.
	burst int
}

// Serve follows the table until the context ends.
func (m *Mirror) Serve(ctx context.Context) error {
	retry := time.Duration(0)
	for ctx.Err() == nil {
		began := time.Now()
		pace, err := m.step(ctx)
		if err != nil {
			m.recordFailure(err)
			first, most := m.backoffBounds()
			retry = min(max(2*retry, first), most)
			m.sleepUntilRefresh(ctx, retry/2+rand.N(retry))
			continue
		}
		retry = 0
		m.recordResponse()
		m.sleep(ctx, m.batchDelay(began, pace))
	}
	return ctx.Err()
}

func (m *Mirror) backoffBounds() (first, most time.Duration) {
	if m.Backoff == nil {
		return minBackoff, maxBackoff
	}
	return m.Backoff()
}

// batchDelay returns the pause after a call that began at a time. News that were
// there at once, again and again, come in a series: each answer is paid, and a
// longer pause puts more of them into one.
func (m *Mirror) batchDelay(began time.Time, pace time.Duration) time.Duration {
	if pace != m.BatchDelay || m.MaxBatchDelay == 0 || time.Since(began) > burstGap {
		m.burst = 0
		return pace
	}
	pace = min(pace<<min(m.burst, 10), m.MaxBatchDelay)
	m.burst++
	return pace
}

// Refresh ends a pause or a feed, because others have newer news.
func (m *Mirror) Refresh() {
	m.init()
	select {
	case m.refreshRequests <- struct{}{}:
	default:
	}
}

// Reload reads the whole table, because the copy is not like others.
func (m *Mirror) Reload() {
	m.mu.Lock()
	m.reloadRequested = true
	m.mu.Unlock()
	m.Refresh()
}

// consumeReload tells once that the whole table is to be read: if that was asked
// for, or before a copy that others kept up is followed by the feed again.
func (m *Mirror) consumeReload() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	reload := m.reloadRequested || m.hasPeerData && !m.passive && !m.OnDemand
	m.reloadRequested = false
	return reload
}

func (m *Mirror) init() {
	m.once.Do(func() { m.refreshRequests, m.firstLoad = make(chan struct{}, 1), make(chan struct{}) })
}

func (m *Mirror) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// sleepUntilRefresh is a pause that Again ends: others may know that the store is back.
func (m *Mirror) sleepUntilRefresh(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.refreshRequests:
		if m.isPassive() || m.OnDemand && m.isLoaded() {
			// What waits for Again next must hear it as well.
			m.Refresh()
		}
	}
}

// step reads the table, or waits for its next change. It returns the pause that
// is due then.
func (m *Mirror) step(ctx context.Context) (pace time.Duration, err error) {
	m.init()
	loaded := m.isLoaded()
	if !loaded && m.InitialWait > 0 {
		m.awaitFirstLoad(ctx)
		loaded = m.isLoaded()
	}
	whole, wait := m.consumeReload() || !loaded, feedWait
	if !whole && (m.OnDemand || m.isPassive()) {
		select {
		case <-m.refreshRequests:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		whole, wait = m.OnDemand || m.consumeReload(), 0
	}
	if whole {
		return m.BatchDelay, m.readTable(ctx)
	}
	return m.pollFeed(ctx, wait)
}

// pollFeed asks the feed for what has changed, and waits for it.
func (m *Mirror) pollFeed(ctx context.Context, wait time.Duration) (pace time.Duration, err error) {
	m.mu.Lock()
	after, listening, failing, proving := m.revision, m.passive, !m.failingSince.IsZero(), m.checkingFreshness
	m.mu.Unlock()
	grace := feedGrace
	switch {
	case failing:
		wait, grace = min(wait, probeWait), probeGrace
	case proving:
		wait, grace = min(wait, freshnessWait), probeGrace
	}
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	if !listening {
		stop := m.cancelOnRefresh(ctx, cancel)
		defer stop()
	}
	got, err := m.Store.Feed(ctx, m.Table, after, wait)
	var compacted *platform.CompactedError
	if errors.As(err, &compacted) {
		event.HistoryLost.Log(m.Log, "table", m.Table, "after", after)
		return m.BatchDelay, m.readTable(ctx)
	}
	if err != nil {
		return 0, err
	}
	major := m.majorChanges(got.Rows)
	m.apply(Update{Rows: got.Rows, Revision: got.Revision})
	if m.Forward != nil && !listening {
		// Also without rows: who listens must know that there was nothing.
		m.Forward(ForwardedUpdate{From: after, To: got.Revision, NewestChange: m.NewestChange(), Rows: major})
	}
	switch {
	case len(got.Rows) == 0:
		return 0, nil
	case len(major) == 0:
		return m.MinorDelay, nil
	}
	return m.BatchDelay, nil
}

func (m *Mirror) isLoaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// AwaitPeerCopy has the copy wait for another instance's before it is read, as one
// that others keep up. It must be called before Serve.
func (m *Mirror) AwaitPeerCopy(atMost time.Duration) {
	m.InitialWait, m.passive = atMost, !m.OnDemand
}

// awaitFirstLoad waits for the first Again or another instance's copy, but not for long.
func (m *Mirror) awaitFirstLoad(ctx context.Context) {
	timer := time.NewTimer(m.InitialWait)
	defer timer.Stop()
	select {
	case <-m.refreshRequests:
	case <-m.firstLoad:
	case <-timer.C:
	case <-ctx.Done():
	}
	m.InitialWait = 0
}

// cancelOnRefresh cancels the feed on Again.
func (m *Mirror) cancelOnRefresh(ctx context.Context, cancel func()) (stop func()) {
	done := make(chan struct{})
	group := &sync.WaitGroup{}
	group.Go(func() {
		select {
		case <-m.refreshRequests:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	})
	return func() { close(done); group.Wait() }
}

// readTable takes the whole table. Pages are from different moments; the feed goes
// on from the first one's and brings again what changed in between.
func (m *Mirror) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	whole := Update{Full: true}
	after := ""
	for {
		got, err := m.Store.Range(ctx, m.Table, "", after)
		if err != nil {
			return err
		}
		if whole.Revision == 0 {
			whole.Revision = got.Revision
		}
		whole.Rows = append(whole.Rows, got.Rows...)
		if !got.More || len(got.Rows) == 0 {
			break
		}
		after = got.Rows[len(got.Rows)-1].Key
	}
	m.apply(whole)
	return nil
}

// apply takes in news unless it is older than what is known.
func (m *Mirror) apply(c Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Full && m.loaded && c.Revision < m.revision {
		return
	}
	if m.rows == nil || c.Full {
		m.rows = map[string]platform.Row{}
	}
	for _, r := range c.Rows {
		m.newestChange = max(m.newestChange, r.Revision)
		if r.Removed {
			delete(m.rows, r.Key)
			continue
		}
		m.rows[r.Key] = r
	}
	if !m.loaded {
		m.init()
		close(m.firstLoad)
	}
	m.loaded = true
	m.hasPeerData = m.hasPeerData && !c.Full
	m.revision = max(m.revision, c.Revision)
	if c.Full || len(c.Rows) > 0 {
		m.OnUpdate(c)
	}
}

func (m *Mirror) recordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failingSince.IsZero() || errors.Is(err, context.Canceled) {
		return
	}
	m.failingSince = time.Now()
	event.TableLost.Log(m.Log, "table", m.Table, "revision", m.revision, "error", err)
}

func (m *Mirror) recordResponse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastResponse = time.Now()
	if m.failingSince.IsZero() {
		return
	}
	event.TableBack.Log(m.Log, "table", m.Table, "revision", m.revision, "afterMs", time.Since(m.failingSince).Milliseconds())
	m.failingSince = time.Time{}
}
