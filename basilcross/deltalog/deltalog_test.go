package deltalog_test

import (
	"context"
	"fmt"
	"testing"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/deltalog"
	"basilcross.example/basilcross/object"
	"basilcross.example/basilcross/table"
	"gotest.tools/v3/assert"
)

type store struct {
	t       *testing.T
	table   table.Memory
	objects object.Memory
}

func (s *store) log() *deltalog.Log {
	return &deltalog.Log{Service: "menus", Table: &s.table, Objects: &s.objects}
}

func (s *store) catchUp(l *deltalog.Log) []assignment.Delta {
	s.t.Helper()
	res, err := s.table.Transact(context.Background(), table.Transaction{ReadKeys: []string{deltalog.HeadKey("menus")}})
	assert.NilError(s.t, err)
	deltas, err := l.CatchUp(context.Background(), res.Rows[0])
	assert.NilError(s.t, err)
	return deltas
}

func (s *store) write(l *deltalog.Log, versions int) {
	s.t.Helper()
	for range versions {
		next := l.Current().Clone()
		next.Version++
		next.SetTarget(assignment.Target{ID: fmt.Sprintf("t%d", next.Version%7), StateSince: next.Version})
		tx, err := l.PrepareAppend(context.Background(), next, fmt.Sprint("w", next.Version))
		assert.NilError(s.t, err)
		res, err := s.table.Transact(context.Background(), tx)
		assert.NilError(s.t, err)
		assert.Assert(s.t, res.Committed)
		s.catchUp(l)
	}
}

func TestReaderFollowsAndJoinsLate(t *testing.T) {
	s := &store{t: t}
	writer := s.log()
	s.write(writer, 3)
	reader := s.log()
	assert.Equal(t, len(s.catchUp(reader)), 3)
	s.write(writer, 200)
	deltas := s.catchUp(reader)
	assert.Equal(t, deltas[0].From, uint64(0), "the beginning is compacted, so all is replaced")
	assert.DeepEqual(t, reader.Current().Targets, writer.Current().Targets)
	late := s.log()
	s.catchUp(late)
	assert.DeepEqual(t, late.Current().Targets, writer.Current().Targets)
}

// The newest snapshot is damaged in the object store. A new instance uses the
// one before and the deltas since, which are kept for this, and reports it.
func TestDamagedSnapshotFallsBack(t *testing.T) {
	s := &store{t: t}
	writer := s.log()
	s.write(writer, 200)
	damaged := 0
	late := s.log()
	late.OnDamagedSnapshot = func(name string, _ error) {
		damaged++
		assert.Equal(t, name, "assign-menus-00000000000000000192")
	}
	assert.NilError(t, s.objects.Put(context.Background(), "assign-menus-00000000000000000192", []byte("garbage")))
	s.catchUp(late)
	assert.Equal(t, damaged, 1)
	assert.DeepEqual(t, late.Current().Targets, writer.Current().Targets)
}

// Two planners write at once. The second one's write fails as a whole.
func TestRacingWriters(t *testing.T) {
	s := &store{t: t}
	a, b := s.log(), s.log()
	s.write(a, 1)
	s.catchUp(b)
	s.write(a, 1)
	next := b.Current().Clone()
	next.Version++
	tx, err := b.PrepareAppend(context.Background(), next, "other")
	assert.NilError(t, err)
	res, err := s.table.Transact(context.Background(), tx)
	assert.NilError(t, err)
	assert.Assert(t, !res.Committed)
}
