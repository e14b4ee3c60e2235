package configlog_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"basilcross.example/basilcross/audit"
	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/configlog"
	"basilcross.example/basilcross/table"
	"gotest.tools/v3/assert"
)

func proposal(basedOn uint64, id string) configlog.Proposal {
	return configlog.Proposal{BasedOn: basedOn, ID: id, Document: &config.Document{
		Services: []config.Service{{Name: "menus"}}, Author: id, Reason: "a reason of " + id,
	}}
}

type lossy struct {
	table.Memory
	lose int
}

func (l *lossy) Transact(ctx context.Context, tx table.Transaction) (table.Result, error) {
	res, err := l.Memory.Transact(ctx, tx)
	if len(tx.Puts) > 0 && l.lose > 0 {
		l.lose--
		return table.Result{}, errors.New("response lost")
	}
	return res, err
}

// Of two proposals based on the same version, the second must get a conflict and
// must not overwrite the first.
func TestConcurrentProposalsConflict(t *testing.T) {
	ctx := context.Background()
	l := configlog.Log{Table: &table.Memory{}}
	v, err := l.Accept(ctx, proposal(0, "anna"))
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(1))
	_, err = l.Accept(ctx, proposal(0, "bert"))
	var conflict *configlog.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Current, uint64(1))
	doc, err := l.Version(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, doc.Author, "anna")
}

// The response to the write is lost after the commit. Accept must still return the
// version, and the audit stream must have the change once.
func TestLostResponseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := &lossy{lose: 2}
		l := configlog.Log{Table: store}
		v, err := l.Accept(ctx, proposal(0, "anna"))
		assert.NilError(t, err)
		assert.Equal(t, v, uint64(1))
		records, err := audit.Read(ctx, store, audit.Operators)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 1)
	})
}

// A proposal that is submitted again, after newer versions, must return its first
// version and change nothing.
func TestResubmissionIsIdempotent(t *testing.T) {
	ctx := context.Background()
	l := configlog.Log{Table: &table.Memory{}}
	for _, p := range []configlog.Proposal{proposal(0, "anna"), proposal(1, "bert")} {
		_, err := l.Accept(ctx, p)
		assert.NilError(t, err)
	}
	v, err := l.Accept(ctx, proposal(0, "anna"))
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(1))
}

// Verify must report a modified record by its number, and a missing record.
func TestModifiedAuditRecordIsDetected(t *testing.T) {
	ctx := context.Background()
	store := &table.Memory{}
	l := configlog.Log{Table: store}
	for i, who := range []string{"anna", "bert", "carl"} {
		_, err := l.Accept(ctx, proposal(uint64(i), who))
		assert.NilError(t, err)
	}
	records, err := audit.Read(ctx, store, audit.Operators)
	assert.NilError(t, err)
	assert.NilError(t, audit.Verify(records))
	records[1].Actor = "dora"
	var broken *audit.BrokenChainError
	assert.Assert(t, errors.As(audit.Verify(records), &broken))
	assert.Equal(t, broken.Number, uint64(2))
	assert.Assert(t, audit.Verify(append(records[:1:1], records[2])) != nil, "a missing record must be detected")
}
