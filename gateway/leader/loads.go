package leader

import (
	"cmp"
	"slices"
	"strings"

	"basilcross.example/gateway/control"
)

// loadSum adds up the loads that instances report, until a planner has them.
type loadSum struct {
	shards map[shardID]float32
	hot    map[keyID]float32
}

type shardID struct {
	service string
	first   uint64
}

type keyID struct {
	service string
	key     string
}

// maxHotKeys bounds the hot keys kept between two reports.
const maxHotKeys = 256

func (s *loadSum) add(loads []*control.ShardLoad, hot []*control.HotKey) {
	if s.shards == nil {
		s.shards = map[shardID]float32{}
		s.hot = map[keyID]float32{}
	}
	for _, l := range loads {
		s.shards[shardID{l.GetService(), l.GetFirst()}] += l.GetWork()
	}
	for _, h := range hot {
		name := keyID{h.GetService(), h.GetKey()}
		if _, known := s.hot[name]; known || len(s.hot) < maxHotKeys {
			s.hot[name] += h.GetWork()
		}
	}
}

func (s *loadSum) totals() ([]*control.ShardLoad, []*control.HotKey) {
	loads := make([]*control.ShardLoad, 0, len(s.shards))
	for name, work := range s.shards {
		loads = append(loads, &control.ShardLoad{Service: name.service, First: name.first, Work: work})
	}
	hot := make([]*control.HotKey, 0, len(s.hot))
	for name, work := range s.hot {
		hot = append(hot, &control.HotKey{Service: name.service, Key: name.key, Work: work})
	}
	return loads, hot
}

// subtract takes off what a report carried; what came since stays.
func (s *loadSum) subtract(loads []*control.ShardLoad, hot []*control.HotKey) {
	for _, l := range loads {
		name := shardID{l.GetService(), l.GetFirst()}
		if s.shards[name] -= l.GetWork(); s.shards[name] <= 0 {
			delete(s.shards, name)
		}
	}
	for _, h := range hot {
		name := keyID{h.GetService(), h.GetKey()}
		if s.hot[name] -= h.GetWork(); s.hot[name] <= 0 {
			delete(s.hot, name)
		}
	}
}

func sortKnown(known []*control.Known) {
	slices.SortFunc(known, func(a, b *control.Known) int {
		return cmp.Or(strings.Compare(a.GetName(), b.GetName()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
}
