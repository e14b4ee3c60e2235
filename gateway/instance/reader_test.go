package instance_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"basilcross.example/gateway/coordinator"
	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// gate is one instance's way to the store. Once shut it takes calls and does not
// answer them.
type gate struct {
	http.Handler
	blocked atomic.Bool
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.blocked.Load() {
		// The end of the connection is noticed only once the body is read.
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
	whole := f.address
	f.address, f.cores = strings.TrimPrefix(server.URL, "http://"), cores
	defer func() { f.address, f.cores = whole, 0 }()
	return f.start(name), g
}

// Guards against a start of which each instance reads everything: of 195 that
// start together that is over 2,000 calls.
func TestStartCopiesTablesFromZone(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.startTarget("l1", "lists", true)
	one, _ := f.startBehindGate("one", 0.8)
	one.awaitReady(t)
	f.awaitAnswer(one, "/lists/x", 5, "l1")
	eventually(t, func() bool { return f.store.Row(coordinator.InstanceTable, "one").Revision > 0 })
	op, targets := f.store.RangeCount(platform.OperatorTable), f.store.RangeCount(platform.TargetTable)
	for _, name := range []string{"two", "three", "four"} {
		r, _ := f.startBehindGate(name, 0.1)
		r.awaitReady(t)
		f.awaitAnswer(r, "/menus/x", 0, "m1")
		f.awaitAnswer(r, "/lists/x", 5, "l1")
	}
	assert.Equal(t, f.store.RangeCount(platform.OperatorTable), op)
	assert.Equal(t, f.store.RangeCount(platform.TargetTable), targets)
}

// Guards against a zone that does not hear of a configuration since the store
// refuses its only reader without a word.
func TestZoneReceivesConfigWhenReaderLosesStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.startTarget("o1", "other", false)
	one, way := f.startBehindGate("one", 0.8)
	one.awaitReady(t)
	two, _ := f.startBehindGate("two", 0.1)
	three, _ := f.startBehindGate("three", 0.1)
	for _, r := range []*runningInstance{one, two, three} {
		r.awaitReady(t)
		f.awaitAnswer(r, "/menus/x", 0, "m1")
	}
	way.blocked.Store(true)
	f.configure(3, "other")
	for _, r := range []*runningInstance{two, three, one} {
		f.awaitAnswer(r, "/menus/x", 0, "o1")
	}
}
