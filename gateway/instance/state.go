package instance

import (
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
)

// state is what an instance believes, decoded from its copies of the tables.
type state struct {
	log            *slog.Logger
	zone           string
	routes         atomic.Pointer[routing.Table]
	roster         *roster.Roster
	revisionReport atomic.Pointer[revisionReport]

	mu                  sync.Mutex
	assignments         map[string]*versionedAssignment
	instances           map[string]peers.Instance
	updateParts         map[int]*peers.AssignmentUpdate
	updatePartsRevision uint64
}

// versionedAssignment is a service's assignment, and who waits for the next one.
type versionedAssignment struct {
	assignment *ownership.Assignment
	revision   uint64
	superseded chan struct{}
	// ownerChanges are the latest changes of owners, the oldest first.
	ownerChanges []ownerChange
}

// ownerChange is a range of keys that got another owner.
type ownerChange struct {
	first, last int
	at          time.Time
}

// ownerChangeRetention is how long changes of owners are kept: longer than any request may be
// sent once more.
const ownerChangeRetention = 15 * time.Second

// ownerChangesTo returns the moves with those that lead to the next assignment.
func (a *versionedAssignment) ownerChangesTo(now time.Time, next *ownership.Assignment) []ownerChange {
	old := 0
	for old < len(a.ownerChanges) && now.Sub(a.ownerChanges[old].at) > ownerChangeRetention {
		old++
	}
	// Whoever reads the former list does not see what is appended.
	moves := a.ownerChanges[old:]
	for _, p := range a.assignment.OwnerChanges(next) {
		moves = append(moves, ownerChange{p.First, p.Last, now})
	}
	return moves
}

// ownerChangedSince tells whether a key got another owner after a time.
func (s *state) ownerChangedSince(service string, key int, since time.Time) bool {
	s.mu.Lock()
	a := s.assignments[service]
	s.mu.Unlock()
	if a == nil {
		return false
	}
	return slices.ContainsFunc(a.ownerChanges, func(m ownerChange) bool {
		return m.first <= key && key <= m.last && m.at.After(since)
	})
}

// applyConfig puts a newer configuration in force. An older one never follows.
func (s *state) applyConfig(c mirror.Update) {
	for _, r := range c.Rows {
		if r.Key != platform.ConfigKey || r.Removed {
			continue
		}
		config, err := platform.ParseConfig(r.Value)
		if err != nil {
			event.RowUnusable.Log(s.log, "table", r.Table, "key", r.Key, "revision", r.Revision, "error", err)
			continue
		}
		now := s.routes.Load()
		if now != nil && now.Config.Version >= config.Version {
			event.ConfigStale.Log(s.log, "offered", config.Version, "inForce", now.Config.Version)
			continue
		}
		s.routes.Store(routing.New(config))
		event.ConfigInForce.Log(s.log, "version", config.Version, "revision", r.Revision, "routes", len(config.Routes))
	}
}

func (s *state) applyTargets(c mirror.Update) {
	now := time.Now()
	var came, left []*roster.Target
	first := len(s.roster.Load().Targets) == 0
	if c.Full {
		list := make([]*roster.Target, 0, len(c.Rows))
		for _, r := range c.Rows {
			if t := s.parseTarget(r); t != nil {
				list = append(list, t)
			}
		}
		came, left = s.roster.Replace(now, list, c.Revision)
	} else {
		changes := make([]roster.Change, 0, len(c.Rows))
		for _, r := range c.Rows {
			if r.Removed {
				changes = append(changes, roster.Change{ID: r.Key})
			} else if t := s.parseTarget(r); t != nil {
				changes = append(changes, roster.Change{ID: r.Key, Target: t})
			}
		}
		came, left = s.roster.Apply(now, changes, c.Revision)
	}
	if first && c.Full {
		event.TargetsLoaded.Log(s.log, "targets", len(came), "leaving", len(left), "revision", c.Revision)
		return
	}
	for _, t := range came {
		event.TargetCame.Log(s.log, "target", t.ID, "born", t.Started, "service", t.Service, "zone", t.Zone, "address", t.Address,
			"slots", t.Slots, "warmingMs", t.WarmupLeft.Milliseconds(), "revision", c.Revision)
	}
	for _, t := range left {
		event.TargetLeft.Log(s.log, "target", t.ID, "born", t.Started, "service", t.Service, "draining", t.Draining, "revision", c.Revision)
	}
}

func (s *state) parseTarget(r platform.Row) *roster.Target {
	t, err := platform.ParseTarget(r.Key, r.Value)
	if err != nil {
		event.RowUnusable.Log(s.log, "table", r.Table, "key", r.Key, "revision", r.Revision, "error", err)
		return nil
	}
	return t
}

