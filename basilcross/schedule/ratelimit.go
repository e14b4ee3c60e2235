package schedule

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// Counting says which part of a target's requests a scheduler counts, if their rate is limited.
type Counting int

// The ways of counting.
const (
	// CountsAll: this scheduler assigns all slots of the target.
	CountsAll Counting = iota
	// CountsPart: it replaces the target's scheduler, which does not respond to it but may to others.
	CountsPart
	// CountsLess: it replaces the target's scheduler and the instance that would replace that one.
	CountsLess
	// CountsNone: others assign the target's slots, too.
	CountsNone
)

const (
	// partialShare is the share of a target's limit that a replacement of its scheduler uses: both
	// together stay within the half that the users allow beyond the limit.
	partialShare = 0.4
	// lessShare is that of the next one after the replacement: the three stay within the same half.
	lessShare = 0.1
	// replacementPause is how long a replacement must get no requests for its next one to count as the first of
	// another replacement.
	replacementPause = 500 * time.Millisecond
	// limitBurst is how many requests a limited target may get at once.
	limitBurst = 1.0
	// minLimitedRate is the rate in requests per second of a target that states a lower limit, or 0: only
	// an answer shows that the limit was lifted.
	minLimitedRate = 0.25
)

// tokenBucket limits a target's rate of requests. It begins empty: nothing is known of the requests that
// others sent in the last second.
type tokenBucket struct {
	tokens float64
	// updated is when the tokens were last counted; zero while the rate is not limited.
	updated time.Time
}

// refill adds the tokens since the last call, up to burst, and returns the time until there is one.
func (b *tokenBucket) refill(now time.Time, rate, burst float64) time.Duration {
	if b.updated.IsZero() {
		b.updated = now
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.tokens >= 1 {
		return 0
	}
	return seconds((1 - b.tokens) / rate)
}

// refillReplacing does the same for a scheduler that replaces another one. It begins with a burst to make up for each time:
// the other one has used what it did not, and may be sending requests for instances that hear it.
func (b *tokenBucket) refillReplacing(now time.Time, rate, burst float64) time.Duration {
	if now.Sub(b.updated) > replacementPause {
		*b = tokenBucket{tokens: -burst}
	}
	return b.refill(now, rate, burst)
}

// take removes a token, if the rate is limited.
func (b *tokenBucket) take() {
	if !b.updated.IsZero() {
		b.tokens--
	}
}

// maxCharged bounds the requests of others that a scheduler has yet to make up for.
const maxCharged = 4.0

// charge removes the token of a request that another scheduler has sent to the target.
func (b *tokenBucket) charge() {
	if !b.updated.IsZero() {
		b.tokens = max(b.tokens-1, -maxCharged)
	}
}

// Charge records that another instance, which replaced this scheduler for a while, has sent a request to a
// target whose rate is limited.
func (s *Scheduler) Charge(t *roster.Target) {
	if svc := s.services[t.Service]; svc != nil {
		if st := svc.targets[t.Incarnation()]; st != nil {
			st.stated.charge()
		}
	}
}

// rateLimit returns how many requests per second a target may get of this scheduler since it states a
// limit, 0 if it states none, and the time until it may get the next one. It may get none if denied is set.
func (s *Scheduler) rateLimit(now time.Time, t *roster.Target, st *targetState, r *Request) (rate float64, wait time.Duration, denied bool) {
	stated, limited := 0.0, false
	if s.RateLimit != nil {
		stated, limited = s.RateLimit(t.Incarnation())
	}
	if !limited {
		st.stated = tokenBucket{}
		return 0, 0, false
	}
	rate = max(stated, minLimitedRate)
	switch r.Counting {
	case CountsNone:
		return 0, 0, true
	case CountsPart:
		rate *= partialShare
	case CountsLess:
		rate *= lessShare
	case CountsAll:
		return rate, st.stated.refill(now, rate, limitBurst), false
	}
	return rate, st.stated.refillReplacing(now, rate, limitBurst), false
}

// limitOf returns how many requests per second a target may get, 0 if that is not limited, and the
// time until it may get the next one. It may get none if denied is set.
func (s *Scheduler) limitOf(now time.Time, t *roster.Target, st *targetState, r *Request) (rate float64, wait time.Duration, denied bool) {
	rate, wait = s.coldLimit(now, t, st)
	if rate > 0 && r.Counting != CountsAll {
		return 0, 0, true
	}
	stated, statedWait, denied := s.rateLimit(now, t, st, r)
	if stated > 0 && (rate == 0 || stated < rate) {
		rate = stated
	}
	return rate, max(wait, statedWait), denied
}

// deniedWait is when to ask again for a target whose rate another scheduler counts, which does not
// respond.
const deniedWait = time.Second

// allLimited reports whether the rate of all targets is limited.
func (c *capacity) allLimited() bool { return c.targets > 0 && c.limited == c.targets }
