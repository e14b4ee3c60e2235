package experiment

import (
	"math/rand/v2"
	"time"
)

// request is one that comes, with all that only a queue that knows everything
// could know of it.
type request struct {
	kind *Kind
	// kindNumber is the kind's.
	kindNumber  uint32
	arrival     time.Duration
	work        time.Duration
	oneWayDelay time.Duration
	// target is the only one that will do; -1 if any will.
	target           int
	retryImmediately bool
}

// simTarget is one target.
type simTarget struct {
	Target
	// requestShare of the requests of a divided service.
	requestShare float64
}

// slownessAt is how long the server needs for the work of an average one.
func (s *simTarget) slownessAt(at time.Duration) float64 {
	if s.SlowDuration > 0 && at >= millis(s.SlowFrom) && at < millis(s.SlowFrom+s.SlowDuration) {
		return s.Slowness * s.SlowFactor
	}
	return s.Slowness
}

// simTargets returns the targets of a load. Keys are shared out by what each can do.
func (l *Load) simTargets() []*simTarget {
	var list []*simTarget
	can := 0.0
	for _, t := range l.Targets {
		for range t.Count {
			s := &simTarget{Target: t, requestShare: float64(t.Slots) / t.Slowness}
			can += s.requestShare
			list = append(list, s)
		}
	}
	for i, s := range list {
		s.requestShare = s.requestShare / can * (1 - l.HotTargetShare)
		if i == 0 {
			s.requestShare += l.HotTargetShare
		}
	}
	return list
}

// requests draws what comes at a level of load.
func (l *Load) requests(level float64, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 17))
	servers := l.simTargets()
	rate := level * l.capacity()
	var list []*request
	for at := 0.0; ; {
		at += random.ExpFloat64() / (rate * l.burstFactor(at))
		if at > float64(l.Seconds) {
			return list
		}
		n := l.drawKind(random)
		k := &l.Kinds[n]
		r := &request{kind: k, kindNumber: uint32(n + 1), arrival: millis(at * 1000), target: -1, retryImmediately: random.Float64() < l.ImmediateRetryShare}
		r.work = millis(k.MeanWork * (1 + k.Spread*(2*random.Float64()-1)))
		r.oneWayDelay = millis(l.OneWayDelays[random.IntN(len(l.OneWayDelays))])
		if l.Sharded {
			r.target = pickTarget(servers, random.Float64())
		}
		list = append(list, r)
	}
}

// burstFactor is how many times as many requests as usual come.
func (l *Load) burstFactor(at float64) float64 {
	times := 1.0
	for _, b := range l.Bursts {
		if at*1000 >= b.Start && at*1000 < b.Start+b.Duration {
			times *= b.Factor
		}
	}
	return times
}

// drawKind returns the number of a kind, by their shares.
func (l *Load) drawKind(random *rand.Rand) int {
	sum := 0.0
	for _, k := range l.Kinds {
		sum += k.Share
	}
	at := random.Float64() * sum
	for n, k := range l.Kinds {
		if at -= k.Share; at < 0 {
			return n
		}
	}
	return len(l.Kinds) - 1
}

func pickTarget(servers []*simTarget, at float64) int {
	for n, s := range servers {
		if at -= s.requestShare; at < 0 {
			return n
		}
	}
	return len(servers) - 1
}
