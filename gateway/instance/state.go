package instance

import (
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
)

// state is the decoded content of an instance's mirrors.
type state struct {
	log            *slog.Logger
	zone           string
	routes         atomic.Pointer[routing.Table]
	placement      atomic.Pointer[placement.Policy]
	roster         *roster.Roster
	unnamed        unnamedTargets
	revisionReport atomic.Pointer[revisionReport]
	targetLines    targetLines
	// configRevision is the revision of the configuration's row that was applied last.
	configRevision uint64
	// targetsChanged, if set, is called with the targets that were added, and those that left or began
	// to drain.
	targetsChanged func(added, leaving []*roster.Target)

	mu          sync.Mutex
	assignments map[string]*versionedAssignment
	// updateParts are the parts received so far of each service's latest assignment update. One write
	// may change the assignments of several services, whose updates have the same revision then.
	updateParts map[string]*updateParts
}

// updateParts are parts of an assignment update, by number.
type updateParts struct {
	revision uint64
	parts    map[int]*peers.AssignmentUpdate
}

type versionedAssignment struct {
	assignment *ownership.Assignment
	revision   uint64
	// superseded is closed when a newer assignment is in force.
	superseded chan struct{}
	// ownerChanges are the latest changes of owners, oldest first.
	ownerChanges []ownerChange
}

// ownerChange is a range of keys that got another owner.
type ownerChange struct {
	first, last int
	at          time.Time
}

// ownerChangeRetention is how long changes of owners are kept: longer than any
// request may be retried.
const ownerChangeRetention = 15 * time.Second

// ownerChangesTo returns the changes of owners, extended by those that lead to the
// next assignment. Expired ones are left out.
func (a *versionedAssignment) ownerChangesTo(now time.Time, next *ownership.Assignment) []ownerChange {
	expired := 0
	for expired < len(a.ownerChanges) && now.Sub(a.ownerChanges[expired].at) > ownerChangeRetention {
		expired++
	}
	// Appending is safe: concurrent readers hold the former, shorter slice.
	changes := a.ownerChanges[expired:]
	for _, p := range a.assignment.OwnerChanges(next) {
		changes = append(changes, ownerChange{p.First, p.Last, now})
	}
	return changes
}

func (s *state) ownerChangedSince(service string, key int, since time.Time) bool {
	s.mu.Lock()
	a := s.assignments[service]
	s.mu.Unlock()
	if a == nil {
		return false
	}
	return slices.ContainsFunc(a.ownerChanges, func(c ownerChange) bool {
		return c.first <= key && key <= c.last && c.at.After(since)
	})
}

// usableOwner returns the usable owner of a key, or nothing.
func (s *state) usableOwner(service string, key int) string {
	a, _ := s.currentAssignment(service)
	return a.UsableOwner(time.Now(), s.roster.Load(), key)
}

// owner returns the usable owner of a key, or nothing, and when the key got it; zero if that
// was long ago.
func (s *state) owner(service string, key int) (id string, since time.Time) {
	s.mu.Lock()
	a := s.assignments[service]
	s.mu.Unlock()
	if a == nil {
		return "", time.Time{}
	}
	for _, c := range a.ownerChanges {
		if c.first <= key && key <= c.last {
			since = c.at
		}
	}
	return a.assignment.UsableOwner(time.Now(), s.roster.Load(), key), since
}

// grant returns the grant by which a key's owner holds it, as the assignment says; nil if there is none.
func (s *state) grant(service string, key int) *schedule.Grant {
	a, _ := s.currentAssignment(service)
	if a == nil {
		return nil
	}
	_, since := s.owner(service, key)
	return &schedule.Grant{First: a.Find(key).First, Term: a.Term, Since: since}
}

// policy returns the placement policy in force.
func (s *state) policy() *placement.Policy {
	if p := s.placement.Load(); p != nil {
		return p
	}
	return &placement.Policy{}
}

// applyOperatorRows applies the operator's configuration and evacuations.
func (s *state) applyOperatorRows(u mirror.Update) {
	s.applyEvacuations(u)
	s.applyConfig(u)
}

