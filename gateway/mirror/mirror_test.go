package mirror_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilcross.example/gateway/mirror"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

type testMirror struct {
	*mirror.Mirror
	mu   sync.Mutex
	rows map[string]string
}

func (c *testMirror) value(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[key]
}

func start(t *testing.T, onDemand bool) (*standin.Store, *testMirror) {
	t.Helper()
	fake := &standin.Store{}
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	c := &testMirror{rows: map[string]string{}}
	c.Mirror = &mirror.Mirror{
		Table: "mine", OnDemand: onDemand, Log: slog.New(slog.DiscardHandler),
		Store: &platform.Store{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: server.Client()},
		OnUpdate: func(u mirror.Update) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if u.Full {
				c.rows = map[string]string{}
			}
			for _, r := range u.Rows {
				if r.Removed {
					delete(c.rows, r.Key)
					continue
				}
				c.rows[r.Key] = string(r.Value)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Serve(ctx) }()
	t.Cleanup(func() { cancel(); server.CloseClientConnections(); <-done })
	return fake, c
}

func await(t *testing.T, c *testMirror, key, want string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := c.value(key); got != want {
			return poll.Continue("%s is %q", key, got)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestFollowsChanges(t *testing.T) {
	fake, c := start(t, false)
	fake.Put("mine", "a", []byte("1"))
	await(t, c, "a", "1")
	fake.Put("mine", "a", []byte("2"))
	await(t, c, "a", "2")
	fake.Delete("mine", "a")
	await(t, c, "a", "")
}

// Guards against a pause after each page of changes: the list of thousands of targets arrived
// ten seconds late when all of them started together.
func TestFullPagesOfChangesAreReadWithoutPause(t *testing.T) {
	t.Parallel()
	const rows, pause = 1700, 2 * time.Second
	fake := &standin.Store{}
	server := httptest.NewServer(fake)
	defer server.Close()
	loaded, last := make(chan struct{}), make(chan time.Time, 1)
	applied := 0
	var firstAt time.Time
	m := &mirror.Mirror{
		Table: "mine", BatchDelay: pause, Log: slog.New(slog.DiscardHandler),
		Store: &platform.Store{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: server.Client()},
		OnUpdate: func(u mirror.Update) {
			if u.Full {
				close(loaded)
				return
			}
			if applied == 0 {
				firstAt = time.Now()
			}
			if applied += len(u.Rows); applied == rows {
				last <- time.Now()
			}
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = m.Serve(ctx) })
	<-loaded
	for n := range rows {
		fake.Put("mine", strconv.Itoa(n), []byte("v"))
	}
	// Three pauses separate four pages.
	assert.Assert(t, (<-last).Sub(firstAt) < 2*pause)
	cancel()
	group.Wait()
}

// The store compacts its history while this mirror has not received a change and a
// removal. It must read the whole table, or stale rows would remain.
func TestFullReadAfterHistoryIsCompacted(t *testing.T) {
	fake, c := start(t, false)
	fake.Put("mine", "a", []byte("1"))
	fake.Put("mine", "b", []byte("1"))
	await(t, c, "b", "1")
	fake.SetRefusal(http.StatusServiceUnavailable)
	fake.Put("mine", "a", []byte("2"))
	fake.Delete("mine", "b")
	fake.Compact()
	fake.SetRefusal(0)
	await(t, c, "a", "2")
	await(t, c, "b", "")
}

func TestOnDemandTableIsReadOnRefresh(t *testing.T) {
	fake, c := start(t, true)
	fake.Put("mine", "a", []byte("1"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.Refresh()
		if c.value("a") == "1" {
			return poll.Success()
		}
		return poll.Continue("the table is not read yet")
	}, poll.WithTimeout(30*time.Second))
}

// Another instance sends its snapshot while the store is unreachable. A newer one is
// applied; an older one must not undo later changes.
func TestOnlyNewerSnapshotsAreApplied(t *testing.T) {
	fake, c := start(t, false)
	fake.Put("mine", "a", []byte("1"))
	await(t, c, "a", "1")
	s, ok := c.Snapshot(0)
	assert.Assert(t, ok)
	newer := mirror.Snapshot{Table: "mine", Revision: s.Revision + 5, Rows: []platform.Row{{Table: "mine", Key: "a", Value: []byte("5"), Revision: s.Revision + 5}}}
	assert.Assert(t, c.ApplySnapshot(newer))
	assert.Equal(t, c.value("a"), "5")
	assert.Assert(t, !c.ApplySnapshot(s))
	assert.Equal(t, c.value("a"), "5")
}

// The store accepts a feed call while it is unresponsive and never answers it. It
// recovers soon and a configuration is written: waiting for the feed's normal half
// minute would leave the old one in force.
func TestUnansweredFeedCallTimesOut(t *testing.T) {
	fake, c := start(t, false)
	fake.Put("mine", "a", []byte("1"))
	await(t, c, "a", "1")
	fake.SetRefusal(http.StatusServiceUnavailable)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Failing() {
			return poll.Success()
		}
		return poll.Continue("the mirror is not failing yet")
	}, poll.WithTimeout(30*time.Second))
	fake.SetUnresponsive(true)
	fake.SetRefusal(0)
	calls := fake.CallCount()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fake.CallCount() > calls {
			return poll.Success()
		}
		return poll.Continue("no call to the unresponsive store yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
	fake.SetUnresponsive(false)
	fake.Put("mine", "a", []byte("2"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.value("a") == "2" {
			return poll.Success()
		}
		return poll.Continue("a has the old value")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Two polling mirrors forward their changes. A feed response holds only the newest
// state of each row, so one may not have a change yet that is not new to the other,
// which leaves it out. If it applied such an update, some targets would stay unknown
// to it and to all passive mirrors that it forwards to.
func TestPollingMirrorIgnoresForwardedUpdates(t *testing.T) {
	fake, c := start(t, false)
	fake.Put("mine", "a", []byte("1"))
	await(t, c, "a", "1")
	revision := c.Revision()
	assert.Assert(t, c.ApplyForwarded(mirror.ForwardedUpdate{From: revision, To: revision + 100}))
	assert.Equal(t, c.Revision(), revision)
	fake.Put("mine", "b", []byte("2"))
	await(t, c, "b", "2")
}

// storeTransport calls the stand-in without a network, so that time can be virtual.
type storeTransport struct{ *standin.Store }

func (t storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response := httptest.NewRecorder()
	t.ServeHTTP(response, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return response.Result(), nil
}

// runInBubble runs a mirror in virtual time. Every sleep lasts until all goroutines
// are blocked.
func runInBubble(t *testing.T, test func(t *testing.T, fake *standin.Store, m *mirror.Mirror, has func(key string) bool)) {
	synctest.Test(t, func(t *testing.T) {
		fake := &standin.Store{}
		fake.Put("mine", "a", []byte("1"))
		var mu sync.Mutex
		known := map[string]bool{}
		m := &mirror.Mirror{
			Table: "mine", Log: slog.New(slog.DiscardHandler),
			Store: &platform.Store{Address: "store", HTTP: &http.Client{Transport: storeTransport{fake}}},
			OnUpdate: func(u mirror.Update) {
				mu.Lock()
				defer mu.Unlock()
				for _, r := range u.Rows {
					known[r.Key] = true
				}
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = m.Serve(ctx) })
		defer group.Wait()
		defer cancel()
		time.Sleep(time.Second)
		test(t, fake, m, func(key string) bool {
			mu.Lock()
			defer mu.Unlock()
			return known[key]
		})
	})
}

// A passive mirror that polls again must read the whole table first, since other
// instances left out changes that were not new to them.
func TestPassiveMirrorReadsTableBeforePolling(t *testing.T) {
	runInBubble(t, func(t *testing.T, fake *standin.Store, m *mirror.Mirror, has func(string) bool) {
		m.SetPassive(true)
		time.Sleep(time.Minute)
		fake.Put("mine", "b", []byte("2"))
		revision := fake.Put("other", "x", nil)
		assert.Check(t, m.ApplyForwarded(mirror.ForwardedUpdate{From: m.Revision(), To: revision}))
		time.Sleep(time.Minute)
		assert.Check(t, !has("b"))
		m.SetPassive(false)
		time.Sleep(time.Second)
		assert.Check(t, has("b"))
	})
}

// A passive mirror polls the feed for a gap long after its last call. It must poll
// from the revision of the last forwarded update, not from the one at which it became
// passive: that history may be gone.
func TestPassiveMirrorPollsFromForwardedRevision(t *testing.T) {
	runInBubble(t, func(t *testing.T, fake *standin.Store, m *mirror.Mirror, has func(string) bool) {
		m.SetPassive(true)
		time.Sleep(time.Minute)
		revision := fake.Put("mine", "b", []byte("2"))
		assert.Check(t, m.ApplyForwarded(mirror.ForwardedUpdate{From: m.Revision(), To: revision}))
		fake.Compact()
		fake.Put("mine", "c", []byte("3"))
		reads := fake.RangeCount("mine")
		m.Refresh()
		time.Sleep(time.Second)
		assert.Check(t, has("c"))
		assert.Check(t, fake.RangeCount("mine") == reads, "the whole table was read again")
	})
}

// switchableStore is a store that is down until up is set.
type switchableStore struct{ up atomic.Bool }

func (a *switchableStore) RoundTrip(r *http.Request) (*http.Response, error) {
	res := &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Request: r}
	if a.up.Load() {
		res.StatusCode = http.StatusOK
		res.Body = io.NopCloser(strings.NewReader(`{"rows":[{"table":"mine","key":"a","value":"MQ==","ver":3}],"ver":3,"now":"1s"}`))
	}
	return res, nil
}

// The store was down for long, so the backoff is long too. Another instance reports
// that it is back; waiting for the rest of the backoff would delay updates, and the
// users' time limit runs from the store's return.
func TestRefreshEndsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &switchableStore{}
		changed := make(chan time.Time, 1)
		m := &mirror.Mirror{
			Table: "mine", OnDemand: true, Log: slog.New(slog.DiscardHandler),
			Store:    &platform.Store{Address: "store", HTTP: &http.Client{Transport: store}},
			OnUpdate: func(mirror.Update) { changed <- time.Now() },
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = m.Serve(ctx) })
		time.Sleep(30 * time.Second)
		synctest.Wait()
		store.up.Store(true)
		back := time.Now()
		m.Refresh()
		took := (<-changed).Sub(back)
		cancel()
		group.Wait()
		assert.Equal(t, took, time.Duration(0))
	})
}

// changingStore is a store whose table has changed at every call.
type changingStore struct{ calls atomic.Int64 }

func (s *changingStore) RoundTrip(r *http.Request) (*http.Response, error) {
	n := strconv.FormatInt(s.calls.Add(1), 10)
	text := `{"rows":[{"table":"mine","key":"a","value":"MQ==","ver":` + n + `}],"ver":` + n + `,"now":"1s"}`
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text)), Request: r}, nil
}

