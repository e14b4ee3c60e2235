package instance_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/speed"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// slowTarget is a target whose responses take a while.
type slowTarget struct {
	standin.Target
	work time.Duration
}

func (s *slowTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/lists/") {
		time.Sleep(s.work)
	}
	s.Target.ServeHTTP(w, r)
}

// Targets' speeds must come from the responses that any instance receives to the coordinator and into the
// store, and without the feature no row may be read or written.
func TestSpeedsOfTargetsAreKept(t *testing.T) {
	t.Parallel()
	for _, features := range [][]string{nil, {"speeds"}} {
		t.Run(fmt.Sprint(features), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.features = features
			for n := range 4 {
				target := &slowTarget{Target: standin.Target{ID: fmt.Sprint("t", n), Sharded: true}, work: 30 * time.Millisecond}
				if n == 0 {
					target.work *= 3
				}
				server := httptest.NewServer(target)
				t.Cleanup(server.Close)
				f.addresses[target.ID] = strings.TrimPrefix(server.URL, "http://")
				f.setTarget(target.ID, "lists", "ready")
			}
			instances := []*runningInstance{f.start("one"), f.start("two")}
			for _, r := range instances {
				r.awaitReady(t)
			}
			var group sync.WaitGroup
			var done atomic.Bool
			for n := range 6 {
				group.Go(func() {
					for key := n; !done.Load(); key += 6007 {
						f.call(instances[n%2], "/lists/x", key%65536)
					}
				})
			}
			defer group.Wait()
			defer done.Store(true)
			if features == nil {
				// With the feature, the first row is written after ten seconds.
				time.Sleep(12 * time.Second)
				assert.Equal(t, f.store.Row(coordinator.SpeedTable, "lists").Revision, uint64(0))
				assert.Equal(t, f.store.RangeCount(coordinator.SpeedTable), 0)
				return
			}
			eventually(t, func() bool {
				row := f.store.Row(coordinator.SpeedTable, "lists")
				if row.Revision == 0 {
					return false
				}
				estimates, err := speed.Decode(row.Value)
				assert.NilError(t, err)
				relative := speed.RelativeSpeeds(estimates)
				for target, r := range relative {
					if (r.Shrunk() < 0.7) != (target.ID == "t0") {
						return false
					}
				}
				return len(relative) == 4
			})
			assert.Assert(t, f.store.RangeCount(coordinator.SpeedTable) > 0)
		})
	}
}
