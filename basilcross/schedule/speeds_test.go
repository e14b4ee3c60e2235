package schedule_test

import (
	"math"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

func latencies(s *schedule.Scheduler) map[string]time.Duration {
	list := map[string]time.Duration{}
	for _, l := range s.TargetLatencies() {
		list[l.Target] = l.Latency
	}
	return list
}

// A scheduler that has run for long receives the speeds of its zone's targets too when the coordinator changes. That
// must not change what it expects of the targets that it knows.
func TestReportedSlownessChangesNoKnownTarget(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 3}, &roster.Target{ID: "b", Slots: 3}, &roster.Target{ID: "c", Slots: 3}, &roster.Target{ID: "d", Slots: 3})
	trainEstimates(t, s, now, map[string]float64{"a": 1, "b": 2})
	before := latencies(s)
	s.SetKnownSlowness("s", map[roster.Incarnation]float64{
		{ID: "a", Started: 1}: 3, {ID: "c", Started: 1}: 3, {ID: "d", Started: 2}: 3, {ID: "e", Started: 1}: 3, {ID: "b", Started: 1}: math.NaN(),
	})
	assert.DeepEqual(t, latencies(s), before)
}

// A scheduler that has started must expect a target that is reported as slow to be slower than others before it has answered.
func TestReportedSlownessIsExpected(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 3}, &roster.Target{ID: "b", Slots: 3})
	s.SetKnownSlowness("s", map[roster.Incarnation]float64{{ID: "a", Started: 1}: 2})
	for range 3 {
		assert.Equal(t, submit(t, s, now, request(now, urgent, "")).Target.ID, "b")
	}
}

// The estimates of a service must not depend on which targets a scheduler has, nor on how it divides the
// time of a response between the work and the target.
func TestSpeedEstimatesOfSchedulersAreComparable(t *testing.T) {
	seconds := map[string]float64{}
	for _, slowness := range []map[string]float64{{"a": 1, "b": 2}, {"c": 2, "d": 4}} {
		s := newScheduler(&roster.Target{ID: "a", Slots: 3}, &roster.Target{ID: "b", Slots: 3}, &roster.Target{ID: "c", Slots: 3}, &roster.Target{ID: "d", Slots: 3})
		s.Speeds = true
		trainEstimates(t, s, now, slowness)
		for _, e := range s.SpeedEstimates()["s"] {
			seconds[e.Target.ID] = e.Seconds
		}
	}
	assert.Equal(t, len(seconds), 4)
	t.Logf("%v", seconds)
	for id, want := range map[string]float64{"a": 0.5, "b": 1, "c": 1, "d": 2} {
		assert.Assert(t, math.Abs(math.Log(seconds[id]/seconds["b"]/want)) < 0.15, "%s: %v", id, seconds)
	}
}

// A target that warms up, or always reports the same slowness, must not get another estimate for that.
func TestColdAndConstantlySlowTargetsAreNotMisjudged(t *testing.T) {
	cold := &roster.Target{ID: "cold", Slots: 3, WarmupLeft: 2 * time.Hour}
	s := newScheduler(&roster.Target{ID: "a", Slots: 3}, &roster.Target{ID: "b", Slots: 3}, cold)
	s.Speeds = true
	at := now
	for range 50 {
		for _, id := range []string{"a", "b", "cold"} {
			ticket := submit(t, s, at, request(at, urgent, id))
			took := 40 * time.Millisecond
			if id == "b" {
				took, ticket.ReportedSlowness = 3*took, 3
			}
			s.Release(at.Add(took), ticket, schedule.Answered)
		}
		at = at.Add(200 * time.Millisecond)
	}
	list := s.SpeedEstimates()["s"]
	assert.Equal(t, len(list), 2)
	ratio := list[1].Seconds / list[0].Seconds
	assert.Assert(t, ratio > 2.8 && ratio < 3.2, "%v", ratio)
}
