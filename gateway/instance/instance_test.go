package instance_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/instance"
	"basilcross.example/gateway/logsink"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fleet is a set of instances on loopback, with a store and targets.
type fleet struct {
	t         *testing.T
	store     *standin.Store
	address   string
	targets   map[string]*standin.Target
	addresses map[string]string
	requests  atomic.Int64
	// ip is the address of all instances of the fleet, and of its targets that restart: an address that
	// one fleet leaves must not be taken by another, whose instances have the same names.
	ip string
	// cores, zone and bootstrap are those of the instances that are started next.
	cores     float64
	zone      string
	bootstrap bool
	// features are those of the instances that are started next.
	features []string
	// running are all instances that were started.
	running []*runningInstance
	// link and storeLink, if set, return the link of the next instance, and the one by which all instances reach the store.
	link      func() *instance.Link
	storeLink *instance.Link
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: &standin.Store{}, targets: map[string]*standin.Target{}, addresses: map[string]string{}, zone: "graz", ip: nextLoopbackAddress()}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	f.configure(1, "menus")
	return f
}

// configure writes a configuration that routes /lists/ to the sharded service and
// /menus/ to the given one.
func (f *fleet) configure(version int, menus string) {
	f.store.Put(platform.OperatorTable, platform.ConfigKey, []byte(fmt.Sprintf(`{"version":"r%d","routes":[
	{"name":"menus","host":"cakes.example","prefix":"/menus/","route_type":"safe","timeout":"8s","target_latency":"4s","priority":2,"service":"%s","max_attempts":2},
	{"name":"book","host":"cakes.example","prefix":"/book/","route_type":"unsafe","timeout":"8s","target_latency":"4s","priority":1,"service":"menus","max_attempts":2},
	{"name":"lists","host":"cakes.example","prefix":"/lists/","route_type":"safe","timeout":"8s","target_latency":"4s","priority":2,"service":"lists","max_attempts":2}],
	"services":[{"name":"menus","health_path":"/health"},{"name":"other"},{"name":"lists","sharded":true}],"limits":{"max_body_bytes":100000}}`, version, menus)))
}

func (f *fleet) startTarget(id, service string, sharded bool) {
	target := &standin.Target{ID: id, Sharded: sharded}
	server := httptest.NewServer(target)
	f.t.Cleanup(server.Close)
	f.targets[id] = target
	f.addresses[id] = strings.TrimPrefix(server.URL, "http://")
	f.setTarget(id, service, "ready")
}

func (f *fleet) setTarget(id, service, state string) {
	f.store.Put(platform.TargetTable, id, []byte(fmt.Sprintf(
		`{"address":"%s","born":1,"info":{"service":"%s","version":"v1","zone":"graz","slots":3},"status":{"state":"%s","seq":%d,"warmup_left":"0ms"}}`,
		f.addresses[id], service, state, f.requests.Add(1))))
}

// instanceRow returns the row of an instance; its revision is 0 if there is none.
func (f *fleet) instanceRow(name string) platform.Row {
	for _, r := range f.store.Rows(coordinator.InstanceTable) {
		if strings.HasSuffix(r.Key, "/"+name) {
			return r
		}
	}
	return platform.Row{}
}

type runningInstance struct {
	callers, ready string
	control        string
	link           *instance.Link
	links          *instance.TargetLinks
	stop           func() error
}

// fleets is the number of fleets so far.
var fleets atomic.Int32

// nextLoopbackAddress returns an address of the loopback network that no other fleet has.
func nextLoopbackAddress() string {
	n := fleets.Add(1)
	return fmt.Sprintf("127.77.%d.%d", n/250, 1+n%250)
}

func (f *fleet) freeAddress() string {
	f.t.Helper()
	l, err := net.Listen("tcp", f.ip+":0")
	assert.NilError(f.t, err)
	defer l.Close()
	return l.Addr().String()
}

// start runs an instance. Another test may take one of its addresses before it
// opens them; then it is started again with other addresses.
func (f *fleet) start(name string, seeds ...string) *runningInstance {
	f.t.Helper()
	for range 20 {
		if r := f.tryStart(name, seeds); r != nil {
			f.t.Cleanup(func() { _ = r.stop() })
			f.running = append(f.running, r)
			return r
		}
	}
	f.t.Fatalf("instance %s found no free addresses", name)
	return nil
}

