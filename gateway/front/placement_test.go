package front_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// regionalFixture has a target in each of the zones graz, wien (region ost) and salzburg
// (region west), which count their requests. Requests for /book/ and those for keys are
// bound to ost.
func regionalFixture(t *testing.T, f *fixture, handler http.HandlerFunc) map[string]*atomic.Int64 {
	t.Helper()
	f.policy.Store(&placement.Policy{Regions: map[string]string{"graz": "ost", "wien": "ost", "salzburg": "west"}})
	received := map[string]*atomic.Int64{}
	for _, zone := range []string{"graz", "wien", "salzburg"} {
		n := &atomic.Int64{}
		received[zone] = n
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n.Add(1)
			w.Header().Set(platform.RequestID, r.Header.Get(platform.RequestID))
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		f.targets = append(f.targets, &roster.Target{
			ID: zone, Started: 1, Service: "s", Zone: zone, Slots: 3, Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	f.roster.Replace(time.Now(), f.targets, 1)
	config := *f.table.Load().Config
	for i := range config.Routes {
		if config.Routes[i].Name != "safe" {
			config.Routes[i].Regions = []string{"ost"}
		}
	}
	f.table.Store(routing.New(&config))
	return received
}

func answer(w http.ResponseWriter, _ *http.Request) { w.Header().Set(platform.Signature, "s") }

func (f *fixture) evacuate(zones ...string) {
	next, _, _ := f.policy.Load().WithEvacuated(time.Now().Add(-time.Minute), zones)
	f.policy.Store(next)
}

// Guards against a bound request that reaches a target in another region: by its first
// attempt, by a retry after all permitted targets have shed it, or as the last resort.
func TestBoundRequestStaysInItsRegions(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(400 * time.Millisecond)
	received := regionalFixture(t, f, shed)
	for range 20 {
		res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "x")
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	}
	assert.Assert(t, received["graz"].Load() > 0 && received["wien"].Load() > 0)
	assert.Equal(t, received["salzburg"].Load(), int64(0))
}

// Guards against a request that reaches a target in an evacuated zone, and against waits
// when no zone is left: it is refused at once, with a time to come back.
func TestEvacuatedZonesGetNoRequests(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	received := regionalFixture(t, f, answer)
	f.evacuate("graz")
	for range 10 {
		res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "x")
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	f.evacuate("graz", "wien")
	start := time.Now()
	res, body := f.call(t.Context(), http.MethodPost, "/book/x", "x")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "zoneEvacuated"), body)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < 2*time.Second)
	res, _ = f.call(t.Context(), http.MethodGet, "/safe/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK, "requests that are not bound go to the other region")
	assert.Equal(t, received["graz"].Load(), int64(0))
}

// Guards against a request for a key that goes to an owner outside its regions, or in a
// zone that has been evacuated for longer than its keys need to move.
func TestKeyIsNotServedWhereItsOwnerIsNotPermitted(t *testing.T) {
	f := newShardedFixture(t)
	received := regionalFixture(t, f.fixture, answer)
	f.assign("salzburg", "graz")
	assert.Equal(t, f.get(t, 5), http.StatusServiceUnavailable)
	assert.Equal(t, f.get(t, ownership.KeyCount-1), http.StatusOK)
	f.evacuate("graz")
	assert.Equal(t, f.get(t, ownership.KeyCount-1), http.StatusServiceUnavailable)
	time.AfterFunc(300*time.Millisecond, func() { f.assign("wien", "wien") })
	assert.Equal(t, f.get(t, 5), http.StatusOK, "it waits for its key's next owner")
	assert.Equal(t, received["salzburg"].Load(), int64(0))
	assert.Equal(t, received["graz"].Load(), int64(1))
}
