// Package withdrawal keeps which targets want no requests of this instance, as their answers state: for a
// while, or since they leave.
package withdrawal

import (
	"slices"
	"sync"
	"time"

	"basilcross.example/basilcross/roster"
)

const (
	// ownerGrace is how long the owner of keys that leaves still gets requests for them, while they move:
	// half of the least time that the users allow.
	ownerGrace = time.Second
	// schedulersKnowAfter is how long after a target's first statement that it leaves all schedulers know.
	schedulersKnowAfter = 3 * time.Second
	// trialTTL is how long the first request after a rest is awaited until another one may be sent: it may
	// have had no answer.
	trialTTL = time.Second
	// forgetAfter is how long after its rest a target that was sent nothing is remembered, and one that
	// leaves after it is not listed any more.
	forgetAfter = 30 * time.Second
)

// List holds the targets that have withdrawn. The zero value is ready to use, and safe for concurrent use.
type List struct {
	mu      sync.Mutex
	targets map[roster.Incarnation]*state
}

type state struct {
	service string
	// restUntil is when the target's rest ends; zero if it asked for none.
	restUntil time.Time
	// trialAt is when the first request after the rest was admitted; zero if none was.
	trialAt time.Time
	// leavingSince is when the target first stated that it leaves; zero if it did not.
	leavingSince time.Time
}

// Rest records that a target wants no requests for a while, beginning now, and returns by how much that
// prolongs its rest: a shorter one does not end a longer one that an earlier answer asked for.
func (l *List) Rest(now time.Time, t *roster.Target, d time.Duration) (prolonged time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d <= 0 {
		return 0
	}
	st := l.stateOf(t)
	until := now.Add(d)
	if !until.After(st.restUntil) {
		return 0
	}
	prolonged = min(d, until.Sub(st.restUntil))
	st.restUntil, st.trialAt = until, time.Time{}
	return prolonged
}

// Leave records that a target leaves, and reports whether that is new.
func (l *List) Leave(now time.Time, t *roster.Target) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stateOf(t)
	if !st.leavingSince.IsZero() {
		return false
	}
	st.leavingSince = now
	return true
}

// Answered records that a target answered a request without asking for rest. If its rest is over, it gets
// requests as before.
func (l *List) Answered(now time.Time, t roster.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.targets[t]
	if st == nil || now.Before(st.restUntil) || !st.leavingSince.IsZero() {
		return
	}
	delete(l.targets, t)
}

// Admit reports whether a request may be sent to a target now; a target that owns its key may get it a little
// longer when it leaves. After a rest one request is admitted until it is answered. Otherwise wait is the
// time after which the target may be tried, 0 if it leaves.
func (l *List) Admit(now time.Time, t roster.Incarnation, owner bool) (wait time.Duration, ok bool) {
	return l.decide(now, t, owner, true)
}

// Check reports the same as Admit, without a request that is sent.
func (l *List) Check(now time.Time, t roster.Incarnation, owner bool) (wait time.Duration, ok bool) {
	return l.decide(now, t, owner, false)
}

func (l *List) decide(now time.Time, t roster.Incarnation, owner, send bool) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.targets[t]
	if st == nil {
		return 0, true
	}
	wait, ok = st.check(now, owner)
	if ok && send && !st.restUntil.IsZero() {
		st.trialAt = now
	}
	return wait, ok
}

func (st *state) check(now time.Time, owner bool) (wait time.Duration, ok bool) {
	switch {
	case !st.leavingSince.IsZero() && (!owner || now.Sub(st.leavingSince) >= ownerGrace):
		return 0, false
	case now.Before(st.restUntil):
		return st.restUntil.Sub(now), false
	case !st.trialAt.IsZero() && now.Sub(st.trialAt) < trialTTL:
		return trialTTL - now.Sub(st.trialAt), false
	}
	return 0, true
}

// Withdrawn returns the IDs of the targets of a service that may be sent no request now, and the time after
// which the first one that rests may be tried; 0 if none rests. Those that have been leaving for a while are
// left out, since the schedulers of their slots know by then.
func (l *List) Withdrawn(now time.Time, service string) (ids []string, next time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, st := range l.targets {
		if st.service != service {
			continue
		}
		wait, ok := st.check(now, false)
		if ok || wait == 0 && now.Sub(st.leavingSince) > schedulersKnowAfter {
			continue
		}
		ids = append(ids, t.ID)
		if wait > 0 && (next == 0 || wait < next) {
			next = wait
		}
	}
	slices.Sort(ids)
	return ids, next
}

// Count returns the numbers of targets that rest and that leave.
func (l *List) Count(now time.Time) (resting, leaving int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, st := range l.targets {
		switch {
		case !st.leavingSince.IsZero():
			leaving++
		case now.Before(st.restUntil):
			resting++
		}
	}
	return resting, leaving
}

// Prune drops targets whose rest has long been over, and ended incarnations. Listed is nil if this instance
// lists no targets.
func (l *List) Prune(now time.Time, listed *roster.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, st := range l.targets {
		ended := false
		if listed != nil {
			current := listed.Find(t.ID)
			ended = current == nil || current.Started != t.Started
		}
		rested := now.Sub(st.restUntil) > forgetAfter
		if rested && (st.leavingSince.IsZero() || ended && now.Sub(st.leavingSince) > forgetAfter) {
			delete(l.targets, t)
		}
	}
}

func (l *List) stateOf(t *roster.Target) *state {
	if l.targets == nil {
		l.targets = map[roster.Incarnation]*state{}
	}
	st := l.targets[t.Incarnation()]
	if st == nil {
		st = &state{service: t.Service}
		l.targets[t.Incarnation()] = st
	}
	return st
}
