// Package roster keeps the list of targets, as the platform publishes it.
package roster

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Target is one incarnation of a server that runs requests.
type Target struct {
	ID string
	// Started is the start time of this incarnation, in Unix milliseconds. A higher value
	// under the same ID is another incarnation, which keeps no state of the one before.
	Started int64
	Service string
	Address string
	Zone    string
	// Slots is how many requests the target runs at a time.
	Slots int
	// Seq grows with each report of the target.
	Seq      int64
	Draining bool
	// WarmupLeft is how much longer the target is cold, as of its report.
	WarmupLeft time.Duration
	// ColdUntil is when the target has warmed up, counted from when this instance received
	// the report; it is never too early.
	ColdUntil time.Time
	// FirstSeen is when this instance first saw the incarnation.
	FirstSeen time.Time
	// LeavingSince is when this instance first saw the target draining; zero otherwise. It lies earlier if the
	// target was draining when it was first listed.
	LeavingSince time.Time

	// listedDraining is set if the platform lists the target as draining, and statedLeaving if its answers
	// state that it leaves; either makes it Draining.
	listedDraining, statedLeaving bool
}

// Incarnation identifies one start of a target under its ID.
type Incarnation struct {
	ID      string
	Started int64
}

// Incarnation returns the target's identity.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.Started} }

// ListedDraining reports whether the platform lists the target as draining.
func (t *Target) ListedDraining() bool { return t.listedDraining }

// ownerGrace is how long a target that leaves still gets requests for keys that it owns, while they move to other
// targets. The users allow 2 s from the store's acknowledgement.
const ownerGrace = 700 * time.Millisecond

// Accepts reports whether the target may be sent requests. One that leaves gets only those for keys that it owns,
// and only for a while.
func (t *Target) Accepts(now time.Time, owner bool) bool {
	return !t.Draining || owner && now.Sub(t.LeavingSince) < ownerGrace
}

// IsCold reports whether the target is warming up: it is slower then, and may crash under
// the usual rate of requests.
func (t *Target) IsCold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Roster holds the current view and applies changes to it. The zero value is empty.
type Roster struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
	// removed are the incarnations that are not listed any more, and when that was seen. A row may lapse
	// and come back, and an update may repeat both.
	removed map[Incarnation]removal
}

// removal is a target as it was listed last, and when it was removed.
type removal struct {
	target *Target
	at     time.Time
}

// removedTTL is how long a removed incarnation is remembered.
const removedTTL = time.Minute

// Change is the new content of one row; Target is nil if the row was deleted.
type Change struct {
	ID     string
	Target *Target
}

// Load returns the current view.
func (r *Roster) Load() *View {
	if v := r.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Apply applies changes up to a revision of the store; outdated ones are ignored. It
// returns the incarnations that were added, and those that were removed or began to
// drain.
func (r *Roster) Apply(now time.Time, changes []Change, revision uint64) (added, leaving []*Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.removed, func(_ Incarnation, x removal) bool { return now.Sub(x.at) > removedTTL })
	if r.removed == nil {
		r.removed = map[Incarnation]removal{}
	}
	b := newViewBuilder(r.Load(), revision)
	b.removed = r.removed
	for _, c := range changes {
		in, out := b.apply(now, c)
		if in != nil {
			added = append(added, in)
		}
		if out != nil {
			leaving = append(leaving, out)
		}
	}
	r.view.Store(b.View)
	return added, leaving
}

// MarkLeaving marks a target as draining whose answers state that it leaves, also if the platform does not
// list it as that. It returns the target if that is new.
func (r *Roster) MarkLeaving(now time.Time, t Incarnation) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.Load()
	old := view.Find(t.ID)
	if old == nil || old.Started != t.Started || old.statedLeaving {
		return nil
	}
	marked := *old
	marked.Draining, marked.statedLeaving = true, true
	if marked.LeavingSince.IsZero() {
		marked.LeavingSince = now
	}
	b := newViewBuilder(view, view.Revision)
	b.set(old, &marked)
	r.view.Store(b.View)
	return &marked
}

// Replace applies a complete list: targets that it does not contain are removed. It
// returns the same as Apply.
func (r *Roster) Replace(now time.Time, list []*Target, revision uint64) (added, leaving []*Target) {
	listed := map[string]bool{}
	changes := make([]Change, 0, len(list))
	for _, t := range list {
		listed[t.ID] = true
		changes = append(changes, Change{ID: t.ID, Target: t})
	}
	for t := range r.Load().All() {
		if !listed[t.ID] {
			changes = append(changes, Change{ID: t.ID})
		}
	}
	return r.Apply(now, changes, revision)
}

// isOutdated reports whether t is of an earlier incarnation or report than known.
func isOutdated(t, known *Target) bool {
	if t.Started != known.Started {
		return t.Started < known.Started
	}
	return t.Seq < known.Seq
}
