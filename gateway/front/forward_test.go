package front_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/links"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// withoutLinks returns a fixture whose instance reaches no target, and lists other instances
// with the given control addresses.
func withoutLinks(t *testing.T, addresses ...string) *fixture {
	f := newFixture(t)
	f.setRoutes(4 * time.Second)
	f.addTarget("unreached", "127.0.0.1:1")
	breakLinks(f.front.Links)
	list := map[string]peers.Instance{}
	for n, address := range addresses {
		name := fmt.Sprint("carrier", n)
		list[name] = peers.Instance{Name: name, Zone: "z", Control: address}
	}
	f.front.Forwarder.Peers.SetInstances(list)
	return f
}

func breakLinks(m *links.Monitor) {
	for _, target := range []string{"a", "b", "c"} {
		m.Failed(time.Now(), "s", target)
	}
}

// startCarrier returns a fixture whose instance has sound links and one target, and its address.
func startCarrier(t *testing.T, target http.Handler) (*fixture, string) {
	f := newFixture(t)
	f.setRoutes(4 * time.Second)
	f.startTarget("t", target)
	return f, startControl(t, http.HandlerFunc(f.front.ServeForwarded))
}

func startControl(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a forwarded request that reaches the target changed, or with more time than is
// left.
func TestForwardedRequestArrivesUnchanged(t *testing.T) {
	var got atomic.Pointer[http.Request]
	target := &standin.Target{ID: "t", OnRun: func(r *http.Request) { got.Store(r) }}
	_, address := startCarrier(t, target)
	f := withoutLinks(t, address)
	for method, body := range map[string]string{http.MethodGet: "", http.MethodPost: "dough"} {
		res, text := f.call(t.Context(), method, "/book/a%2Fb?day=2&x=%20", body)
		assert.Equal(t, res.StatusCode, http.StatusOK, text)
		assert.Equal(t, text, fmt.Sprintf("t %s /book/a%%2Fb?day=2&x=%%20 %d", method, len(body)))
		assert.Equal(t, res.Header.Get(platform.Signature), "signed-by-t")
		r := got.Load()
		assert.Equal(t, r.Host, "cakes.example")
		assert.Equal(t, r.Header.Get(platform.ExpectedTarget), "t")
		left, err := time.ParseDuration(r.Header.Get(platform.TimeLeft) + "ms")
		assert.NilError(t, err)
		assert.Assert(t, left > time.Second && left <= 4*time.Second, "%v", left)
		for name := range r.Header {
			assert.Assert(t, !strings.HasPrefix(name, "Basilcross-Forward"), name)
		}
		for name := range res.Header {
			assert.Assert(t, !strings.HasPrefix(name, "Basilcross-Forward"), name)
		}
	}
}

// Guards against a request that goes round in circles among instances without links, and against
// one that waits for its timeout there.
func TestRequestIsRefusedAtOnceIfNoInstanceHasLinks(t *testing.T) {
	var asked atomic.Int64
	other := newFixture(t)
	other.setRoutes(4 * time.Second)
	other.addTarget("unreached", "127.0.0.1:1")
	breakLinks(other.front.Links)
	address := startControl(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		other.front.ServeForwarded(w, r)
	}))
	f := withoutLinks(t, address)
	other.front.Forwarder.Peers.SetInstances(map[string]peers.Instance{
		"one": {Name: "first", Zone: "z", Control: startControl(t, http.HandlerFunc(f.front.ServeForwarded))},
	})
	start := time.Now()
	res, text := f.call(t.Context(), http.MethodPost, "/book/x", "dough")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, text)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(start) < 2*time.Second)
	assert.Equal(t, asked.Load(), int64(1))
}