// Configurations change every few milliseconds, and each instance would make a call
// for each change. The pause grows instead, but never beyond what callers may wait.
func TestBurstOfChangesCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &changingStore{}
		var last time.Time
		var longest time.Duration
		m := &mirror.Mirror{
			Table: "mine", BatchDelay: 60 * time.Millisecond, MaxBatchDelay: 480 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
			Store: &platform.Store{Address: "store", HTTP: &http.Client{Transport: store}},
			OnUpdate: func(mirror.Update) {
				if !last.IsZero() {
					longest = max(longest, time.Since(last))
				}
				last = time.Now()
			},
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = m.Serve(ctx)
		assert.Equal(t, longest, 480*time.Millisecond)
		assert.Assert(t, store.calls.Load() <= 16, "%d calls in five seconds, want at most 16", store.calls.Load())
	})
}

// Guards against readers that stay without a confirmation while the store is healthy, so that
// the other instances of their zone begin to poll too.
func TestFreshnessIsCheckedAtOnce(t *testing.T) {
	store := &standin.Store{}
	waits := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/rows-feed" {
			waits <- r.URL.Query().Get("wait_ms")
		}
		store.ServeHTTP(w, r)
	}))
	defer server.Close()
	m := &mirror.Mirror{
		Table: "mine", Log: slog.New(slog.DiscardHandler), OnUpdate: func(mirror.Update) {},
		Store: &platform.Store{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: server.Client()},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = m.Serve(ctx) })
	assert.Equal(t, <-waits, "25000")
	m.CheckFreshness(true)
	assert.Equal(t, <-waits, "0")
	assert.Equal(t, <-waits, "600")
	cancel()
	group.Wait()
}

