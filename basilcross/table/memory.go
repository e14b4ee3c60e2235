package table

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Memory is a Client that keeps its rows in this process, for a single
// instance and for tests. The zero value is empty and ready.
type Memory struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]Row
	reads    uint64
	writes   uint64
}

// Transact applies tx atomically. It never fails.
func (m *Memory) Transact(_ context.Context, tx Transaction) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	res := Result{Committed: m.conditionsMet(tx.Conditions)}
	if res.Committed && len(tx.Puts) > 0 {
		res.Revision = m.apply(tx)
	}
	m.reads += uint64(len(tx.ReadKeys) + len(tx.ReadPrefixes))
	res.Rows = m.read(tx)
	return res, nil
}

// Counts returns how many reads (keys and ranges) and committed writing
// transactions there were.
func (m *Memory) Counts() (reads, writes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

func (m *Memory) conditionsMet(conditions []Condition) bool {
	for _, c := range conditions {
		if m.rows[c.Key].Version != c.Version {
			return false
		}
	}
	return true
}

func (m *Memory) apply(tx Transaction) uint64 {
	if m.rows == nil {
		m.rows = map[string]Row{}
	}
	m.revision++
	m.writes++
	for _, p := range tx.Puts {
		if p.Delete {
			delete(m.rows, p.Key)
			continue
		}
		m.rows[p.Key] = Row{Key: p.Key, Value: slices.Clone(p.Value), Version: m.revision, Token: tx.Token}
	}
	return m.revision
}

func (m *Memory) read(tx Transaction) []Row {
	var rows []Row
	for _, key := range tx.ReadKeys {
		if row, ok := m.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	for _, prefix := range tx.ReadPrefixes {
		rows = append(rows, m.rowsWithPrefix(prefix)...)
	}
	return rows
}

func (m *Memory) rowsWithPrefix(prefix string) []Row {
	var rows []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}
