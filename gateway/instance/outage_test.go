package instance_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/gateway/instance"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// arrivals counts the requests that reach targets.
type arrivals struct {
	mu sync.Mutex
	// byID are the arrivals of each request, and rejected those that targets did not run.
	byID     map[string]int
	rejected int
}

func (a *arrivals) record(id string, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = map[string]int{}
	}
	a.byID[id]++
	if status == http.StatusMisdirectedRequest {
		a.rejected++
	}
}

// repeated returns how many arrivals were not the first of their request.
func (a *arrivals) repeated() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, count := range a.byID {
		n += count - 1
	}
	return n
}

// startCounted starts a target of the sharded service whose arrivals are counted. While rejects returns
// a status it rejects all requests with that.
func (a *arrivals) startCounted(f *fleet, id string, rejects func() int) {
	target := &standin.Target{ID: id, Sharded: true}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get(platform.RequestID)
		if !strings.HasPrefix(r.URL.Path, "/lists/") {
			target.ServeHTTP(w, r)
			return
		}
		if status := rejects(); status != 0 {
			a.record(request, status)
			w.Header().Set(platform.RequestID, request)
			w.Header().Set(platform.NotExecuted, "1")
			w.WriteHeader(status)
			return
		}
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		target.ServeHTTP(recorder, r)
		a.record(request, recorder.status)
	}))
	f.t.Cleanup(server.Close)
	f.addresses[id] = strings.TrimPrefix(server.URL, "http://")
	f.setTarget(id, "lists", "ready")
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// callKeys sends requests for all keys by turns, for the given time, from eight callers.
func (f *fleet) callKeys(d time.Duration, pause time.Duration, at []*runningInstance) (sent, served int) {
	return f.callKeysFrom(8, d, pause, at)
}

// callKeysFrom does the same from a number of callers.
func (f *fleet) callKeysFrom(callers int, d, pause time.Duration, at []*runningInstance) (sent, served int) {
	var group errgroup.Group
	var mu sync.Mutex
	for n := range callers {
		group.Go(func() error {
			for k, start := n, time.Now(); time.Since(start) < d; k += callers {
				status, _ := f.call(at[k%len(at)], "/lists/x", k*7919%65536)
				mu.Lock()
				sent++
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
			return nil
		})
	}
	_ = group.Wait()
	return sent, served
}

// Guards against instances that restart while the store is silent and nobody coordinates, and each
// take the retries of the whole fleet.
func TestRetriesOfRestartedFleetStayWithinBudget(t *testing.T) {
	t.Parallel()
	for name, status := range map[string]int{"keys are not held": http.StatusMisdirectedRequest, "overloaded": http.StatusServiceUnavailable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testRetriesOfRestartedFleet(t, status)
		})
	}
}

// testRetriesOfRestartedFleet has targets that reject all requests with the status once all instances but
// one have restarted.
func testRetriesOfRestartedFleet(t *testing.T, status int) {
	t.Helper()
	f := newFleet(t)
	f.bootstrap = true
	var a arrivals
	var rejecting atomic.Int64
	for n := range 4 {
		a.startCounted(f, "l"+strconv.Itoa(n), func() int { return int(rejecting.Load()) })
	}
	var all []*runningInstance
	for _, name := range []string{"one", "two", "three", "four", "five"} {
		r := f.start(name)
		r.awaitReady(t)
		f.awaitResponse(r, "/lists/x", 5, "l")
		all = append(all, r)
	}
	f.store.SetUnresponsive(true)
	f.bootstrap = false
	seed := all[0].control
	for n, name := range []string{"two", "three", "four", "five"} {
		assert.NilError(t, all[n+1].stop())
		all[n+1] = f.start(name, seed)
	}
	for _, r := range all {
		r.awaitReady(t)
	}
	rejecting.Store(int64(status))
	before := a.repeated()
	sent, _ := f.callKeys(5*time.Second, 5*time.Millisecond, all)
	defaults := instance.Defaults()
	repeated, allowed := a.repeated()-before, defaults.RetryRatio*float64(sent)+defaults.RetrySlack
	t.Logf("%d requests, %d repeated arrivals, %.0f allowed", sent, repeated, allowed)
	assert.Assert(t, float64(repeated) <= allowed)
}

// Guards against requests for keys that no target holds any more, since the store is silent and nobody
// renews them: all of them reach targets, several times each.
func TestTargetsWithoutTheirKeysGetFewRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var a arrivals
	for n := range 6 {
		a.startCounted(f, "l"+strconv.Itoa(n), func() int { return 0 })
	}
	all := []*runningInstance{f.start("one"), f.start("two"), f.start("three"), f.start("four")}
	for _, r := range all {
		r.awaitReady(t)
		f.awaitResponse(r, "/lists/x", 5, "l")
	}
	f.store.SetUnresponsive(true)
	eventually(t, func() bool { status, _ := f.call(all[1], "/lists/x", 5); return status != http.StatusOK })
	pieces := len(f.assignment().Pieces)
	time.Sleep(time.Second)
	a.mu.Lock()
	before := a.rejected
	a.mu.Unlock()
	sent, served := f.callKeys(4*time.Second, 20*time.Millisecond, all)
	a.mu.Lock()
	rejected := a.rejected - before
	a.mu.Unlock()
	t.Logf("%d requests, %d served, %d arrivals rejected, %d pieces", sent, served, rejected, pieces)
	assert.Check(t, rejected <= pieces*len(all))
	f.store.SetUnresponsive(false)
	start := time.Now()
	for _, r := range all {
		f.awaitResponse(r, "/lists/x", 5, "l")
	}
	t.Logf("served again after %v", time.Since(start).Round(10*time.Millisecond))
}