// isMinorTargetChange tells of a target's row that nobody has to act on: only how far
// it has warmed up, which every instance counts down by itself. All targets of
// a fleet warm up together, each with a change at every report.
func isMinorTargetChange(old, next platform.Row) bool {
	if old.Removed || next.Removed {
		return false
	}
	a, err := platform.ParseTarget(old.Key, old.Value)
	if err != nil {
		return false
	}
	b, err := platform.ParseTarget(next.Key, next.Value)
	if err != nil {
		return false
	}
	return a.Incarnation() == b.Incarnation() && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Slots == b.Slots && a.Draining == b.Draining
}

func (s *state) applyAssignments(c mirror.Update) {
	for _, r := range c.Rows {
		if r.Removed || s.hasAssignment(r.Key, r.Revision) {
			continue
		}
		a, err := ownership.Parse(r.Value)
		if err != nil {
			event.RowUnusable.Log(s.log, "table", r.Table, "key", r.Key, "revision", r.Revision, "error", err)
			continue
		}
		s.setAssignment(r.Key, a, r.Revision)
	}
}

// hasAssignment tells whether a service's assignment is known as of a revision.
func (s *state) hasAssignment(service string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.assignments[service]
	return a != nil && a.revision >= revision
}

// setAssignment puts a service's assignment in force unless a newer one is.
func (s *state) setAssignment(service string, a *ownership.Assignment, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assignments == nil {
		s.assignments = map[string]*versionedAssignment{}
	}
	old := s.assignments[service]
	if old != nil && old.revision >= revision {
		return
	}
	next := &versionedAssignment{assignment: a, revision: revision, superseded: make(chan struct{})}
	s.assignments[service] = next
	if old != nil {
		next.ownerChanges = old.ownerChangesTo(time.Now(), a)
		close(old.superseded)
	}
	event.AssignmentLoaded.Log(s.log, "service", service, "term", a.Term, "revision", revision, "pieces", len(a.Pieces))
}

// encodeAssignment returns the row of a service's assignment in force.
func (s *state) encodeAssignment(service string) platform.Row {
	s.mu.Lock()
	a := s.assignments[service]
	s.mu.Unlock()
	text, err := json.Marshal(a.assignment)
	if err != nil {
		panic("instance: assignment does not encode: " + err.Error())
	}
	return platform.Row{Table: coordinator.AssignmentTable, Key: service, Value: text, Revision: a.revision}
}

// currentAssignment returns a service's assignment and a channel that is closed when
// there is a newer one; both are nil while none is known.
func (s *state) currentAssignment(service string) (*ownership.Assignment, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.assignments[service]
	if a == nil {
		return nil, nil
	}
	return a.assignment, a.superseded
}

// withUpdate returns the assignment after a change, or nil if that is a change of
// another one than is known here. Known tells that it was taken in already.
func (s *state) withUpdate(n *peers.AssignmentUpdate) (next *ownership.Assignment, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.assignments[n.Service]
	if a != nil && a.revision < n.Revision && n.Parts > 1 {
		if n = s.collectParts(n); n == nil {
			return nil, true
		}
	}
	if a == nil || a.revision < n.Base {
		return nil, false
	}
	if a.revision >= n.Revision {
		return nil, true
	}
	if a.revision != n.Base {
		return nil, false
	}
	return a.assignment.With(n.Term, n.Pieces), false
}

// collectParts keeps the parts of a change until all are there, and returns the whole.
func (s *state) collectParts(n *peers.AssignmentUpdate) *peers.AssignmentUpdate {
	if s.updateParts == nil || s.updatePartsRevision != n.Revision {
		s.updateParts, s.updatePartsRevision = map[int]*peers.AssignmentUpdate{}, n.Revision
	}
	s.updateParts[n.Part] = n
	if len(s.updateParts) < n.Parts {
		return nil
	}
	whole := *n
	whole.Pieces = nil
	for _, p := range s.updateParts {
		whole.Pieces = append(whole.Pieces, p.Pieces...)
	}
	return &whole
}

// applyInstances returns all instances known.
func (s *state) applyInstances(c mirror.Update) map[string]peers.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]peers.Instance{}
	if !c.Full {
		for name, i := range s.instances {
			all[name] = i
		}
	}
	for _, r := range c.Rows {
		if r.Removed {
			delete(all, r.Key)
			continue
		}
		var i peers.Instance
		if err := json.Unmarshal(r.Value, &i); err != nil {
			event.RowUnusable.Log(s.log, "table", r.Table, "key", r.Key, "revision", r.Revision, "error", err)
			continue
		}
		all[r.Key] = i
	}
	s.instances = all
	return all
}
