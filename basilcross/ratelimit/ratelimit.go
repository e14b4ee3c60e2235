// Package ratelimit keeps how many requests per second targets accept, as their answers state it. A limit
// holds for as long as answers have it.
package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"basilcross.example/basilcross/roster"
)

// liftedTTL is how long it is remembered that a limit was lifted. Answers and messages that are older
// may still arrive in that time.
const liftedTTL = 10 * time.Second

// Statement is what an answer of a target says about its limit.
type Statement struct {
	// Stated is set if the answer has a limit of PerSecond requests per second from all instances together.
	Stated    bool
	PerSecond float64
	// Sent is when the request was sent to the target, and Answered when its answer arrived.
	Sent, Answered time.Time
}

// Limit is the limit of one incarnation of a target.
type Limit struct {
	Target    roster.Incarnation
	PerSecond float64
	// Stated is when an answer had it last.
	Stated time.Time
}

// Limits are the limits of all targets. The zero value is ready to use, and safe for concurrent use.
type Limits struct {
	mu      sync.Mutex
	targets map[roster.Incarnation]*stated
}

type stated struct {
	perSecond float64
	// at is when the last answer with a limit arrived.
	at time.Time
	// lifted is set once an answer had none whose request was sent later, at liftedBy.
	lifted   bool
	liftedBy time.Time
}

// Record records a statement. It reports whether the limit in force has changed by it: it is stated for the first
// time or with another value, or it is lifted. Answers may arrive out of order: a limit is lifted only by the
// answer to a request that was sent after the limit was stated last.
func (l *Limits) Record(t roster.Incarnation, s Statement) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.targets[t]
	switch {
	case !s.Stated && (known == nil || known.lifted || !s.Sent.After(known.at)):
		return false
	case !s.Stated:
		known.lifted, known.liftedBy = true, s.Sent
		return true
	case known == nil:
		if l.targets == nil {
			l.targets = map[roster.Incarnation]*stated{}
		}
		l.targets[t] = &stated{perSecond: s.PerSecond, at: s.Answered}
		return true
	case s.Answered.Before(known.at) || known.lifted && s.Answered.Before(known.liftedBy):
		return false
	}
	changed = known.lifted || known.perSecond != s.PerSecond
	*known = stated{perSecond: s.PerSecond, at: s.Answered}
	return changed
}

// Find returns how many requests per second a target accepts, and whether that is limited.
func (l *Limits) Find(t roster.Incarnation) (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.targets[t]
	if known == nil || known.lifted {
		return 0, false
	}
	return known.perSecond, true
}

// All returns the limits in force, by target.
func (l *Limits) All() (list []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, known := range l.targets {
		if !known.lifted {
			list = append(list, Limit{t, known.perSecond, known.at})
		}
	}
	slices.SortFunc(list, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.Started, b.Target.Started))
	})
	return list
}

// Prune drops what was lifted long ago, and the limits of incarnations that are not listed.
func (l *Limits) Prune(now time.Time, listed *roster.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, known := range l.targets {
		current := listed.Find(t.ID)
		gone := current == nil || current.Started != t.Started
		if known.lifted && now.Sub(known.liftedBy) > liftedTTL || gone && now.Sub(known.at) > liftedTTL {
			delete(l.targets, t)
		}
	}
}