// tryStart returns nil if an address was in use.
func (f *fleet) tryStart(name string, seeds []string) *runningInstance {
	s := instance.Defaults()
	s.Instance, s.Zone, s.Region, s.Regions = name, f.zone, "ost", map[string]string{"graz": "ost", "wien": "ost"}
	s.CallersListen, s.ReadyListen = f.freeAddress(), f.freeAddress()
	s.ControlListen, s.DatagramListen = f.freeAddress(), f.freeAddress()
	s.Store, s.Seeds, s.Cores, s.Bootstrap = f.address, seeds, f.cores, f.bootstrap
	s.Features = f.features
	assert.NilError(f.t, s.Validate())
	sink := logsink.New(io.Discard)
	i := instance.New(s, slog.New(slog.NewJSONHandler(sink, nil)), sink)
	links := i.InterposeTargetLinks()
	var link *instance.Link
	if f.link != nil {
		link = f.link()
		i.InterposeLinks(link, f.storeLink)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx) }()
	// Wait until it listens, or has failed to.
	for {
		select {
		case err := <-done:
			cancel()
			assert.Assert(f.t, errors.Is(err, syscall.EADDRINUSE), "%v", err)
			return nil
		case <-time.After(5 * time.Millisecond):
		}
		if c, err := net.Dial("tcp", s.ReadyListen); err == nil {
			_ = c.Close()
			break
		}
	}
	r := &runningInstance{callers: s.CallersListen, ready: s.ReadyListen, control: s.ControlListen, links: links, link: link}
	var result error
	stopped := false
	r.stop = func() error {
		if !stopped {
			cancel()
			result, stopped = <-done, true
		}
		return result
	}
	return r
}

func (r *runningInstance) awaitReady(t *testing.T) {
	t.Helper()
	eventually(t, func() bool {
		res, err := http.Get("http://" + r.ready + platform.ReadyPath)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(20*time.Millisecond))
}

// call sends a request. The status is 0 if there was no response.
func (f *fleet) call(r *runningInstance, path string, key int) (status int, body string) {
	id := "r" + strconv.FormatInt(f.requests.Add(1), 10)
	req, err := http.NewRequest(http.MethodGet, "http://"+r.callers+path, nil)
	assert.NilError(f.t, err)
	req.Host = "cakes.example"
	req.Header.Set(platform.RequestID, id)
	req.Header.Set(platform.TimeLeft, "8000")
	req.Header.Set(platform.ShardKey, strconv.Itoa(key))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	content, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(content)
}

// awaitResponse retries a request until the body of a 200 response has a prefix.
func (f *fleet) awaitResponse(r *runningInstance, path string, key int, prefix string) {
	f.t.Helper()
	eventually(f.t, func() bool {
		status, body := f.call(r, path, key)
		return status == http.StatusOK && strings.HasPrefix(body, prefix)
	})
}

// assignment returns the stored assignment; an empty one if there is none.
func (f *fleet) assignment() *ownership.Assignment {
	a, err := ownership.Parse(f.store.Row(coordinator.AssignmentTable, "lists").Value)
	if err != nil {
		return &ownership.Assignment{}
	}
	return a
}

// Guards against a fleet in which an instance does not route to all targets, or
// finds no owner for some of the keys.
func TestFleetServes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.startTarget("l1", "lists", true)
	f.startTarget("l2", "lists", true)
	one, two := f.start("one"), f.start("two")
	one.awaitReady(t)
	two.awaitReady(t)
	f.awaitResponse(one, "/menus/today", 0, "m1 GET /menus/today 0")
	f.awaitResponse(two, "/menus/today?day=2", 0, "m1 GET /menus/today?day=2 0")
	for _, key := range []int{0, 30000, 65535} {
		f.awaitResponse(one, "/lists/x", key, "l")
		f.awaitResponse(two, "/lists/x", key, "l")
	}
	status, _ := f.call(one, "/unknown/", 0)
	assert.Equal(t, status, http.StatusNotFound)
}

