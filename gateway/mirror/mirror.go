// Package mirror keeps a local copy of a table in the store. The copy is updated
// from the table's change feed, or from the copies of other instances while the
// store is unreachable.
package mirror

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/platform"
)

const (
	// feedWait is how long the store holds a feed call open while nothing changes.
	// It is long because each call is billed and keep-alive probes detect dead
	// connections.
	feedWait = 25 * time.Second
	// feedGrace is how much later than feedWait a response may begin.
	feedGrace = 3 * time.Second
	// readTimeout bounds the time until the response to the read of a page begins. The store's
	// slowest responses take half a second, and a call that it accepted while it was
	// unresponsive is never answered.
	readTimeout = 1500 * time.Millisecond
	// pageRows is the number of rows in a full response of the store: more rows are waiting.
	pageRows = 500
	// probeWait and probeGrace replace feedWait and feedGrace in the first feed
	// call after a failure. The store may have accepted the call without ever
	// answering it; a long wait could not be distinguished from a table without changes.
	probeWait  = 300 * time.Millisecond
	probeGrace = 1200 * time.Millisecond
	// freshnessWait replaces feedWait while frequent responses are needed to show
	// that the mirror is up to date.
	freshnessWait = 600 * time.Millisecond
	// burstGap is the least wait for a change that is not part of a burst.
	burstGap = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call, unless
	// Backoff is set.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
)

// Update is a set of row changes of a table, or its whole content.
type Update struct {
	// Rows are the changed rows, or all rows of the table if Full is set.
	Rows []platform.Row
	Full bool
	// Revision is the revision up to which the update is complete; 0 for a single
	// row that another instance announced.
	Revision uint64

	// minor are the keys of rows whose changes are all minor.
	minor map[string]bool
}

// Mirror is the local copy of a table. Table, Store, Log and OnUpdate must be set.
type Mirror struct {
	Table string
	// BatchDelay is the pause after a response with changes, so that a burst of
	// changes costs one call instead of one each. It adds to the age of the data.
	BatchDelay time.Duration
	// MaxBatchDelay, if set, lets the pause double with each response of a burst,
	// up to this value.
	MaxBatchDelay time.Duration
	// MinorDelay is the pause after a response with minor changes only.
	MinorDelay time.Duration
	// IsMinor, if set, reports whether a change of a row can wait and need not be
	// forwarded to other instances.
	IsMinor func(old, next platform.Row) bool
	// OnDemand tables are not polled: they are read at the start and on Refresh.
	// Other instances send their changes.
	OnDemand bool
	// InitialWait bounds how long the first read is delayed until Refresh is called
	// or another instance's copy arrives.
	InitialWait time.Duration
	// Backoff, if set, returns the first and the longest pause after failed calls.
	Backoff func() (first, longest time.Duration)
	Store   *platform.Store
	Log     *slog.Logger
	// OnUpdate receives each applied update, one call at a time.
	OnUpdate func(u Update)
	// ReadRows, if set, reads the rows in place of a read of the whole table.
	ReadRows func(ctx context.Context) (platform.Response, error)
	// Transform, if set, converts the rows that were read from the store. On an error the
	// table is read again.
	Transform func(rows []platform.Row) ([]platform.Row, error)
	// EncodeRow returns the current row of a key that ApplyRow added without a value.
	EncodeRow func(key string) platform.Row
	// Forward, if set, receives the changes of each feed response, to be sent to other
	// instances. It is not called while the mirror is passive.
	Forward func(u ForwardedUpdate)
	// PeersComplete is set if other instances forward all changes, since none is minor. Their copies
	// are then as good as the store's: they are applied also while the mirror polls, and are not
	// checked by a read of the table. Earlier values of large rows are kept.
	PeersComplete bool

	mu           sync.Mutex
	rows         map[string]platform.Row
	revision     uint64
	newestChange uint64
	changes      changes
	versions     versions
	loaded       bool
	// failingSince is when store calls began to fail; zero after a successful one.
	failingSince time.Time
	lastResponse time.Time
	// checkingFreshness is set while feed calls are kept short by CheckFreshness, and
	// probeFreshness until the first of them, which does not wait.
	checkingFreshness, probeFreshness bool
	refreshRequests                   chan struct{}
	// firstLoad is closed when the first copy has been applied.
	firstLoad chan struct{}
	// passive is set while other instances forward the feed's changes, and suspended while
	// the table is not needed.
	passive, suspended bool
	// hasPeerData is set if data of other instances was applied since the last full
	// read; hasPeerChanges, if these were complete changes to a polling mirror;
	// reloadRequested, if a full read is due.
	hasPeerData, hasPeerChanges, reloadRequested bool
	// lastFullRead is when the whole table was last read from the store.
	lastFullRead time.Time
	once         sync.Once
	// receiving is set while another instance's copy arrives.
	receiving atomic.Bool
	// supersede is called when another instance's changes were applied while a feed call was pending.
	supersede func()
	// burst counts the responses with changes that came without a break. Only Serve
	// accesses it.
	burst int
}

