package experiment

import (
	"math/rand/v2"
	"time"
)

// request is one that comes, with all that only a queue that knows everything
// could know of it.
type request struct {
	kind *Kind
	// number is the kind's.
	number  uint32
	at      time.Duration
	work    time.Duration
	transit time.Duration
	// target is the only one that will do; -1 if any will.
	target int
	atOnce bool
}

// server is one target.
type server struct {
	Target
	// share of the requests of a divided service.
	share float64
}

// slowness is how long the server needs for the work of an average one.
func (s *server) slowness(at time.Duration) float64 {
	if s.SlowFor > 0 && at >= millis(s.SlowFrom) && at < millis(s.SlowFrom+s.SlowFor) {
		return s.Slowness * s.SlowTimes
	}
	return s.Slowness
}

// servers returns the targets of a load. Keys are shared out by what each can do.
func (l *Load) servers() []*server {
	var list []*server
	can := 0.0
	for _, t := range l.Targets {
		for range t.Count {
			s := &server{Target: t, share: float64(t.Slots) / t.Slowness}
			can += s.share
			list = append(list, s)
		}
	}
	for i, s := range list {
		s.share = s.share / can * (1 - l.BusyShare)
		if i == 0 {
			s.share += l.BusyShare
		}
	}
	return list
}

// requests draws what comes at a level of load.
func (l *Load) requests(level float64, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 17))
	servers := l.servers()
	rate := level * l.capacity()
	var list []*request
	for at := 0.0; ; {
		at += random.ExpFloat64() / (rate * l.burst(at))
		if at > float64(l.Seconds) {
			return list
		}
		n := l.draw(random)
		k := &l.Kinds[n]
		r := &request{kind: k, number: uint32(n + 1), at: millis(at * 1000), target: -1, atOnce: random.Float64() < l.AtOnce}
		r.work = millis(k.Work * (1 + k.Spread*(2*random.Float64()-1)))
		r.transit = millis(l.Transits[random.IntN(len(l.Transits))])
		if l.Divided {
			r.target = pick(servers, random.Float64())
		}
		list = append(list, r)
	}
}

// burst is how many times as many requests as usual come.
func (l *Load) burst(at float64) float64 {
	times := 1.0
	for _, b := range l.Bursts {
		if at*1000 >= b.At && at*1000 < b.At+b.For {
			times *= b.Times
		}
	}
	return times
}

// draw returns the number of a kind, by their shares.
func (l *Load) draw(random *rand.Rand) int {
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

func pick(servers []*server, at float64) int {
	for n, s := range servers {
		if at -= s.share; at < 0 {
			return n
		}
	}
	return len(servers) - 1
}
