package instance

import (
	"log/slog"
	"testing"

	"basilcross.example/basilcross/feature"
	"basilcross.example/gateway/logsink"
	"gotest.tools/v3/assert"
)

// Guards against callers' objectives that are counted differently although the settings do not call for it.
func TestFeatureWaitlistSwitchesCallerRetriesOn(t *testing.T) {
	t.Parallel()
	for _, name := range feature.Names() {
		s := Defaults()
		s.Features = []string{name}
		i := New(s, slog.New(slog.DiscardHandler), &logsink.Sink{})
		assert.Equal(t, i.front.TimeLimits != nil, name == "waitlist", name)
	}
	assert.Assert(t, New(Defaults(), slog.New(slog.DiscardHandler), &logsink.Sink{}).front.TimeLimits == nil)
}
