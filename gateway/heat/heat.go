// Package heat adds up the work that requests bring to shards and keys, for
// the reports to the zone's leader.
package heat

import (
	"sync"

	"basilcross.example/gateway/control"
)

// Sum collects the work since the last Take. The zero value is empty.
type Sum struct {
	mu     sync.Mutex
	shards map[name]float32
}

type name struct {
	service string
	first   uint64
}

// Add books work for the shard that begins with this hash.
func (s *Sum) Add(service string, first uint64, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards == nil {
		s.shards = map[name]float32{}
	}
	s.shards[name{service, first}] += float32(work)
}

// Take returns what was collected and begins anew.
func (s *Sum) Take() ([]*control.ShardLoad, []*control.HotKey) {
	s.mu.Lock()
	taken := s.shards
	s.shards = nil
	s.mu.Unlock()
	loads := make([]*control.ShardLoad, 0, len(taken))
	for n, work := range taken {
		loads = append(loads, &control.ShardLoad{Service: n.service, First: n.first, Work: work})
	}
	return loads, nil
}
