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
	// hotWindow is the time in which the weight of a key's work decays to 1/e.
	hotWindow = 15 * time.Second
	// maxHotKeys bounds the hot keys of a service that the planner considers.
	maxHotKeys = 64
)

// hotKeys combines the hot keys reported by all zones, by service.
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
