package mirror

import (
	"time"

	"basilcross.example/platform"
)

// Revision returns how far the copy is complete.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// LastResponse returns when the store answered last; zero if it never did.
func (m *Mirror) LastResponse() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastResponse
}

// CheckFreshness has the feed wait only shortly for news, since its answers are needed as a
// proof that the copy is kept up; or ends that.
func (m *Mirror) CheckFreshness(on bool) {
	m.mu.Lock()
	begins := on && !m.checkingFreshness
	m.checkingFreshness = on
	m.mu.Unlock()
	if begins {
		m.Refresh()
	}
}

// Snapshot is a copy of a table at one moment.
type Snapshot struct {
	Table string
	// Revision is how far the copy goes.
	Revision uint64
	Rows     []platform.Row
}

// Snapshot returns the copy, and whether there is one.
func (m *Mirror) Snapshot() (Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Snapshot{Table: m.Table, Revision: m.revision}
	for _, r := range m.rows {
		if r.Value == nil {
			r = m.EncodeRow(r.Key)
		}
		s.Rows = append(s.Rows, r)
	}
	return s, m.loaded
}

// NewestChange returns the revision of the newest change taken in. Copies of two
// instances are alike if it is, however far each one has read.
func (m *Mirror) NewestChange() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newestChange
}

// Failing tells whether the copy cannot be kept up from the store.
func (m *Mirror) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.loaded || !m.failingSince.IsZero()
}

// ApplyRow takes in a row that another instance wrote and told of. Without a value it
// is encoded when the copy is asked for; Encode must be set then.
func (m *Mirror) ApplyRow(r platform.Row) {
	m.apply(Update{Rows: []platform.Row{r}})
}

// ApplySnapshot takes in another instance's copy if it is newer, and tells whether.
func (m *Mirror) ApplySnapshot(s Snapshot) bool {
	m.mu.Lock()
	known := m.loaded && s.Revision <= m.revision
	m.mu.Unlock()
	if known {
		return false
	}
	m.apply(Update{Rows: s.Rows, Full: true, Revision: s.Revision})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hasPeerData = true
	return true
}
