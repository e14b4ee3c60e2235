package roster

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// draft is the next view while changes are taken in. What they don't touch is
// shared with the view before.
type draft struct {
	*View
	// services are those whose lists have changed.
	services map[string]bool
	changed  bool
}

func newDraft(old *View, revision uint64) *draft {
	d := &draft{services: map[string]bool{}, View: &View{
		Targets: maps.Clone(old.Targets), Services: maps.Clone(old.Services), Addresses: old.Addresses,
		Revision: revision, Digest: old.Digest,
	}}
	if d.Targets == nil {
		d.Targets, d.Services, d.Addresses = map[string]*Target{}, map[string][]*Target{}, map[string]*Target{}
	}
	return d
}

// apply takes in a change. It returns the lifetime that appeared, and the one that
// left or began to leave.
func (d *draft) apply(now time.Time, c Change) (came, left *Target) {
	old := d.Targets[c.ID]
	if c.Target == nil {
		d.set(c.ID, old, nil)
		return nil, old
	}
	if old != nil && isOlder(c.Target, old) {
		return nil, nil
	}
	t := *c.Target
	fresh := old == nil || old.Born != t.Born
	t.Seen = now
	if !fresh {
		t.Seen, t.Left = old.Seen, old.Left
	}
	if t.Draining && t.Left.IsZero() {
		t.Left = now
		left = &t
	}
	d.set(c.ID, old, &t)
	if fresh {
		came = &t
	}
	return came, left
}

// set puts a target in the place of another one; either may be nil.
func (d *draft) set(id string, old, next *Target) {
	if old != nil {
		d.Digest ^= old.digest()
		d.services[old.Service] = true
		delete(d.Targets, id)
	}
	if next != nil {
		d.Digest ^= next.digest()
		d.services[next.Service] = true
		d.Targets[id] = next
	}
	d.changed = d.changed || old != next
}

// finish makes the lists that have changed.
func (d *draft) finish() *View {
	if !d.changed {
		return d.View
	}
	d.Addresses = make(map[string]*Target, len(d.Targets))
	for service := range d.services {
		delete(d.Services, service)
	}
	for _, t := range d.Targets {
		if d.services[t.Service] {
			d.Services[t.Service] = append(d.Services[t.Service], t)
		}
		if other := d.Addresses[t.Address]; other == nil || other.Born < t.Born {
			d.Addresses[t.Address] = t
		}
	}
	return d.View
}

func (t *Target) digest() uint64 {
	text := t.ID + "\x00" + t.Address + "\x00" + strconv.FormatInt(t.Born, 10) + strconv.FormatBool(t.Draining)
	return xxhash.Sum64String(text)
}
