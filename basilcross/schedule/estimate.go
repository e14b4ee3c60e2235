package schedule

import (
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// startWork is taken for the first requests of a service, in seconds.
	startWork = 0.2
	// slownessShare is the least weight of the newest answer in a target's
	// slowness, workShare the same in a kind's work. The first answers have more.
	slownessShare = 0.1
	workShare     = 0.025
	// kindFor is how long a kind is known after its last answer: routes come and go.
	kindFor = 10 * time.Minute
	// leastWork is taken for answers that came sooner than the messages account for.
	leastWork = time.Millisecond
	// mostRatio bounds what one answer is taken for: some take many times as long
	// as others of their kind.
	mostRatio = 4.0
)

// kind is what is known of requests that are alike.
type kind struct {
	// work is what an average target needs for one, in seconds.
	work    float64
	answers int
	// at is when the last answer came.
	at time.Time
}

// work returns what an average target needs for a request of the kind, in seconds.
func (s *service) work(number uint32) float64 {
	if k := s.kinds[number]; k != nil {
		return k.work
	}
	return s.usualWork()
}

// usualWork is the work of an average request, whatever its kind.
func (s *service) usualWork() float64 {
	if s.mean > 0 {
		return s.mean
	}
	return startWork
}

// usual is the time of an answer from a target that has room, in seconds.
func (s *service) usual(now time.Time, t *roster.Target, st *state, number uint32) float64 {
	return s.work(number) * st.slowness * cold(now, t) / (1 - min(st.shedding, maxShed))
}

// cold is how much slower a target is since it warms up.
func cold(now time.Time, t *roster.Target) float64 {
	if now.Sub(t.FirstSeen) < t.WarmupLeft {
		return coldFactor
	}
	return 1
}

// learn takes in how long an answer took. It tells of the work of its kind and of
// the speed of its target; the latter changes sooner.
func (s *service) learn(now time.Time, t *Ticket, took time.Duration) {
	st := t.state
	took = max(took, leastWork)
	slowness := st.slowness * cold(now, t.Target)
	k := s.kinds[t.Request.Kind]
	if k == nil {
		k = &kind{work: took.Seconds() / slowness}
		s.kinds[t.Request.Kind] = k
	}
	ratio := min(took.Seconds()/(k.work*slowness), mostRatio)
	st.answers++
	k.answers++
	k.at = now
	st.slowness *= 1 + weight(slownessShare, st.answers+1)*(ratio-1)
	k.work *= 1 + weight(workShare, k.answers)*(ratio-1)
	if s.mean == 0 {
		s.mean = k.work
	}
	s.mean += workShare * (k.work - s.mean)
}

// weight is what the newest of some answers counts, at least the given share.
func weight(least float64, answers int) float64 { return max(least, 1/float64(answers+1)) }
