package roster

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// viewBuilder applies changes to a copy of a view.
type viewBuilder struct {
	*View
	// copied are the groups whose lists are not shared with the former view any more.
	copied map[group]bool
	// removed are the incarnations that were removed earlier; those that the changes remove are added.
	removed map[Incarnation]removal
}

func newViewBuilder(old *View, revision uint64) *viewBuilder {
	return &viewBuilder{View: old.withIndexes(revision), copied: map[group]bool{}}
}

// apply applies a change; an outdated one is ignored. It returns the incarnation that was
// added, and the one that was removed or began to drain.
func (b *viewBuilder) apply(now time.Time, c Change) (added, leaving *Target) {
	old := b.Find(c.ID)
	if c.Target == nil {
		if old != nil {
			b.removed[old.Incarnation()] = removal{old, now}
		}
		b.set(old, nil)
		return nil, old
	}
	if old != nil && isOutdated(c.Target, old) {
		return nil, nil
	}
	t := *c.Target
	isNew := old == nil || old.Started != t.Started
	t.listedDraining = t.Draining
	t.FirstSeen, t.ColdUntil = now, now.Add(t.WarmupLeft)
	known := old
	if isNew {
		known = b.removed[t.Incarnation()].target
	}
	if known != nil {
		t.keepHistory(known)
	}
	if t.Draining && t.LeavingSince.IsZero() {
		t.LeavingSince = now
		if known == nil {
			// Since when it has been leaving is not known.
			t.LeavingSince = now.Add(-ownerGrace)
		}
		leaving = &t
	}
	if b.Since.IsZero() {
		b.Since = now
	}
	b.set(old, &t)
	if isNew {
		added = &t
	}
	return added, leaving
}

// keepHistory takes over what this instance knows of the incarnation since it was first listed.
func (t *Target) keepHistory(known *Target) {
	t.FirstSeen, t.LeavingSince = known.FirstSeen, known.LeavingSince
	if known.statedLeaving {
		t.Draining, t.statedLeaving = true, true
	}
	if t.Seq == known.Seq {
		// The same report, received again.
		t.ColdUntil = known.ColdUntil
	}
}

// set replaces the target old by next; either may be nil.
func (b *viewBuilder) set(old, next *Target) {
	if old != nil {
		b.remove(old, next)
	}
	if next != nil {
		b.add(old, next)
	}
}

func (b *viewBuilder) remove(old, next *Target) {
	b.Digest ^= old.digest()
	if next == nil {
		b.byID = b.byID.Delete(old.ID)
	}
	if next == nil || next.Address != old.Address {
		list, _ := b.byAddress.Get(old.Address)
		rest := slices.DeleteFunc(slices.Clone(list), func(t *Target) bool { return t.ID == old.ID })
		if len(rest) == 0 {
			b.byAddress = b.byAddress.Delete(old.Address)
		} else {
			b.byAddress = b.byAddress.Set(old.Address, rest)
		}
	}
	if g := groupOf(old); next == nil || groupOf(next) != g {
		list := b.mutableGroup(g)
		list = slices.Delete(list, slices.Index(list, old), slices.Index(list, old)+1)
		if b.groups[g] = list; len(list) == 0 {
			delete(b.groups, g)
			delete(b.copied, g)
		}
	}
}

func (b *viewBuilder) add(old, next *Target) {
	b.Digest ^= next.digest()
	b.byID = b.byID.Set(next.ID, next)
	list, _ := b.byAddress.Get(next.Address)
	if old != nil && old.Address == next.Address {
		list = slices.DeleteFunc(slices.Clone(list), func(t *Target) bool { return t.ID == old.ID })
	}
	b.byAddress = b.byAddress.Set(next.Address, append(slices.Clip(list), next))
	g := groupOf(next)
	members := b.mutableGroup(g)
	if old != nil && groupOf(old) == g {
		members[slices.Index(members, old)] = next
		return
	}
	b.groups[g] = append(members, next)
}

func groupOf(t *Target) group { return group{t.Service, t.Zone} }

// mutableGroup returns a group's list, copied if it was shared with the former view.
func (b *viewBuilder) mutableGroup(g group) []*Target {
	if !b.copied[g] {
		b.groups[g] = slices.Clone(b.groups[g])
		b.copied[g] = true
	}
	return b.groups[g]
}

// digest hashes what View.Digest covers: what the platform lists, which is the same for all.
func (t *Target) digest() uint64 {
	text := t.ID + "\x00" + t.Address + "\x00" + strconv.FormatInt(t.Started, 10) + strconv.FormatBool(t.listedDraining)
	return xxhash.Sum64String(text)
}
