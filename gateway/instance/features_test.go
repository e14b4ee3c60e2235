package instance

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/feature"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/logsink"
	"gotest.tools/v3/assert"
)

// Guards against a feature that takes effect although the settings do not call for it, or not although they do.
func TestFeaturesSwitchAdmissionAndWaitlist(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		features            []string
		admission, waitlist bool
	}{{nil, false, false}, {[]string{"admission"}, true, false}, {[]string{"waitlist", "admission"}, true, true}, {feature.Names(), true, true}} {
		s := Defaults()
		s.Features = c.features
		sink := &logsink.Sink{}
		i := New(s, slog.New(slog.DiscardHandler), sink)
		assert.Equal(t, i.dispatcher.Admission != nil, c.admission, "%v", c.features)
		assert.Equal(t, i.dispatcher.Waitlist, c.waitlist, "%v", c.features)
	}
}

// Guards against an overload of which the log does not say how long it lasted and what it cost.
func TestOverloadIsLogged(t *testing.T) {
	t.Parallel()
	var text bytes.Buffer
	i := &Instance{log: slog.New(slog.NewTextHandler(&text, nil))}
	i.logOverload(schedule.Overload{Service: "s", Zone: "z", Load: 1.25, Slots: 36})
	i.logOverload(schedule.Overload{Service: "s", Zone: "z", Load: 0.75, Slots: 36, Over: true, Duration: 4 * time.Second, Refused: 12})
	for _, part := range []string{"event=423", "load=1.25", "event=424", "lastedMs=4000", "refused=12"} {
		assert.Assert(t, strings.Contains(text.String(), part), "%s is missing in %s", part, text.String())
	}
}
