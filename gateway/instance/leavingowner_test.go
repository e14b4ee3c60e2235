package instance_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// drainLimit is the time after the store's acknowledgement that a target leaves after which the users accept no
// request there.
const drainLimit = 2 * time.Second

// Guards against requests for keys that reach an owner seconds after the list said that it leaves, since its keys
// do not move: it answers no orders.
func TestLeavingOwnerWhoseKeysDoNotMoveGetsNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var muted atomic.Value
	muted.Store("")
	var mu sync.Mutex
	lastRun := map[string]time.Time{}
	for n := range 4 {
		id := "l" + strconv.Itoa(n)
		target := &standin.Target{ID: id, Sharded: true, OnRun: func(*http.Request) {
			mu.Lock()
			lastRun[id] = time.Now()
			mu.Unlock()
			time.Sleep(900 * time.Millisecond)
		}}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if muted.Load() == id && strings.HasPrefix(r.URL.Path, "/v1/") {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
			target.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		f.addresses[id] = strings.TrimPrefix(server.URL, "http://")
		f.setTarget(id, "lists", "ready")
	}
	all := []*runningInstance{f.start("one"), f.start("two"), f.start("three"), f.start("four")}
	for _, r := range all {
		r.awaitReady(t)
		f.awaitResponse(r, "/lists/x", 5, "l")
	}
	eventually(t, func() bool { return len(f.assignment().Pieces) >= 4 })
	var acknowledged time.Time
	time.AfterFunc(1500*time.Millisecond, func() {
		muted.Store("l0")
		f.setTarget("l0", "lists", "draining")
		mu.Lock()
		acknowledged = time.Now()
		mu.Unlock()
	})
	f.callKeysFrom(80, 5*time.Second, 5*time.Millisecond, all)
	mu.Lock()
	defer mu.Unlock()
	after := lastRun["l0"].Sub(acknowledged)
	t.Logf("the last request ran %v after the acknowledgement", after.Round(time.Millisecond))
	assert.Assert(t, after <= drainLimit)
}
