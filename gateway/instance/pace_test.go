package instance

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/pace"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

// Guards against targets that fail again and again and fill the log.
func TestPaceLinesAreBounded(t *testing.T) {
	var p paceLines
	start, admitted := time.Unix(1_000_000, 0), 0
	for k := range 1000 {
		if _, ok := p.admit(start.Add(time.Duration(k) * time.Millisecond)); ok {
			admitted++
		}
	}
	assert.Equal(t, admitted, maxPaceLines)
	leftOut, ok := p.admit(start.Add(paceLineWindow))
	assert.Assert(t, ok)
	assert.Equal(t, leftOut, 1000-maxPaceLines)
}

// Guards against a line without what an operator needs to find the target and the cause.
func TestPaceIsLogged(t *testing.T) {
	var text bytes.Buffer
	i := testInstance()
	i.log = slog.New(slog.NewJSONHandler(&text, nil))
	i.logPace(schedule.PaceChange{Target: &roster.Target{ID: "m1", Service: "menus"}, Run: pace.Run{Cause: pace.Failed, Duration: 1500 * time.Millisecond, Answers: 7}})
	for _, want := range []string{`"event":426`, `"target":"m1"`, `"service":"menus"`, `"began":false`, `"cause":"failed"`, `"lastedMs":1500`, `"answers":7`} {
		assert.Assert(t, strings.Contains(text.String(), want), "%s in %s", want, text.String())
	}
}

// Guards against a feature that takes effect where it is not switched on, or not where it is.
func TestPaceFollowsTheFeature(t *testing.T) {
	i := testInstance()
	assert.Assert(t, !i.dispatcher.Pace)
	s := Defaults()
	s.Features = []string{"pace"}
	assert.Assert(t, New(s, i.log, i.sink).dispatcher.Pace)
}
