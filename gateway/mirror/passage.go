package mirror

import (
	"basilcross.example/platform"
)

func (m *Mirror) isPassive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.passive
}

// majorChanges returns the changes that others must hear of.
func (m *Mirror) majorChanges(rows []platform.Row) []platform.Row {
	if m.IsMinor == nil {
		return rows
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var major []platform.Row
	told := map[string]bool{}
	for _, r := range rows {
		if old, known := m.rows[r.Key]; told[r.Key] || !known || !m.IsMinor(old, r) {
			major = append(major, r)
			told[r.Key] = true
		}
	}
	return major
}

// ForwardedUpdate is all changes of a table after From up to To that others must hear
// of. Newest is the revision of the newest change, told or not.
type ForwardedUpdate struct {
	From, To     uint64
	NewestChange uint64
	Rows         []platform.Row
}

// SetPassive stops following the feed, because others pass its news on, or begins
// it again.
func (m *Mirror) SetPassive(on bool) {
	m.mu.Lock()
	same := m.passive == on
	m.passive = on
	m.mu.Unlock()
	if !same {
		m.Refresh()
	}
}

// ApplyForwarded takes in what another instance's feed brought, and tells whether it
// follows on what is known here. A copy that follows the feed itself takes
// nothing from others: a feed that is read in parts tells of each row only its
// newest state, so what is new here may be nothing new to the one that passes
// it on, and would be missing for good.
func (m *Mirror) ApplyForwarded(p ForwardedUpdate) bool {
	m.mu.Lock()
	revision, loaded := m.revision, m.loaded
	follows := !m.passive && m.failingSince.IsZero()
	m.mu.Unlock()
	switch {
	case follows && loaded:
		return true
	case !loaded || revision < p.From:
		return false
	case revision >= p.To:
		return true
	}
	m.apply(Update{Rows: p.Rows, Revision: p.To})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newestChange = max(m.newestChange, p.NewestChange)
	m.hasPeerData = true
	return true
}
