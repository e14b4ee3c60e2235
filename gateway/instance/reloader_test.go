package instance

import (
	"errors"
	"io"
	"log/slog"
	"testing"

	"basilcross.example/gateway/logsink"
	"gotest.tools/v3/assert"
)

// The settings file changes. New seeds and limits count; a faulty file changes
// nothing.
func TestReload(t *testing.T) {
	s := Defaults()
	next, failure := s, error(nil)
	s.Reload = func() (Settings, error) { return next, failure }
	sink := logsink.New(io.Discard)
	i := New(s, slog.New(slog.NewJSONHandler(sink, nil)), sink)
	r := &reloader{i}
	next.Seeds, next.RetrySlack = []string{"10.0.0.9:1"}, 7
	r.reload("signal")
	assert.DeepEqual(t, i.liveSettings.Load().Seeds, []string{"10.0.0.9:1"})
	assert.Equal(t, i.liveSettings.Load().RetrySlack, 7.0)
	failure, next = errors.New("faulty"), Defaults()
	r.reload("file")
	assert.Equal(t, i.liveSettings.Load().RetrySlack, 7.0)
	assert.Assert(t, !needsRestart(s, *i.liveSettings.Load()))
	next.Store = "10.0.0.1:1"
	assert.Assert(t, needsRestart(s, next))
}
