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

// coldBucket is the token bucket that limits a target's rate of requests while it is cold.
// It begins empty: nothing is known of the requests that others sent in the last second.
type coldBucket struct {
	tokens float64
	// updated is when the tokens were last counted; zero while the target is not cold.
	updated time.Time
}

// refill adds the tokens since the last call, and returns the time until there is one.
func (b *coldBucket) refill(now time.Time, rate float64) time.Duration {
	if b.updated.IsZero() {
		b.updated = now
	}
	b.tokens = min(coldBurst, b.tokens+rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.tokens >= 1 {
		return 0
	}
	return seconds((1 - b.tokens) / rate)
}

// take removes a token, if the target is cold.
func (b *coldBucket) take() {
	if !b.updated.IsZero() {
		b.tokens--
	}
}

// coldLimit returns how many requests per second a target may get, 0 if it is not limited,
// and the time until it may get the next one.
func (s *Scheduler) coldLimit(now time.Time, t *roster.Target, st *targetState) (rate float64, wait time.Duration) {
	cold := false
	if s.ColdRate != nil {
		rate, cold = s.ColdRate(now, t)
	}
	if rate <= 0 || !cold && !now.Before(st.restartSuspectedUntil) {
		st.cold = coldBucket{}
		return 0, 0
	}
	return rate, st.cold.refill(now, rate)
}
