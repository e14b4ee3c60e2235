package deltalog

import (
	"fmt"
	"testing"
	"unsafe"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/shard"
)

// TestSnapshotSize logs the sizes for 16,384 shards that docs/CAPACITY.md gives.
func TestSnapshotSize(t *testing.T) {
	a := &assignment.Assignment{Service: "menus", Version: 1, Shards: shard.Split(16_384)}
	for i := range a.Shards {
		a.Shards[i].Owner = fmt.Sprintf("menus-graz-%d", i*7%640)
		a.Shards[i].Epoch = uint64(i%9 + 1)
	}
	content, err := encodeSnapshot(a)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("snapshot %d bytes, a shard in memory %d bytes", len(content), unsafe.Sizeof(shard.Shard{}))
}