// Guards against a false statement that a request did not run, and against a second run, if the
// instance that carries it is lost.
func TestRequestOfLostCarrierMayHaveRun(t *testing.T) {
	target := &standin.Target{ID: "t"}
	carrier, address := startCarrier(t, target)
	lost := startControl(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		carrier.front.ServeForwarded(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	f := withoutLinks(t, lost)
	res, text := f.call(t.Context(), http.MethodPost, "/book/x", "dough")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway, text)
	assert.Equal(t, target.RunCount(f.lastID()), 1)

	f = withoutLinks(t, lost, address)
	f.sent = 100
	for range 8 {
		res, text = f.call(t.Context(), http.MethodPost, "/book/x", "dough")
		assert.Assert(t, res.StatusCode == http.StatusOK || res.StatusCode == http.StatusBadGateway, text)
		assert.Equal(t, target.RunCount(f.lastID()), 1)
	}
}

// Guards against requests that are refused since the first instance asked can't carry them, and
// against one that is asked again and again although its version does not know such requests.
func TestAnotherInstanceCarriesRequestThatOneDeclines(t *testing.T) {
	_, address := startCarrier(t, &standin.Target{ID: "t"})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	var asked atomic.Int64
	old := startControl(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusNotFound)
	}))
	f := withoutLinks(t, address, old, closed.Addr().String())
	for range 20 {
		res, text := f.call(t.Context(), http.MethodPost, "/book/x", "dough")
		assert.Equal(t, res.StatusCode, http.StatusOK, text)
	}
	assert.Assert(t, asked.Load() <= 1, "asked %d times", asked.Load())
}

// Guards against an older configuration being applied to a request by the instance that carries
// it.
func TestInstanceWithOlderConfigurationDoesNotCarry(t *testing.T) {
	target := &standin.Target{ID: "t"}
	carrier, address := startCarrier(t, target)
	f := withoutLinks(t, address)
	newer := *f.table.Load().Config
	newer.Version = 2
	f.setConfig(&newer)
	res, text := f.call(t.Context(), http.MethodGet, "/safe/x", "")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, text)
	carrier.setConfig(&newer)
	time.Sleep(400 * time.Millisecond)
	res, text = f.call(t.Context(), http.MethodGet, "/safe/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK, text)
}

// Guards against the body of a request that may be served in some regions only being sent to an
// instance in another.
func TestBoundRequestIsForwardedWithinItsRegions(t *testing.T) {
	var asked atomic.Int64
	carrier, _ := startCarrier(t, &standin.Target{ID: "t"})
	f := withoutLinks(t, startControl(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		carrier.front.ServeForwarded(w, r)
	})))
	f.front.Forwarder.Region = func(string) string { return "west" }
	for _, bound := range []string{"ost", "west"} {
		config := *f.table.Load().Config
		config.Routes = slices.Clone(config.Routes)
		for n := range config.Routes {
			config.Routes[n].Regions = []string{bound}
		}
		f.setConfig(&config)
		res, text := f.call(t.Context(), http.MethodGet, "/safe/x", "")
		if bound == "west" {
			assert.Equal(t, res.StatusCode, http.StatusOK, text)
			continue
		}
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, text)
		assert.Equal(t, asked.Load(), int64(0))
	}
}

// Guards against a small instance that is drowned in the requests of others.
func TestCarriedRequestsAreBounded(t *testing.T) {
	release := make(chan struct{})
	var running atomic.Int64
	target := &standin.Target{ID: "t", OnRun: func(*http.Request) { running.Add(1); <-release }}
	carrier, address := startCarrier(t, target)
	carrier.targets[0].Slots = 1000
	carrier.roster.Replace(time.Now(), carrier.targets, 2)
	f := withoutLinks(t, address)
	const sent = 50
	statuses := make(chan int, sent)
	for n := range sent {
		go func() {
			req, err := http.NewRequest(http.MethodGet, f.server.URL+"/safe/x", nil)
			if err != nil {
				statuses <- 0
				return
			}
			req.Host = "cakes.example"
			req.Header.Set(platform.RequestID, fmt.Sprint("id", n))
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				statuses <- 0
				return
			}
			res.Body.Close()
			statuses <- res.StatusCode
		}()
	}
	refused := 0
	for range sent - 32 {
		assert.Equal(t, <-statuses, http.StatusServiceUnavailable)
		refused++
	}
	close(release)
	for range 32 {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
	assert.Equal(t, running.Load(), int64(32))
}

// Guards against a target that continues a request whose caller has disconnected from the
// instance which forwarded the request.
func TestCallersDisconnectionReachesTargetThroughCarrier(t *testing.T) {
	started, gone := make(chan struct{}), make(chan struct{})
	target := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(gone)
	})
	_, address := startCarrier(t, target)
	f := withoutLinks(t, address)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	f.call(ctx, http.MethodGet, "/safe/x", "")
	select {
	case <-gone:
	case <-time.After(20 * time.Second):
		t.Fatal("the target still works for a caller that has disconnected")
	}
}

