// Package assignment is the versioned map from a service's shards to targets.
package assignment

import (
	"fmt"
	"slices"
	"strings"

	"basilcross.example/basilcross/shard"
)

// State says what a target may be given.
type State string

// The states of a target.
const (
	// Active targets own shards and get requests.
	Active State = "active"
	// Draining targets finish what they have and get nothing new.
	Draining State = "draining"
	// Lost targets own nothing until they answer again.
	Lost State = "lost"
)

// Target is one server of a service.
type Target struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	// Fenced targets check grants themselves and refuse what is not theirs.
	Fenced bool `json:"fenced"`
	// Slots is how many requests the target runs at a time.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Generation grows whenever the planner settles whether the target may
	// hold its grants; zone leaders renew it for this generation only.
	Generation uint64 `json:"generation"`
	// StateSince is the assignment version of the last change of State.
	StateSince uint64 `json:"since"`
	// GrantsVersion is the version that last changed what the target owns. Renewers
	// send it instead of the assignment's own, so that a change elsewhere
	// makes nobody send the same grants again.
	GrantsVersion uint64 `json:"grants,omitempty"`
}

// Assignment is one version of a service's map. An undivided service has
// targets and no shards.
type Assignment struct {
	Service string        `json:"service"`
	Version uint64        `json:"version"`
	Targets []Target      `json:"targets"`
	Shards  []shard.Shard `json:"shards"`
	Cause   string        `json:"cause,omitempty"`
}

// Target returns the target of this identifier.
func (a *Assignment) Target(id string) (t Target, ok bool) {
	i := a.targetIndex(id)
	if i < 0 {
		return Target{}, false
	}
	return a.Targets[i], true
}

func (a *Assignment) targetIndex(id string) int {
	return slices.IndexFunc(a.Targets, func(t Target) bool { return t.ID == id })
}

// SetTarget adds the target, or replaces the one with its identifier.
func (a *Assignment) SetTarget(t Target) {
	if i := a.targetIndex(t.ID); i >= 0 {
		a.Targets[i] = t
		return
	}
	a.Targets = append(a.Targets, t)
}

// Clone returns a copy that shares no slice with the original.
func (a *Assignment) Clone() *Assignment {
	c := *a
	c.Targets = slices.Clone(a.Targets)
	c.Shards = slices.Clone(a.Shards)
	return &c
}

// OwnedBy returns the shards of a target, those on the move included.
func (a *Assignment) OwnedBy(target string) []shard.Shard {
	var owned []shard.Shard
	for _, s := range a.Shards {
		if s.Owner == target {
			owned = append(owned, s)
		}
	}
	return owned
}

// Delta turns version From into version To. From zero replaces all.
type Delta struct {
	Service        string        `json:"service"`
	From           uint64        `json:"from"`
	To             uint64        `json:"to"`
	Targets        []Target      `json:"targets,omitempty"`
	RemovedTargets []string      `json:"removedTargets,omitempty"`
	Shards         []shard.Shard `json:"shards,omitempty"`
	// RemovedShards are the first hashes of shards that split, merged or changed.
	RemovedShards []uint64 `json:"removedShards,omitempty"`
	Cause         string   `json:"cause,omitempty"`
}

// VersionError says that a delta does not continue the version at hand.
type VersionError struct {
	Current, From uint64
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("delta starts at version %d, have %d", e.From, e.Current)
}

// Diff returns the delta between two versions.
func Diff(from, to *Assignment) Delta {
	d := Delta{Service: to.Service, From: from.Version, To: to.Version, Cause: to.Cause}
	old := make(map[string]Target, len(from.Targets))
	for _, t := range from.Targets {
		old[t.ID] = t
	}
	for _, t := range to.Targets {
		if old[t.ID] != t {
			d.Targets = append(d.Targets, t)
		}
		delete(old, t.ID)
	}
	for id := range old {
		d.RemovedTargets = append(d.RemovedTargets, id)
	}
	slices.Sort(d.RemovedTargets)
	d.diffShards(from.Shards, to.Shards)
	return d
}

func (d *Delta) diffShards(from, to []shard.Shard) {
	old := make(map[uint64]shard.Shard, len(from))
	for _, s := range from {
		old[s.First] = s
	}
	for _, s := range to {
		before, ok := old[s.First]
		delete(old, s.First)
		if ok && before == s {
			continue
		}
		d.Shards = append(d.Shards, s)
	}
	for first := range old {
		d.RemovedShards = append(d.RemovedShards, first)
	}
	slices.Sort(d.RemovedShards)
}

// Apply returns the version that the delta leads to.
func (a *Assignment) Apply(d Delta) (*Assignment, error) {
	if d.From != 0 && d.From != a.Version {
		return nil, &VersionError{Current: a.Version, From: d.From}
	}
	next := &Assignment{Service: d.Service, Version: d.To, Cause: d.Cause}
	if d.From != 0 {
		next.Targets = slices.Clone(a.Targets)
		next.Shards = unchangedShards(a.Shards, d)
	}
	next.Targets = slices.DeleteFunc(next.Targets, func(t Target) bool {
		return slices.Contains(d.RemovedTargets, t.ID)
	})
	for _, t := range d.Targets {
		next.SetTarget(t)
	}
	next.Shards = append(next.Shards, d.Shards...)
	next.sort()
	return next, nil
}

func unchangedShards(shards []shard.Shard, d Delta) []shard.Shard {
	gone := make(map[uint64]bool, len(d.Shards)+len(d.RemovedShards))
	for _, s := range d.Shards {
		gone[s.First] = true
	}
	for _, first := range d.RemovedShards {
		gone[first] = true
	}
	kept := make([]shard.Shard, 0, len(shards))
	for _, s := range shards {
		if !gone[s.First] {
			kept = append(kept, s)
		}
	}
	return kept
}

func (a *Assignment) sort() {
	slices.SortFunc(a.Targets, func(x, y Target) int { return strings.Compare(x.ID, y.ID) })
	slices.SortFunc(a.Shards, func(x, y shard.Shard) int {
		if x.First < y.First {
			return -1
		}
		return 1
	})
}
