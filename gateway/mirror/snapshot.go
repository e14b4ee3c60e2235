package mirror

import (
	"time"

	"basilcross.example/platform"
)

// Revision returns the revision up to which the mirror is complete.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// LastResponse returns when the store last answered; zero if it never did.
func (m *Mirror) LastResponse() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastResponse
}

// CheckFreshness shortens the feed's wait while on, so that frequent responses show
// that the mirror is up to date. The first one comes at once.
func (m *Mirror) CheckFreshness(on bool) {
	m.mu.Lock()
	enabled := on && !m.checkingFreshness
	m.checkingFreshness = on
	m.probeFreshness = m.probeFreshness && on || enabled
	m.mu.Unlock()
	if enabled {
		m.Refresh()
	}
}

// Snapshot is the content of a mirror at one moment, or what has changed in it.
type Snapshot struct {
	Table string
	// Revision is the revision up to which the rows are complete.
	Revision uint64
	// ChangedAfter is set if Rows are only those with a change after this revision that is
	// not minor. Removed are the keys of the rows that were removed after it.
	ChangedAfter uint64
	Rows         []platform.Row
	Removed      []string
}

// Snapshot returns the content of the mirror, and whether it has been loaded. If the mirror
// still has all changes after the given revision, the snapshot has only these. A revision
// of 0 requests all rows.
func (m *Mirror) Snapshot(after uint64) (Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Table: m.Table, Revision: m.revision}
	if after > 0 && after >= m.changes.completeAfter && !m.OnDemand && after <= m.revision {
		s.ChangedAfter = after
		s.Removed = m.changes.removedAfter(after)
	}
	for _, r := range m.rows {
		if s.ChangedAfter > 0 && m.changes.lastMajor[r.Key] <= after {
			continue
		}
		if r.Value == nil {
			r = m.EncodeRow(r.Key)
		}
		s.Rows = append(s.Rows, r)
	}
	return s, m.loaded
}

// NewestChange returns the revision of the newest applied change. Mirrors with the
// same newest change have the same rows, even if their revisions differ.
func (m *Mirror) NewestChange() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newestChange
}

// Failing reports whether the mirror is not loaded or its last store call failed.
func (m *Mirror) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.loaded || !m.failingSince.IsZero()
}

// CallFailed reports whether the last store call failed, or got no response in time.
func (m *Mirror) CallFailed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.failingSince.IsZero()
}

// BeginReceiving records that another instance's copy is being requested, until done is called. It
// reports false if one is already: two would arrive later than one.
func (m *Mirror) BeginReceiving() (done func(), ok bool) {
	return func() { m.receiving.Store(false) }, m.receiving.CompareAndSwap(false, true)
}

// Receiving reports whether another instance's copy is being requested or arrives.
func (m *Mirror) Receiving() bool { return m.receiving.Load() }

// ApplyRow applies a row that another instance wrote and announced. The value may be
// nil if EncodeRow is set, which then supplies it for snapshots.
func (m *Mirror) ApplyRow(r platform.Row) {
	m.apply(Update{Rows: []platform.Row{r}})
}

// ApplySnapshot applies another instance's snapshot if it is newer, and reports
// whether it did.
func (m *Mirror) ApplySnapshot(s Snapshot) bool {
	if s.ChangedAfter > 0 {
		return m.applyChanges(s)
	}
	m.mu.Lock()
	current := m.loaded && s.Revision <= m.revision
	m.mu.Unlock()
	if current {
		return false
	}
	m.apply(Update{Rows: s.Rows, Full: true, Revision: s.Revision})
	m.recordPeerData(0, false)
	return true
}
