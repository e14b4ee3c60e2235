package mirror

import "basilcross.example/platform"

// maxRemovals is how many removals of rows are remembered: those of some minutes, of a
// fleet whose targets are all replaced.
const maxRemovals = 4096

// changes remembers what other instances need that have an earlier revision of the table.
type changes struct {
	// lastMajor is the revision of each row's last change that was not minor.
	lastMajor map[string]uint64
	// removals are the latest removals, oldest first, and completeAfter the revision after
	// which none is missing.
	removals      []platform.Row
	completeAfter uint64
}

// reset forgets the removals before a revision, at which the whole table was read.
func (c *changes) reset(revision uint64) {
	c.lastMajor, c.removals, c.completeAfter = map[string]uint64{}, nil, revision
}

func (c *changes) record(r platform.Row, minor bool) {
	if c.lastMajor == nil {
		c.lastMajor = map[string]uint64{}
	}
	if !r.Removed {
		if _, known := c.lastMajor[r.Key]; !minor || !known {
			c.lastMajor[r.Key] = r.Revision
		}
		return
	}
	delete(c.lastMajor, r.Key)
	c.removals = append(c.removals, r)
	if excess := len(c.removals) - maxRemovals; excess > 0 {
		c.completeAfter = max(c.completeAfter, c.removals[excess-1].Revision)
		c.removals = c.removals[excess:]
	}
}

// removedAfter returns the keys of the rows that were removed after a revision and not
// added again.
func (c *changes) removedAfter(revision uint64) (keys []string) {
	for _, r := range c.removals {
		if _, added := c.lastMajor[r.Key]; r.Revision > revision && !added {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// applyChanges applies what another instance's mirror changed after a revision that this
// mirror has, and reports whether it did. A polling mirror applies it too: it is behind since
// the store does not answer it.
func (m *Mirror) applyChanges(s Snapshot) bool {
	if s.Revision <= m.Revision() {
		return false
	}
	u := ForwardedUpdate{From: s.ChangedAfter, To: s.Revision, Rows: s.Rows}
	for _, key := range s.Removed {
		u.Rows = append(u.Rows, platform.Row{Table: s.Table, Key: key, Revision: s.Revision, Removed: true})
	}
	for _, r := range s.Rows {
		u.NewestChange = max(u.NewestChange, r.Revision)
	}
	return m.applyUpdate(u, true)
}
