// Package lane holds a gateway's state of each target: the connections, the gateway's
// share of the target's slots, and the target's health as seen by the gateway.
package lane

import (
	"sync"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/slot"
)

const (
	// ejectAfter is the number of consecutive failures that eject a target.
	ejectAfter = 5
	// minEjection is the length of the first ejection; each further one doubles,
	// up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// queueLimit is the queue limit of every lane; the rules' limit is not applied.
	queueLimit = 64
)

// Lane is the state of one target: connections, slots and failures.
type Lane struct {
	Target string
	Pool   *pool.Pool
	Slots  *slot.Limiter

	mu           sync.Mutex
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// RecordSuccess records a request with a response, and resets the failures.
func (l *Lane) RecordSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures, l.ejections = 0, 0
}

// RecordFailure records a request without a response, and reports whether the target
// was ejected for it.
func (l *Lane) RecordFailure(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	if l.failures < ejectAfter || now.Before(l.ejectedUntil) {
		return false
	}
	length := min(minEjection<<min(l.ejections, 10), maxEjection)
	l.ejections++
	l.failures = 0
	l.ejectedUntil = now.Add(length)
	return true
}

// Ejected reports whether the target is ejected at now.
func (l *Lane) Ejected(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.ejectedUntil)
}

// Set holds the lanes of all targets.
type Set struct {
	Dial pool.DialFunc

	mu    sync.RWMutex
	lanes map[string]*Lane

	overdueMu         sync.Mutex
	lastOverdueTarget string
	lastOverdueAt     time.Time
}

// commonCauseWindow is the time within which overdue responses of two targets count as
// having a common cause.
const commonCauseWindow = time.Second

// handleOverdue is called when a target's response is overdue. A single target has a fault
// of its own. With two at a time something on the path to all of them has probably lost
// the state of the open connections, so the connections to all targets are invalidated;
// otherwise the first request to each would have to time out.
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

// Get returns the lane of a target, a new one if the target's address has changed.
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

// Retain closes the lanes of all targets but the given ones.
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
