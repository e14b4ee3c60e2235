// Package deltalog stores a service's assignments in the platform: a small head
// row, one row per delta, and periodic snapshots in the object store.
package deltalog

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/object"
	"basilcross.example/basilcross/table"
)

const (
	headPrefix  = "head/assign/"
	deltaPrefix = "delta/"
	// SnapshotEvery is the number of versions between two snapshots.
	SnapshotEvery = 64
	// keptSnapshots is the number of snapshots listed in the head. The deltas since
	// the oldest stay, so that it can replace a damaged or missing newer one.
	keptSnapshots = 2
)

// Head is the content of the head row, which has the version in force.
type Head struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// Snapshots are the versions that have a snapshot, the newest last.
	Snapshots []uint64 `json:"snapshots,omitempty"`
	// OldestDelta is the version of the oldest delta row that is kept.
	OldestDelta uint64 `json:"oldest"`
}

// Log reads and writes the assignments of one service. It is not safe for
// concurrent use.
type Log struct {
	Service string
	Table   table.Client
	Objects object.Client
	// OnDamagedSnapshot, if set, is called for each snapshot that cannot be used.
	OnDamagedSnapshot func(name string, err error)

	head           Head
	headRowVersion uint64
	current        *assignment.Assignment
	pending        pendingAppend
}

type pendingAppend struct {
	head  Head
	next  *assignment.Assignment
	delta assignment.Delta
}

// HeadKey returns the key of a service's head row.
func HeadKey(service string) string { return headPrefix + service }

// ServiceFromHeadKey returns the service of a head row's key; ok is false for others.
func ServiceFromHeadKey(key string) (service string, ok bool) {
	if len(key) <= len(headPrefix) || key[:len(headPrefix)] != headPrefix {
		return "", false
	}
	return key[len(headPrefix):], true
}

func (l *Log) deltaKey(version uint64) string {
	return fmt.Sprintf("%s%s/%020d", deltaPrefix, l.Service, version)
}

func (l *Log) snapshotName(version uint64) string {
	return fmt.Sprintf("assign-%s-%020d", l.Service, version)
}

// Current returns the newest version read or confirmed; never nil.
func (l *Log) Current() *assignment.Assignment {
	if l.current == nil {
		return &assignment.Assignment{Service: l.Service}
	}
	return l.current
}

// HeadRowVersion returns the version of the head row, for conditions.
func (l *Log) HeadRowVersion() uint64 { return l.headRowVersion }

// CatchUp reads up to the version in the head row and returns the deltas that
// lead there. If the first of them are no longer kept, it returns a single delta
// that replaces the whole assignment.
func (l *Log) CatchUp(ctx context.Context, row table.Row) ([]assignment.Delta, error) {
	var head Head
	if err := table.Decode(row, &head); err != nil {
		return nil, err
	}
	if row.Version <= l.headRowVersion {
		return nil, nil
	}
	next, deltas, err := l.readTo(ctx, head)
	if err != nil {
		return nil, fmt.Errorf("catch up with service %s version %d: %w", l.Service, head.Version, err)
	}
	l.head, l.headRowVersion, l.current = head, row.Version, next
	return deltas, nil
}

func (l *Log) readTo(ctx context.Context, head Head) (*assignment.Assignment, []assignment.Delta, error) {
	have := l.Current()
	deltas, err := l.readDeltas(ctx, max(have.Version, head.OldestDelta-min(1, head.OldestDelta)), head.Version)
	if err != nil {
		return nil, nil, err
	}
	if have.Version+1 >= head.OldestDelta {
		next, err := applyAll(have, deltas)
		return next, deltas, err
	}
	next, err := l.restoreFromSnapshot(ctx, head, deltas)
	if err != nil {
		return nil, nil, err
	}
	return next, []assignment.Delta{assignment.Diff(&assignment.Assignment{}, next)}, nil
}

// restoreFromSnapshot applies the deltas to the newest snapshot that is usable.
func (l *Log) restoreFromSnapshot(ctx context.Context, head Head, deltas []assignment.Delta) (*assignment.Assignment, error) {
	errs := []error{fmt.Errorf("no usable snapshot")}
	for i := len(head.Snapshots) - 1; i >= 0; i-- {
		name := l.snapshotName(head.Snapshots[i])
		base, err := l.loadSnapshot(ctx, name, head.Snapshots[i])
		if err != nil {
			errs = append(errs, err)
			if l.OnDamagedSnapshot != nil {
				l.OnDamagedSnapshot(name, err)
			}
			continue
		}
		rest := deltas
		for len(rest) > 0 && rest[0].To <= base.Version {
			rest = rest[1:]
		}
		return applyAll(base, rest)
	}
	return nil, errors.Join(errs...)
}

