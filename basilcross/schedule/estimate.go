package schedule

import (
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// initialWork is taken for the first requests of a service, in seconds.
	initialWork = 0.2
	// minSlownessWeight is the least weight of the newest answer in a target's
	// slowness, workShare the same in a kind's work. The first answers have more.
	minSlownessWeight = 0.1
	minWorkWeight     = 0.025
	// kindTTL is how long a kind is known after its last answer: routes come and go.
	kindTTL = 10 * time.Minute
	// minWork is taken for answers that came sooner than the messages account for.
	minWork = time.Millisecond
	// maxRatio bounds what one answer is taken for: some take many times as long
	// as others of their kind.
	maxRatio = 4.0
)

// kindStats is what is known of requests that are alike.
type kindStats struct {
	// work is what an average target needs for one, in seconds.
	work    float64
	answers int
	// lastAnswer is when the last answer came.
	lastAnswer time.Time
}

// workOf returns what an average target needs for a request of the kind, in seconds.
func (s *service) workOf(number uint32) float64 {
	if k := s.kinds[number]; k != nil {
		return k.work
	}
	return s.averageWork()
}

// averageWork is the work of an average request, whatever its kind.
func (s *service) averageWork() float64 {
	if s.meanWork > 0 {
		return s.meanWork
	}
	return initialWork
}

// expectedLatency is the time of an answer from a target that has room, in seconds.
func (s *service) expectedLatency(now time.Time, t *roster.Target, st *targetState, number uint32) float64 {
	return s.workOf(number) * st.slowness * warmupFactor(now, t) / (1 - min(st.shedRatio, maxShedRatio))
}

// warmupFactor is how much slower a target is since it warms up.
func warmupFactor(now time.Time, t *roster.Target) float64 {
	if now.Sub(t.FirstSeen) < t.WarmupLeft {
		return warmupSlowdown
	}
	return 1
}

// observe takes in how long an answer took. It tells of the work of its kind and of
// the speed of its target; the latter changes sooner.
func (s *service) observe(now time.Time, t *Ticket, took time.Duration) {
	st := t.state
	took = max(took, minWork)
	slowness := st.slowness * warmupFactor(now, t.Target)
	k := s.kinds[t.Request.Kind]
	if k == nil {
		k = &kindStats{work: took.Seconds() / slowness}
		s.kinds[t.Request.Kind] = k
	}
	ratio := min(took.Seconds()/(k.work*slowness), maxRatio)
	st.answers++
	k.answers++
	k.lastAnswer = now
	st.slowness *= 1 + sampleWeight(minSlownessWeight, st.answers+1)*(ratio-1)
	k.work *= 1 + sampleWeight(minWorkWeight, k.answers)*(ratio-1)
	if s.meanWork == 0 {
		s.meanWork = k.work
	}
	s.meanWork += minWorkWeight * (k.work - s.meanWork)
}

// sampleWeight is what the newest of some answers counts, at least the given share.
func sampleWeight(least float64, answers int) float64 { return max(least, 1/float64(answers+1)) }
