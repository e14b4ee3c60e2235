// Package heat adds up the work that requests bring to shards and keys, for
// the reports to the zone's leader.
package heat

import (
	"sync"
	"time"

	"basilcross.example/basilcross/hotkey"
	"basilcross.example/gateway/control"
)

const (
	// reportInterval lies between two reports of loads.
	reportInterval = 2 * time.Second
	// hotKeyInterval lies between two reports of hot keys, hotKeys is how many
	// of each service are told.
	hotKeyInterval = 5 * time.Second
	maxHotKeys     = 64
)

// Collector collects work between reports. The zero value is empty.
type Collector struct {
	mu            sync.Mutex
	shards        map[shardID]float32
	keys          map[string]*hotkey.Sketch
	lastReport    time.Time
	lastHotReport time.Time
}

type shardID struct {
	service string
	first   uint64
}

// Add books the work of a request for a key in the shard that begins with a
// hash.
func (s *Collector) Add(service, key string, first uint64, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shards == nil {
		s.shards = map[shardID]float32{}
		s.keys = map[string]*hotkey.Sketch{}
	}
	s.shards[shardID{service, first}] += float32(work)
	sketch, ok := s.keys[service]
	if !ok {
		sketch = &hotkey.Sketch{}
		s.keys[service] = sketch
	}
	sketch.Add(key, work)
}

// Take returns what is due for a report and begins anew; nothing if the last
// report was not long ago.
func (s *Collector) Take(now time.Time) (shards []*control.ShardLoad, hot []*control.HotKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastReport) < reportInterval {
		return nil, nil
	}
	s.lastReport = now
	for n, work := range s.shards {
		shards = append(shards, &control.ShardLoad{Service: n.service, First: n.first, Work: work})
	}
	clear(s.shards)
	if now.Sub(s.lastHotReport) < hotKeyInterval {
		return shards, nil
	}
	s.lastHotReport = now
	for service, sketch := range s.keys {
		for _, c := range sketch.Top(maxHotKeys) {
			hot = append(hot, &control.HotKey{Service: service, Key: c.Key, Work: float32(c.Work)})
		}
		delete(s.keys, service)
	}
	return shards, hot
}
