// Package table is the face of the platform's transactional table service.
//
// Everything that instances must agree on goes through one call, Transact:
// conditions on row versions, writes and reads that take effect together.
// Adapters for a real service implement Client; Memory is the embedded one.
package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Row is one stored value. Version is the table's revision at the last write
// of the row, so it never repeats, also after a deletion. Token names the
// transaction that made this version.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Token   string `json:"token"`
}

// Condition holds if the row has exactly this version; zero means no such row.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row, or removes it if Delete is set.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is applied as a whole or not at all. The reads are carried out
// after the writes, and also when a condition failed, so that a loser learns
// in the same round trip what it lost to.
type Transaction struct {
	// Token is unique to the decision, not to the attempt: a retry carries
	// the same one.
	Token        string      `json:"token"`
	Conditions   []Condition `json:"conditions,omitempty"`
	Puts         []Put       `json:"puts,omitempty"`
	ReadKeys     []string    `json:"readKeys,omitempty"`
	ReadPrefixes []string    `json:"readPrefixes,omitempty"`
}

// Result is the outcome of a transaction whose answer arrived.
type Result struct {
	Committed bool `json:"committed"`
	// Revision is the version that all written rows got; zero if not committed.
	Revision uint64 `json:"revision"`
	Rows     []Row  `json:"rows"`
}

// Row returns the row of this key from the result; ok is false if absent.
func (r Result) Row(key string) (row Row, ok bool) {
	for _, row := range r.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// Client is implemented by each adapter to a table service. An error leaves
// the outcome of the writes unknown unless it is a NotSentError.
type Client interface {
	Transact(ctx context.Context, tx Transaction) (Result, error)
}

// NotSentError says that a transaction surely did not take effect.
type NotSentError struct {
	Cause error
}

func (e *NotSentError) Error() string { return "table: not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Decode unmarshals a row's JSON value into v.
func Decode(row Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return nil
}

// Encode makes a Put of v as JSON.
func Encode(key string, v any) (Put, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return Put{}, fmt.Errorf("encode row %s: %w", key, err)
	}
	return Put{Key: key, Value: value}, nil
}

// settleRetryDelay is the wait between two attempts of Settle.
const settleRetryDelay = 100 * time.Millisecond

// Settle repeats a conditional transaction until its outcome is known.
//
// The failure: an answer is lost after the write took effect, and a reading
// that does not show the write yet proves nothing, because the write may still
// be on its way. Repeating the same conditional write under the same token
// ends both doubts: it commits now, or it conflicts and the written row's
// token says whether the earlier attempt was ours. The first Put's row is the
// witness; it must be covered by a condition.
func Settle(ctx context.Context, c Client, tx Transaction) (Result, error) {
	if len(tx.Puts) == 0 {
		return Result{}, errors.New("settle: transaction without a write")
	}
	witness := tx.Puts[0].Key
	tx.ReadKeys = append(tx.ReadKeys[:len(tx.ReadKeys):len(tx.ReadKeys)], witness)
	for {
		res, err := c.Transact(ctx, tx)
		if err == nil {
			return resolveConflict(res, witness, tx.Token), nil
		}
		select {
		case <-ctx.Done():
			return Result{}, fmt.Errorf("settle %s: outcome unknown: %w", witness, err)
		case <-time.After(settleRetryDelay):
		}
	}
}

// resolveConflict turns a conflict with our own earlier attempt into a commit.
func resolveConflict(res Result, witness, token string) Result {
	if res.Committed {
		return res
	}
	row, ok := res.Row(witness)
	if ok && row.Token == token {
		res.Committed = true
		res.Revision = row.Version
	}
	return res
}
