// Package lane is one gateway's way to one target: its connections, its share
// of the target's slots, and what the gateway has seen of its health.
package lane

import (
	"sync"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/slot"
)

const (
	// ejectAfter is how many failures in a row eject a target.
	ejectAfter = 5
	// minEjection is the first time out; each further one doubles, up to
	// maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// queueLimit is the queue of a lane until a request brings its own rule.
	queueLimit = 64
)

// Lane is the way to one target.
type Lane struct {
	Target string
	Pool   *pool.Pool
	Slots  *slot.Limiter

	mu           sync.Mutex
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// RecordSuccess notes an answer.
func (l *Lane) RecordSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures, l.ejections = 0, 0
}

// RecordFailure notes a request without an answer, and tells whether the target was
// ejected for it.
func (l *Lane) RecordFailure(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	if l.failures < ejectAfter || now.Before(l.ejectedUntil) {
		return false
	}
	out := min(minEjection<<min(l.ejections, 10), maxEjection)
	l.ejections++
	l.failures = 0
	l.ejectedUntil = now.Add(out)
	return true
}

// Ejected tells whether the target is out at now.
func (l *Lane) Ejected(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.ejectedUntil)
}

// Set holds the lanes to all targets.
type Set struct {
	Dial pool.DialFunc

	mu    sync.RWMutex
	lanes map[string]*Lane

	overdueMu         sync.Mutex
	lastOverdueTarget string
	lastOverdueAt     time.Time
}

// commonCauseWindow is how close the overdue answers of two targets lie for a common
// cause.
const commonCauseWindow = time.Second

// handleOverdue is told that a target's answer is overdue. One alone speaks for that
// target. With two at a time something on the way to all of them has probably
// lost track of the open connections, so all are dropped: each target's first
// request would otherwise find it out by a timeout of its own.
func (s *Set) handleOverdue(id string, now time.Time) {
	s.overdueMu.Lock()
	common := s.lastOverdueTarget != "" && s.lastOverdueTarget != id && now.Sub(s.lastOverdueAt) < commonCauseWindow
	s.lastOverdueTarget, s.lastOverdueAt = id, now
	s.overdueMu.Unlock()
	if !common {
		return
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.lanes {
		l.Pool.Invalidate(now)
	}
}

// Get returns the lane to a target, opened anew if its address has changed.
func (s *Set) Get(t *assignment.Target) *Lane {
	s.mu.RLock()
	l := s.lanes[t.ID]
	s.mu.RUnlock()
	if l != nil && l.Pool.Address == t.Address {
		return l
	}
	return s.open(t)
}

func (s *Set) open(t *assignment.Target) *Lane {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.lanes[t.ID]
	if old != nil && old.Pool.Address == t.Address {
		return old
	}
	if old != nil {
		old.Pool.Close()
	}
	if s.lanes == nil {
		s.lanes = map[string]*Lane{}
	}
	l := &Lane{
		Target: t.ID,
		Pool: &pool.Pool{Address: t.Address, Dial: s.Dial, OnOverdue: func(now time.Time) {
			s.handleOverdue(t.ID, now)
		}},
		Slots: &slot.Limiter{Slots: t.Slots, QueueLimit: queueLimit},
	}
	s.lanes[t.ID] = l
	return l
}

// Retain closes the lanes to targets that are not in the list.
func (s *Set) Retain(targets map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.lanes {
		if !targets[id] {
			l.Pool.Close()
			delete(s.lanes, id)
		}
	}
}
