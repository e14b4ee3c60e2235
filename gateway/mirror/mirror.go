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
	// proofWait is the same for the first feed after a failure: the store may
	// have taken the call without ever answering it, and a long wait would not
	// tell that from having no news.
	proofWait  = 300 * time.Millisecond
	proofGrace = 1200 * time.Millisecond
	// proveEvery is how long a feed waits while its answers are needed as a proof.
	proveEvery = 600 * time.Millisecond
	// seriesGap is how long a feed waits at least for news that are not part of
	// a series.
	seriesGap = 500 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a call that failed, unless
	// Retry is set.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 1600 * time.Millisecond
)

// Change is news of a table.
type Change struct {
	// Rows are the rows that changed; all that there are, if Whole is set.
	Rows     []platform.Row
	Whole    bool
	Revision uint64
}

// Mirror is the copy of a table. Table, Store, Log and Changed must be set.
type Mirror struct {
	Table string
	// Pace is the pause after an answer with news, so that a series of changes
	// costs one call instead of one each. It adds to the age of news.
	Pace time.Duration
	// MostPace, if set, bounds how much the pause grows while news come without
	// a break: it doubles each time.
	MostPace time.Duration
	// QuietPace is the pause after news that Minor says nobody waits for.
	QuietPace time.Duration
	// Minor, if set, tells of a change that others need not hear of, and that
	// can wait.
	Minor func(old, next platform.Row) bool
	// OnDemand tables are not followed: they are read at the start, and when
	// Again is called. Others bring their news.
	OnDemand bool
	// Late is how long the first read waits for Again.
	Late time.Duration
	// Retry, if set, returns the first and the longest pause after calls that failed.
	Retry func() (first, most time.Duration)
	Store *platform.Store
	Log   *slog.Logger
	// Changed is told of news, one call at a time.
	Changed func(c Change)
	// Encode returns the present row of a key that was injected without its value.
	Encode func(key string) platform.Row
	// Passed, if set, is told of what the feed brought: the changes after one
	// revision up to another.
	Passed func(p Passage)

	mu       sync.Mutex
	rows     map[string]platform.Row
	revision uint64
	// newest is the revision of the newest change taken in.
	newest  uint64
	loaded  bool
	failing time.Time
	// answeredAt is when the store answered last.
	answeredAt time.Time
	// proving is set while the store's answers are needed as a proof.
	proving  bool
	interest chan struct{}
	// filled is closed when the first copy has come.
	filled chan struct{}
	// listening is set while others pass the feed's news on.
	listening bool
	// passed is set if others passed on changes since the table was read whole,
	// and reload if it is to be read so.
	passed, reload bool
	once           sync.Once
	// series counts the answers with news that came without a break. It belongs
	// to Serve.
	series int
}

// Serve follows the table until the context ends.
func (m *Mirror) Serve(ctx context.Context) error {
	retry := time.Duration(0)
	for ctx.Err() == nil {
		began := time.Now()
		pace, err := m.next(ctx)
		if err != nil {
			m.failed(err)
			first, most := m.retries()
			retry = min(max(2*retry, first), most)
			m.rest(ctx, retry/2+rand.N(retry))
			continue
		}
		retry = 0
		m.answered()
		m.pause(ctx, m.slower(began, pace))
	}
	return ctx.Err()
}

func (m *Mirror) retries() (first, most time.Duration) {
	if m.Retry == nil {
		return firstRetry, lastRetry
	}
	return m.Retry()
}

// slower returns the pause after a call that began at a time. News that were
// there at once, again and again, come in a series: each answer is paid, and a
// longer pause puts more of them into one.
func (m *Mirror) slower(began time.Time, pace time.Duration) time.Duration {
	if pace != m.Pace || m.MostPace == 0 || time.Since(began) > seriesGap {
		m.series = 0
		return pace
	}
	pace = min(pace<<min(m.series, 10), m.MostPace)
	m.series++
	return pace
}

// Again ends a pause or a feed, because others have newer news.
func (m *Mirror) Again() {
	m.init()
	select {
	case m.interest <- struct{}{}:
	default:
	}
}

// Reload reads the whole table, because the copy is not like others.
func (m *Mirror) Reload() {
	m.mu.Lock()
	m.reload = true
	m.mu.Unlock()
	m.Again()
}

// takeReload tells once that the whole table is to be read: if that was asked
// for, or before a copy that others kept up is followed by the feed again.
func (m *Mirror) takeReload() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	reload := m.reload || m.passed && !m.listening && !m.OnDemand
	m.reload = false
	return reload
}

func (m *Mirror) init() {
	m.once.Do(func() { m.interest, m.filled = make(chan struct{}, 1), make(chan struct{}) })
}

