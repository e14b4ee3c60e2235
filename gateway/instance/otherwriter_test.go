package instance_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

// Guards against keys that move away from a target that holds them, since another writer's row has its address: the
// service of that row is in no configuration.
func TestRowOfUnnamedServiceMovesNoKeys(t *testing.T) {
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
	f.store.Put(platform.TargetTable, "another", []byte(fmt.Sprintf(
		`{"address":"%s","born":%d,"info":{"service":"unheard-of","version":"v1","zone":"graz","slots":3},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}`,
		f.addresses[owner], time.Now().UnixMilli())))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, !f.targets[other].Holds(5), "two targets hold the key")
		status, body := f.call(one, "/lists/x", 5)
		assert.Equal(t, status, http.StatusOK, body)
	}
	assert.Equal(t, f.assignment().Find(5).Owner, owner)
}
