package instance_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// readTables is a connection to the store that records which tables are read by it.
type readTables struct {
	http.Handler
	mu    sync.Mutex
	reads map[string]int
}

func (r *readTables) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		r.mu.Lock()
		r.reads[req.URL.Query().Get("table")]++
		r.mu.Unlock()
	}
	r.Handler.ServeHTTP(w, req)
}

// putAbsentInstances adds the rows of more instances than a small zone has. They never run.
func (f *fleet) putAbsentInstances() {
	for n := range peers.MaxListed {
		i := peers.Instance{Name: fmt.Sprintf("gone%d", n), Zone: "graz", Cores: 0.2, Datagram: "127.0.0.1:9", Control: "127.0.0.1:9"}
		text, err := json.Marshal(i)
		assert.NilError(f.t, err)
		f.store.Put(coordinator.InstanceTable, i.RowKey(), text)
	}
}

// Guards against instances whose cost grows with the fleet. In a large zone an instance with few
// cores must serve through the hubs, and read neither targets nor assignments.
func TestThinInstanceServesThroughHubs(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startTarget("m1", "menus", false)
	f.startTarget("o1", "other", false)
	f.startTarget("l1", "lists", true)
	f.putAbsentInstances()
	var running []*runningInstance
	for n := range peers.HubsPerZone {
		f.cores = 0.8
		hub := f.start(fmt.Sprintf("hub%d", n))
		running = append(running, hub)
		if n == 0 {
			hub.awaitReady(t)
			f.awaitResponse(hub, "/lists/x", 5, "l1")
		}
	}
	eventually(t, func() bool { return f.instanceRow(fmt.Sprintf("hub%d", peers.HubsPerZone-1)).Revision > 0 })

	connection := &readTables{Handler: f.store, reads: map[string]int{}}
	server := httptest.NewServer(connection)
	t.Cleanup(server.Close)
	f.address, f.cores = strings.TrimPrefix(server.URL, "http://"), 0.1
	thin := f.start("thin")
	t.Cleanup(func() {
		var group sync.WaitGroup
		for _, r := range append(running, thin) {
			group.Go(func() { _ = r.stop() })
		}
		group.Wait()
	})
	thin.awaitReady(t)
	f.awaitResponse(thin, "/menus/x", 0, "m1")
	f.awaitResponse(thin, "/lists/x", 5, "l1")
	f.configure(2, "other")
	f.awaitResponse(thin, "/menus/x", 0, "o1")
	assert.Equal(t, f.instanceRow("thin").Revision, uint64(0))
	connection.mu.Lock()
	defer connection.mu.Unlock()
	assert.Equal(t, connection.reads[platform.TargetTable]+connection.reads[coordinator.AssignmentTable]+connection.reads[coordinator.LeaseTable], 0)
}
