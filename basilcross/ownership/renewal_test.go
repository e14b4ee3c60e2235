package ownership_test

import (
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"gotest.tools/v3/assert"
)

// renewedHold has 300 targets and a driver that sends the given number of grants a second.
// It returns the shortest hold of the last renewals, and the number of renewals in ten seconds.
func renewedHold(t *testing.T, perSecond float64, allowed time.Duration) (hold time.Duration, renewals int) {
	t.Helper()
	now := time.Unix(1000, 0)
	m := &ownership.Manager{Service: "lists", Term: 1, Holds: holds}
	m.Holds.GrantsPerSecond, m.Holds.Longest = perSecond, 9800*time.Millisecond
	m.BeginTerm(now, nil, holds.Long, storeTime(now))
	m.AllowHold(allowed)
	targets := newTargets(300)
	stepUntilIdle(m, now, targets)
	for range 250 {
		now = now.Add(40 * time.Millisecond)
		for _, o := range stepUntilIdle(m, now, targets) {
			if g, ok := o.(*ownership.Grant); ok {
				hold = g.Hold
				renewals++
			}
		}
	}
	return hold, renewals
}

// Guards against a coordinator that sends more renewals than its processor can, so that all
// of them are late, and against holds that a successor does not count on.
func TestRenewalsFitTheCoordinator(t *testing.T) {
	hold, renewals := renewedHold(t, 0, time.Minute)
	assert.Assert(t, hold == holds.Normal && renewals > 3000)
	hold, renewals = renewedHold(t, 150, time.Minute)
	assert.Assert(t, hold > 2*holds.Normal && hold <= 9800*time.Millisecond, "%v", hold)
	assert.Assert(t, renewals <= 1600, "%d in ten seconds", renewals)
	hold, _ = renewedHold(t, 150, 0)
	assert.Equal(t, hold, holds.Normal)
}
