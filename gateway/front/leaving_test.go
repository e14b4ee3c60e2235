package front_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/platform/standin"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// drainLimit is the time after the store's acknowledgement that a target leaves after which the users accept no
// request there.
const drainLimit = 2 * time.Second

// setDraining lists a target as draining.
func (f *fixture) setDraining(id string) {
	for n, t := range f.targets {
		if t.ID == id {
			changed := *t
			changed.Seq, changed.Draining = t.Seq+1, true
			f.targets[n] = &changed
		}
	}
	f.roster.Replace(time.Now(), f.targets, f.roster.Load().Revision+1)
}

// runTimes records when a target begins to run requests.
type runTimes struct {
	mu   sync.Mutex
	last time.Time
	runs int
}

func (r *runTimes) record() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = time.Now()
	r.runs++
}

// Guards against requests for keys that wait for the slot of an owner that leaves, and are sent there when it is
// free, seconds later.
func TestRequestsThatWaitForLeavingOwnerAreNotSent(t *testing.T) {
	f := newShardedFixture(t)
	var runs runTimes
	f.startTarget("owner", &standin.Target{ID: "owner", OnRun: func(*http.Request) {
		runs.record()
		time.Sleep(800 * time.Millisecond)
	}})
	f.assign("owner", "owner")
	const requests = 15
	var group errgroup.Group
	for n := range requests {
		group.Go(func() error {
			f.getAs(t, fmt.Sprint("request", n), n)
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	f.setDraining("owner")
	listed := time.Now()
	_ = group.Wait()
	answered := time.Since(listed)
	t.Logf("last of %d runs %v after the list said that the owner leaves, last answer after %v", runs.runs, runs.last.Sub(listed), answered)
	assert.Check(t, runs.last.Sub(listed) <= drainLimit/2)
	assert.Check(t, answered <= drainLimit, "requests that cannot be served are refused at once")
}

// Guards against a request that is sent to a target which has begun to leave while the connection was opened.
func TestTargetThatLeavesWhileConnectingGetsNothing(t *testing.T) {
	for _, sharded := range []bool{false, true} {
		t.Run(fmt.Sprintf("sharded %v", sharded), func(t *testing.T) {
			f := newShardedFixture(t)
			get := func() int { return f.get(t, 5) }
			if !sharded {
				f.setRoutes(4 * time.Second)
				get = func() int {
					res, _ := f.call(t.Context(), http.MethodGet, "/safe/x", "")
					return res.StatusCode
				}
			}
			var runs runTimes
			f.startTarget("a", &standin.Target{ID: "a", OnRun: func(*http.Request) { runs.record() }})
			f.assign("a", "a")
			connecting := make(chan struct{}, 10)
			f.front.Pools.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				connecting <- struct{}{}
				time.Sleep(900 * time.Millisecond)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			var group errgroup.Group
			group.Go(func() error {
				get()
				return nil
			})
			<-connecting
			f.setDraining("a")
			assert.NilError(t, group.Wait())
			assert.Equal(t, runs.runs, 0)
		})
	}
}

// Guards against an owner that leaves and gets requests longer, since its row lapsed meanwhile and came back.
func TestOwnerThatIsListedAgainKeepsLeaving(t *testing.T) {
	f := newShardedFixture(t)
	var runs runTimes
	f.startTarget("owner", &standin.Target{ID: "owner", OnRun: func(*http.Request) { runs.record() }})
	f.assign("owner", "owner")
	f.setDraining("owner")
	listed := time.Now()
	for time.Since(listed) < drainLimit+500*time.Millisecond {
		time.Sleep(250 * time.Millisecond)
		row := f.targets[0]
		f.roster.Apply(time.Now(), []roster.Change{{ID: "owner"}, {ID: "owner", Target: row}}, f.roster.Load().Revision+1)
		f.getAs(t, fmt.Sprint("request", time.Now().UnixNano()), 5)
	}
	t.Logf("last of %d runs %v after the list said that the owner leaves", runs.runs, runs.last.Sub(listed))
	assert.Assert(t, runs.last.Sub(listed) <= drainLimit/2)
}

// Guards against requests to an owner that was leaving already when this instance first listed it: since when is
// not known.
func TestOwnerFirstListedAsLeavingGetsNothing(t *testing.T) {
	f := newShardedFixture(t)
	var runs runTimes
	f.startTarget("other", &standin.Target{ID: "other"})
	server := httptest.NewServer(&standin.Target{ID: "owner", OnRun: func(*http.Request) { runs.record() }})
	t.Cleanup(server.Close)
	f.targets = append(f.targets, &roster.Target{
		ID: "owner", Started: 1, Service: "s", Zone: "z", Slots: 3, Address: strings.TrimPrefix(server.URL, "http://"), Draining: true,
	})
	f.roster.Replace(time.Now(), f.targets, 2)
	f.assign("owner", "other")
	assert.Equal(t, f.get(t, 5), http.StatusServiceUnavailable)
	assert.Equal(t, runs.runs, 0)
}

// Guards against a request that another instance forwards to an owner which leaves.
func TestCarrierSendsNothingToLeavingOwner(t *testing.T) {
	var runs runTimes
	server := httptest.NewServer(&standin.Target{ID: "owner", OnRun: func(*http.Request) { runs.record() }})
	t.Cleanup(server.Close)
	var fleet []*fixture
	var sender *shardedFixture
	for n := range 3 {
		f := newShardedFixture(t)
		f.addTarget("owner", strings.TrimPrefix(server.URL, "http://"))
		f.assign("owner", "owner")
		if n == 0 {
			sender = f
			breakLinks(f.front.Links)
		} else {
			f.setDraining("owner")
		}
		fleet = append(fleet, f.fixture)
	}
	linkFleet(t, fleet)
	time.Sleep(drainLimit / 2)
	start := time.Now()
	assert.Equal(t, sender.get(t, 5), http.StatusServiceUnavailable)
	assert.Equal(t, runs.runs, 0)
	assert.Assert(t, time.Since(start) < drainLimit, "refused after %v", time.Since(start))
}
