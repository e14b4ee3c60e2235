package mirror

import (
	"basilcross.example/platform"
)

func (m *Mirror) isPassive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.passive
}

// majorChanges returns the changes that must be forwarded to other instances, and the keys
// of the rows that have none.
func (m *Mirror) majorChanges(rows []platform.Row) (major []platform.Row, minor map[string]bool) {
	if m.IsMinor == nil {
		return rows, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	forwarded := map[string]bool{}
	minor = map[string]bool{}
	for _, r := range rows {
		if old, known := m.rows[r.Key]; forwarded[r.Key] || !known || !m.IsMinor(old, r) {
			major = append(major, r)
			forwarded[r.Key] = true
			delete(minor, r.Key)
			continue
		}
		minor[r.Key] = true
	}
	return major, minor
}

// ConfirmPeerData records that the mirror equals one that polls the feed, so that it need not
// be read whole before it polls too.
func (m *Mirror) ConfirmPeerData() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hasPeerData = false
}

// ForwardedUpdate holds the changes of a table after revision From up to To, without
// minor ones. NewestChange is the revision of the newest change, minor or not.
type ForwardedUpdate struct {
	From, To     uint64
	NewestChange uint64
	Rows         []platform.Row
}

// SetPassive makes the mirror passive or polling. A passive mirror doesn't poll the
// feed; other instances forward its changes.
func (m *Mirror) SetPassive(passive bool) {
	m.mu.Lock()
	unchanged := m.passive == passive
	m.passive = passive
	m.mu.Unlock()
	if !unchanged {
		m.Refresh()
	}
}

// ApplyForwarded applies another instance's update and reports whether the mirror is
// not behind its beginning. A mirror that polls the feed ignores such updates: a
// feed response holds only the newest state of each row, so the sender may have
// left out a change that was not new to it but is new here, and this change would
// be missing for good.
func (m *Mirror) ApplyForwarded(u ForwardedUpdate) bool {
	m.mu.Lock()
	polling := m.loaded && !m.passive && m.failingSince.IsZero() && !m.PeersComplete
	m.mu.Unlock()
	return polling || m.applyUpdate(u, false)
}

// applyUpdate applies an update, and reports whether the mirror is not behind its beginning.
// Fetched is set if it was fetched, so that it leaves out no change after its beginning.
func (m *Mirror) applyUpdate(u ForwardedUpdate, fetched bool) bool {
	m.mu.Lock()
	revision, loaded, polling := m.revision, m.loaded, !m.passive
	m.mu.Unlock()
	switch {
	case !loaded || revision < u.From:
		return false
	case revision >= u.To:
		return true
	}
	m.apply(Update{Rows: u.Rows, Revision: u.To})
	m.recordPeerData(u.NewestChange, fetched && polling)
	return true
}

// recordPeerData records that changes of another instance were applied, and whether it left out none. A
// pending feed response that has them too is ended.
func (m *Mirror) recordPeerData(newestChange uint64, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newestChange = max(m.newestChange, newestChange)
	switch {
	case m.PeersComplete:
		if m.supersede != nil {
			m.supersede()
		}
	case complete:
		m.hasPeerChanges = true
	default:
		m.hasPeerData = true
	}
}
