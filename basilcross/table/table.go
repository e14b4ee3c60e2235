// Package table is the interface to the platform's transactional table service.
//
// Everything that instances must agree on goes through one call, Transact, which
// applies conditions on row versions, writes and reads atomically. Adapters for
// a real service implement Client; Memory is the in-process implementation.
package table

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// Row is one stored value. Version is the table's revision at the last write
// of the row, so it never repeats, even after a deletion. Token is that of the
// transaction that wrote this version.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Token   string `json:"token"`
}

// Condition is met if the row has exactly this version; zero means no such row.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row, or deletes it if Delete is set.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is applied as a whole or not at all. The reads are executed after
// the writes, and also if a condition is not met, so that the result of a conflict
// has the conflicting rows without another round trip.
type Transaction struct {
	// Token is unique to the transaction, not to the attempt: retries have the same
	// one.
	Token        string      `json:"token"`
	Conditions   []Condition `json:"conditions,omitempty"`
	Puts         []Put       `json:"puts,omitempty"`
	ReadKeys     []string    `json:"readKeys,omitempty"`
	ReadPrefixes []string    `json:"readPrefixes,omitempty"`
}

// Result is the outcome of a transaction whose response was received.
type Result struct {
	Committed bool `json:"committed"`
	// Revision is the version of all written rows; zero if not committed.
	Revision uint64 `json:"revision"`
	Rows     []Row  `json:"rows"`
}

// Row returns the row with this key from the result; ok is false if absent.
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

// NotSentError says that a transaction was not sent, so it did not take effect.
type NotSentError struct {
	Cause error
}

func (e *NotSentError) Error() string { return "table: not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Decode decodes a row's JSON value into v.
func Decode(row Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return nil
}

// Encode returns a Put that writes v as JSON.
func Encode(key string, v any) (Put, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return Put{}, fmt.Errorf("encode row %s: %w", key, err)
	}
	return Put{Key: key, Value: value}, nil
}

const settleRetryDelay = 100 * time.Millisecond

// Settle retries a conditional transaction until its outcome is known.
//
// If the response to a write is lost, a read without the written row proves
// nothing, because the write may still be in flight. A retry of the same
// conditional write with the same token resolves this: it commits now, or it
// conflicts and the row's token shows whether the earlier attempt committed. The
// first Put's row is used for this check; a condition must cover it.
func Settle(ctx context.Context, c Client, tx Transaction) (Result, error) {
	if len(tx.Puts) == 0 {
		return Result{}, fmt.Errorf("settle transaction %s: no writes", tx.Token)
	}
	key := tx.Puts[0].Key
	tx.ReadKeys = append(tx.ReadKeys[:len(tx.ReadKeys):len(tx.ReadKeys)], key)
	for {
		res, err := c.Transact(ctx, tx)
		if err == nil {
			return resolveConflict(res, key, tx.Token), nil
		}
		select {
		case <-ctx.Done():
			return Result{}, fmt.Errorf("settle %s: outcome unknown: %w", key, err)
		case <-time.After(settleRetryDelay):
		}
	}
}

// resolveConflict turns a conflict with an earlier attempt of the same transaction
// into a commit.
func resolveConflict(res Result, key, token string) Result {
	if res.Committed {
		return res
	}
	row, ok := res.Row(key)
	if ok && row.Token == token {
		res.Committed = true
		res.Revision = row.Version
	}
	return res
}
