// Package audit has the audit trail: hash-chained records in the table service,
// each written in the same transaction as the change that it records.
package audit

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"basilcross.example/basilcross/table"
)

// Streams. Changes by operators and decisions of the system are separate, so that
// their writes do not conflict.
const (
	Operators = "operators"
	System    = "system"
)

// Record is the record of one change.
type Record struct {
	Stream string    `json:"stream"`
	Number uint64    `json:"number"`
	At     time.Time `json:"at"`
	// Actor is the operator or the instance that made the change.
	Actor string `json:"who"`
	// Subject is the kind of thing that changed, such as "configuration".
	Subject string `json:"what"`
	// From and To are the versions of the subject; zero if it has none.
	From   uint64 `json:"from,omitempty"`
	To     uint64 `json:"to,omitempty"`
	Reason string `json:"why"`
	// Previous is the hash of the previous record; empty in the first one.
	Previous string `json:"previous"`
	Hash     string `json:"hash"`
}

// setHash sets the hash over all other fields.
func (r *Record) setHash() error {
	r.Hash = ""
	content, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("hash audit record: %w", err)
	}
	sum := sha256.Sum256(content)
	r.Hash = hex.EncodeToString(sum[:])
	return nil
}

// BrokenChainError reports the first record that breaks a chain.
type BrokenChainError struct {
	Stream string
	Number uint64
	Reason string
}

func (e *BrokenChainError) Error() string {
	return fmt.Sprintf("audit %s record %d: %s", e.Stream, e.Number, e.Reason)
}

// Verify checks that consecutive records of a stream are unmodified and complete.
// If not, the error is a *BrokenChainError.
func Verify(records []Record) error {
	for i, r := range records {
		rehashed := r
		if err := rehashed.setHash(); err != nil {
			return err
		}
		if rehashed.Hash != r.Hash {
			return &BrokenChainError{Stream: r.Stream, Number: r.Number, Reason: "was changed after it was sealed"}
		}
		if i == 0 {
			continue
		}
		previous := records[i-1]
		if r.Number != previous.Number+1 {
			return &BrokenChainError{Stream: r.Stream, Number: previous.Number + 1, Reason: "is missing"}
		}
		if r.Previous != previous.Hash {
			return &BrokenChainError{Stream: r.Stream, Number: r.Number, Reason: "does not follow the one before"}
		}
	}
	return nil
}

type head struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
}

// HeadKey returns the key of a stream's head row.
func HeadKey(stream string) string { return "auditHead/" + stream }

// Prefix returns the key prefix of a stream's records.
func Prefix(stream string) string { return "audit/" + stream + "/" }

func recordKey(stream string, number uint64) string {
	return fmt.Sprintf("%s%020d", Prefix(stream), number)
}

// Chain appends records to a stream. It is not safe for concurrent use.
type Chain struct {
	Stream string

	head           head
	headRowVersion uint64
	pending        head
}

// Observe applies the stream's head row; nil if the stream is empty.
func (c *Chain) Observe(row *table.Row) error {
	if row == nil {
		return nil
	}
	if row.Version <= c.headRowVersion {
		return nil
	}
	c.headRowVersion = row.Version
	return table.Decode(*row, &c.head)
}

// PrepareAppend adds the record to a transaction, which fails if another record is
// appended meanwhile.
func (c *Chain) PrepareAppend(tx *table.Transaction, r Record) error {
	r.Stream = c.Stream
	r.Number = c.head.Number + 1
	r.Previous = c.head.Hash
	r.At = r.At.UTC().Round(0)
	if err := r.setHash(); err != nil {
		return err
	}
	c.pending = head{Number: r.Number, Hash: r.Hash}
	headPut, err := table.Encode(HeadKey(c.Stream), c.pending)
	if err != nil {
		return err
	}
	recordPut, err := table.Encode(recordKey(c.Stream, r.Number), r)
	if err != nil {
		return err
	}
	tx.Conditions = append(tx.Conditions, table.Condition{Key: HeadKey(c.Stream), Version: c.headRowVersion})
	tx.Puts = append(tx.Puts, headPut, recordPut)
	return nil
}

// ConfirmAppend records that the last prepared append was committed at a revision.
func (c *Chain) ConfirmAppend(revision uint64) {
	c.head, c.headRowVersion = c.pending, revision
}

// Read returns the records of a stream, the oldest first.
func Read(ctx context.Context, t table.Client, stream string) ([]Record, error) {
	res, err := t.Transact(ctx, table.Transaction{ReadPrefixes: []string{Prefix(stream)}})
	if err != nil {
		return nil, fmt.Errorf("read audit stream %s: %w", stream, err)
	}
	records := make([]Record, len(res.Rows))
	for i, row := range res.Rows {
		if err := table.Decode(row, &records[i]); err != nil {
			return nil, fmt.Errorf("read audit stream %s: %w", stream, err)
		}
	}
	return records, nil
}
