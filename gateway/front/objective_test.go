package front

import (
	"testing"
	"time"

	"basilcross.example/basilcross/routing"
	"gotest.tools/v3/assert"
)

// Guards against a caller retry whose objective counts from its own arrival, so that it takes slots from requests
// that can be in time.
func TestObjectiveCountsFromTheFirstAttempt(t *testing.T) {
	now := time.Now()
	c := &call{arrived: now, route: &routing.Route{Objective: time.Second}}
	assert.Equal(t, c.objective(), now.Add(time.Second))
	c.sinceFirst = 3 * time.Second
	assert.Equal(t, c.objective(), now.Add(-2*time.Second))
}
