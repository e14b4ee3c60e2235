package roster

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// viewBuilder applies changes to a copy of a view. Unchanged lists are shared with it.
type viewBuilder struct {
	*View
	changedServices map[string]bool
	changed         bool
}

func newViewBuilder(old *View, revision uint64) *viewBuilder {
	b := &viewBuilder{changedServices: map[string]bool{}, View: &View{
		Targets: maps.Clone(old.Targets), ByService: maps.Clone(old.ByService), ByAddress: old.ByAddress,
		Revision: revision, Digest: old.Digest,
	}}
	if b.Targets == nil {
		b.Targets, b.ByService, b.ByAddress = map[string]*Target{}, map[string][]*Target{}, map[string]*Target{}
	}
	return b
}

// apply applies a change; an outdated one is ignored. It returns the incarnation that was
// added, and the one that was removed or began to drain.
func (b *viewBuilder) apply(now time.Time, c Change) (added, leaving *Target) {
	old := b.Targets[c.ID]
	if c.Target == nil {
		b.set(c.ID, old, nil)
		return nil, old
	}
	if old != nil && isOutdated(c.Target, old) {
		return nil, nil
	}
	t := *c.Target
	isNew := old == nil || old.Started != t.Started
	t.FirstSeen, t.ColdUntil = now, now.Add(t.WarmupLeft)
	if !isNew {
		t.FirstSeen, t.LeavingSince = old.FirstSeen, old.LeavingSince
	}
	if !isNew && t.Seq == old.Seq {
		// The same report, received again.
		t.ColdUntil = old.ColdUntil
	}
	if t.Draining && t.LeavingSince.IsZero() {
		t.LeavingSince = now
		leaving = &t
	}
	b.set(c.ID, old, &t)
	if isNew {
		added = &t
	}
	return added, leaving
}

// set replaces the target old by next; either may be nil.
func (b *viewBuilder) set(id string, old, next *Target) {
	if old != nil {
		b.Digest ^= old.digest()
		b.changedServices[old.Service] = true
		delete(b.Targets, id)
	}
	if next != nil {
		b.Digest ^= next.digest()
		b.changedServices[next.Service] = true
		b.Targets[id] = next
	}
	b.changed = b.changed || old != next
}

func (b *viewBuilder) finish() *View {
	if !b.changed {
		return b.View
	}
	b.ByAddress = make(map[string]*Target, len(b.Targets))
	for service := range b.changedServices {
		delete(b.ByService, service)
	}
	for _, t := range b.Targets {
		if b.changedServices[t.Service] {
			b.ByService[t.Service] = append(b.ByService[t.Service], t)
		}
		if other := b.ByAddress[t.Address]; other == nil || other.Started < t.Started {
			b.ByAddress[t.Address] = t
		}
	}
	return b.View
}

// digest hashes what View.Digest covers.
func (t *Target) digest() uint64 {
	text := t.ID + "\x00" + t.Address + "\x00" + strconv.FormatInt(t.Started, 10) + strconv.FormatBool(t.Draining)
	return xxhash.Sum64String(text)
}
