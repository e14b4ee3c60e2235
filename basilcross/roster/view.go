package roster

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// View is an immutable snapshot of the list. The zero value is empty. A changed view shares
// what has not changed with the one before, so that a change of one target costs little in
// a fleet of thousands.
type View struct {
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	// Digest is equal for views that list the same targets in the same states.
	Digest uint64
	// Since is when the list was filled first; zero while it has always been empty.
	Since time.Time

	byID *immutable.Map[string, *Target]
	// byAddress has the targets at each address, mostly one.
	byAddress *immutable.Map[string, []*Target]
	groups    map[group][]*Target
}

// group is the targets of a service in an availability zone.
type group struct{ service, zone string }

// Len returns the number of targets.
func (v *View) Len() int {
	if v.byID == nil {
		return 0
	}
	return v.byID.Len()
}

// Find returns the target of an ID, or nil.
func (v *View) Find(id string) *Target {
	if v.byID == nil {
		return nil
	}
	t, _ := v.byID.Get(id)
	return t
}

// At returns the target that started last at an address, or nil.
func (v *View) At(address string) *Target {
	if v.byAddress == nil {
		return nil
	}
	list, _ := v.byAddress.Get(address)
	var last *Target
	for _, t := range list {
		if last == nil || last.Started < t.Started {
			last = t
		}
	}
	return last
}

// All returns the targets in no particular order.
func (v *View) All() iter.Seq[*Target] {
	return func(yield func(*Target) bool) {
		for _, list := range v.groups {
			for _, t := range list {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// Zones returns the availability zones that have targets of a service, in order.
func (v *View) Zones(service string) []string {
	var zones []string
	for g := range v.groups {
		if g.service == service {
			zones = append(zones, g.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// InZone returns a service's targets in an availability zone. The caller must not modify
// the slice.
func (v *View) InZone(service, zone string) []*Target { return v.groups[group{service, zone}] }

// OfService returns a service's targets.
func (v *View) OfService(service string) []*Target {
	var list []*Target
	for _, zone := range v.Zones(service) {
		list = append(list, v.InZone(service, zone)...)
	}
	return list
}

// withIndexes returns a view that shares the indexes of v and can be changed by set.
func (v *View) withIndexes(revision uint64) *View {
	next := &View{Revision: revision, Digest: v.Digest, Since: v.Since, byID: v.byID, byAddress: v.byAddress, groups: maps.Clone(v.groups)}
	if next.byID == nil {
		next.byID, next.byAddress = immutable.NewMap[string, *Target](nil), immutable.NewMap[string, []*Target](nil)
	}
	if next.groups == nil {
		next.groups = map[group][]*Target{}
	}
	return next
}
