package instance

import (
	"io"
	"log/slog"
	"testing"

	"basilcross.example/gateway/logsink"
	"basilcross.example/gateway/peers"
	"gotest.tools/v3/assert"
)

// A coordinator that has just taken over has heard no reports and tells of one
// member. Each of 89 instances would then take the whole fleet's slack for
// itself: 4,029 repetitions in ten seconds where 2,240 are allowed.
func TestNewCoordinatorDoesNotRaiseRetryShare(t *testing.T) {
	sink := logsink.New(io.Discard)
	i := New(Defaults(), slog.New(slog.NewJSONHandler(sink, nil)), sink)
	i.peers.SetInstances(map[string]peers.Instance{"a": {Name: "a"}, "b": {Name: "b"}, "c": {Name: "c"}})
	i.recordCoordinator("a", 1)
	assert.Equal(t, i.countMembers(), 3)
	i.recordCoordinator("a", 5)
	assert.Equal(t, i.countMembers(), 5)
}
