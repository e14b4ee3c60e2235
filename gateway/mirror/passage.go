package mirror

import (
	"basilcross.example/platform"
)

func (m *Mirror) listens() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listening
}

// major returns the changes that others must hear of.
func (m *Mirror) major(rows []platform.Row) []platform.Row {
	if m.Minor == nil {
		return rows
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var major []platform.Row
	told := map[string]bool{}
	for _, r := range rows {
		if old, known := m.rows[r.Key]; told[r.Key] || !known || !m.Minor(old, r) {
			major = append(major, r)
			told[r.Key] = true
		}
	}
	return major
}

// Passage is all changes of a table after From up to To that others must hear
// of. Newest is the revision of the newest change, told or not.
type Passage struct {
	From, To uint64
	Newest   uint64
	Rows     []platform.Row
}

// Listen stops following the feed, because others pass its news on, or begins
// it again.
func (m *Mirror) Listen(on bool) {
	m.mu.Lock()
	same := m.listening == on
	m.listening = on
	m.mu.Unlock()
	if !same {
		m.Again()
	}
}

// Pass takes in what another instance's feed brought, and tells whether it
// follows on what is known here. A copy that follows the feed itself takes
// nothing from others: a feed that is read in parts tells of each row only its
// newest state, so what is new here may be nothing new to the one that passes
// it on, and would be missing for good.
func (m *Mirror) Pass(p Passage) bool {
	m.mu.Lock()
	revision, loaded := m.revision, m.loaded
	follows := !m.listening && m.failing.IsZero()
	m.mu.Unlock()
	switch {
	case follows && loaded:
		return true
	case !loaded || revision < p.From:
		return false
	case revision >= p.To:
		return true
	}
	m.apply(Change{Rows: p.Rows, Revision: p.To})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = max(m.newest, p.Newest)
	m.passed = true
	return true
}
