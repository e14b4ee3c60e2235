// Package view holds the configuration and the assignments in force on an
// instance, as immutable snapshots that requests read without locks.
package view

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/shard"
)

// Service is one service's assignment in force, indexed; it is immutable.
type Service struct {
	Assignment *assignment.Assignment
	// ShardMap is nil if the service is not sharded.
	ShardMap *shard.Map
	Targets  map[string]*assignment.Target
	// Active lists the targets that may receive new requests.
	Active []*assignment.Target
}

// Snapshot is the state in force at one moment; it is immutable.
type Snapshot struct {
	Config   *config.Document
	Services map[string]*Service
	// Changed is closed when a newer snapshot is published.
	Changed <-chan struct{}

	changed          chan struct{}
	kinds            map[config.Scope]*Kind
	hasKeyExceptions bool
}

// Kind holds a kind's rules in one zone, with every field set.
type Kind struct {
	Idempotent bool
	Rules      config.Rules
}

// maxKeptDeltas is how many deltas per service are kept for followers.
const maxKeptDeltas = 64

// View holds the current snapshot. Zone is the instance's zone. The zero value is
// an empty view.
type View struct {
	Zone string

	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	deltas  map[string][]assignment.Delta
}

// Load returns the current snapshot, without a lock except before the first one.
func (v *View) Load() *Snapshot {
	if s := v.current.Load(); s != nil {
		return s
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current.Load() == nil {
		v.publish(&Snapshot{})
	}
	return v.current.Load()
}

// publish makes s the current snapshot. The caller holds mu.
func (v *View) publish(s *Snapshot) {
	s.changed = make(chan struct{})
	s.Changed = s.changed
	old := v.current.Swap(s)
	if old != nil {
		close(old.changed)
	}
}

func (v *View) copyCurrent() *Snapshot {
	next := &Snapshot{Services: map[string]*Service{}}
	if s := v.current.Load(); s != nil {
		next.Config, next.kinds, next.hasKeyExceptions = s.Config, s.kinds, s.hasKeyExceptions
		for name, service := range s.Services {
			next.Services[name] = service
		}
	}
	return next
}

// StaleError reports an offered version that is not newer than the one in force.
type StaleError struct {
	Name             string
	InForce, Offered uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("%s: offered version %d is not newer than version %d in force", e.Name, e.Offered, e.InForce)
}

// SetConfig puts a configuration in force. It returns a StaleError for one that
// is not newer, since an instance never goes back to an older version.
func (v *View) SetConfig(d *config.Document) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.copyCurrent()
	if next.Config != nil && d.Version <= next.Config.Version {
		return &StaleError{Name: "config", InForce: next.Config.Version, Offered: d.Version}
	}
	next.Config = d
	next.indexKinds(v.Zone, time.Now())
	v.publish(next)
	return nil
}

// Refresh resolves the rules again, since exceptions expire with time.
func (v *View) Refresh(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.copyCurrent()
	if next.Config == nil {
		return
	}
	next.indexKinds(v.Zone, now)
	v.publish(next)
}

// indexKinds resolves each kind's rules for this zone, so that a request needs
// only one lookup unless there are exceptions for keys.
func (s *Snapshot) indexKinds(zone string, now time.Time) {
	s.kinds = map[config.Scope]*Kind{}
	s.hasKeyExceptions = false
	for _, k := range s.Config.Kinds {
		scope := config.Scope{Service: k.Service, Kind: k.Name}
		query := scope
		query.Zone = zone
		s.kinds[scope] = &Kind{Idempotent: k.Idempotent, Rules: s.Config.Resolve(query, now)}
	}
	for _, e := range s.Config.Exceptions {
		s.hasKeyExceptions = s.hasKeyExceptions || e.Scope.Key != "" && e.ActiveAt(now)
	}
}

// Kind returns the rules for a request; ok is false if there is no such kind.
func (s *Snapshot) Kind(zone, service, kind, key string) (k Kind, ok bool) {
	found, ok := s.kinds[config.Scope{Service: service, Kind: kind}]
	if !ok {
		return Kind{}, false
	}
	if !s.hasKeyExceptions {
		return *found, true
	}
	query := config.Scope{Service: service, Kind: kind, Zone: zone, Key: key}
	return Kind{Idempotent: found.Idempotent, Rules: s.Config.Resolve(query, time.Now())}, true
}

// ApplyDelta puts a newer version of an assignment in force; one that is not newer is
// ignored. The error is a *assignment.VersionError if the delta starts neither at the
// current version nor at 0.
func (v *View) ApplyDelta(d assignment.Delta) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.copyCurrent()
	current := &assignment.Assignment{Service: d.Service}
	if s, ok := next.Services[d.Service]; ok {
		current = s.Assignment
	}
	if d.To <= current.Version {
		return nil
	}
	a, err := current.Apply(d)
	if err != nil {
		return fmt.Errorf("apply delta of service %q from version %d to %d: %w", d.Service, d.From, d.To, err)
	}
	service, err := newService(a)
	if err != nil {
		return fmt.Errorf("index version %d of service %q: %w", d.To, d.Service, err)
	}
	next.Services[d.Service] = service
	v.keepDelta(d)
	v.publish(next)
	return nil
}

func (v *View) keepDelta(d assignment.Delta) {
	if v.deltas == nil {
		v.deltas = map[string][]assignment.Delta{}
	}
	kept := v.deltas[d.Service]
	if d.From == 0 {
		kept = nil
	}
	if len(kept) >= maxKeptDeltas {
		kept = kept[1:]
	}
	v.deltas[d.Service] = append(kept[:len(kept):len(kept)], d)
}

func newService(a *assignment.Assignment) (*Service, error) {
	s := &Service{Assignment: a, Targets: make(map[string]*assignment.Target, len(a.Targets))}
	for i := range a.Targets {
		t := &a.Targets[i]
		s.Targets[t.ID] = t
		if t.State == assignment.Active {
			s.Active = append(s.Active, t)
		}
	}
	if len(a.Shards) == 0 {
		return s, nil
	}
	m, err := shard.New(a.Shards)
	s.ShardMap = m
	return s, err
}

// DeltasSince returns the deltas from a version to the current one, or a single delta
// from version 0, which replaces all, if they are not kept.
func (v *View) DeltasSince(service string, from uint64) []assignment.Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.current.Load()
	if s == nil || s.Services[service] == nil {
		return nil
	}
	a := s.Services[service].Assignment
	if from >= a.Version {
		return nil
	}
	for i, d := range v.deltas[service] {
		if d.From == from {
			return v.deltas[service][i:]
		}
	}
	return []assignment.Delta{assignment.Diff(&assignment.Assignment{Service: service}, a)}
}

// Versions returns the versions in force, by service name and ConfigName.
func (s *Snapshot) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(s.Services)+1)
	for name, service := range s.Services {
		versions[name] = service.Assignment.Version
	}
	if s.Config != nil {
		versions[ConfigName] = s.Config.Version
	}
	return versions
}

// ConfigName is the configuration's name in Versions; no service may have it.
const ConfigName = "$config"
