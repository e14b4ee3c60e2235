package instance

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"basilcross.example/gateway/logsink"
	"basilcross.example/gateway/peers"
	"gotest.tools/v3/assert"
)

// The store refuses both readers of a zone without a word. Their signs of life
// go on, and nobody who listens to them alone would hear of a configuration.
func TestListenersNeedTheCoordinator(t *testing.T) {
	sink := logsink.New(io.Discard)
	i := New(Defaults(), slog.New(slog.NewJSONHandler(sink, nil)), sink)
	s := i.sharer
	s.listens = true
	hear := func(m *peers.Message) { assert.Assert(t, s.receive(m)) }
	hear(&peers.Message{From: "a", Reader: &peers.Reader{}})
	hear(&peers.Message{From: "b", Reader: &peers.Reader{}})
	assert.Assert(t, !s.mayListen(), "no coordinator was heard")
	i.noteLead("c", 3)
	assert.Assert(t, s.mayListen())
	long := time.Now().Add(-readerFor)
	i.beatAt.Store(&long)
	assert.Assert(t, !s.mayListen(), "the coordinator fell silent")
	i.noteLead(i.settings.Instance, 3)
	assert.Assert(t, !s.mayListen(), "the coordinator reads itself")
	i.noteLead("c", 3)
	s.heard = map[string]time.Time{"a": long}
	assert.Assert(t, !s.mayListen(), "the readers fell silent")
}