// Guards against a configuration that reaches only some instances, and against an
// older version that replaces a newer one.
func TestAllInstancesApplyNewestConfig(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.startTarget("o1", "other", false)
	one, two := f.start("one"), f.start("two")
	one.awaitReady(t)
	two.awaitReady(t)
	f.awaitResponse(one, "/menus/x", 0, "m1")
	f.configure(3, "other")
	f.awaitResponse(one, "/menus/x", 0, "o1")
	f.awaitResponse(two, "/menus/x", 0, "o1")
	f.configure(2, "menus")
	f.configure(4, "other")
	f.awaitResponse(one, "/menus/x", 0, "o1")
}

// Guards against keys that stay with a draining target: they must be granted to the
// other target, and released by the draining one.
func TestKeysOfDrainingTargetMove(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("l1", "lists", true)
	f.startTarget("l2", "lists", true)
	one := f.start("one")
	one.awaitReady(t)
	f.awaitResponse(one, "/lists/x", 5, "l")
	eventually(t, func() bool { return len(f.assignment().Pieces) == 2 })
	owner := f.assignment().Find(5).Owner
	other := map[string]string{"l1": "l2", "l2": "l1"}[owner]
	f.setTarget(owner, "lists", "draining")
	f.awaitResponse(one, "/lists/x", 5, other)
	eventually(t, func() bool { return !f.targets[owner].Holds(5) && f.targets[other].Holds(5) })
}

// Guards against keys that lose their owner when the coordinator stops: another
// instance must take over and continue the renewals.
func TestCoordinatorIsReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("l1", "lists", true)
	running := map[string]*runningInstance{"one": f.start("one"), "two": f.start("two")}
	for _, r := range running {
		r.awaitReady(t)
		f.awaitResponse(r, "/lists/x", 5, "l1")
	}
	lease := func() (l struct {
		Term    int64
		Holder  string
		LeaseMs int64
	},
	) {
		assert.NilError(t, json.Unmarshal(f.store.Row(coordinator.LeaseTable, "lease").Value, &l))
		return l
	}
	first := lease()
	assert.NilError(t, running[first.Holder].stop())
	other := map[string]string{"one": "two", "two": "one"}[first.Holder]
	eventually(t, func() bool { l := lease(); return l.Holder == other && l.LeaseMs > 0 && l.Term > first.Term })
	f.awaitResponse(running[other], "/lists/x", 5, "l1")
}

// Guards against an instance that cannot serve if the store is unavailable when it
// starts: it must fetch the tables from another instance.
func TestStartWhileStoreUnavailable(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	one := f.start("one")
	one.awaitReady(t)
	f.awaitResponse(one, "/menus/x", 0, "m1")
	var i struct{ Control string }
	eventually(t, func() bool {
		return json.Unmarshal(f.instanceRow("one").Value, &i) == nil
	})
	f.store.SetRefusal(http.StatusServiceUnavailable)
	two := f.start("two", i.Control)
	two.awaitReady(t)
	f.awaitResponse(two, "/menus/x", 0, "m1")
	f.store.SetRefusal(0)
}

// Guards against a shutdown that cuts off requests in flight.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.targets["m1"].OnRun = func(*http.Request) { time.Sleep(300 * time.Millisecond) }
	one := f.start("one")
	one.awaitReady(t)
	f.awaitResponse(one, "/menus/x", 0, "m1")
	got := make(chan int, 3)
	for range 3 {
		go func() {
			status, _ := f.call(one, "/menus/x", 0)
			got <- status
		}()
	}
	eventually(t, func() bool { return f.store.CallCount() > 0 })
	assert.NilError(t, one.stop())
	for range 3 {
		assert.Equal(t, <-got, http.StatusOK)
	}
}

// Guards against an instance that restarts while only it cannot reach the store, and
// then serves an old configuration until its first call times out. The others
// removed it when it ended, so it must announce itself without its row being written.
func TestRestartedInstanceReceivesUpdatesWithoutStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.startTarget("o1", "other", false)
	one := f.start("one")
	one.awaitReady(t)
	var i struct{ Control string }
	eventually(t, func() bool {
		return json.Unmarshal(f.instanceRow("one").Value, &i) == nil
	})
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer unresponsive.Close()
	address := f.address
	f.address = unresponsive.Addr().String()
	two := f.start("two", i.Control)
	f.address = address
	two.awaitReady(t)
	f.awaitResponse(two, "/menus/x", 0, "m1")
	f.configure(3, "other")
	f.awaitResponse(two, "/menus/x", 0, "o1")
}
