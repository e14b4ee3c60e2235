// Package links distinguishes an instance's own broken links from targets that are down, by which
// targets it reaches and which it does not.
package links

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// minUnreached is how many targets of a service must be out of reach, and at least as many
	// as were reached since the first of these failed, for the instance's own links to count as
	// down.
	minUnreached = 3
	// minUnreachedSlow replaces it if no target was reached for slowAfter: a service may have
	// few targets, or few requests.
	minUnreachedSlow = 2
	slowAfter        = 500 * time.Millisecond
	// evidenceTTL is how long a failure or an answer counts. It spans several probes, which
	// renew it.
	evidenceTTL = 3 * time.Second
	// silenceAfter is how long requests may wait while no target answers any.
	silenceAfter = 250 * time.Millisecond
	// judgeInterval bounds how often expired evidence is looked for.
	judgeInterval = 100 * time.Millisecond
)

// Monitor keeps the evidence. The zero value is ready to use, and safe for concurrent use.
type Monitor struct {
	// OnChange, if set, is called when the links to a service's targets go down or come back.
	OnChange func(Change)

	mu       sync.Mutex
	services map[string]*service
}

// Change is a conclusion about the links to a service's targets, with the evidence for it.
type Change struct {
	Service string
	Down    bool
	// Target is the target whose failure or answer led to the conclusion; empty if other
	// evidence expired.
	Target string
	// Unreached is the number of targets out of reach, and Reached that of those reached of late.
	Unreached int
	Reached   int
	// SinceReached is the time since any target was reached; 0 if none ever was.
	SinceReached time.Duration
	// Lasted is how long the links were down, if they are back.
	Lasted time.Duration
}

// service is the evidence about a service's targets.
type service struct {
	// unreached are the targets that failed and were not reached since.
	unreached map[string]failure
	// reached is when each target was reached last, and reachedAt when any was.
	reached   map[string]time.Time
	reachedAt time.Time
	// pendingSince is when the first request was sent since any target was reached; zero if
	// none was.
	pendingSince time.Time
	judgedAt     time.Time
	down         bool
	downSince    time.Time
}

// failure is when a target failed first and last since it was reached.
type failure struct{ first, last time.Time }

// Reached records that a target accepted a connection or answered.
func (m *Monitor) Reached(now time.Time, name, target string) {
	m.mu.Lock()
	s := m.service(name)
	s.reachedAt, s.reached[target], s.pendingSince = now, now, time.Time{}
	var change *Change
	if len(s.unreached) > 0 {
		delete(s.unreached, target)
		change = s.judge(now, name, target)
	}
	m.mu.Unlock()
	m.notify(change)
}

// Sent records that a request was sent to a target of the service.
func (m *Monitor) Sent(now time.Time, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.service(name); s.pendingSince.IsZero() {
		s.pendingSince = now
	}
}

// Silent returns the services that have requests waiting of which no target has answered any, so
// that it has to be found out whether the links are down. It returns each once in silenceAfter.
func (m *Monitor) Silent(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, s := range m.services {
		if !s.pendingSince.IsZero() && now.Sub(s.pendingSince) >= silenceAfter {
			s.pendingSince = now
			names = append(names, name)
		}
	}
	return names
}

// Failed records that a target accepted no connection, or acknowledged nothing on an open one.
func (m *Monitor) Failed(now time.Time, name, target string) {
	m.mu.Lock()
	s := m.service(name)
	f := s.unreached[target]
	if f.first.IsZero() {
		f.first = now
	}
	f.last = now
	s.unreached[target] = f
	delete(s.reached, target)
	change := s.judge(now, name, target)
	m.mu.Unlock()
	m.notify(change)
}

func (m *Monitor) notify(change *Change) {
	if change != nil && m.OnChange != nil {
		m.OnChange(*change)
	}
}

func (m *Monitor) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{unreached: map[string]failure{}, reached: map[string]time.Time{}}
		if m.services == nil {
			m.services = map[string]*service{}
		}
		m.services[name] = s
	}
	return s
}