func (m *Mirror) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// rest is a pause that Again ends: others may know that the store is back.
func (m *Mirror) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.interest:
		if m.listens() || m.OnDemand && m.isLoaded() {
			// What waits for Again next must hear it as well.
			m.Again()
		}
	}
}

// next reads the table, or waits for its next change. It returns the pause that
// is due then.
func (m *Mirror) next(ctx context.Context) (pace time.Duration, err error) {
	m.init()
	loaded := m.isLoaded()
	if !loaded && m.Late > 0 {
		m.await(ctx)
		loaded = m.isLoaded()
	}
	whole, wait := m.takeReload() || !loaded, feedWait
	if !whole && (m.OnDemand || m.listens()) {
		select {
		case <-m.interest:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		whole, wait = m.OnDemand || m.takeReload(), 0
	}
	if whole {
		return m.Pace, m.read(ctx)
	}
	return m.follow(ctx, wait)
}

// follow asks the feed for what has changed, and waits for it.
func (m *Mirror) follow(ctx context.Context, wait time.Duration) (pace time.Duration, err error) {
	m.mu.Lock()
	after, listening, failing, proving := m.revision, m.listening, !m.failing.IsZero(), m.proving
	m.mu.Unlock()
	grace := feedGrace
	switch {
	case failing:
		wait, grace = min(wait, proofWait), proofGrace
	case proving:
		wait, grace = min(wait, proveEvery), proofGrace
	}
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	if !listening {
		stop := m.wake(ctx, cancel)
		defer stop()
	}
	got, err := m.Store.Feed(ctx, m.Table, after, wait)
	var compacted *platform.CompactedError
	if errors.As(err, &compacted) {
		event.HistoryLost.Log(m.Log, "table", m.Table, "after", after)
		return m.Pace, m.read(ctx)
	}
	if err != nil {
		return 0, err
	}
	major := m.major(got.Rows)
	m.apply(Change{Rows: got.Rows, Revision: got.Revision})
	if m.Passed != nil && !listening {
		// Also without rows: who listens must know that there was nothing.
		m.Passed(Passage{From: after, To: got.Revision, Newest: m.Newest(), Rows: major})
	}
	switch {
	case len(got.Rows) == 0:
		return 0, nil
	case len(major) == 0:
		return m.QuietPace, nil
	}
	return m.Pace, nil
}

func (m *Mirror) isLoaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// AwaitOthers has the copy wait for another instance's before it is read, as one
// that others keep up. It must be called before Serve.
func (m *Mirror) AwaitOthers(atMost time.Duration) {
	m.Late, m.listening = atMost, !m.OnDemand
}

// await waits for the first Again or another instance's copy, but not for long.
func (m *Mirror) await(ctx context.Context) {
	timer := time.NewTimer(m.Late)
	defer timer.Stop()
	select {
	case <-m.interest:
	case <-m.filled:
	case <-timer.C:
	case <-ctx.Done():
	}
	m.Late = 0
}

// wake cancels the feed on Again.
func (m *Mirror) wake(ctx context.Context, cancel func()) (stop func()) {
	done := make(chan struct{})
	group := &sync.WaitGroup{}
	group.Go(func() {
		select {
		case <-m.interest:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	})
	return func() { close(done); group.Wait() }
}

// read takes the whole table. Pages are from different moments; the feed goes
// on from the first one's and brings again what changed in between.
func (m *Mirror) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	whole := Change{Whole: true}
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
func (m *Mirror) apply(c Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Whole && m.loaded && c.Revision < m.revision {
		return
	}
	if m.rows == nil || c.Whole {
		m.rows = map[string]platform.Row{}
	}
	for _, r := range c.Rows {
		m.newest = max(m.newest, r.Revision)
		if r.Removed {
			delete(m.rows, r.Key)
			continue
		}
		m.rows[r.Key] = r
	}
	if !m.loaded {
		m.init()
		close(m.filled)
	}
	m.loaded = true
	m.passed = m.passed && !c.Whole
	m.revision = max(m.revision, c.Revision)
	if c.Whole || len(c.Rows) > 0 {
		m.Changed(c)
	}
}

func (m *Mirror) failed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failing.IsZero() || errors.Is(err, context.Canceled) {
		return
	}
	m.failing = time.Now()
	event.TableLost.Log(m.Log, "table", m.Table, "revision", m.revision, "error", err)
}

func (m *Mirror) answered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answeredAt = time.Now()
	if m.failing.IsZero() {
		return
	}
	event.TableBack.Log(m.Log, "table", m.Table, "revision", m.revision, "afterMs", time.Since(m.failing).Milliseconds())
	m.failing = time.Time{}
}