func (l *Log) loadSnapshot(ctx context.Context, name string, version uint64) (*assignment.Assignment, error) {
	content, err := l.Objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	a, err := decodeSnapshot(content)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot %q: %w", name, err)
	}
	if a.Version != version || a.Service != l.Service {
		return nil, fmt.Errorf("snapshot %q: holds service %q version %d, want service %q version %d", name, a.Service, a.Version, l.Service, version)
	}
	return a, nil
}

func applyAll(a *assignment.Assignment, deltas []assignment.Delta) (*assignment.Assignment, error) {
	for _, d := range deltas {
		next, err := a.Apply(d)
		if err != nil {
			return nil, err
		}
		a = next
	}
	return a, nil
}

// readDeltas reads the delta rows of the versions after from, up to and including to.
func (l *Log) readDeltas(ctx context.Context, from, to uint64) ([]assignment.Delta, error) {
	var tx table.Transaction
	for v := from + 1; v <= to; v++ {
		tx.ReadKeys = append(tx.ReadKeys, l.deltaKey(v))
	}
	res, err := l.Table.Transact(ctx, tx)
	if err != nil {
		return nil, err
	}
	if len(res.Rows) != len(tx.ReadKeys) {
		return nil, fmt.Errorf("%d of %d delta rows are missing after version %d", len(tx.ReadKeys)-len(res.Rows), len(tx.ReadKeys), from)
	}
	deltas := make([]assignment.Delta, len(res.Rows))
	for i, row := range res.Rows {
		if err := table.Decode(row, &deltas[i]); err != nil {
			return nil, err
		}
	}
	return deltas, nil
}

// PrepareAppend returns the transaction that makes next the version in force; it
// fails if the head row was written meanwhile. If a snapshot is due, it is stored
// first, of the current version, since next may never be committed.
func (l *Log) PrepareAppend(ctx context.Context, next *assignment.Assignment, token string) (table.Transaction, error) {
	head := l.head
	head.Service = l.Service
	head.Version = next.Version
	if head.OldestDelta == 0 {
		head.OldestDelta = next.Version
	}
	removed := l.compact(ctx, &head)
	delta := assignment.Diff(l.Current(), next)
	headPut, err := table.Encode(HeadKey(l.Service), head)
	if err != nil {
		return table.Transaction{}, err
	}
	deltaPut, err := table.Encode(l.deltaKey(next.Version), delta)
	if err != nil {
		return table.Transaction{}, err
	}
	l.pending = pendingAppend{head: head, next: next, delta: delta}
	return table.Transaction{
		Token:      token,
		Conditions: []table.Condition{{Key: HeadKey(l.Service), Version: l.headRowVersion}},
		Puts:       append([]table.Put{headPut, deltaPut}, removed...),
	}, nil
}

// ConfirmAppend records that the last PrepareAppend was committed at a revision,
// and returns its delta, so that it need not be read back.
func (l *Log) ConfirmAppend(revision uint64) assignment.Delta {
	l.head, l.headRowVersion, l.current = l.pending.head, revision, l.pending.next
	return l.pending.delta
}

// compact stores a snapshot if one is due, and returns the removal of the deltas up
// to the oldest listed snapshot. If storing fails, the next append tries again.
func (l *Log) compact(ctx context.Context, head *Head) []table.Put {
	last := uint64(0)
	if n := len(head.Snapshots); n > 0 {
		last = head.Snapshots[n-1]
	}
	current := l.Current()
	if current.Version < last+SnapshotEvery {
		return nil
	}
	content, err := encodeSnapshot(current)
	if err != nil || l.Objects.Put(ctx, l.snapshotName(current.Version), content) != nil {
		return nil
	}
	head.Snapshots = append(head.Snapshots[:len(head.Snapshots):len(head.Snapshots)], current.Version)
	if len(head.Snapshots) > keptSnapshots {
		head.Snapshots = head.Snapshots[len(head.Snapshots)-keptSnapshots:]
	}
	if len(head.Snapshots) < keptSnapshots {
		return nil
	}
	var removed []table.Put
	for v := head.OldestDelta; v <= head.Snapshots[0]; v++ {
		removed = append(removed, table.Put{Key: l.deltaKey(v), Delete: true})
	}
	head.OldestDelta = head.Snapshots[0] + 1
	return removed
}

func encodeSnapshot(a *assignment.Assignment) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(a); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decodeSnapshot relies on the checksum of gzip to detect damage.
func decodeSnapshot(content []byte) (*assignment.Assignment, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var a assignment.Assignment
	if err := json.Unmarshal(plain, &a); err != nil {
		return nil, err
	}
	return &a, nil
}
