// Package audit is the trail of changes: records in the table service, each
// sealed with the hash of the one before, written in the same transaction as
// the change that they account for.
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

// Streams keep changes by operators apart from the system's own decisions, so
// that neither waits for the other's writes.
const (
	Operators = "operators"
	System    = "system"
)

// Record is one change.
type Record struct {
	Stream string    `json:"stream"`
	Number uint64    `json:"number"`
	At     time.Time `json:"at"`
	// Actor is an operator, or the instance that decided.
	Actor   string `json:"who"`
	Subject string `json:"what"`
	// From and To are versions of what was changed; zero if it has none.
	From   uint64 `json:"from,omitempty"`
	To     uint64 `json:"to,omitempty"`
	Reason string `json:"why"`
	// Previous is the hash of the record before, empty for the first.
	Previous string `json:"previous"`
	Hash     string `json:"hash"`
}

// setHash sets the hash over all other fields.
func (r *Record) setHash() error {
	r.Hash = ""
	content, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("seal audit record: %w", err)
	}
	sum := sha256.Sum256(content)
	r.Hash = hex.EncodeToString(sum[:])
	return nil
}

// BrokenChainError says where a chain does not hold.
type BrokenChainError struct {
	Stream string
	Number uint64
	Reason string
}

func (e *BrokenChainError) Error() string {
	return fmt.Sprintf("audit %s record %d: %s", e.Stream, e.Number, e.Reason)
}

// Verify checks that the records are the unbroken end of a chain.
func Verify(records []Record) error {
	for i, r := range records {
		sealed := r
		if err := sealed.setHash(); err != nil {
			return err
		}
		if sealed.Hash != r.Hash {
			return &BrokenChainError{Stream: r.Stream, Number: r.Number, Reason: "was changed after it was sealed"}
		}
		if i == 0 {
			continue
		}
		before := records[i-1]
		if r.Number != before.Number+1 {
			return &BrokenChainError{Stream: r.Stream, Number: before.Number + 1, Reason: "is missing"}
		}
		if r.Previous != before.Hash {
			return &BrokenChainError{Stream: r.Stream, Number: r.Number, Reason: "does not follow the one before"}
		}
	}
	return nil
}

// head is the row that says where a stream ends.
type head struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
}

// HeadKey is the key of the row that says where a stream ends.
func HeadKey(stream string) string { return "auditHead/" + stream }

// Prefix begins the keys of a stream's records.
func Prefix(stream string) string { return "audit/" + stream + "/" }

func recordKey(stream string, number uint64) string {
	return fmt.Sprintf("%s%020d", Prefix(stream), number)
}

// Chain appends to one stream. It is not safe for concurrent use.
type Chain struct {
	Stream string

	head           head
	headRowVersion uint64
	pending        head
}

// Observe takes in the stream's head row; nil if the stream is empty.
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

// PrepareAppend puts the record into a transaction, which fails if somebody else has
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

// ConfirmAppend takes in that the last transaction took effect at a revision.
func (c *Chain) ConfirmAppend(revision uint64) {
	c.head, c.headRowVersion = c.pending, revision
}

// Read returns the records of a stream, the oldest first.
func Read(ctx context.Context, t table.Client, stream string) ([]Record, error) {
	res, err := t.Transact(ctx, table.Transaction{ReadPrefixes: []string{Prefix(stream)}})
	if err != nil {
		return nil, fmt.Errorf("read audit: %w", err)
	}
	records := make([]Record, len(res.Rows))
	for i, row := range res.Rows {
		if err := table.Decode(row, &records[i]); err != nil {
			return nil, fmt.Errorf("read audit: %w", err)
		}
	}
	return records, nil
}
