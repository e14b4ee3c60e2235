// Package roster keeps the list of targets that the platform names.
package roster

import (
	"sync"
	"sync/atomic"
	"time"
)

// Target is one lifetime of a server that runs requests.
type Target struct {
	ID string
	// Started is the start of this lifetime, in Unix milliseconds; a higher one
	// under the same ID is another lifetime, which knows nothing of before.
	Started int64
	Service string
	Address string
	Zone    string
	Slots   int
	// Seq grows with each of the target's own reports.
	Seq      int64
	Draining bool
	// WarmupLeft is how much longer the target is slow, at its report.
	WarmupLeft time.Duration
	// FirstSeen is when this instance first saw this lifetime.
	FirstSeen time.Time
	// LeavingSince is when this instance first saw it leaving; zero if it does not.
	LeavingSince time.Time
}

// Incarnation names one lifetime.
type Incarnation struct {
	ID      string
	Started int64
}

// Incarnation returns the lifetime's name.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.Started} }

// View is the list at one moment. It does not change.
type View struct {
	Targets   map[string]*Target
	ByService map[string][]*Target
	// ByAddress has the youngest target at each address.
	ByAddress map[string]*Target
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	// Digest is the same for views that name the same targets in the same
	// states.
	Digest uint64
}

// Roster is the list as it changes. The zero value is empty.
type Roster struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// Change is one row's news; a nil Target says that the row is gone.
type Change struct {
	ID     string
	Target *Target
}

// Load returns the present view.
func (r *Roster) Load() *View {
	if v := r.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Apply takes in changes up to a revision. It returns the lifetimes that
// appeared and those that left or began to leave.
func (r *Roster) Apply(now time.Time, changes []Change, revision uint64) (came, left []*Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := newViewBuilder(r.Load(), revision)
	for _, c := range changes {
		in, out := d.apply(now, c)
		if in != nil {
			came = append(came, in)
		}
		if out != nil {
			left = append(left, out)
		}
	}
	r.view.Store(d.finish())
	return came, left
}

// Replace takes in a whole list.
func (r *Roster) Replace(now time.Time, list []*Target, revision uint64) (came, left []*Target) {
	named := map[string]bool{}
	changes := make([]Change, 0, len(list))
	for _, t := range list {
		named[t.ID] = true
		changes = append(changes, Change{ID: t.ID, Target: t})
	}
	for id := range r.Load().Targets {
		if !named[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	return r.Apply(now, changes, revision)
}

// isOutdated tells of a report that was overtaken by a newer one.
func isOutdated(t, than *Target) bool {
	if t.Started != than.Started {
		return t.Started < than.Started
	}
	return t.Seq < than.Seq
}
