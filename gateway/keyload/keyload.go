// Package keyload adds up the work that requests cause per shard and per key, for the
// reports to the zone's leader.
package keyload

import (
	"sync"
	"time"

	"basilcross.example/basilcross/hotkey"
	"basilcross.example/gateway/control"
)

const (
	// reportInterval is the time between two reports of loads.
	reportInterval = 2 * time.Second
	// hotKeyInterval is the time between two reports of hot keys, and maxHotKeys bounds the
	// keys of each service in one report.
	hotKeyInterval = 5 * time.Second
	maxHotKeys     = 64
)

// Collector adds up work between reports. The zero value is empty and ready to use.
type Collector struct {
	mu            sync.Mutex
	shards        map[shardID]float32
	keys          map[string]*hotkey.Sketch
	lastReport    time.Time
	lastHotReport time.Time
}

// shardID identifies a shard by its service and the first hash of its range.
type shardID struct {
	service string
	first   uint64
}

// Add adds the work of a request for a key, in the shard whose range begins with the hash
// first.
func (c *Collector) Add(service, key string, first uint64, work float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shards == nil {
		c.shards = map[shardID]float32{}
		c.keys = map[string]*hotkey.Sketch{}
	}
	c.shards[shardID{service, first}] += float32(work)
	sketch, ok := c.keys[service]
	if !ok {
		sketch = &hotkey.Sketch{}
		c.keys[service] = sketch
	}
	sketch.Add(key, work)
}

// TakeReport returns the loads and the hot keys that are due for a report, and resets them. Both
// are nil if the last report was less than reportInterval ago; hot is nil if the last one
// with hot keys was less than hotKeyInterval ago.
func (c *Collector) TakeReport(now time.Time) (shards []*control.ShardLoad, hot []*control.HotKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastReport) < reportInterval {
		return nil, nil
	}
	c.lastReport = now
	for id, work := range c.shards {
		shards = append(shards, &control.ShardLoad{Service: id.service, First: id.first, Work: work})
	}
	clear(c.shards)
	if now.Sub(c.lastHotReport) < hotKeyInterval {
		return shards, nil
	}
	c.lastHotReport = now
	for service, sketch := range c.keys {
		for _, counted := range sketch.Top(maxHotKeys) {
			hot = append(hot, &control.HotKey{Service: service, Key: counted.Key, Work: float32(counted.Work)})
		}
		delete(c.keys, service)
	}
	return shards, hot
}
