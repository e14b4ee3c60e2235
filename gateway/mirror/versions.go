package mirror

import (
	"slices"

	"basilcross.example/platform"
)

const (
	// maxVersions is how many earlier values of a large row are kept, as bases of patches, and
	// largeRow the least size of such a row, in bytes.
	maxVersions = 3
	largeRow    = 1 << 10
)

// versions keeps earlier values of large rows, which patches refer to.
type versions struct {
	byKey map[string][]platform.Row
}

// add keeps a row that is replaced.
func (v *versions) add(r platform.Row) {
	if len(r.Value) < largeRow {
		return
	}
	if v.byKey == nil {
		v.byKey = map[string][]platform.Row{}
	}
	earlier := v.byKey[r.Key]
	v.byKey[r.Key] = append(slices.Clone(earlier[max(0, len(earlier)-maxVersions+1):]), r)
}

// Version returns the value that a row had at a revision of the table, as far as it is known. A
// version that this mirror did not see is not: an earlier one is returned then.
func (m *Mirror) Version(key string, revision uint64) (platform.Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.rows[key]; ok && r.Revision <= revision {
		return r, r.Value != nil
	}
	list := m.versions.byKey[key]
	for _, r := range slices.Backward(list) {
		if r.Revision <= revision {
			return r, true
		}
	}
	return platform.Row{}, false
}

// keepVersions keeps the values that an update replaces. m.mu must be locked.
func (m *Mirror) keepVersions(u Update) {
	for _, r := range u.Rows {
		if old, known := m.rows[r.Key]; known && old.Revision < r.Revision {
			m.versions.add(old)
		}
	}
}