// Guards against whole tables that all hubs read when they become feed readers, although their
// copies equal those of the readers before them.
func TestConfirmedMirrorPollsWithoutReadingTable(t *testing.T) {
	fake, c := start(t, false)
	fake.Put("mine", "a", []byte("1"))
	await(t, c, "a", "1")
	c.SetPassive(true)
	assert.Assert(t, c.ApplyForwarded(mirror.ForwardedUpdate{From: c.Revision(), To: c.Revision()}))
	revision := fake.Put("mine", "b", []byte("2"))
	forwarded := mirror.ForwardedUpdate{From: c.Revision(), To: revision, Rows: []platform.Row{fake.Row("mine", "b")}}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.ApplyForwarded(forwarded) && c.value("b") == "2" {
			return poll.Success()
		}
		return poll.Continue("not applied")
	})
	c.ConfirmPeerData()
	reads := fake.RangeCount("mine")
	c.SetPassive(false)
	fake.Put("mine", "c", []byte("3"))
	await(t, c, "c", "3")
	assert.Equal(t, fake.RangeCount("mine"), reads)
}

// Guards against a reader that reads the whole table after each change that it fetched from
// another instance: behind a full link it never caught up, and kept the link full.
func TestFetchedChangesCostNoReadOfTable(t *testing.T) {
	fake, c := start(t, false)
	fake.Put("mine", "a", []byte("1"))
	await(t, c, "a", "1")
	reads := fake.RangeCount("mine")
	for range 3 {
		revision := c.Revision()
		row := platform.Row{Table: "mine", Key: "b", Value: []byte("2"), Revision: revision + 1}
		assert.Assert(t, c.ApplySnapshot(mirror.Snapshot{Table: "mine", ChangedAfter: revision, Revision: revision + 1, Rows: []platform.Row{row}}))
		c.Refresh()
	}
	// More changes than the fetched ones, so that the feed has news.
	for n := range 10 {
		fake.Put("mine", "c", []byte(strconv.Itoa(n)))
	}
	await(t, c, "c", "9")
	assert.Equal(t, fake.RangeCount("mine"), reads)
}