// Guards against idempotent requests that wait on a broken link although others could serve them,
// and against ones that must not run twice being sent again.
func TestRequestUnderWayIsForwardedOnceLinksAreDown(t *testing.T) {
	_, address := startCarrier(t, &standin.Target{ID: "t"})
	f := withoutLinks(t, address)
	f.targets = nil
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	f.startTarget("hung", &standin.Target{ID: "hung", OnRun: func(r *http.Request) {
		arrived <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}})
	for _, c := range []struct{ path, target string }{{"/safe/x", "t"}, {"/book/x", "hung"}} {
		for _, id := range []string{"a", "b", "c"} {
			f.front.Links.Reached(time.Now(), "s", id)
		}
		responses := make(chan string, 1)
		go func() {
			_, text := f.call(t.Context(), http.MethodGet, c.path, "")
			responses <- text
		}()
		<-arrived
		time.Sleep(300 * time.Millisecond)
		breakLinks(f.front.Links)
		f.front.AbandonDirect("s")
		if c.target == "hung" {
			time.Sleep(100 * time.Millisecond)
			close(release)
		}
		assert.Equal(t, <-responses, c.target+" GET "+c.path+" 0")
	}
}

// Guards against refusals where all instances asked are of one zone, which has lost its links.
func TestRequestIsServedThoughItsZoneHasNoLinks(t *testing.T) {
	const zoneSize, requests = 22, 20
	_, linked := startCarrier(t, &standin.Target{ID: "t"})
	f := withoutLinks(t)
	list := map[string]peers.Instance{"linked": {Name: "linked", Zone: "y", Control: linked}}
	for n := range zoneSize - 1 {
		other := newFixture(t)
		other.setRoutes(4 * time.Second)
		other.addTarget("unreached", "127.0.0.1:1")
		breakLinks(other.front.Links)
		name := fmt.Sprint("unlinked", n)
		list[name] = peers.Instance{Name: name, Zone: "z", Control: startControl(t, http.HandlerFunc(other.front.ServeForwarded))}
	}
	f.front.Forwarder.Peers.SetInstances(list)
	served := 0
	for range requests {
		breakLinks(f.front.Links)
		if res, _ := f.call(t.Context(), http.MethodPost, "/book/x", "dough"); res.StatusCode == http.StatusOK {
			served++
		}
		time.Sleep(150 * time.Millisecond)
	}
	assert.Assert(t, float64(served) >= 0.95*requests, "served %d of %d", served, requests)
}

// Guards against refusals in the first moments of a cut, before the links count as down.
func TestRequestThatReachesNoTargetIsForwarded(t *testing.T) {
	_, address := startCarrier(t, &standin.Target{ID: "t"})
	f := withoutLinks(t, address)
	f.front.Links = &links.Monitor{}
	for n := range 12 {
		f.addTarget(fmt.Sprint("unreached", n), "127.0.0.1:1")
	}
	for n := range 40 {
		f.front.Links.Reached(time.Now().Add(time.Minute), "s", fmt.Sprint("reached", n))
	}
	for _, path := range []string{"/safe/x", "/book/x"} {
		res, text := f.call(t.Context(), http.MethodPost, path, "dough")
		assert.Equal(t, res.StatusCode, http.StatusOK, text)
	}
}

// Guards against refusals where the carrier has just lost its links and does not know yet.
func TestCarrierThatReachesNoTargetDeclines(t *testing.T) {
	_, address := startCarrier(t, &standin.Target{ID: "t"})
	other := newFixture(t)
	other.setRoutes(4 * time.Second)
	for n := range 12 {
		other.addTarget(fmt.Sprint("unreached", n), "127.0.0.1:1")
	}
	for n := range 40 {
		other.front.Links.Reached(time.Now().Add(time.Minute), "s", fmt.Sprint("reached", n))
	}
	f := withoutLinks(t, address, startControl(t, http.HandlerFunc(other.front.ServeForwarded)))
	for range 10 {
		res, text := f.call(t.Context(), http.MethodPost, "/book/x", "dough")
		assert.Equal(t, res.StatusCode, http.StatusOK, text)
	}
}
