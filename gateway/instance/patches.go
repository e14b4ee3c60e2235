package instance

import (
	"fmt"
	"slices"
	"sync"

	"basilcross.example/basilcross/patch"
	"basilcross.example/gateway/mirror"
	"basilcross.example/platform"
)

// minPatched is the least size of a row, in bytes, that is sent to other instances as a patch.
const minPatched = maxUpdateBytes

// maxPatches is how many patches are kept: all instances of a zone need the same one or two.
const maxPatches = 4

// patches makes the patches of rows for other instances, each once.
type patches struct {
	mu   sync.Mutex
	list []*rowPatch
}

// rowPatch is the patch that leads from a row's value at revision base, 0 for none, to that at revision.
type rowPatch struct {
	table, key     string
	base, revision uint64

	patch patch.Patch
	err   error
	once  sync.Once
}

// find returns the patch that leads to a row from the value that it had at a revision of the table, if that
// is known, and otherwise from nothing.
func (p *patches) find(m *mirror.Mirror, row platform.Row, after uint64) (*rowPatch, error) {
	base, known := m.Version(row.Key, after)
	if !known {
		base = platform.Row{}
	}
	found := p.entry(m.Table, row, base)
	found.once.Do(func() { found.patch, found.err = patch.New(base.Value, row.Value) })
	return found, found.err
}

func (p *patches) entry(table string, row, base platform.Row) *rowPatch {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.list {
		if e.table == table && e.key == row.Key && e.revision == row.Revision && e.base == base.Revision {
			return e
		}
	}
	e := &rowPatch{table: table, key: row.Key, base: base.Revision, revision: row.Revision}
	p.list = append(p.list, e)
	p.list = slices.Clone(p.list[max(0, len(p.list)-maxPatches):])
	return e
}

// unknownBaseError reports that this instance does not have the value that a patch refers to.
type unknownBaseError struct {
	Table, Key string
	Revision   uint64
}

func (e *unknownBaseError) Error() string {
	return fmt.Sprintf("patch of row %q of table %q: value at revision %d is not known here", e.Key, e.Table, e.Revision)
}

// applyPatch returns the value of a row to which a patch leads from the mirror's value at a revision.
func applyPatch(m *mirror.Mirror, key string, base uint64, p patch.Patch) ([]byte, error) {
	if base == 0 {
		return p.Apply(nil)
	}
	old, known := m.Version(key, base)
	if !known || old.Revision != base {
		return nil, &unknownBaseError{Table: m.Table, Key: key, Revision: base}
	}
	return p.Apply(old.Value)
}
