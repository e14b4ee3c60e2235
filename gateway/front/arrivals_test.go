package front_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/gateway/front"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// arrivals counts the requests that reach targets, by their IDs.
type arrivals struct {
	mu   sync.Mutex
	byID map[string]int
}

func (a *arrivals) record(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID = map[string]int{}
	}
	a.byID[id]++
}

// of returns the number of arrivals of a request.
func (a *arrivals) of(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[id]
}

// repeated returns the number of arrivals beyond the first of each request.
func (a *arrivals) repeated() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, count := range a.byID {
		n += count - 1
	}
	return n
}

// askingForRest returns a target that turns all requests away and asks each instance for rest.
func (a *arrivals) askingForRest() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(platform.RequestID)
		a.record(id)
		w.Header().Set(platform.RequestID, id)
		w.Header().Set(platform.NotExecuted, "1")
		w.Header().Set(platform.Rest, "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// linkFleet lets the instances of some fixtures carry requests for each other.
func linkFleet(t *testing.T, fleet []*fixture) {
	t.Helper()
	list := map[string]peers.Instance{}
	for n, f := range fleet {
		name := fmt.Sprint("instance", n)
		list[name] = peers.Instance{Name: name, Zone: "z", Control: startControl(t, http.HandlerFunc(f.front.ServeForwarded))}
	}
	for n, f := range fleet {
		self := list[fmt.Sprint("instance", n)]
		others := &peers.Peers{Self: self, Log: f.front.Log}
		others.SetInstances(list)
		f.front.Forwarder.Self, f.front.Forwarder.Peers = self, others
	}
}

// counters sums a counter of the instances' metrics over all its labels.
type counters []*prometheus.Registry

func (c counters) sum(t *testing.T, name string) (total float64) {
	t.Helper()
	for _, registry := range c {
		families, err := registry.Gather()
		assert.NilError(t, err)
		for _, family := range families {
			if family.GetName() != name {
				continue
			}
			for _, m := range family.GetMetric() {
				total += m.GetCounter().GetValue()
			}
		}
	}
	return total
}

// newCarrierFleet returns instances that carry requests for each other, each of which has one retry, and their
// counters. They list the targets with the given addresses.
func newCarrierFleet(t *testing.T, size int, addresses ...string) (fleet []*fixture, c counters) {
	t.Helper()
	for range size {
		f := newFixture(t)
		f.setRoutes(4 * time.Second)
		for n, address := range addresses {
			f.addTarget(fmt.Sprint("t", n), address)
		}
		f.front.RetryLimits = func() front.RetryLimits {
			return front.RetryLimits{Slack: 1.5, Window: 10 * time.Second, Instances: 1}
		}
		registry := prometheus.NewRegistry()
		f.front.Metrics = front.NewMetrics(registry)
		fleet, c = append(fleet, f), append(c, registry)
	}
	linkFleet(t, fleet)
	return fleet, c
}

// Guards against a request that is handed to a target by one carrier after the other for a single retry of the
// budget, since the target turns all of them away.
func TestEachArrivalThroughCarriersIsPaidFor(t *testing.T) {
	var a arrivals
	server := httptest.NewServer(a.askingForRest())
	t.Cleanup(server.Close)
	fleet, c := newCarrierFleet(t, 9, strings.TrimPrefix(server.URL, "http://"))
	res, text := fleet[0].call(t.Context(), http.MethodGet, "/safe/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, text)
	paid := c.sum(t, "basilcross_repetitions_total")
	t.Logf("%d arrivals beyond the first, %.0f retries paid", a.repeated(), paid)
	assert.Assert(t, float64(a.repeated()) <= paid)
}

// Guards against a request that adds to the budget of each carrier that declines it: together they would have
// several times the retries that the ratio allows.
func TestForwardedRequestIsCountedByOneBudget(t *testing.T) {
	var fleet []*fixture
	var first *shardedFixture
	var c counters
	for n := range 9 {
		f := newShardedFixture(t)
		f.addTarget("owner", "127.0.0.1:1")
		f.assign("owner", "owner")
		registry := prometheus.NewRegistry()
		f.front.Metrics = front.NewMetrics(registry)
		// All are reached but the owner; the first instance reaches none.
		f.front.Links.Failed(time.Now(), "s", "owner")
		if n == 0 {
			first = f
			breakLinks(f.front.Links)
		}
		fleet, c = append(fleet, f.fixture), append(c, registry)
	}
	linkFleet(t, fleet)
	assert.Equal(t, first.get(t, 5), http.StatusServiceUnavailable)
	assert.Equal(t, c.sum(t, "basilcross_retry_deposits_total"), 1.0)
}

// Guards against retries that are not paid for since a carrier whose target rejected the request declines it.
func TestArrivalAtCarrierThatDeclinesIsPaidFor(t *testing.T) {
	var a arrivals
	server := httptest.NewServer(a.askingForRest())
	t.Cleanup(server.Close)
	fleet, c := newCarrierFleet(t, 9, strings.TrimPrefix(server.URL, "http://"))
	breakLinks(fleet[0].front.Links)
	res, text := fleet[0].call(t.Context(), http.MethodGet, "/safe/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, text)
	paid := c.sum(t, "basilcross_repetitions_total")
	t.Logf("%d arrivals beyond the first, %.0f retries paid", a.repeated(), paid)
	assert.Assert(t, float64(a.repeated()) <= paid)
}

// Guards against retries beyond the fleet's limit while half of the instances have no links and owners of keys turn
// the others away: each of these learns it by a request that others have sent there before.
func TestRetriesThroughCarriersStayWithinLimit(t *testing.T) {
	const (
		instances = 30
		owners    = 64
		ratio     = 0.2
		slack     = 72
		requests  = 600
	)
	var a arrivals
	fleet := make([]*fixture, instances)
	var sharded []*shardedFixture
	var pieces []ownership.Piece
	const width = ownership.KeyCount / owners
	for n := range owners {
		pieces = append(pieces, ownership.Piece{First: n * width, Last: (n+1)*width - 1, Owner: fmt.Sprint("owner", n)})
	}
	addresses := map[string]string{}
	for n := range fleet {
		f := newShardedFixture(t)
		f.front.RetryLimits = func() front.RetryLimits {
			return front.RetryLimits{Ratio: ratio, Slack: slack, Window: 10 * time.Second, Instances: instances}
		}
		for _, p := range pieces {
			if n == 0 {
				f.startTarget(p.Owner, a.askingForRest())
				addresses[p.Owner] = f.targets[len(f.targets)-1].Address
			} else {
				f.addTarget(p.Owner, addresses[p.Owner])
			}
		}
		f.assignment = &ownership.Assignment{Service: "s", Pieces: pieces}
		if n%2 == 0 {
			breakLinks(f.front.Links)
		}
		fleet[n], sharded = f.fixture, append(sharded, f)
	}
	linkFleet(t, fleet)
	random := rand.New(rand.NewPCG(1, 1))
	var group errgroup.Group
	for n := range requests {
		at, key := sharded[random.IntN(instances)], random.IntN(owners*width)
		group.Go(func() error {
			at.getAs(t, fmt.Sprint("request", n), key)
			return nil
		})
		time.Sleep(4 * time.Millisecond)
	}
	assert.NilError(t, group.Wait())
	repeated, allowed := a.repeated(), ratio*requests+slack
	t.Logf("%d arrivals beyond the first of %d requests, %.0f allowed", repeated, requests, allowed)
	assert.Assert(t, float64(repeated) <= allowed)
}