// judge drops expired evidence and concludes from the rest whether the links are down. It
// returns nil unless that has changed.
func (s *service) judge(now time.Time, name, target string) *Change {
	s.judgedAt = now
	maps.DeleteFunc(s.unreached, func(_ string, f failure) bool { return now.Sub(f.last) > evidenceTTL })
	maps.DeleteFunc(s.reached, func(_ string, at time.Time) bool { return now.Sub(at) > evidenceTTL })
	down := s.isDown(now)
	if down == s.down {
		return nil
	}
	c := &Change{Service: name, Down: down, Target: target, Unreached: len(s.unreached), Reached: s.countReached()}
	if !s.reachedAt.IsZero() {
		c.SinceReached = now.Sub(s.reachedAt)
	}
	if down {
		s.downSince = now
	} else {
		c.Lasted = now.Sub(s.downSince)
	}
	s.down = down
	return c
}

func (s *service) isDown(now time.Time) bool {
	n := len(s.unreached)
	if n >= minUnreached {
		return n >= s.countReached()
	}
	return n >= minUnreachedSlow && now.Sub(s.reachedAt) >= slowAfter && now.Sub(s.firstFailure()) >= slowAfter
}

// firstFailure returns when the first of the targets out of reach failed.
func (s *service) firstFailure() time.Time {
	var first time.Time
	for _, f := range s.unreached {
		if first.IsZero() || f.first.Before(first) {
			first = f.first
		}
	}
	return first
}

// countReached returns how many targets were reached since the first failure: what was reached
// before says nothing about the links now.
func (s *service) countReached() (n int) {
	first := s.firstFailure()
	for _, at := range s.reached {
		if !at.Before(first) {
			n++
		}
	}
	return n
}

// Down reports whether this instance's links to the service's targets are down.
func (m *Monitor) Down(now time.Time, name string) bool {
	m.mu.Lock()
	s := m.services[name]
	if s == nil {
		m.mu.Unlock()
		return false
	}
	var change *Change
	if len(s.unreached) > 0 && now.Sub(s.judgedAt) >= judgeInterval {
		change = s.judge(now, name, "")
	}
	down := s.down
	m.mu.Unlock()
	m.notify(change)
	return down
}

// Suspect reports whether a failure to reach the target may be due to this instance's own
// links: they are down, or another target failed after any was reached last.
func (m *Monitor) Suspect(now time.Time, name, target string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		return false
	}
	if s.down {
		return true
	}
	for id, f := range s.unreached {
		if id != target && now.Sub(f.last) <= evidenceTTL && f.last.After(s.reachedAt) {
			return true
		}
	}
	return false
}

// TargetDown reports whether the link to one target is down: it failed last, and not long ago.
func (m *Monitor) TargetDown(now time.Time, name, target string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		return false
	}
	f, failed := s.unreached[target]
	return failed && now.Sub(f.last) <= evidenceTTL
}

// ReachedWithin reports whether any target of the service was reached within a duration.
func (m *Monitor) ReachedWithin(now time.Time, name string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	return s != nil && now.Sub(s.reachedAt) <= d
}

// TargetReachedWithin reports whether a target was reached within a duration, and has not failed
// since.
func (m *Monitor) TargetReachedWithin(now time.Time, name, target string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	return s != nil && now.Sub(s.reached[target]) <= d
}

// Reaches reports whether any target of the service was reached of late.
func (m *Monitor) Reaches(now time.Time, name string) bool {
	return m.ReachedWithin(now, name, evidenceTTL)
}

// Unreached is a target that failed and was not reached since.
type Unreached struct {
	Service, Target string
	// FailedAt is when it failed last.
	FailedAt time.Time
}

// Unreached returns the targets out of reach, the ones that failed longest ago first.
func (m *Monitor) Unreached(now time.Time) []Unreached {
	m.mu.Lock()
	var list []Unreached
	for name, s := range m.services {
		for target, f := range s.unreached {
			if now.Sub(f.last) <= evidenceTTL {
				list = append(list, Unreached{name, target, f.last})
			}
		}
	}
	m.mu.Unlock()
	slices.SortFunc(list, func(a, b Unreached) int { return a.FailedAt.Compare(b.FailedAt) })
	return list
}

// DownServices returns the services to whose targets the links are down.
func (m *Monitor) DownServices(now time.Time) []string {
	m.mu.Lock()
	names := slices.Sorted(maps.Keys(m.services))
	m.mu.Unlock()
	return slices.DeleteFunc(names, func(name string) bool { return !m.Down(now, name) })
}