// Serve keeps the mirror up to date until the context ends.
func (m *Mirror) Serve(ctx context.Context) error {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		start := time.Now()
		delay, err := m.step(ctx)
		if err != nil {
			m.recordFailure(err)
			first, longest := m.backoffBounds()
			backoff = min(max(2*backoff, first), longest)
			m.sleepUntilRefresh(ctx, backoff/2+rand.N(backoff))
			continue
		}
		backoff = 0
		m.recordResponse()
		m.sleep(ctx, m.batchDelay(start, delay))
	}
	return ctx.Err()
}

func (m *Mirror) backoffBounds() (first, longest time.Duration) {
	if m.Backoff == nil {
		return minBackoff, maxBackoff
	}
	return m.Backoff()
}

// batchDelay returns the pause after a feed call that began at start. Calls that
// repeatedly return changes at once are part of a burst: each response is billed,
// and a longer pause collects more changes in one.
func (m *Mirror) batchDelay(start time.Time, delay time.Duration) time.Duration {
	if delay != m.BatchDelay || m.MaxBatchDelay == 0 || time.Since(start) > burstGap {
		m.burst = 0
		return delay
	}
	delay = min(delay<<min(m.burst, 10), m.MaxBatchDelay)
	m.burst++
	return delay
}

// Refresh ends a pause or a pending feed call, because other instances have newer
// data. A passive mirror polls the feed once; an OnDemand one reads the table.
func (m *Mirror) Refresh() {
	m.init()
	select {
	case m.refreshRequests <- struct{}{}:
	default:
	}
}

// Reload requests a read of the whole table, because the copy differs from those of
// other instances.
func (m *Mirror) Reload() {
	m.mu.Lock()
	m.reloadRequested = true
	m.mu.Unlock()
	m.Refresh()
}

// consumeReload reports whether the whole table must be read, and clears the request
// for it. It must be if Reload was called, and before a mirror that applied data of
// other instances polls the feed.
func (m *Mirror) consumeReload() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	reload := m.reloadRequested || m.hasPeerData && !m.passive && !m.OnDemand ||
		m.hasPeerChanges && time.Since(m.lastFullRead) > rereadInterval
	m.reloadRequested = false
	return reload
}

// rereadInterval is the least time between two reads of the whole table that only check what
// other instances' changes led to. A mirror that fetches changes because the link to the store
// is full must not fill it.
const rereadInterval = 15 * time.Second

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

// sleepUntilRefresh sleeps for d or until Refresh is called: another instance may have
// reported that the store is available again.
func (m *Mirror) sleepUntilRefresh(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.refreshRequests:
		if m.isPassive() || m.OnDemand && m.isLoaded() {
			// The next step waits for a refresh too.
			m.Refresh()
		}
	}
}

