// Package configlog keeps the versions of the configuration in the table
// service. A version never changes once it is accepted, and the head only
// moves forward.
package configlog

import (
	"context"
	"fmt"
	"time"

	"basilcross.example/basilcross/audit"
	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/table"
)

// Log reads and writes configurations.
type Log struct {
	Table table.Client
}

// ConflictError says that somebody else's version came first.
type ConflictError struct {
	BasedOn uint64
	Current uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("based on version %d while %d is in force", e.BasedOn, e.Current)
}

// NotFoundError says that there is no such version.
type NotFoundError struct {
	Version uint64
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("there is no configuration version %d", e.Version)
}

// Proposal is a document that is to follow a version.
type Proposal struct {
	BasedOn  uint64           `json:"basedOn"`
	Document *config.Document `json:"document"`
	// ID makes a repeated submission the same one.
	ID string `json:"id"`
}

// Version returns one version; zero asks for the newest.
func (l *Log) Version(ctx context.Context, version uint64) (*config.Document, error) {
	if version == 0 {
		head, _, err := l.readHead(ctx)
		if err != nil {
			return nil, err
		}
		version = head.Version
	}
	key := config.VersionKey(version)
	res, err := l.Table.Transact(ctx, table.Transaction{ReadKeys: []string{key}})
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	row, ok := res.Row(key)
	if !ok {
		return nil, &NotFoundError{Version: version}
	}
	var d config.Document
	if err := table.Decode(row, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

func (l *Log) readHead(ctx context.Context) (config.Head, table.Result, error) {
	var head config.Head
	res, err := l.Table.Transact(ctx, table.Transaction{ReadKeys: []string{config.HeadKey, audit.HeadKey(audit.Operators)}})
	if err != nil {
		return head, res, fmt.Errorf("read configuration head: %w", err)
	}
	if row, ok := res.Row(config.HeadKey); ok {
		err = table.Decode(row, &head)
	}
	return head, res, err
}

// Accept makes the proposal the next version, together with its audit record,
// and returns the version. It returns only when the outcome is known, or with
// an error when the context ends first; the same proposal may then be
// submitted again and gives the same version.
func (l *Log) Accept(ctx context.Context, p Proposal) (uint64, error) {
	head, res, err := l.readHead(ctx)
	if err != nil {
		return 0, err
	}
	token := "config-" + p.ID
	if row, ok := res.Row(config.HeadKey); ok && row.Token == token {
		return head.Version, nil
	}
	if head.Version != p.BasedOn {
		return l.findAccepted(ctx, p, token, head)
	}
	tx, err := l.buildWrite(p, head, res, token)
	if err != nil {
		return 0, err
	}
	res, err = table.Settle(ctx, l.Table, tx)
	if err != nil {
		return 0, err
	}
	if !res.Committed {
		return 0, l.conflictError(ctx, p)
	}
	return p.BasedOn + 1, nil
}

// findAccepted finds out whether this proposal was accepted before and others have
// followed since.
func (l *Log) findAccepted(ctx context.Context, p Proposal, token string, head config.Head) (uint64, error) {
	key := config.VersionKey(p.BasedOn + 1)
	res, err := l.Table.Transact(ctx, table.Transaction{ReadKeys: []string{key}})
	if err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	if row, ok := res.Row(key); ok && row.Token == token {
		return p.BasedOn + 1, nil
	}
	return 0, &ConflictError{BasedOn: p.BasedOn, Current: head.Version}
}

func (l *Log) conflictError(ctx context.Context, p Proposal) error {
	head, _, err := l.readHead(ctx)
	if err != nil {
		return err
	}
	return &ConflictError{BasedOn: p.BasedOn, Current: head.Version}
}

func (l *Log) buildWrite(p Proposal, head config.Head, res table.Result, token string) (table.Transaction, error) {
	next := *p.Document
	next.Version = head.Version + 1
	headPut, err := table.Encode(config.HeadKey, config.Head{Version: next.Version})
	if err != nil {
		return table.Transaction{}, err
	}
	docPut, err := table.Encode(config.VersionKey(next.Version), next)
	if err != nil {
		return table.Transaction{}, err
	}
	headRow, _ := res.Row(config.HeadKey)
	tx := table.Transaction{
		Token:      token,
		Conditions: []table.Condition{{Key: config.HeadKey, Version: headRow.Version}},
		Puts:       []table.Put{headPut, docPut},
	}
	chain := audit.Chain{Stream: audit.Operators}
	if row, ok := res.Row(audit.HeadKey(audit.Operators)); ok {
		if err := chain.Observe(&row); err != nil {
			return tx, err
		}
	}
	return tx, chain.PrepareAppend(&tx, audit.Record{
		At: time.Now(), Actor: next.Author, Subject: "configuration",
		From: head.Version, To: next.Version, Reason: next.Reason,
	})
}
