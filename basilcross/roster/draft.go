package roster

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// viewBuilder is the next view while changes are taken in. What they don't touch is
// shared with the view before.
type viewBuilder struct {
	*View
	// changedServices are those whose lists have changed.
	changedServices map[string]bool
	changed         bool
}

func newViewBuilder(old *View, revision uint64) *viewBuilder {
	d := &viewBuilder{changedServices: map[string]bool{}, View: &View{
		Targets: maps.Clone(old.Targets), ByService: maps.Clone(old.ByService), ByAddress: old.ByAddress,
		Revision: revision, Digest: old.Digest,
	}}
	if d.Targets == nil {
		d.Targets, d.ByService, d.ByAddress = map[string]*Target{}, map[string][]*Target{}, map[string]*Target{}
	}
	return d
}

// apply takes in a change. It returns the lifetime that appeared, and the one that
// left or began to leave.
func (d *viewBuilder) apply(now time.Time, c Change) (came, left *Target) {
	old := d.Targets[c.ID]
	if c.Target == nil {
		d.set(c.ID, old, nil)
		return nil, old
	}
	if old != nil && isOutdated(c.Target, old) {
		return nil, nil
	}
	t := *c.Target
	fresh := old == nil || old.Started != t.Started
	t.FirstSeen = now
	if !fresh {
		t.FirstSeen, t.LeavingSince = old.FirstSeen, old.LeavingSince
	}
	if t.Draining && t.LeavingSince.IsZero() {
		t.LeavingSince = now
		left = &t
	}
	d.set(c.ID, old, &t)
	if fresh {
		came = &t
	}
	return came, left
}

// set puts a target in the place of another one; either may be nil.
func (d *viewBuilder) set(id string, old, next *Target) {
	if old != nil {
		d.Digest ^= old.digest()
		d.changedServices[old.Service] = true
		delete(d.Targets, id)
	}
	if next != nil {
		d.Digest ^= next.digest()
		d.changedServices[next.Service] = true
		d.Targets[id] = next
	}
	d.changed = d.changed || old != next
}

// finish makes the lists that have changed.
func (d *viewBuilder) finish() *View {
	if !d.changed {
		return d.View
	}
	d.ByAddress = make(map[string]*Target, len(d.Targets))
	for service := range d.changedServices {
		delete(d.ByService, service)
	}
	for _, t := range d.Targets {
		if d.changedServices[t.Service] {
			d.ByService[t.Service] = append(d.ByService[t.Service], t)
		}
		if other := d.ByAddress[t.Address]; other == nil || other.Started < t.Started {
			d.ByAddress[t.Address] = t
		}
	}
	return d.View
}

func (t *Target) digest() uint64 {
	text := t.ID + "\x00" + t.Address + "\x00" + strconv.FormatInt(t.Started, 10) + strconv.FormatBool(t.Draining)
	return xxhash.Sum64String(text)
}
