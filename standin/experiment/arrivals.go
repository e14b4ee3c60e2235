package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// request is one generated request. Its work is known in advance only to oracles; see Load.Bound.
type request struct {
	kind *Kind
	// kindNumber is the kind's index + 1.
	kindNumber uint32
	arrival    time.Duration
	work       time.Duration
	// deadline is the caller's, from arrival on.
	deadline    time.Duration
	oneWayDelay time.Duration
	// instance is the index of the instance that receives it.
	instance int
	// target is the index of the only target that can serve it; -1 if any can.
	target           int
	retryImmediately bool
}

type simTarget struct {
	Target
	// requestShare is the target's share of a sharded service's requests.
	requestShare float64
}

// slownessAt returns the processing time as a multiple of an average target's.
func (t *simTarget) slownessAt(at time.Duration) float64 {
	if t.SlowDuration > 0 && at >= millis(t.SlowFrom) && at < millis(t.SlowFrom+t.SlowDuration) {
		return t.Slowness * t.SlowFactor
	}
	return t.Slowness
}

// isUp reports whether the target accepts connections.
func (t *simTarget) isUp(at time.Duration) bool {
	switch {
	case at < millis(t.Added), t.Lost > 0 && at >= millis(t.Lost) && at < millis(t.Back):
		return false
	case t.FlapEnd > 0 && at >= millis(t.FlapFrom) && at < millis(t.FlapEnd):
		return (at-millis(t.FlapFrom))%millis(t.FlapPeriod) >= millis(t.FlapDown)
	}
	return true
}

// restLeft returns how long a rest the target asks for; 0 if none.
func (t *simTarget) restLeft(at time.Duration) time.Duration {
	if end := millis(t.RestFrom + t.RestDuration); t.RestDuration > 0 && at >= millis(t.RestFrom) {
		return max(0, end-at)
	}
	return 0
}

// simTargets returns the targets of a load. Requests are distributed by capacity, except HotTargetShare.
func (l *Load) simTargets() []*simTarget {
	var list []*simTarget
	capacity := 0.0
	for _, t := range l.Targets {
		for range t.Count {
			s := &simTarget{Target: t, requestShare: float64(t.Slots) / t.Slowness}
			capacity += s.requestShare
			list = append(list, s)
		}
	}
	for i, t := range list {
		t.requestShare = t.requestShare / capacity * (1 - l.HotTargetShare)
		if i == 0 {
			t.requestShare += l.HotTargetShare
		}
	}
	return list
}

// requests generates the requests of a run at a level of load, with Poisson arrivals.
func (l *Load) requests(level float64, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 17))
	targets := l.simTargets()
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
		r.work = millis(k.drawWork(random))
		r.deadline = millis(k.Deadline)
		if k.DeadlineSpread > 0 {
			r.deadline = millis(k.Deadline * (1 - k.DeadlineSpread*random.Float64()))
		}
		r.instance = random.IntN(len(l.OneWayDelays))
		r.oneWayDelay = millis(l.OneWayDelays[r.instance])
		if l.Sharded {
			r.target = pickTarget(targets, random.Float64())
		}
		list = append(list, r)
	}
}

// drawWork returns the work of a random request of the kind, in milliseconds.
func (k *Kind) drawWork(random *rand.Rand) float64 {
	if k.Sigma == 0 && k.TailShare == 0 {
		return k.MeanWork * (1 + k.Spread*(2*random.Float64()-1))
	}
	meanTail := (k.TailFactors[0] + k.TailFactors[1]) / 2
	work := k.MeanWork / (1 + k.TailShare*(meanTail-1))
	if k.Sigma > 0 {
		// The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
		work *= math.Exp(k.Sigma*random.NormFloat64() - k.Sigma*k.Sigma/2)
	} else {
		work *= 1 + k.Spread*(2*random.Float64()-1)
	}
	if random.Float64() < k.TailShare {
		work *= k.TailFactors[0] + random.Float64()*(k.TailFactors[1]-k.TailFactors[0])
	}
	return work
}

// deviation returns the usual deviation from the mean work, as a share of it.
func (k *Kind) deviation() float64 { return max(k.Spread, k.Sigma) }

// burstFactor returns the factor on the request rate, at a time in seconds.
func (l *Load) burstFactor(at float64) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		if at*1000 >= b.Start && at*1000 < b.Start+b.Duration {
			factor *= b.Factor
		}
	}
	return factor
}

// drawKind returns the index of a random kind, weighted by the kinds' shares.
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

// pickTarget returns the index of the target whose requestShare covers at, in [0, 1).
func pickTarget(targets []*simTarget, at float64) int {
	for n, t := range targets {
		if at -= t.requestShare; at < 0 {
			return n
		}
	}
	return len(targets) - 1
}
