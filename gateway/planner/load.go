package planner

import (
	"time"

	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/plan"
	"basilcross.example/gateway/control"
)

const (
	// loadWindow is the time constant of the load averages.
	loadWindow = 20 * time.Second
	// loadUpdateInterval is the time between two updates of the averages.
	loadUpdateInterval = time.Second
	// pauseMargin is how long a gateway may be paused between its last check of
	// its authority and the first byte of a request to a target that does not
	// check grants. A longer pause is the residual risk.
	pauseMargin = 2 * time.Second
)

// loadAverage is the moving average of the reported loads, by service and shard.
type loadAverage struct {
	pending   map[string]map[uint64]float64
	rates     map[string]map[uint64]float64
	updatedAt time.Time
}

func (l *loadAverage) add(loads []*control.ShardLoad) {
	if l.pending == nil {
		l.pending = map[string]map[uint64]float64{}
		l.rates = map[string]map[uint64]float64{}
		l.updatedAt = time.Now()
	}
	for _, s := range loads {
		byShard, ok := l.pending[s.GetService()]
		if !ok {
			byShard = map[uint64]float64{}
			l.pending[s.GetService()] = byShard
		}
		byShard[s.GetFirst()] += float64(s.GetWork())
	}
}

// ratesOf returns a service's loads in work per second, by first hash of the shard.
func (l *loadAverage) ratesOf(service string, now time.Time) map[uint64]float64 {
	if elapsed := now.Sub(l.updatedAt); l.pending != nil && elapsed >= loadUpdateInterval {
		l.update(elapsed)
		l.updatedAt = now
	}
	return l.rates[service]
}

// split divides a shard's load between its two parts.
func (l *loadAverage) split(service string, s plan.Split) {
	if rates := l.rates[service]; rates != nil {
		load := rates[s.First]
		rates[s.At] = load * s.Share
		rates[s.First] = load * (1 - s.Share)
	}
}

// merge adds a shard's load to that of the shard it was merged into.
func (l *loadAverage) merge(service string, m plan.Merge) {
	if rates := l.rates[service]; rates != nil {
		rates[m.First] += rates[m.Removed]
		delete(rates, m.Removed)
	}
}

func (l *loadAverage) update(elapsed time.Duration) {
	share := min(1, elapsed.Seconds()/loadWindow.Seconds())
	for service, byShard := range l.pending {
		rates, ok := l.rates[service]
		if !ok {
			rates = map[uint64]float64{}
			l.rates[service] = rates
		}
		for first := range rates {
			if _, ok := byShard[first]; !ok {
				byShard[first] = 0
			}
		}
		for first, work := range byShard {
			rates[first] += share * (work/elapsed.Seconds() - rates[first])
		}
		l.pending[service] = map[uint64]float64{}
	}
}

// quietVersion tracks the newest version that all gateways have had for long enough.
type quietVersion struct {
	history []reachedVersion
	newest  uint64
}

type reachedVersion struct {
	at      time.Time
	version uint64
}

// maxHistory bounds quietVersion.history.
const maxHistory = 256

// record adds the version that all gateways have reached at now, and returns the
// newest that all have had for at least wait.
func (q *quietVersion) record(now time.Time, reached uint64, wait time.Duration) uint64 {
	if reached == ^uint64(0) {
		return q.newest
	}
	if n := len(q.history); n == 0 || q.history[n-1].version < reached {
		q.history = append(q.history, reachedVersion{at: now, version: reached})
	}
	for len(q.history) > 0 && (now.Sub(q.history[0].at) >= wait || len(q.history) > maxHistory) {
		if now.Sub(q.history[0].at) >= wait {
			q.newest = max(q.newest, q.history[0].version)
		}
		q.history = q.history[1:]
	}
	return q.newest
}

func longestDeadline(doc *config.Document, service string, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, k := range doc.Kinds {
		if k.Service == service {
			rules := doc.Resolve(config.Scope{Service: service, Kind: k.Name}, now)
			longest = max(longest, time.Duration(*rules.Deadline))
		}
	}
	return longest
}
