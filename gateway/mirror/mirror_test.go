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
		OnUpdate: func(change mirror.Update) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if change.Full {
				c.rows = map[string]string{}
			}
			for _, r := range change.Rows {
				if r.Removed {
					delete(c.rows, r.Key)
					continue
				}
				c.rows[r.Key] = string(r.Value)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = c.Serve(ctx) }()
	t.Cleanup(func() { cancel(); server.CloseClientConnections(); <-ended })
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

// The store forgets its history while this instance was not told of a change
// and a removal. The table is read whole: nothing stale may remain.
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
		return poll.Continue("not read")
	}, poll.WithTimeout(30*time.Second))
}

// Another instance offers its copy while the store is away. A newer one is
// taken, an older one must not undo what is known.
func TestOnlyNewerSnapshotsAreApplied(t *testing.T) {
	fake, c := start(t, false)
	fake.Put("mine", "a", []byte("1"))
	await(t, c, "a", "1")
	s, ok := c.Snapshot()
	assert.Assert(t, ok)
	newer := mirror.Snapshot{Table: "mine", Revision: s.Revision + 5, Rows: []platform.Row{{Table: "mine", Key: "a", Value: []byte("5"), Revision: s.Revision + 5}}}
	assert.Assert(t, c.ApplySnapshot(newer))
	assert.Equal(t, c.value("a"), "5")
	assert.Assert(t, !c.ApplySnapshot(s))
	assert.Equal(t, c.value("a"), "5")
}

// The store takes a feed's call while it is silent, and never answers it. It is
// back soon, and a configuration is written: waiting for the feed's usual half
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
		return poll.Continue("still well")
	}, poll.WithTimeout(30*time.Second))
	fake.SetUnresponsive(true)
	fake.SetRefusal(0)
	calls := fake.CallCount()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fake.CallCount() > calls {
			return poll.Success()
		}
		return poll.Continue("no call in the silence yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
	fake.SetUnresponsive(false)
	fake.Put("mine", "a", []byte("2"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.value("a") == "2" {
			return poll.Success()
		}
		return poll.Continue("old")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Two readers pass on what their feeds bring. A feed read in parts tells of a
// row only its newest state, so a reader may not know yet what is nothing new
// to the other one. It must not take its word, or some targets stay unknown to
// it and to all who listen to it.
func TestPollingMirrorIgnoresForwardedUpdates(t *testing.T) {
	fake, c := start(t, false)
	fake.Put("mine", "a", []byte("1"))
	await(t, c, "a", "1")
	reached := c.Revision()
	assert.Assert(t, c.ApplyForwarded(mirror.ForwardedUpdate{From: reached, To: reached + 100}))
	assert.Equal(t, c.Revision(), reached)
	fake.Put("mine", "b", []byte("2"))
	await(t, c, "b", "2")
}

// storeTransport reaches the stand-in without a network, so that time can be virtual.
type storeTransport struct{ *standin.Store }

func (d storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	d.ServeHTTP(answer, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}

// runInBubble plays a copy in virtual time. Every sleep lasts until nothing is under
// way any more.
func runInBubble(t *testing.T, play func(t *testing.T, fake *standin.Store, m *mirror.Mirror, knows func(key string) bool)) {
	synctest.Test(t, func(t *testing.T) {
		fake := &standin.Store{}
		fake.Put("mine", "a", []byte("1"))
		var mu sync.Mutex
		known := map[string]bool{}
		m := &mirror.Mirror{
			Table: "mine", Log: slog.New(slog.DiscardHandler),
			Store: &platform.Store{Address: "store", HTTP: &http.Client{Transport: storeTransport{fake}}},
			OnUpdate: func(c mirror.Update) {
				mu.Lock()
				defer mu.Unlock()
				for _, r := range c.Rows {
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
		play(t, fake, m, func(key string) bool {
			mu.Lock()
			defer mu.Unlock()
			return known[key]
		})
	})
}

// Whoever listened and follows the feed again reads the whole table first,
// since others left out what was nothing new to them.
func TestPassiveMirrorReadsTableBeforePolling(t *testing.T) {
	runInBubble(t, func(t *testing.T, fake *standin.Store, m *mirror.Mirror, knows func(string) bool) {
		m.SetPassive(true)
		time.Sleep(time.Minute)
		fake.Put("mine", "b", []byte("2"))
		to := fake.Put("other", "x", nil)
		assert.Check(t, m.ApplyForwarded(mirror.ForwardedUpdate{From: m.Revision(), To: to}))
		time.Sleep(time.Minute)
		assert.Check(t, !knows("b"))
		m.SetPassive(false)
		time.Sleep(time.Second)
		assert.Check(t, knows("b"))
	})
}

// A listener asks the feed for a gap long after its last call. It must ask from
// where the others' passages have brought it, not from where it stood when it
// began to listen: that history may be gone.
func TestPassiveMirrorPollsFromForwardedRevision(t *testing.T) {
	runInBubble(t, func(t *testing.T, fake *standin.Store, m *mirror.Mirror, knows func(string) bool) {
		m.SetPassive(true)
		time.Sleep(time.Minute)
		to := fake.Put("mine", "b", []byte("2"))
		assert.Check(t, m.ApplyForwarded(mirror.ForwardedUpdate{From: m.Revision(), To: to}))
		fake.Compact()
		fake.Put("mine", "c", []byte("3"))
		reads := fake.RangeCount("mine")
		m.Refresh()
		time.Sleep(time.Second)
		assert.Check(t, knows("c"))
		assert.Check(t, fake.RangeCount("mine") == reads, "the whole table was read again")
	})
}

// switchableStore is a store that is down until it is told otherwise.
type switchableStore struct{ up atomic.Bool }

func (a *switchableStore) RoundTrip(r *http.Request) (*http.Response, error) {
	res := &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Request: r}
	if a.up.Load() {
		res.StatusCode = http.StatusOK
		res.Body = io.NopCloser(strings.NewReader(`{"rows":[{"table":"mine","key":"a","value":"MQ==","ver":3}],"ver":3,"now":"1s"}`))
	}
	return res, nil
}

// The store was down for long, so the pauses between calls are long too. Another
// instance tells that it is back; the rest of the pause would only make news
// older, and the users count their time from the store's return.
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

// changingStore is a store whose table changes all the time.
type changingStore struct{ calls atomic.Int64 }

func (s *changingStore) RoundTrip(r *http.Request) (*http.Response, error) {
	n := strconv.FormatInt(s.calls.Add(1), 10)
	text := `{"rows":[{"table":"mine","key":"a","value":"MQ==","ver":` + n + `}],"ver":` + n + `,"now":"1s"}`
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text)), Request: r}, nil
}

// Configurations come every few milliseconds. Each instance would call for each
// of them; the pause grows instead, and never beyond what callers may wait.
func TestBurstOfChangesCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &changingStore{}
		var last time.Time
		var most time.Duration
		m := &mirror.Mirror{
			Table: "mine", BatchDelay: 60 * time.Millisecond, MaxBatchDelay: 480 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
			Store: &platform.Store{Address: "store", HTTP: &http.Client{Transport: store}},
			OnUpdate: func(mirror.Update) {
				if !last.IsZero() {
					most = max(most, time.Since(last))
				}
				last = time.Now()
			},
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = m.Serve(ctx)
		assert.Equal(t, most, 480*time.Millisecond)
		assert.Assert(t, store.calls.Load() <= 16, "%d calls in five seconds", store.calls.Load())
	})
}