// applyEvacuations updates the placement policy by the rows that evacuate zones.
func (s *state) applyEvacuations(u mirror.Update) {
	policy := s.policy()
	evacuated := map[string]bool{}
	if !u.Full {
		for zone := range policy.Evacuated {
			evacuated[zone] = true
		}
	}
	for _, r := range u.Rows {
		if zone, ok := platform.EvacuatedZone(r.Key); ok {
			evacuated[zone] = !r.Removed
		}
	}
	maps.DeleteFunc(evacuated, func(_ string, is bool) bool { return !is })
	next, added, returned := policy.WithEvacuated(time.Now(), slices.Collect(maps.Keys(evacuated)))
	if len(added)+len(returned) == 0 {
		return
	}
	s.placement.Store(next)
	for _, zone := range added {
		event.ZoneEvacuated.Log(s.log, "zone", zone, "known", policy.Regions[zone] != "", "revision", u.Revision)
	}
	for _, zone := range returned {
		event.ZoneReturned.Log(s.log, "zone", zone, "revision", u.Revision)
	}
}

// coldRate returns how many requests per second a target accepts while it is cold, 0 if
// that is unlimited, and whether it is cold. A target in a zone that was taken back may
// have turned cold shortly before, and have reported it to no instance yet.
func (s *state) coldRate(now time.Time, t *roster.Target) (rate float64, cold bool) {
	table := s.routes.Load()
	if table == nil {
		return 0, false
	}
	service := table.Service(t.Service)
	if service == nil || service.ColdRate <= 0 {
		return 0, false
	}
	returned, ok := s.policy().Returned[t.Zone]
	return service.ColdRate, t.IsCold(now) || ok && now.Sub(returned) < service.ColdTime
}

// isBound reports whether requests of a kind may be served in some regions only.
func (s *state) isBound(kind uint32) bool {
	table := s.routes.Load()
	return table != nil && table.IsBound(kind)
}

// hasAlternative reports whether the service of a request that is not bound has targets in
// another region than the request's zone.
func (s *state) hasAlternative(r *schedule.Request) bool {
	policy := s.policy()
	view := s.roster.Load()
	for _, zone := range view.Zones(r.Service) {
		if policy.Regions[zone] == policy.Regions[r.Zone] || policy.IsEvacuated(zone) {
			continue
		}
		if slices.ContainsFunc(view.InZone(r.Service, zone), func(t *roster.Target) bool { return !t.Draining }) {
			return true
		}
	}
	return false
}

// applyConfig puts a configuration in force, unless it is invalid or not newer.
func (s *state) applyConfig(u mirror.Update) {
	for _, r := range u.Rows {
		if r.Key != platform.ConfigKey || r.Removed || r.Revision != 0 && r.Revision == s.configRevision {
			continue
		}
		s.configRevision = r.Revision
		config, err := platform.ParseConfig(r.Value)
		if err != nil {
			event.RowUnusable.Log(s.log, "table", r.Table, "key", r.Key, "revision", r.Revision, "error", err)
			continue
		}
		current := s.routes.Load()
		if current != nil && current.Config.Version >= config.Version {
			event.ConfigStale.Log(s.log, "offered", config.Version, "inForce", current.Config.Version)
			continue
		}
		s.routes.Store(routing.New(config))
		event.ConfigInForce.Log(s.log, "version", config.Version, "revision", r.Revision, "routes", len(config.Routes))
		s.applyNamedTargets(current == nil)
		s.logUnknownRegions(config)
		s.logUnknownTypes(config)
	}
}

func (s *state) logUnknownTypes(config *routing.Config) {
	for _, r := range config.Routes {
		if unknown, is := r.Type.(routing.Unknown); is {
			event.RouteTypeUnknown.Log(s.log, "route", r.Name, "type", unknown.Name, "version", config.Version)
		}
	}
}

func (s *state) logUnknownRegions(config *routing.Config) {
	known := slices.Collect(maps.Values(s.policy().Regions))
	for _, r := range config.Routes {
		for _, region := range r.Regions {
			if !slices.Contains(known, region) {
				event.RegionUnknown.Log(s.log, "route", r.Name, "region", region, "version", config.Version)
			}
		}
	}
}

// isMinorTargetChange reports whether a target's row changed only in its warm-up
// progress, which every instance counts down by itself. All targets of a fleet warm
// up together, each with a change at every report. A target that turns cold again is
// no minor change.
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
		a.Slots == b.Slots && a.Draining == b.Draining && b.WarmupLeft <= a.WarmupLeft
}

