package front_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/front"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// shardedFixture is a fixture with a sharded service, whose assignment can be changed.
type shardedFixture struct {
	*fixture
	mu         sync.Mutex
	assignment *ownership.Assignment
	newer      chan struct{}
}

func newShardedFixture(t *testing.T) *shardedFixture {
	t.Helper()
	f := &shardedFixture{fixture: newFixture(t), newer: make(chan struct{})}
	f.front.CurrentAssignment = func(string) (*ownership.Assignment, <-chan struct{}) {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.assignment, f.newer
	}
	f.table.Store(routing.New(&routing.Config{
		Version: 1, Services: []routing.Service{{Name: "s", Sharded: true}},
		Routes: []routing.Route{{
			Name: "keyed", Host: "cakes.example", Prefix: "/keyed/", Type: routing.Safe{}, Timeout: 6 * time.Second, Objective: 2 * time.Second,
			MaxAttempts: 2, Split: []routing.Share{{Service: "s", Weight: 1}},
		}},
	}))
	return f
}

// assign puts an assignment in force that gives the first half of the keys to one owner
// and the second half to another.
func (f *shardedFixture) assign(first, second string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	half := ownership.KeyCount / 2
	f.assignment = &ownership.Assignment{Service: "s", Pieces: []ownership.Piece{
		{First: 0, Last: half - 1, Owner: first}, {First: half, Last: ownership.KeyCount - 1, Owner: second},
	}}
	close(f.newer)
	f.newer = make(chan struct{})
}

func (f *shardedFixture) get(t *testing.T, key int) int {
	t.Helper()
	return f.getAs(t, fmt.Sprintf("key%d", key), key)
}

// getAs sends a request with the given ID.
func (f *shardedFixture) getAs(t *testing.T, id string, key int) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.server.URL+"/keyed/x", http.NoBody)
	assert.NilError(t, err)
	req.Host = "cakes.example"
	req.Header.Set(platform.RequestID, id)
	req.Header.Set(platform.TimeLeft, "6000")
	req.Header.Set(platform.ShardKey, fmt.Sprint(key))
	res, err := f.server.Client().Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against requests for a moving key that are retried at its former owner with
// each owner change of other keys: the retries exhaust the budget of all instances, and
// the requests are refused although the next owner gets the key a moment later.
func TestRequestWaitsForNextOwnerOfItsKey(t *testing.T) {
	f := newShardedFixture(t)
	f.front.RetryLimits = func() front.RetryLimits { return front.RetryLimits{Ratio: 0.2, Slack: 4, Instances: 1} }
	var misdirected, served atomic.Int64
	f.startTarget("former", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		misdirected.Add(1)
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	f.startTarget("next", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.Signature, "next")
	}))
	f.assign("former", "next")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			if served.Load() == 0 && misdirected.Load() < 100 {
				f.assign("former", "next")
			}
		}
	}()
	time.AfterFunc(600*time.Millisecond, func() { cancel(); f.assign("next", "next") })
	assert.Equal(t, f.get(t, 5), http.StatusOK)
	assert.Assert(t, misdirected.Load() <= 3, "%d requests to the former owner", misdirected.Load())
}

// Guards against a request that waits for the slot of its key's owner although the key has another owner by now: it
// would reach a target without the key, late, and be sent once more.
func TestWaitingRequestFollowsItsKey(t *testing.T) {
	f := newShardedFixture(t)
	f.front.Broker.Dispatcher.OwnerOf = func(_ string, key int) string {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.assignment.Find(key).Owner
	}
	release := make(chan struct{})
	var former arrivals
	f.startTarget("former", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		former.record(r.Header.Get(platform.RequestID))
		<-release
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.Signature, "former")
	}))
	f.startTarget("next", &standin.Target{ID: "next"})
	f.assign("former", "next")
	var group errgroup.Group
	end := sync.OnceFunc(func() { close(release) })
	defer func() { end(); _ = group.Wait() }()
	for n := range 3 {
		group.Go(func() error {
			f.getAs(t, fmt.Sprint("slot", n), 5)
			return nil
		})
	}
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	time.AfterFunc(200*time.Millisecond, func() { f.assign("next", "next") })
	assert.Equal(t, f.getAs(t, "waits", 5), http.StatusOK)
	assert.Assert(t, time.Since(start) < 600*time.Millisecond, "answered after %v", time.Since(start))
	assert.Equal(t, former.of("waits"), 0)
}

// Guards against a request that waits for another owner, although the current owner gets
// its grant a moment after it refused the request.
func TestRequestIsRetriedAtOwnerAwaitingItsGrant(t *testing.T) {
	f := newShardedFixture(t)
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		if received.Add(1) == 1 {
			w.Header().Set(platform.NotExecuted, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set(platform.Signature, "a")
	}))
	t.Cleanup(server.Close)
	f.roster.Replace(time.Now(), []*roster.Target{{
		ID: "a", Started: 1, Service: "s", Zone: "z", Slots: 3, Address: strings.TrimPrefix(server.URL, "http://"),
	}}, 1)
	f.assign("a", "a")
	assert.Equal(t, f.get(t, 5), http.StatusOK)
	assert.Equal(t, received.Load(), int64(2))
}

// Guards against a second run of a request at a target that lost the key and regained it
// after the first run: the two runs look like one, during which another target owned
// the key.
func TestRequestIsNotRetriedAtOwnerThatRegainedItsKey(t *testing.T) {
	f := newShardedFixture(t)
	var runs atomic.Int64
	f.startTarget("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.Signature, "a")
		if runs.Add(1) == 1 {
			f.assign("b", "b")
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	f.startTarget("b", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.AfterFunc(400*time.Millisecond, func() { f.assign("a", "a") })
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	f.assign("a", "a")
	f.front.OwnerChangedSince = func(string, int, time.Time) bool { return true }
	assert.Equal(t, f.get(t, 5), http.StatusInternalServerError, "the target's failure response")
	assert.Equal(t, runs.Load(), int64(1))
}
