package planner

import (
	"math"
	"time"

	"basilcross.example/basilcross/hotkey"
	"basilcross.example/basilcross/plan"
	"basilcross.example/basilcross/shard"
	"basilcross.example/gateway/control"
)

const (
	// hotWindow is the time after which a key's earlier work counts 1/e.
	hotWindow = 15 * time.Second
	// maxHotKeys is how many keys of a service the planner looks at.
	maxHotKeys = 64
)

// hotKeys merges the hot keys of all zones, by service.
type hotKeys struct {
	sketches  map[string]*hotkey.Sketch
	decayedAt time.Time
}

func (h *hotKeys) add(now time.Time, keys []*control.HotKey) {
	if len(keys) == 0 {
		return
	}
	if h.sketches == nil {
		h.sketches = map[string]*hotkey.Sketch{}
		h.decayedAt = now
	}
	factor := math.Exp(-now.Sub(h.decayedAt).Seconds() / hotWindow.Seconds())
	h.decayedAt = now
	for _, s := range h.sketches {
		s.Decay(factor)
	}
	for _, k := range keys {
		s, ok := h.sketches[k.GetService()]
		if !ok {
			s = &hotkey.Sketch{}
			h.sketches[k.GetService()] = s
		}
		s.Add(k.GetKey(), float64(k.GetWork()))
	}
}

// top returns the hottest keys of a service with their work per second.
func (h *hotKeys) top(service string) []plan.HotKey {
	s, ok := h.sketches[service]
	if !ok {
		return nil
	}
	var hot []plan.HotKey
	for _, c := range s.Top(maxHotKeys) {
		hot = append(hot, plan.HotKey{
			Hash: shard.Hash(service, c.Key),
			Work: c.Work / hotWindow.Seconds(),
		})
	}
	return hot
}
