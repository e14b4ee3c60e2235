package instance

import (
	"context"
	"math"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ratelimit"
	"basilcross.example/basilcross/roster"
	"basilcross.example/gateway/peers"
)

const (
	// limitRepeatInterval is how often the hubs of a zone are told again of the limits of its targets: one
	// of them schedules the targets next if this instance ends.
	limitRepeatInterval = time.Second
	// maxRepeatedLimits bounds the limits in a datagram.
	maxRepeatedLimits = 24
)

// limiter keeps how many requests per second targets accept. The instance that schedules a target's slots
// learns it from all answers, and tells the other hubs of the target's zone.
type limiter struct {
	*Instance
	limits ratelimit.Limits

	mu sync.Mutex
	// scheduled are the targets that are scheduled here, as their last answers show.
	scheduled map[roster.Incarnation]*roster.Target
}

// record records what an answer to a request that was scheduled here says of its target's limit.
func (l *limiter) record(t *roster.Target, s ratelimit.Statement) {
	changed := l.limits.Record(t.Incarnation(), s)
	if s.Stated {
		l.mu.Lock()
		if l.scheduled == nil {
			l.scheduled = map[roster.Incarnation]*roster.Target{}
		}
		l.scheduled[t.Incarnation()] = t
		l.mu.Unlock()
	}
	if !changed {
		return
	}
	l.logChange(t.Incarnation(), s, l.settings.Instance)
	l.tell(t.Zone, []peers.RateLimit{encodeRateLimit(time.Now(), t.Incarnation(), s)})
}

func (l *limiter) logChange(t roster.Incarnation, s ratelimit.Statement, from string) {
	event.RateLimitChanged.Log(l.log, "target", t.ID, "stated", s.Stated, "perSecond", s.PerSecond, "from", from,
		"answerAgeMs", time.Since(s.Answered).Milliseconds())
}

func (l *limiter) tell(zone string, list []peers.RateLimit) {
	var to []string
	for _, h := range l.peers.Hubs(zone) {
		if h.Name != l.settings.Instance {
			to = append(to, h.Name)
		}
	}
	l.peers.SendAll(to, &peers.Message{RateLimits: list})
}

func encodeRateLimit(now time.Time, t roster.Incarnation, s ratelimit.Statement) peers.RateLimit {
	at := s.Sent
	if s.Stated {
		at = s.Answered
	}
	return peers.RateLimit{Target: t.ID, Started: t.Started, Stated: s.Stated, PerSecond: s.PerSecond, AgeMs: max(0, now.Sub(at).Milliseconds())}
}

// introduce tells an instance that has started of all limits: it may schedule limited targets for others
// before an answer of theirs arrives there.
func (l *limiter) introduce(to string) {
	if list := l.known(time.Now()); len(list) > 0 {
		l.peers.Send(to, &peers.Message{RateLimits: list})
	}
}

// known returns the limits in force, as far as they fit into a datagram.
func (l *limiter) known(now time.Time) (list []peers.RateLimit) {
	limits := l.limits.All()
	for _, limit := range limits[:min(len(limits), maxRepeatedLimits)] {
		s := ratelimit.Statement{Stated: true, PerSecond: limit.PerSecond, Answered: limit.Stated}
		list = append(list, encodeRateLimit(now, limit.Target, s))
	}
	return list
}

// handleMessage handles what another instance knows of limits, and reports whether m is about that.
func (l *limiter) handleMessage(m *peers.Message) bool {
	if m.RateLimits == nil {
		return false
	}
	for _, r := range m.RateLimits {
		if math.IsNaN(r.PerSecond) || r.IsCharge() {
			continue
		}
		at := time.Now().Add(-time.Duration(r.AgeMs) * time.Millisecond)
		t, s := roster.Incarnation{ID: r.Target, Started: r.Started}, ratelimit.Statement{Stated: r.Stated, PerSecond: r.PerSecond, Sent: at, Answered: at}
		if l.limits.Record(t, s) {
			l.logChange(t, s, m.From)
		}
	}
	return true
}

// Serve repeats the limits of the targets that are scheduled here, until the context ends.
func (l *limiter) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, limitRepeatInterval)
		now := time.Now()
		l.limits.Prune(now, l.state.roster.Load())
		for zone, list := range l.repeated(now) {
			l.tell(zone, list)
		}
	}
	return ctx.Err()
}

// repeated returns the limits in force of the targets that are scheduled here, by zone.
func (l *limiter) repeated(now time.Time) map[string][]peers.RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.scheduled) == 0 {
		return nil
	}
	byZone, inForce := map[string][]peers.RateLimit{}, map[roster.Incarnation]bool{}
	for _, limit := range l.limits.All() {
		inForce[limit.Target] = true
		if t := l.scheduled[limit.Target]; t != nil && len(byZone[t.Zone]) < maxRepeatedLimits {
			s := ratelimit.Statement{Stated: true, PerSecond: limit.PerSecond, Answered: limit.Stated}
			byZone[t.Zone] = append(byZone[t.Zone], encodeRateLimit(now, limit.Target, s))
		}
	}
	for t := range l.scheduled {
		if !inForce[t] {
			delete(l.scheduled, t)
		}
	}
	return byZone
}
