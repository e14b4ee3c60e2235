package schedule

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// coldBurst is how many requests a cold target may get at once. It is small, since two
// instances may count a target's requests for a moment, and the rate is bounded over any
// second.
const coldBurst = 1.0

// restartSuspicion is how long a target that could not be reached counts as cold: it may
// have restarted, and its report of that takes a heartbeat and a poll of the feed.
const restartSuspicion = 2500 * time.Millisecond

// coldLimit returns how many requests per second a target may get, 0 if it is not limited,
// and the time until it may get the next one.
func (s *Scheduler) coldLimit(now time.Time, t *roster.Target, st *targetState) (rate float64, wait time.Duration) {
	cold := false
	if s.ColdRate != nil {
		rate, cold = s.ColdRate(now, t)
	}
	if rate <= 0 || !cold && !now.Before(st.restartSuspectedUntil) {
		st.cold = tokenBucket{}
		return 0, 0
	}
	return rate, st.cold.refill(now, rate, coldBurst)
}