// joinAssignmentRows replaces the rows of assignments that are stored in parts by a row
// each, the form in which instances exchange them.
func (s *state) joinAssignmentRows(stored []platform.Row) ([]platform.Row, error) {
	rows, revisions := ownership.Rows{}, map[string]uint64{}
	for _, r := range stored {
		rows[r.Key], revisions[r.Key] = r.Value, r.Revision
	}
	assignments, err := rows.Assemble()
	var part *ownership.PartError
	switch {
	case errors.As(err, &part):
		// The rows were read in several calls and have changed between them.
		return nil, err
	case err != nil:
		event.RowUnusable.Log(s.log, "table", coordinator.AssignmentTable, "error", err)
	}
	var joined []platform.Row
	for service, a := range assignments {
		text, err := json.Marshal(a)
		if err != nil {
			return nil, err
		}
		joined = append(joined, platform.Row{Table: coordinator.AssignmentTable, Key: service, Value: text, Revision: revisions[service]})
	}
	return joined, nil
}

func (s *state) applyAssignments(u mirror.Update) {
	for _, r := range u.Rows {
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

func (s *state) hasAssignment(service string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.assignments[service]
	return a != nil && a.revision >= revision
}

// setAssignment puts a service's assignment in force unless the one in force is as new.
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

func (s *state) encodeAssignment(service string) platform.Row {
	s.mu.Lock()
	a := s.assignments[service]
	s.mu.Unlock()
	value, err := json.Marshal(a.assignment)
	if err != nil {
		panic("instance: encode assignment of service " + service + ": " + err.Error())
	}
	return platform.Row{Table: coordinator.AssignmentTable, Key: service, Value: value, Revision: a.revision}
}

// currentAssignment returns a service's assignment and a channel that is closed when
// a newer one is in force. Both are nil while there is none.
func (s *state) currentAssignment(service string) (*ownership.Assignment, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.assignments[service]
	if a == nil {
		return nil, nil
	}
	return a.assignment, a.superseded
}

// withUpdate returns the assignment that results from an update; nil if the update's
// base is not the assignment in force. Handled is set if there is nothing more to
// do: the update is in force already, or parts of it are still missing.
func (s *state) withUpdate(u *peers.AssignmentUpdate) (next *ownership.Assignment, handled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.assignments[u.Service]
	if a != nil && a.revision < u.Revision && u.Parts > 1 {
		if u = s.collectParts(u); u == nil {
			return nil, true
		}
	}
	if a == nil || a.revision < u.Base {
		return nil, false
	}
	if a.revision >= u.Revision {
		return nil, true
	}
	if a.revision != u.Base {
		return nil, false
	}
	return a.assignment.With(u.Term, u.Pieces), false
}

// collectParts keeps the parts of an update. It returns nil until all have arrived,
// and then the complete update.
func (s *state) collectParts(u *peers.AssignmentUpdate) *peers.AssignmentUpdate {
	if s.updateParts == nil {
		s.updateParts = map[string]*updateParts{}
	}
	received := s.updateParts[u.Service]
	if received == nil || received.revision != u.Revision {
		received = &updateParts{revision: u.Revision, parts: map[int]*peers.AssignmentUpdate{}}
		s.updateParts[u.Service] = received
	}
	received.parts[u.Part] = u
	if len(received.parts) < u.Parts {
		return nil
	}
	delete(s.updateParts, u.Service)
	complete := *u
	complete.Pieces = nil
	for _, p := range received.parts {
		complete.Pieces = append(complete.Pieces, p.Pieces...)
	}
	return &complete
}

// readInstances returns the instances in the rows of the table, which is always read whole.
func (s *state) readInstances(u mirror.Update) map[string]peers.Instance {
	all := map[string]peers.Instance{}
	revisions := map[string]uint64{}
	for _, r := range u.Rows {
		var i peers.Instance
		if err := json.Unmarshal(r.Value, &i); err != nil {
			event.RowUnusable.Log(s.log, "table", r.Table, "key", r.Key, "revision", r.Revision, "error", err)
			continue
		}
		// An instance that got another number of cores has rows under two keys.
		if r.Revision >= revisions[i.Name] {
			all[i.Name], revisions[i.Name] = i, r.Revision
		}
	}
	return all
}
