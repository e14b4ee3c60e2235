package front_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/schedule"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// Guards against a scheduler that does not know that its target has asked for a rest, and against one that is notified where
// the feature is off.
func TestSchedulerKnowsOfRest(t *testing.T) {
	for _, paced := range []bool{false, true} {
		f := newFixture(t)
		f.setRoutes(time.Second)
		var mu sync.Mutex
		var causes []string
		f.front.Pace = paced
		d := f.front.Broker.Dispatcher
		d.Pace = true
		d.OnPace = func(c schedule.PaceChange) {
			mu.Lock()
			defer mu.Unlock()
			if c.Began {
				causes = append(causes, c.Cause.String())
			}
		}
		target, rests := &standin.Target{ID: "a"}, atomic.Bool{}
		f.startTarget("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !rests.Load() {
				target.ServeHTTP(w, r)
				return
			}
			w.Header().Set("Retry-After", "2")
			shed(w, r)
		}))
		// This instance is not listed, so it is a replacement of the target's scheduler.
		for range 20 {
			f.call(t.Context(), http.MethodGet, "/safe/x", "")
		}
		assert.Equal(t, d.PacedTargets(), 0)
		rests.Store(true)
		f.call(t.Context(), http.MethodGet, "/safe/x", "")
		mu.Lock()
		assert.Equal(t, strings.Join(causes, " "), map[bool]string{false: "replacement", true: "replacement rested"}[paced])
		mu.Unlock()
	}
}
