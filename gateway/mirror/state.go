package mirror

import (
	"time"

	"basilcross.example/platform"
)

// Reached returns how far the copy is complete.
func (m *Mirror) Reached() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Answered returns when the store answered last; zero if it never did.
func (m *Mirror) Answered() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answeredAt
}

// Prove has the feed wait only shortly for news, since its answers are needed as a
// proof that the copy is kept up; or ends that.
func (m *Mirror) Prove(on bool) {
	m.mu.Lock()
	begins := on && !m.proving
	m.proving = on
	m.mu.Unlock()
	if begins {
		m.Again()
	}
}

// State is a copy of a table at one moment.
type State struct {
	Table string
	// Revision is how far the copy goes.
	Revision uint64
	Rows     []platform.Row
}

// State returns the copy, and whether there is one.
func (m *Mirror) State() (State, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := State{Table: m.Table, Revision: m.revision}
	for _, r := range m.rows {
		if r.Value == nil {
			r = m.Encode(r.Key)
		}
		s.Rows = append(s.Rows, r)
	}
	return s, m.loaded
}

// Newest returns the revision of the newest change taken in. Copies of two
// instances are alike if it is, however far each one has read.
func (m *Mirror) Newest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// Failing tells whether the copy cannot be kept up from the store.
func (m *Mirror) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.loaded || !m.failing.IsZero()
}

// Inject takes in a row that another instance wrote and told of. Without a value it
// is encoded when the copy is asked for; Encode must be set then.
func (m *Mirror) Inject(r platform.Row) {
	m.apply(Change{Rows: []platform.Row{r}})
}

// Offer takes in another instance's copy if it is newer, and tells whether.
func (m *Mirror) Offer(s State) bool {
	m.mu.Lock()
	known := m.loaded && s.Revision <= m.revision
	m.mu.Unlock()
	if known {
		return false
	}
	m.apply(Change{Rows: s.Rows, Whole: true, Revision: s.Revision})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passed = true
	return true
}