// step reads the table or waits for its next change. It returns the pause before
// the next step.
func (m *Mirror) step(ctx context.Context) (delay time.Duration, err error) {
	m.init()
	if m.Suspended() {
		m.awaitRefresh(ctx)
		return 0, ctx.Err()
	}
	loaded := m.isLoaded()
	if !loaded && m.InitialWait > 0 {
		m.awaitFirstLoad(ctx)
		if m.Suspended() {
			return 0, ctx.Err()
		}
		loaded = m.isLoaded()
	}
	full, wait := m.consumeReload() || !loaded, feedWait
	if !full && (m.OnDemand || m.isPassive()) {
		m.awaitRefresh(ctx)
		if ctx.Err() != nil || m.Suspended() {
			return 0, ctx.Err()
		}
		full, wait = m.OnDemand || m.consumeReload(), 0
	}
	if full {
		return m.BatchDelay, m.readTable(ctx)
	}
	return m.pollFeed(ctx, wait)
}

func (m *Mirror) awaitRefresh(ctx context.Context) {
	select {
	case <-m.refreshRequests:
	case <-ctx.Done():
	}
}

// Suspend stops all reads of the table, or resumes them.
func (m *Mirror) Suspend(suspended bool) {
	m.mu.Lock()
	unchanged := m.suspended == suspended
	m.suspended = suspended
	m.mu.Unlock()
	if !unchanged {
		m.Refresh()
	}
}

// Suspended reports whether the table is not needed.
func (m *Mirror) Suspended() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.suspended
}

func (m *Mirror) isLoaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// AwaitPeerCopy delays the first read by up to maxWait, for another instance's copy
// to arrive, and makes the mirror passive. It must be called before Serve.
func (m *Mirror) AwaitPeerCopy(maxWait time.Duration) {
	m.InitialWait, m.passive = maxWait, !m.OnDemand
}

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

// readTable reads the whole table, or what ReadRows reads, page by page. The pages have
// different revisions; the feed continues from the first page's and repeats the changes made
// in between.
func (m *Mirror) readTable(ctx context.Context) error {
	read := m.ReadRows
	if read == nil {
		read = m.ReadPages
	}
	got, err := read(ctx)
	if err != nil {
		return err
	}
	update := Update{Full: true, Rows: got.Rows, Revision: got.Revision}
	if m.Transform != nil {
		if update.Rows, err = m.Transform(update.Rows); err != nil {
			return fmt.Errorf("read table %s: %w", m.Table, err)
		}
	}
	m.apply(update)
	m.mu.Lock()
	m.hasPeerChanges, m.lastFullRead = false, time.Now()
	m.mu.Unlock()
	return nil
}

// ReadPages reads the whole table without applying it. The revision is the first page's.
func (m *Mirror) ReadPages(ctx context.Context) (all platform.Response, err error) {
	after := ""
	for {
		got, err := m.readPage(ctx, after)
		if err != nil {
			return platform.Response{}, err
		}
		if all.Revision == 0 {
			all.Revision = got.Revision
		}
		all.Rows = append(all.Rows, got.Rows...)
		if !got.More || len(got.Rows) == 0 {
			return all, nil
		}
		after = got.Rows[len(got.Rows)-1].Key
	}
}

// pageAttempts is how often a page is read before the read of the table fails: if many read a
// large table over a slow link, none of them would ever come to its end.
const pageAttempts = 3

func (m *Mirror) readPage(ctx context.Context, after string) (got platform.Response, err error) {
	for range pageAttempts {
		got, err = m.Store.Range(ctx, readTimeout, m.Table, "", after)
		if err == nil || after == "" || ctx.Err() != nil {
			break
		}
	}
	return got, err
}

// apply applies an update and reports it to OnUpdate. A full update that is older
// than the mirror is ignored.
func (m *Mirror) apply(u Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.Full && m.loaded && u.Revision < m.revision {
		return
	}
	if m.PeersComplete {
		if !u.Full {
			u.Rows = m.newRows(u.Rows)
		}
		m.keepVersions(u)
	}
	if m.rows == nil || u.Full {
		m.rows = map[string]platform.Row{}
		m.changes.reset(u.Revision)
	}
	for _, r := range u.Rows {
		m.newestChange = max(m.newestChange, r.Revision)
		m.changes.record(r, u.minor[r.Key])
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
	m.hasPeerData = m.hasPeerData && !u.Full
	m.revision = max(m.revision, u.Revision)
	if u.Full || len(u.Rows) > 0 {
		m.OnUpdate(u)
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
