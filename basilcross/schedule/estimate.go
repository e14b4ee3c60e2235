package schedule

import (
	"time"

	"basilcross.example/basilcross/pace"
	"basilcross.example/basilcross/roster"
)

const (
	// initialWork is assumed for the first requests of a service, in seconds.
	initialWork = 0.2
	// minSlownessWeight is the weight of the newest answer in a target's slowness,
	// minWorkWeight that in a kind's work. The first answers have a higher one.
	minSlownessWeight = 0.1
	minWorkWeight     = 0.025
	// kindTTL is how long a kind's estimates are kept after its last use, since routes
	// are added and removed.
	kindTTL = 10 * time.Minute
	// minWork is assumed for answers that arrive sooner than the network delay explains.
	minWork = time.Millisecond
	// maxRatio bounds the ratio of measured to expected time of one answer, since some
	// requests take many times as long as others of their kind.
	maxRatio = 4.0
)

type kindStats struct {
	// work is the seconds that an average target needs for a request, estimated from
	// answers.
	work       float64
	answers    int
	lastAnswer time.Time
}

// workOf returns the seconds that an average target needs for a request of the kind.
func (s *service) workOf(number uint32) float64 {
	if k := s.kinds[number]; k != nil {
		return k.work
	}
	return s.averageWork()
}

// averageWork returns the average work of requests of all kinds, in seconds.
func (s *service) averageWork() float64 {
	if s.meanWork > 0 {
		return s.meanWork
	}
	return initialWork
}

// expectedLatency returns the expected response time of a target with a free slot, in
// seconds. It counts repeated attempts at a target that sheds at random.
func (s *service) expectedLatency(now time.Time, t *roster.Target, st *targetState, r *Request) float64 {
	return s.workOf(r.Kind) * s.slownessOf(now, t, st, r) / (1 - min(st.shedRatio, maxShedRatio))
}

// slownessOf returns how long the target needs for work now, as a multiple of an average
// target's time.
func (s *service) slownessOf(now time.Time, t *roster.Target, st *targetState, r *Request) float64 {
	if slowness := st.pace.Slowness(); slowness > 0 {
		return slowness
	}
	return st.slowness * warmupFactor(now, t) * s.momentarySlowness(now, st, r)
}

func warmupFactor(now time.Time, t *roster.Target) float64 {
	if t.IsCold(now) {
		return warmupSlowdown
	}
	return 1
}

// observe updates the kind's work and, faster, the target's slowness with the time that
// an answer took.
func (s *service) observe(now time.Time, t *Ticket, took time.Duration) {
	st := t.state
	took = max(took, minWork)
	slowness := s.slownessOf(now, t.Target, st, &t.Request)
	k := s.kinds[t.Request.Kind]
	if k != nil && st.pace.Paced() {
		// recordPace updates what a paced target's answers show.
		k.lastAnswer = now
		return
	}
	if k == nil {
		k = &kindStats{work: took.Seconds() / slowness}
		s.kinds[t.Request.Kind] = k
	}
	ratio := min(took.Seconds()/(k.work*slowness), maxRatio)
	st.answers++
	k.answers++
	k.lastAnswer = now
	st.slowness *= 1 + sampleWeight(minSlownessWeight, st.answers+st.reportedAnswers+1)*(ratio-1)
	k.work *= 1 + sampleWeight(minWorkWeight, k.answers)*(ratio-1)
	if s.meanWork == 0 {
		s.meanWork = k.work
	}
	s.meanWork += minWorkWeight * (k.work - s.meanWork)
	if s.speeds != nil {
		s.speeds.record(now, t, took, k.work, s.mixedWork())
	}
}

func sampleWeight(least float64, answers int) float64 { return max(least, 1/float64(answers+1)) }

// observePaced updates the slowness of a paced target with an answer that was not late by the requests in flight. The
// kind's work is not updated: the target may be slower than usual.
func (s *service) observePaced(st *targetState, r pace.Response) {
	st.slowness *= 1 + pacedSlownessWeight*(min(r.Slowness/r.Usual, maxRatio)-1)
}
