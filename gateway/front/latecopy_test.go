package front_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/routing"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// startRepeatingTarget adds a target that sends the chosen responses twice.
func (f *fixture) startRepeatingTarget(id string, s *standin.Repeater) {
	address, err := s.Start()
	assert.NilError(f.t, err)
	f.t.Cleanup(s.Close)
	f.addTarget(id, address)
}

// refusingFirst refuses the first attempts of each request with the status, and runs the next one.
type refusingFirst struct {
	status, attempts int
	size             int
	refused          map[string]int
	runs             atomic.Int64
}

func (t *refusingFirst) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.RequestID)
	w.Header().Set(platform.RequestID, id)
	if t.refused[id] < t.attempts {
		t.refused[id]++
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(t.status)
		return
	}
	t.runs.Add(1)
	w.Header().Set(platform.Signature, "signed")
	_, _ = io.WriteString(w, strings.Repeat("x", t.size))
}

// Guards against a late second copy of one attempt's refusal that is taken for the response to the next
// attempt, which has the same ID: the request runs twice.
func TestLateCopyOfRefusalIsNotTakenForTheNextAttempt(t *testing.T) {
	for name, c := range map[string]struct{ status, attempts, size int }{
		"key that is being granted":   {http.StatusMisdirectedRequest, 1, 10},
		"shed":                        {http.StatusServiceUnavailable, 1, 10},
		"shed with another status":    {http.StatusTooManyRequests, 1, 10},
		"refused twice":               {http.StatusMisdirectedRequest, 2, 10},
		"response beyond the buffer":  {http.StatusMisdirectedRequest, 1, 600 << 10},
		"empty response to the other": {http.StatusServiceUnavailable, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newShardedFixture(t)
			f.table.Store(routing.New(&routing.Config{
				Version: 1, Services: []routing.Service{{Name: "s", Sharded: true}},
				Routes: []routing.Route{{
					Name: "keyed", Host: "cakes.example", Prefix: "/keyed/", Timeout: 6 * time.Second, Objective: 2 * time.Second,
					MaxAttempts: 3, Split: []routing.Share{{Service: "s", Weight: 1}},
				}},
			}))
			target := &refusingFirst{status: c.status, attempts: c.attempts, size: c.size, refused: map[string]int{}}
			f.startRepeatingTarget("a", &standin.Repeater{
				Handler: target, Repeats: func(_ *http.Request, status int) bool { return status != http.StatusOK },
			})
			f.assign("a", "a")
			assert.Equal(t, f.get(t, 5), http.StatusOK)
			assert.Equal(t, target.runs.Load(), int64(1))
		})
	}
}

// Guards against a late second response to one caller's request that another caller gets, also if the target has
// spoiled the header that tells whose it is.
func TestLateCopyReachesNoOtherCaller(t *testing.T) {
	for name, drop := range map[string]bool{"with ID": false, "without ID": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.setRoutes(5 * time.Second)
			f.startRepeatingTarget("a", &standin.Repeater{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(platform.RequestID)
				if !drop || id != "id1" {
					w.Header().Set(platform.RequestID, id)
				}
				w.Header().Set(platform.Signature, "signed")
				_, _ = io.WriteString(w, id)
			})})
			for range 6 {
				res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
				assert.Equal(t, res.StatusCode, http.StatusOK, text)
				assert.Equal(t, text, f.lastID())
			}
		})
	}
}

// Guards against a response without an ID on a connection that has carried another request: it may be a late
// second response to that, and states nothing about this one.
func TestResponseWithoutIDOnReusedConnectionProvesNothing(t *testing.T) {
	f := newFixture(t)
	f.setRoutes(5 * time.Second)
	f.startTarget("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(platform.RequestID); id == "id1" {
			w.Header().Set(platform.RequestID, id)
			w.Header().Set(platform.Signature, "signed")
			return
		}
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	res, text := f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK, text)
	res, text = f.call(t.Context(), http.MethodPost, "/book/x", "")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway, text)
}
