package instance

import (
	"io"
	"log/slog"
	"testing"

	"basilcross.example/gateway/logsink"
	"basilcross.example/gateway/peers"
	"gotest.tools/v3/assert"
)

// Guards against too many retries after a change of coordinator. A new coordinator
// has received no reports yet and announces one member. Each of 89 instances would
// then use the whole fleet's slack: 4,029 retries in ten seconds where 2,240 are
// allowed.
func TestNewCoordinatorDoesNotRaiseRetryShare(t *testing.T) {
	sink := logsink.New(io.Discard)
	i := New(Defaults(), slog.New(slog.NewJSONHandler(sink, nil)), sink)
	i.peers.SetInstances(map[string]peers.Instance{"a": {Name: "a"}, "b": {Name: "b"}, "c": {Name: "c"}})
	i.recordCoordinator("a", 1)
	assert.Equal(t, i.countMembers(), 3)
	i.recordCoordinator("a", 5)
	assert.Equal(t, i.countMembers(), 5)
}
