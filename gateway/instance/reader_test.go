package instance_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// gate is one instance's connection to the store. While blocked it accepts calls and
// does not answer them.
type gate struct {
	http.Handler
	blocked atomic.Bool
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.blocked.Load() {
		// The server detects a closed connection only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	g.Handler.ServeHTTP(w, r)
}

// startBehindGate starts an instance that reaches the store through a gate of its own.
func (f *fleet) startBehindGate(name string, cores float64) (*runningInstance, *gate) {
	f.t.Helper()
	g := &gate{Handler: f.store}
	server := httptest.NewServer(g)
	f.t.Cleanup(server.Close)
	address := f.address
	f.address, f.cores = strings.TrimPrefix(server.URL, "http://"), cores
	defer func() { f.address, f.cores = address, 0 }()
	return f.start(name), g
}

// Guards against a start at which every instance reads all tables from the store:
// 195 instances that start together would make over 2,000 calls.
func TestStartCopiesTablesFromZone(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.startTarget("l1", "lists", true)
	one, _ := f.startBehindGate("one", 0.8)
	one.awaitReady(t)
	f.awaitResponse(one, "/lists/x", 5, "l1")
	eventually(t, func() bool { return f.instanceRow("one").Revision > 0 })
	configReads, targetReads := f.store.RangeCount(platform.OperatorTable), f.store.RangeCount(platform.TargetTable)
	for _, name := range []string{"two", "three", "four"} {
		r, _ := f.startBehindGate(name, 0.1)
		r.awaitReady(t)
		f.awaitResponse(r, "/menus/x", 0, "m1")
		f.awaitResponse(r, "/lists/x", 5, "l1")
	}
	assert.Equal(t, f.store.RangeCount(platform.OperatorTable), configReads)
	assert.Equal(t, f.store.RangeCount(platform.TargetTable), targetReads)
}

// Guards against a zone that does not receive a configuration because the store no
// longer answers its only feed reader.
func TestZoneReceivesConfigWhenReaderLosesStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.startTarget("o1", "other", false)
	one, oneGate := f.startBehindGate("one", 0.8)
	one.awaitReady(t)
	two, _ := f.startBehindGate("two", 0.1)
	three, _ := f.startBehindGate("three", 0.1)
	for _, r := range []*runningInstance{one, two, three} {
		r.awaitReady(t)
		f.awaitResponse(r, "/menus/x", 0, "m1")
	}
	oneGate.blocked.Store(true)
	f.configure(3, "other")
	for _, r := range []*runningInstance{two, three, one} {
		f.awaitResponse(r, "/menus/x", 0, "o1")
	}
}
