package instance

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/roster"
	"basilcross.example/gateway/mirror"
	"basilcross.example/platform"
)

// unnamedTargets are the targets in rows whose service the configuration in force does not name. Another writer
// may have written them, so they prove nothing about the targets at their addresses. They count once a
// configuration names their service. The zero value is ready to use.
type unnamedTargets struct {
	// mu is held while targets are applied, so that none is missed while a configuration is put in force.
	mu   sync.Mutex
	byID map[string]*roster.Target
}

// UnnamedServiceError reports a target's row with a service that the configuration in force does not name.
type UnnamedServiceError struct{ Target, Service string }

func (e *UnnamedServiceError) Error() string {
	return fmt.Sprintf("target %s: service %q is not in the configuration in force", e.Target, e.Service)
}

func (s *state) applyTargets(u mirror.Update) {
	s.unnamed.mu.Lock()
	defer s.unnamed.mu.Unlock()
	now := time.Now()
	s.targetLines.flush(s.log, now)
	first := s.roster.Load().Len() == 0
	var added, leaving []*roster.Target
	if u.Full {
		added, leaving = s.roster.Replace(now, s.listedTargets(u.Rows), u.Revision)
	} else {
		added, leaving = s.roster.Apply(now, s.targetChanges(u.Rows), u.Revision)
	}
	if s.targetsChanged != nil {
		s.targetsChanged(added, leaving)
	}
	if first && u.Full {
		event.TargetsLoaded.Log(s.log, "targets", len(added), "leaving", len(leaving), "revision", u.Revision)
		return
	}
	s.logTargets(now, added, leaving, u.Revision)
}

// listedTargets returns the targets of a complete list of rows. A target whose row has become unusable is kept as
// it was: the row names no target.
func (s *state) listedTargets(rows []platform.Row) []*roster.Target {
	s.unnamed.byID = nil
	list := make([]*roster.Target, 0, len(rows))
	for _, r := range rows {
		if t := s.usableTarget(r); t != nil {
			list = append(list, t)
		} else if known := s.roster.Load().Find(r.Key); known != nil {
			kept := *known
			kept.Draining = known.ListedDraining()
			list = append(list, &kept)
		}
	}
	return list
}

func (s *state) targetChanges(rows []platform.Row) []roster.Change {
	changes := make([]roster.Change, 0, len(rows))
	for _, r := range rows {
		if r.Removed {
			delete(s.unnamed.byID, r.Key)
			changes = append(changes, roster.Change{ID: r.Key})
		} else if t := s.usableTarget(r); t != nil {
			changes = append(changes, roster.Change{ID: r.Key, Target: t})
		}
	}
	return changes
}

// FutureStartError reports a target's row with a start time that no clock shows yet.
type FutureStartError struct {
	Target  string
	Started time.Time
}

func (e *FutureStartError) Error() string {
	return fmt.Sprintf("target %s: start time %v is in the future", e.Target, e.Started)
}

// maxClockError is how far a target's clock may be ahead of ours. All are close to the true time, but one that is set wrongly must not
// hide all targets.
const maxClockError = 24 * time.Hour

// checkStart returns an error if the target cannot have started yet: the rows of the one that has its ID would count
// as those of an earlier incarnation.
func checkStart(now time.Time, t *roster.Target) error {
	if started := time.UnixMilli(t.Started); started.After(now.Add(maxClockError)) {
		return &FutureStartError{Target: t.ID, Started: started}
	}
	return nil
}

// usableTarget returns the target of a row; nil if the row is invalid or its service is not named.
func (s *state) usableTarget(r platform.Row) *roster.Target {
	t, err := platform.ParseTarget(r.Key, r.Value)
	if err == nil {
		err = checkStart(time.Now(), t)
	}
	if err == nil && !s.isNamed(t) {
		known := s.unnamed.byID[t.ID] != nil
		s.unnamed.add(t)
		if known {
			// It was logged; a target reports again and again.
			return nil
		}
		err = &UnnamedServiceError{Target: t.ID, Service: t.Service}
	}
	if err != nil {
		event.RowUnusable.Log(s.log, "table", r.Table, "key", r.Key, "revision", r.Revision, "error", err)
		return nil
	}
	delete(s.unnamed.byID, t.ID)
	return t
}

func (u *unnamedTargets) add(t *roster.Target) {
	if u.byID == nil {
		u.byID = map[string]*roster.Target{}
	}
	u.byID[t.ID] = t
}

// isNamed reports whether the configuration in force names the target's service, or an earlier one did when
// the target was listed. All count before the first configuration, by which nothing is sent anywhere.
func (s *state) isNamed(t *roster.Target) bool {
	table := s.routes.Load()
	if table == nil || table.Service(t.Service) != nil {
		return true
	}
	known := s.roster.Load().Find(t.ID)
	return known != nil && known.Service == t.Service
}

// applyNamedTargets applies the targets whose service the configuration names that has just been put in force.
// If it is the first one, it removes those whose service it does not name.
func (s *state) applyNamedTargets(first bool) {
	s.unnamed.mu.Lock()
	defer s.unnamed.mu.Unlock()
	var changes []roster.Change
	for id, t := range s.unnamed.byID {
		if s.isNamed(t) {
			delete(s.unnamed.byID, id)
			changes = append(changes, roster.Change{ID: id, Target: t})
		}
	}
	table, view := s.routes.Load(), s.roster.Load()
	for t := range view.All() {
		if first && table.Service(t.Service) == nil {
			s.unnamed.add(t)
			changes = append(changes, roster.Change{ID: t.ID})
		}
	}
	if len(changes) == 0 {
		return
	}
	now := time.Now()
	added, leaving := s.roster.Apply(now, changes, view.Revision)
	if s.targetsChanged != nil {
		s.targetsChanged(added, leaving)
	}
	s.logTargets(now, added, leaving, view.Revision)
}

func (s *state) logTargets(now time.Time, added, leaving []*roster.Target, revision uint64) {
	if !s.targetLines.allow(now, len(added)+len(leaving)) {
		s.targetLines.add(len(added), len(leaving))
		if !s.log.Enabled(context.Background(), slog.LevelDebug) {
			return
		}
	}
	for _, t := range added {
		event.TargetCame.Log(s.log, "target", t.ID, "born", t.Started, "service", t.Service, "zone", t.Zone, "address", t.Address,
			"slots", t.Slots, "warmingMs", t.WarmupLeft.Milliseconds(), "revision", revision)
	}
	for _, t := range leaving {
		event.TargetLeft.Log(s.log, "target", t.ID, "born", t.Started, "service", t.Service, "draining", t.Draining, "revision", revision)
	}
}
