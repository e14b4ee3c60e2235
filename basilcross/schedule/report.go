package schedule

import (
	"math"
	"time"
)

const (
	// reportHalfLife is the age at which half of the difference between a target's reported
	// slowness and the average is taken to have passed.
	reportHalfLife = 150 * time.Millisecond
	// reportWeight is the weight of the newest report in the average.
	reportWeight = 0.02
)

// recordSlowness records the momentary slowness that a ticket's target reported.
func (s *service) recordSlowness(now time.Time, t *Ticket) {
	if t.ReportedSlowness <= 0 {
		return
	}
	t.state.reported, t.state.reportedAt = t.ReportedSlowness, now
	if s.meanReported == 0 {
		s.meanReported = 1
	}
	s.meanReported += reportWeight * (t.ReportedSlowness - s.meanReported)
}

// momentarySlowness returns how long work takes at the target at the moment, as a multiple of
// the usual time: its last report, discounted by its age; 1 if targets report nothing. It is
// not used for a request that only this target may serve: that may wait until the target is
// faster, and cannot go elsewhere.
func (s *service) momentarySlowness(now time.Time, st *targetState, r *Request) float64 {
	if s.meanReported == 0 || r.Target != "" {
		return 1
	}
	if st.reported == 0 {
		return s.meanReported
	}
	return s.meanReported + (st.reported-s.meanReported)*math.Exp2(-now.Sub(st.reportedAt).Seconds()/reportHalfLife.Seconds())
}
