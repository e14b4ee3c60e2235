// Package upstream holds a gateway's state of each target: the connections, the gateway's
// share of the target's slots, and the target's health as seen by the gateway.
package upstream

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
	// queueLimit is the queue limit of every upstream; the rules' limit is not applied.
	queueLimit = 64
)

// Upstream is the state of one target: connections, slots and failures.
type Upstream struct {
	Target string
	Pool   *pool.Pool
	Slots  *slot.Limiter

	mu           sync.Mutex
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// RecordSuccess records a request with a response, and resets the failures.
func (u *Upstream) RecordSuccess() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures, u.ejections = 0, 0
}

// RecordFailure records a request without a response, and reports whether the target
// was ejected for it.
func (u *Upstream) RecordFailure(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures++
	if u.failures < ejectAfter || now.Before(u.ejectedUntil) {
		return false
	}
	length := min(minEjection<<min(u.ejections, 10), maxEjection)
	u.ejections++
	u.failures = 0
	u.ejectedUntil = now.Add(length)
	return true
}

// Ejected reports whether the target is ejected at now.
func (u *Upstream) Ejected(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.ejectedUntil)
}

// Set holds the upstreams of all targets, by target ID.
type Set struct {
	Dial pool.DialFunc

	mu        sync.RWMutex
	upstreams map[string]*Upstream

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
	for _, u := range s.upstreams {
		u.Pool.Invalidate(now)
	}
}

// Get returns the upstream of a target, a new one if the target's address has changed.
func (s *Set) Get(t *assignment.Target) *Upstream {
	s.mu.RLock()
	u := s.upstreams[t.ID]
	s.mu.RUnlock()
	if u != nil && u.Pool.Address == t.Address {
		return u
	}
	return s.open(t)
}

func (s *Set) open(t *assignment.Target) *Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.upstreams[t.ID]
	if old != nil && old.Pool.Address == t.Address {
		return old
	}
	if old != nil {
		old.Pool.Close()
	}
	if s.upstreams == nil {
		s.upstreams = map[string]*Upstream{}
	}
	u := &Upstream{
		Target: t.ID,
		Pool: &pool.Pool{Address: t.Address, Dial: s.Dial, OnOverdue: func(now time.Time) {
			s.handleOverdue(t.ID, now)
		}},
		Slots: &slot.Limiter{Slots: t.Slots, QueueLimit: queueLimit},
	}
	s.upstreams[t.ID] = u
	return u
}

// Retain closes the upstreams of all targets but the given ones.
func (s *Set) Retain(targets map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, u := range s.upstreams {
		if !targets[id] {
			u.Pool.Close()
			delete(s.upstreams, id)
		}
	}
}
