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
	"gotest.tools/v3/assert"
)

// shardedFixture is a front with a divided service, whose assignment can be changed.
type shardedFixture struct {
	*fixture
	mu         sync.Mutex
	assignment *ownership.Assignment
	newer      chan struct{}
}

func newShardedFixture(t *testing.T) *shardedFixture {
	t.Helper()
	k := &shardedFixture{fixture: newFixture(t), newer: make(chan struct{})}
	k.front.CurrentAssignment = func(string) (*ownership.Assignment, <-chan struct{}) {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.assignment, k.newer
	}
	k.table.Store(routing.New(&routing.Config{
		Version: 1, Services: []routing.Service{{Name: "s", Sharded: true}},
		Routes: []routing.Route{{
			Name: "keyed", Host: "cakes.example", Prefix: "/keyed/", Idempotent: true, Timeout: 6 * time.Second, Objective: 2 * time.Second,
			MaxAttempts: 2, Split: []routing.Share{{Service: "s", Weight: 1}},
		}},
	}))
	return k
}

// assign puts an assignment in force, in which the first half of the keys has one
// owner and the second half another.
func (k *shardedFixture) assign(first, second string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	half := ownership.KeyCount / 2
	k.assignment = &ownership.Assignment{Service: "s", Pieces: []ownership.Piece{
		{First: 0, Last: half - 1, Owner: first}, {First: half, Last: ownership.KeyCount - 1, Owner: second},
	}}
	close(k.newer)
	k.newer = make(chan struct{})
}

func (k *shardedFixture) get(t *testing.T, key int) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, k.server.URL+"/keyed/x", http.NoBody)
	assert.NilError(t, err)
	req.Host = "cakes.example"
	req.Header.Set(platform.RequestID, fmt.Sprintf("key%d", key))
	req.Header.Set(platform.TimeLeft, "6000")
	req.Header.Set(platform.ShardKey, fmt.Sprint(key))
	res, err := k.server.Client().Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against requests for a key on the move that are sent to its former owner
// with each change of other keys: their tries use up the fleet's budget, and they
// are refused though the next owner has the key a moment later.
func TestRequestWaitsForNextOwnerOfItsKey(t *testing.T) {
	k := newShardedFixture(t)
	k.front.RetryLimits = func() front.RetryLimits { return front.RetryLimits{Ratio: 0.2, Slack: 4, Instances: 1} }
	var misdirected, served atomic.Int64
	k.handler("former", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		misdirected.Add(1)
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	k.handler("next", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.Signature, "next")
	}))
	k.assign("former", "next")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			if served.Load() == 0 && misdirected.Load() < 100 {
				k.assign("former", "next")
			}
		}
	}()
	time.AfterFunc(600*time.Millisecond, func() { cancel(); k.assign("next", "next") })
	assert.Equal(t, k.get(t, 5), http.StatusOK)
	assert.Assert(t, misdirected.Load() <= 3, "%d requests to the former owner", misdirected.Load())
}

// Guards against a request that waits for another owner, though the present one
// gets its grant a moment after it was told.
func TestRequestIsRetriedAtOwnerAwaitingItsGrant(t *testing.T) {
	k := newShardedFixture(t)
	var asked atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		if asked.Add(1) == 1 {
			w.Header().Set(platform.NotRun, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set(platform.Signature, "a")
	}))
	t.Cleanup(server.Close)
	k.roster.Replace(time.Now(), []*roster.Target{{
		ID: "a", Started: 1, Service: "s", Zone: "z", Slots: 3, Address: strings.TrimPrefix(server.URL, "http://"),
	}}, 1)
	k.assign("a", "a")
	assert.Equal(t, k.get(t, 5), http.StatusOK)
	assert.Equal(t, asked.Load(), int64(2))
}

// Guards against a request that runs a second time at a target which gave its key
// away and got it back after the first run: the two runs look like one, in the
// midst of which the key was another target's.
func TestRequestIsNotRetriedAtOwnerThatRegainedItsKey(t *testing.T) {
	k := newShardedFixture(t)
	var runs atomic.Int64
	k.handler("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.Signature, "a")
		if runs.Add(1) == 1 {
			k.assign("b", "b")
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	k.handler("b", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.AfterFunc(400*time.Millisecond, func() { k.assign("a", "a") })
		w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
		w.Header().Set(platform.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	k.assign("a", "a")
	k.front.OwnerChangedSince = func(string, int, time.Time) bool { return true }
	assert.Equal(t, k.get(t, 5), http.StatusInternalServerError, "its target's own failure")
	assert.Equal(t, runs.Load(), int64(1))
}
